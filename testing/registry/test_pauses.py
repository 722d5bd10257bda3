"""Pauses of this process, seen by ticks that come late."""

import math

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import pauses

TICK_SECONDS = 0.05
PAUSED_AT = 10.0


class PauseDetectorTest(testtools.TestCase):
    """Ticks up to a time, and then none for a while; times are in seconds."""

    def setUp(self) -> None:
        super().setUp()
        self.detector = pauses.PauseDetector()
        for number in range(10, -1, -1):
            self.detector.record_tick(PAUSED_AT - number * TICK_SECONDS)

    def test_no_pause(self) -> None:
        now = PAUSED_AT + TICK_SECONDS
        self.assertEqual(-math.inf, self.detector.find_running_since(now))
        self.assertEqual(now, self.detector.find_earliest_arrival(now))
        self.assertEqual(0.0, self.detector.record_tick(now))

    @parameterized.expand([("before the next tick", False), ("after the next tick", True)])
    def test_pause(self, _name, has_ticked) -> None:
        """Guards against messages that arrived during a pause and count as fresh."""
        now = PAUSED_AT + 3.0
        if has_ticked:
            self.assertEqual(3.0, self.detector.record_tick(now))
        self.assertEqual(now, self.detector.find_running_since(now))
        self.assertEqual(PAUSED_AT, self.detector.find_earliest_arrival(now))

    def test_messages_count_as_fresh_once_the_backlog_is_processed(self) -> None:
        now = PAUSED_AT + 3.0
        self.detector.record_tick(now)
        now += TICK_SECONDS
        self.detector.record_tick(now)
        self.assertEqual(PAUSED_AT, self.detector.find_earliest_arrival(now))
        now += pauses.BACKLOG_SECONDS
        self.detector.record_tick(now)
        self.assertEqual(now, self.detector.find_earliest_arrival(now))
        self.assertEqual(PAUSED_AT + 3.0, self.detector.find_running_since(now))

    def test_first_tick_ends_no_pause(self) -> None:
        detector = pauses.PauseDetector()
        self.assertEqual(0.0, detector.record_tick(PAUSED_AT))
        self.assertEqual(-math.inf, detector.find_running_since(PAUSED_AT))
