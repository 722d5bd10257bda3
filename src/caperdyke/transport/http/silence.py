"""Tells peers that answer nothing from peers that only read slowly.

A peer that stops reading closes its window, and its system answers each probe of the window. A peer
that is gone, or cut off, answers neither probes nor retransmissions. The user timeout of TCP ends
connections to both alike, so here the segments are counted instead.
"""

import asyncio
import collections.abc
import dataclasses
import math

from caperdyke.transport.http import tcp_keepalive, tcp_state

# Interval between two checks of a connection with undelivered bytes.
CHECK_INTERVAL_S = 0.25
# Segments in a row that a silent peer has not answered. A single one may be lost, and Linux answers
# probes no more than twice a second.
UNANSWERED_MIN = 2
# Time for which the first of them may still be answered.
ANSWER_WAIT_S = 1.0


@dataclasses.dataclass(slots=True)
class SilenceDetector:
    """Decides whether a peer is silent, from the segments of its connection.

    Pattern: callers and servers pause for longer than the limit, and others vanish meanwhile.

    :param limit_s: time for which a peer must have answered nothing, in seconds.
    """

    limit_s: float
    _counts: tcp_state.SegmentCounts = tcp_state.SegmentCounts(0, 0)
    # Earliest time at which the peer counts as silent.
    _silent_at: float = math.inf
    # Time by which the first unanswered segment must be answered.
    _answer_by: float = math.inf

    def restart(self, now: float, counts: tcp_state.SegmentCounts) -> None:
        """Begins to observe a peer that has just answered, or to which something is sent."""
        self._counts = counts
        self._silent_at = now + self.limit_s
        self._answer_by = math.inf

    def is_silent(self, now: float, counts: tcp_state.SegmentCounts) -> bool:
        """Records the segments and returns whether the peer is silent."""
        if counts.received != self._counts.received:
            self.restart(now, counts)
            return False
        unanswered = counts.sent - self._counts.sent
        if unanswered and self._answer_by == math.inf:
            self._answer_by = now + ANSWER_WAIT_S
        return unanswered >= UNANSWERED_MIN and now >= max(self._silent_at, self._answer_by)


class SilenceWatch:
    """Ends a connection whose peer is silent while bytes are undelivered.

    Idle connections are left to the keepalive probes of the system. A peer that only reads slowly
    keeps its connection.

    :param on_silent: called once when the peer counts as silent.
    :ivar is_counting: whether the system counts segments; if not, its user timeout ends connections
        to silent peers.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        options: tcp_keepalive.KeepaliveOptions,
        on_silent: collections.abc.Callable[[], None],
    ) -> None:
        self._transport = transport
        self._on_silent = on_silent
        self._detector = SilenceDetector(options.silence_s)
        self._timer: asyncio.TimerHandle | None = None
        self.is_counting = tcp_state.count_segments(transport) is not None
        sock = transport.get_extra_info("socket")
        if self.is_counting:
            tcp_keepalive.enable_keepalive(sock, dataclasses.replace(options, user_timeout_ms=0))
            tcp_state.limit_retransmission_interval(transport)
        else:
            tcp_keepalive.enable_keepalive(sock, options)

    def start(self) -> None:
        """Begins the checks before bytes are written, unless they run."""
        if self._timer is not None or not self.is_counting:
            return
        counts = tcp_state.count_segments(self._transport)
        if counts is not None:
            self._detector.restart(asyncio.get_running_loop().time(), counts)
            self._schedule()

    def stop(self) -> None:
        """Ends the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        counts = tcp_state.count_segments(self._transport)
        if counts is None or not tcp_state.count_undelivered(self._transport):
            return
        if self._detector.is_silent(asyncio.get_running_loop().time(), counts):
            self._on_silent()
        else:
            self._schedule()
