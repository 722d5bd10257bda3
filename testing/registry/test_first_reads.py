"""How long a request waits for a starting instance."""

import testtools

from caperdyke.coordination.registry import initial_sync


class FirstReadsTest(testtools.TestCase):
    """Progress of the first reads."""

    def setUp(self) -> None:
        super().setUp()
        self.reads = initial_sync.InitialSync()

    def test_wait_is_a_part_of_the_callers_time(self) -> None:
        self.assertEqual(
            10.0 + initial_sync.HOLD_SECONDS, self.reads.compute_wait_deadline(10.0, 99.0)
        )
        expected = 10.0 + initial_sync.HOLD_PART * 1.5
        self.assertEqual(expected, self.reads.compute_wait_deadline(10.0, 11.5))

    def test_caller_who_waited_through_an_outage(self) -> None:
        """Pattern: a caller comes back for the last time with a second left.

        Goal: it waits for reads that take 0.4 s, as from far regions, and has as much left.
        """
        until = self.reads.compute_wait_deadline(10.0, 11.0)
        self.assertTrue(10.4 <= until <= 10.6, f"got {until}")

    def test_late_request_does_not_wait(self) -> None:
        self.assertEqual(10.0, self.reads.compute_wait_deadline(10.0, 9.0))

    def test_nothing_waits_once_everything_is_read(self) -> None:
        self.reads.record_read(initial_sync.SyncStep.CONFIGURATION)
        self.assertFalse(self.reads.is_settled)
        self.reads.record_read(initial_sync.SyncStep.SERVERS)
        self.assertEqual(10.0, self.reads.compute_wait_deadline(10.0, 99.0))

    def test_nothing_waits_after_a_failure(self) -> None:
        self.reads.record_failure()
        self.assertEqual(10.0, self.reads.compute_wait_deadline(10.0, 99.0))
