"""Counts of events in a sliding window."""

import collections


class SlidingWindow:
    """Remembers the times of events for a number of periods.

    A count over any window of one period never exceeds a limit that was checked before each event,
    and windows of several holders add up: the sum of their counts never exceeds the sum of limits.

    :param period: length of one period in seconds.
    :param periods: number of past periods that are kept.
    """

    def __init__(self, period: float, periods: int = 2) -> None:
        self._period = period
        self._kept = period * periods
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Records one event."""
        self._forget(now)
        self._times.append(now)

    def count(self, now: float) -> int:
        """Returns the events of the period that ends now."""
        return self._count_after(now, now - self._period)

    def count_previous(self, now: float) -> int:
        """Returns the events of the period before the one that ends now."""
        return self._count_after(now, now - 2 * self._period) - self.count(now)

    def find_free_time(self, now: float, limit: int) -> float:
        """Returns the earliest time at which the count falls below the limit."""
        self._forget(now)
        recent = [moment for moment in self._times if moment > now - self._period]
        if len(recent) < limit:
            return now
        if limit <= 0:
            return now + self._period
        return recent[-limit] + self._period

    def _forget(self, now: float) -> None:
        while self._times and self._times[0] <= now - self._kept:
            self._times.popleft()

    def _count_after(self, now: float, start: float) -> int:
        self._forget(now)
        count = 0
        for moment in reversed(self._times):
            if moment <= start:
                break
            count += 1
        return count
