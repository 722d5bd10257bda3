"""Decides when to ask the store beside a call that waits for a change."""

import math

# Time for which another instance may know a newer change before the store is asked: the own call
# brings most changes within it. In seconds.
PATIENCE_SECONDS = 0.15
# Interval between two checks while the doubt stands, in seconds.
CHECK_SECONDS = 0.6


class CheckSchedule:
    """The checks of one instance.

    Pattern: a call that waits hears nothing, since its connection is silent, its answer is lost or
    the store is slow, and others tell of a change. Nobody can say whether its answer is on the way,
    so it goes on; a check asks beside it, and the first answer counts. A check is not repeated for
    further word of the same change before it has ended.
    """

    def __init__(self) -> None:
        self._next_at = math.inf
        self._earliest_at = -math.inf
        self._is_needed = False

    @property
    def next_at(self) -> float:
        """Time of the next check; infinite where nothing is in doubt."""
        return self._next_at

    @property
    def is_needed(self) -> bool:
        """Whether a check is due even if no other instance is ahead any more."""
        return self._is_needed

    def record_peer_ahead(self, now: float) -> None:
        """Records that another instance knows a newer change."""
        self._plan(now + PATIENCE_SECONDS)

    def record_possible_stall(self, now: float) -> None:
        """Records that the connection of the waiting call may be silent."""
        self._is_needed = True
        self._plan(now)

    def record_start(self, now: float) -> None:
        """Records that a check starts."""
        self._earliest_at = now + CHECK_SECONDS
        self._next_at = math.inf

    def record_answer(self) -> None:
        """Records that a check was answered, or that what was in doubt arrived without one."""
        self._is_needed = False
        self._next_at = math.inf

    def record_failure(self, retry_at: float) -> None:
        """Records that a check got no answer.

        :param retry_at: time at which the store may be called again.
        """
        self._earliest_at = max(self._earliest_at, retry_at)
        self._next_at = self._earliest_at
        self._is_needed = True

    def _plan(self, at: float) -> None:
        if self._next_at == math.inf:
            self._next_at = max(at, self._earliest_at)
