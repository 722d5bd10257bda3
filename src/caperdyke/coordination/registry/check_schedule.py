"""Schedules extra reads of the store beside a pending long poll."""

import math

# Delay between the announcement of a newer change by another instance and the check; the pending
# long poll returns most changes within it.
CHECK_DELAY_SECONDS = 0.15
# Minimum interval between the starts of two checks.
CHECK_INTERVAL_SECONDS = 0.6


class CheckSchedule:
    """Schedule of the checks of one instance. A check is a read of the store beside a long poll.

    Pattern: other instances announce a change that the pending long poll has not returned, because
    its connection is stalled, its answer is lost or the store is slow. Its answer may still be on
    the way, so the long poll continues, and whichever of long poll and check answers first is used.
    Further announcements of the change start no second check while one is running.
    """

    def __init__(self) -> None:
        self._next_at = math.inf
        self._earliest_at = -math.inf
        self._is_needed = False

    @property
    def next_at(self) -> float:
        """Time of the next check, in seconds; infinite where none is scheduled."""
        return self._next_at

    @property
    def is_needed(self) -> bool:
        """Whether a check must run even if no other instance announces a newer change any more."""
        return self._is_needed

    def record_peer_ahead(self, now: float) -> None:
        """Records that another instance announces a newer change."""
        self._schedule_check(now + CHECK_DELAY_SECONDS)

    def record_possible_stall(self, now: float) -> None:
        """Records that the connection of the pending long poll may be stalled."""
        self._is_needed = True
        self._schedule_check(now)

    def record_start(self, now: float) -> None:
        """Records that a check starts."""
        self._earliest_at = now + CHECK_INTERVAL_SECONDS
        self._next_at = math.inf

    def record_answer(self) -> None:
        """Records that a check was answered, or that the expected change arrived without one."""
        self._is_needed = False
        self._next_at = math.inf

    def record_failure(self, retry_at: float) -> None:
        """Records that a check failed, and schedules the next one.

        :param retry_at: earliest time of the next call to the store, in seconds.
        """
        self._earliest_at = max(self._earliest_at, retry_at)
        self._next_at = self._earliest_at
        self._is_needed = True

    def _schedule_check(self, due_at: float) -> None:
        if self._next_at == math.inf:
            self._next_at = max(due_at, self._earliest_at)
