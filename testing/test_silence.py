"""Decides whether a peer is silent."""

import testtools
from parameterized import parameterized

from caperdyke.transport.http import silence, tcp_keepalive, tcp_state

LIMIT_S = tcp_keepalive.REQUEST_KEEPALIVE.silence_s
# Intervals of retransmissions and of probes of a closed window, in seconds: where the system bounds
# them, and where they double.
BOUNDED_S = [0.2, 0.4, 0.8, *[1.0] * 60]
DOUBLING_S = [0.2 * 2**number for number in range(12)]
# Longest time after which silence must be noticed: the limit, and two checks.
NOTICED_WITHIN_S = 3.0


class _Peer:
    """Answers what is sent to it until it falls silent.

    :param intervals: times between two segments that are sent to it.
    :param silent_at: None if it never falls silent.
    :param lost: numbers of the segments whose answer is lost.
    """

    def __init__(self, intervals, silent_at, lost=()) -> None:
        self.sent_at = [0.0]
        for interval in intervals:
            self.sent_at.append(self.sent_at[-1] + interval)
        self._silent_at = silent_at
        self._lost = lost

    def count(self, now: float) -> tcp_state.SegmentCounts:
        """Returns the segments of the connection."""
        sent = [number for number, at in enumerate(self.sent_at) if at <= now]
        answered = [
            number
            for number in sent
            if (self._silent_at is None or self.sent_at[number] < self._silent_at)
            and number not in self._lost
        ]
        return tcp_state.SegmentCounts(1 + len(sent), 1 + len(answered))


def find_silence(peer: _Peer, until: float, interval: float = silence.CHECK_INTERVAL_S) -> float:
    """Returns the time at which a peer counts as silent, or infinity."""
    detector = silence.SilenceDetector(LIMIT_S)
    detector.restart(0.0, tcp_state.SegmentCounts(1, 1))
    for number in range(1, int(until / interval) + 1):
        if detector.is_silent(number * interval, peer.count(number * interval)):
            return number * interval
    return float("inf")


class SilenceDetectorTest(testtools.TestCase):
    """Peers that are slow or silent, seen through the segments of their connection."""

    @parameterized.expand(
        [
            ("probes are bounded", BOUNDED_S, ()),
            ("probes double their interval", DOUBLING_S, ()),
            ("single answers are lost", BOUNDED_S, (4, 6, 8, 10, 12)),
            ("early probes are not answered", BOUNDED_S, (1, 2)),
        ]
    )
    def test_slow_peer_counts_as_silent(self, _name, intervals, lost) -> None:
        """Guards against ending a connection whose peer only stopped reading."""
        peer = _Peer(intervals, None, lost)
        self.assertEqual(float("inf"), find_silence(peer, 30.0))

    @parameterized.expand(
        [
            ("at once", 0.0),
            ("before a probe is answered", 1.3),
            ("after a pause", 3.6),
            ("after a long pause", 20.0),
        ]
    )
    def test_silence_is_noticed(self, _name, silent_at) -> None:
        """Guards against waiting for a silent peer until a deadline."""
        peer = _Peer(BOUNDED_S, silent_at)
        answered_at = max((at for at in peer.sent_at if at < silent_at), default=0.0)
        noticed_after = find_silence(peer, 60.0) - answered_at
        self.assertTrue(LIMIT_S <= noticed_after <= NOTICED_WITHIN_S, noticed_after)

    @parameterized.expand([("after a pause", 3.6), ("after a long pause", 10.0)])
    def test_probes_that_double_delay_the_notice(self, _name, silent_at) -> None:
        """Guards against more than the stated bound on systems before Linux 6.15."""
        peer = _Peer(DOUBLING_S, silent_at)
        noticed_after = find_silence(peer, 200.0) - silent_at
        bound = 3 * silent_at + NOTICED_WITHIN_S
        self.assertTrue(noticed_after <= bound, f"got {noticed_after}, allowed {bound}")

    def test_late_check_counts_as_silence(self) -> None:
        """Guards against ending connections because this process stood still for seconds."""
        peer = _Peer([], None)
        detector = silence.SilenceDetector(LIMIT_S)
        detector.restart(0.0, tcp_state.SegmentCounts(1, 1))
        self.assertFalse(detector.is_silent(8.0, tcp_state.SegmentCounts(2, 1)))
        self.assertFalse(detector.is_silent(8.0, tcp_state.SegmentCounts(4, 1)))
        self.assertFalse(detector.is_silent(8.5, peer.count(8.5)))
