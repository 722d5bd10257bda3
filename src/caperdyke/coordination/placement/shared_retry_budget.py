"""Keeps the retries of all instances together within one budget."""

import collections
import math

from caperdyke.state import ids

# Part of the budget that is used. The rest is a margin, as each instance counts in its own window.
USABLE_RATIO = 0.85


class SharedRetryBudget:
    """This instance's part of the retry budget of each service.

    Pattern: a service fails many requests at once, and every instance would retry them. Each
    instance may use the ratio of its own requests and an equal part of the fixed allowance, so the
    sum over all instances stays within the budget without any coordination. An instance that was
    killed and restarted has lost its count of retries, so it does not use the allowance until its
    earlier retries have left the window.

    :param ratio: retries allowed for each request.
    :param allowance: retries allowed in addition, to all instances together.
    :param window: length of the sliding window in seconds.
    :param started_at: time at which the instance started.
    """

    def __init__(
        self, ratio: float, allowance: float, window: float, started_at: float = -math.inf
    ) -> None:
        self.apply_limits(ratio, allowance, window)
        self._started_at = started_at
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceName, collections.deque[float]] = {}

    def apply_limits(self, ratio: float, allowance: float, window: float) -> None:
        """Applies changed limits and keeps the requests and retries counted so far."""
        self._ratio = ratio
        self._allowance = allowance
        self._window = window

    def record_request(self, now: float, service: ids.ServiceName) -> None:
        """Counts a request of a caller."""
        self._append(self._requests, now, service)

    def try_acquire(
        self,
        now: float,
        service: ids.ServiceName,
        allowance_share: float,
        reserve_ratio: float = 0.0,
    ) -> bool:
        """Counts a retry if the budget allows one more.

        :param allowance_share: this instance's part of the allowance, 0 to 1.
        :param reserve_ratio: part of the budget that must be left for more important retries.
        :returns: whether the retry was counted and may be sent.
        """
        if not self._has_budget(now, service, allowance_share, reserve_ratio):
            return False
        self._append(self._retries, now, service)
        return True

    def _has_budget(
        self,
        now: float,
        service: ids.ServiceName,
        allowance_share: float,
        reserve_ratio: float = 0.0,
    ) -> bool:
        """Returns whether the budget allows one more retry.

        :param allowance_share: this instance's part of the allowance, 0 to 1.
        :param reserve_ratio: part of the budget that must be left for more important retries.
        """
        requests = self._count(self._requests, now, service)
        retries = self._count(self._retries, now, service)
        allowance = (
            allowance_share * self._allowance if now >= self._started_at + self._window else 0.0
        )
        usable_ratio = USABLE_RATIO * (1 - reserve_ratio)
        return retries + 1 <= usable_ratio * (self._ratio * requests + allowance)

    def _append(self, timestamps: dict, now: float, service: ids.ServiceName) -> None:
        timestamps.setdefault(service, collections.deque()).append(now)
        self._count(timestamps, now, service)

    def _count(self, timestamps: dict, now: float, service: ids.ServiceName) -> int:
        queue = timestamps.get(service)
        if queue is None:
            return 0
        while queue and queue[0] <= now - self._window:
            queue.popleft()
        return len(queue)
