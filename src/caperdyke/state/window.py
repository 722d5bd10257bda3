"""Event counts in sliding and in fixed windows."""

import collections


class SlidingWindow:
    """Records the times of the events of the latest period.

    A count over any window of one period never exceeds a limit that was checked before each event,
    and windows of several holders add up: the sum of their counts never exceeds the sum of limits.

    :param period: length of one period in seconds.
    """

    def __init__(self, period: float) -> None:
        self._period = period
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Records one event."""
        self._expire(now)
        self._times.append(now)

    def count(self, now: float) -> int:
        """Returns the number of events in the period that ends now."""
        self._expire(now)
        return len(self._times)

    def find_free_time(self, now: float, limit: int) -> float:
        """Returns the earliest time at which the count falls below the limit."""
        self._expire(now)
        if len(self._times) < limit:
            return now
        if limit <= 0:
            return now + self._period
        return self._times[-limit] + self._period

    def _expire(self, now: float) -> None:
        while self._times and self._times[0] <= now - self._period:
            self._times.popleft()


class PeriodCounter:
    """Counts events in fixed windows of the wall clock, for limits on growth between periods.

    The periods of all holders start at the same times, so limits on growth add up over holders.
    With sliding windows they would not: growth is checked only when an event occurs, and the
    earlier window shrinks afterwards while the later one does not.

    :param period: length of one period in seconds.
    """

    def __init__(self, period: float) -> None:
        self._period = period
        self._index = 0
        self._count = 0
        self._previous_count = 0

    def add(self, now: float) -> None:
        """Records one event."""
        self._advance(now)
        self._count += 1

    def count(self, now: float) -> int:
        """Returns the number of events in the period that contains now."""
        self._advance(now)
        return self._count

    def count_previous(self, now: float) -> int:
        """Returns the number of events in the preceding period."""
        self._advance(now)
        return self._previous_count

    def find_next_start(self, now: float) -> float:
        """Returns the time at which the next period starts."""
        return (int(now / self._period) + 1) * self._period

    def _advance(self, now: float) -> None:
        index = int(now / self._period)
        if index <= self._index:
            # After the clock was set back, events count in the latest period that it reached.
            return
        self._previous_count = self._count if index == self._index + 1 else 0
        self._count = 0
        self._index = index
