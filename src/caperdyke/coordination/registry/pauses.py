"""Detects that this process did not run for a while."""

import math

# Time between two ticks above which the process counts as paused. Registrations that were read one
# interval before are still within the time in which a server that left may be used.
PAUSE_MIN_SECONDS = 0.5
# Time after a pause in which messages are processed that arrived while it lasted.
BACKLOG_SECONDS = 0.3


class PauseDetector:
    """Pauses of this process, seen by ticks that come late.

    Pattern: the machine or the process is suspended, or has no processor for a while. What happened
    meanwhile is unknown at its end: messages wait in the sockets, calls have timed out, and callers
    send requests before anything has been read again.
    """

    def __init__(self) -> None:
        self._tick_at = -math.inf
        self._running_since = -math.inf
        self._paused_at = -math.inf

    def record_tick(self, now: float) -> float:
        """Records that the process runs; called at intervals much shorter than a pause.

        :returns: length of the pause that ends now, in seconds; 0 without a pause.
        """
        paused_seconds = 0.0
        if self._is_paused(now):
            paused_seconds = now - self._tick_at
            self._paused_at, self._running_since = self._tick_at, now
        self._tick_at = now
        return paused_seconds

    def find_running_since(self, now: float) -> float:
        """Returns the end of the latest pause; minus infinity if there was none."""
        return now if self._is_paused(now) else self._running_since

    def find_earliest_arrival(self, now: float) -> float:
        """Returns the earliest time at which a message that is processed now may have arrived."""
        if self._is_paused(now):
            return self._tick_at
        return self._paused_at if now < self._running_since + BACKLOG_SECONDS else now

    def _is_paused(self, now: float) -> bool:
        return self._tick_at > -math.inf and now > self._tick_at + PAUSE_MIN_SECONDS
