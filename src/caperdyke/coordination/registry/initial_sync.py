"""Decides how long a request waits for what a starting instance still reads."""

import enum

# Longest wait in seconds: two reads one after the other from the region farthest from the store,
# each with a new connection, on a machine where everything starts at once.
HOLD_SECONDS = 0.8
# Part of the time that a caller has left which the wait may take; the rest is for the work.
HOLD_PART = 0.5


class SyncStep(enum.Enum):
    """What an instance reads before it can place a request."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"


class InitialSync:
    """Progress of the first reads.

    Pattern: all instances are killed at once. Callers come back once, in the half second in which
    the instances already listen and do not know the configuration; a refusal then is final.
    """

    def __init__(self) -> None:
        self._missing = set(SyncStep)
        self._is_failed = False

    @property
    def is_settled(self) -> bool:
        """Whether waiting is of no use: everything is read, or a read failed."""
        return self._is_failed or not self._missing

    def record_read(self, read: SyncStep) -> None:
        """Records that a read has an answer."""
        self._missing.discard(read)

    def record_failure(self) -> None:
        """Records that a read failed, so that nobody knows when the next one succeeds."""
        self._is_failed = True

    def compute_wait_deadline(self, now: float, deadline: float) -> float:
        """Returns the time until which a request may wait.

        :param deadline: time after which its answer is of no use.
        """
        if self.is_settled:
            return now
        return now + min(HOLD_SECONDS, HOLD_PART * max(0.0, deadline - now))
