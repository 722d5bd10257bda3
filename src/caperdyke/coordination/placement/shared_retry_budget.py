"""Holds repeated sends of all instances together under one budget."""

import collections
import math

from caperdyke.state import ids

# Part of the budget that is used, since instances count their windows apart.
USED_PART = 0.85


class SharedRetryBudget:
    """Repeated sends of one instance, by service.

    Pattern: a service fails many requests at once, and every instance would send them again. Each
    instance may use the ratio of its own first sends and an equal part of the fixed allowance, so
    the sum over instances stays under the budget without asking each other. An instance that was
    killed and starts again does not know what it sent before, so it leaves the allowance alone
    until its earlier sends have left the window.

    :param ratio: repeats allowed for each request.
    :param allowance: repeats allowed to all instances together besides.
    :param window: length of the window that counts, in seconds.
    :param started_at: time at which the instance started.
    """

    def __init__(
        self, ratio: float, allowance: float, window: float, started_at: float = -math.inf
    ) -> None:
        self.apply_limits(ratio, allowance, window)
        self._started_at = started_at
        self._firsts: dict[ids.ServiceName, collections.deque[float]] = {}
        self._repeats: dict[ids.ServiceName, collections.deque[float]] = {}

    def apply_limits(self, ratio: float, allowance: float, window: float) -> None:
        """Takes over changed limits; what was counted stays."""
        self._ratio = ratio
        self._allowance = allowance
        self._window = window

    def record_request(self, now: float, service: ids.ServiceName) -> None:
        """Counts a caller's request."""
        self._append(self._firsts, now, service)

    def try_acquire(
        self, now: float, service: ids.ServiceName, part: float, spare_part: float = 0.0
    ) -> bool:
        """Counts a repeated send if the budget has room; tells whether it has.

        :param part: this instance's part of the allowance, 0 to 1.
        :param spare_part: part of the budget that must be left for sends that matter more.
        """
        if not self._has_room(now, service, part, spare_part):
            return False
        self._append(self._repeats, now, service)
        return True

    def _has_room(
        self, now: float, service: ids.ServiceName, part: float, spare_part: float = 0.0
    ) -> bool:
        """Tells whether one more repeated send fits into the budget.

        :param part: this instance's part of the allowance, 0 to 1.
        :param spare_part: part of the budget that must be left.
        """
        firsts = self._count(self._firsts, now, service)
        repeats = self._count(self._repeats, now, service)
        allowance = part * self._allowance if now >= self._started_at + self._window else 0.0
        used_part = USED_PART * (1 - spare_part)
        return repeats + 1 <= used_part * (self._ratio * firsts + allowance)

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
