"""Holds repeated sends of all instances together under one budget."""

import collections

from caperdyke.state import ids

# Part of the budget that is used, since instances count their windows apart.
USED_PART = 0.85


class RetryQuota:
    """Repeated sends of one instance, by service.

    Pattern: a service fails many requests at once, and every instance would send them again. Each
    instance may use the ratio of its own first sends and an equal part of the fixed allowance, so
    the sum over instances stays under the budget without asking each other.

    :param ratio: repeats allowed for each request.
    :param allowance: repeats allowed to all instances together besides.
    :param window: length of the window that counts, in seconds.
    """

    def __init__(self, ratio: float, allowance: float, window: float) -> None:
        self.apply_limits(ratio, allowance, window)
        self._firsts: dict[ids.ServiceName, collections.deque[float]] = {}
        self._repeats: dict[ids.ServiceName, collections.deque[float]] = {}

    def apply_limits(self, ratio: float, allowance: float, window: float) -> None:
        """Takes over changed limits; what was counted stays."""
        self._ratio = ratio
        self._allowance = allowance
        self._window = window

    def note_first(self, now: float, service: ids.ServiceName) -> None:
        """Counts a caller's request."""
        self._append(self._firsts, now, service)

    def take(self, now: float, service: ids.ServiceName, instances: int) -> bool:
        """Counts a repeated send if the budget has room; tells whether it has.

        :param instances: instances that share the allowance.
        """
        firsts = self._count(self._firsts, now, service)
        repeats = self._count(self._repeats, now, service)
        limit = USED_PART * (self._ratio * firsts + self._allowance / max(1, instances))
        if repeats + 1 > limit:
            return False
        self._append(self._repeats, now, service)
        return True

    def _append(self, times: dict, now: float, service: ids.ServiceName) -> None:
        times.setdefault(service, collections.deque()).append(now)
        self._count(times, now, service)

    def _count(self, times: dict, now: float, service: ids.ServiceName) -> int:
        queue = times.get(service)
        if queue is None:
            return 0
        while queue and queue[0] <= now - self._window:
            queue.popleft()
        return len(queue)
