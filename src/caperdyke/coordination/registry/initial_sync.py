"""Limits how long a request waits for the initial sync of a starting instance."""

import enum

# Longest wait: two consecutive reads from the region farthest from the store, each over a new
# connection, on a machine where all processes start at the same time.
WAIT_MAX_SECONDS = 0.8
# Fraction of the time until the caller's deadline that the wait may take; the request itself needs
# the rest.
WAIT_MAX_RATIO = 0.5


class SyncStep(enum.Enum):
    """Data that an instance reads before it can choose a server for a request."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"


class InitialSync:
    """Progress of the initial sync, the first reads of a starting instance.

    Pattern: all instances are killed at once. Callers retry once, in the half second in which the
    restarted instances already accept requests but have not read the configuration. A refusal in
    that time would be final, so the requests wait.
    """

    def __init__(self) -> None:
        self._pending = set(SyncStep)
        self._is_failed = False

    @property
    def is_settled(self) -> bool:
        """Whether requests need not wait: all reads are complete, or one of them failed."""
        return self._is_failed or not self._pending

    def record_read(self, read: SyncStep) -> None:
        """Records that a read is complete."""
        self._pending.discard(read)

    def record_failure(self) -> None:
        """Records that a read failed; requests do not wait, as its next success is uncertain."""
        self._is_failed = True

    def compute_wait_deadline(self, now: float, deadline: float) -> float:
        """Returns the time until which a request may wait for the initial sync, in seconds.

        :param deadline: the caller's deadline, in seconds.
        """
        if self.is_settled:
            return now
        return now + min(WAIT_MAX_SECONDS, WAIT_MAX_RATIO * max(0.0, deadline - now))
