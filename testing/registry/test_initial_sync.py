"""How long a request waits for the initial sync of a starting instance."""

import testtools

from caperdyke.coordination.registry import initial_sync


class InitialSyncTest(testtools.TestCase):
    """Progress of the initial sync."""

    def setUp(self) -> None:
        super().setUp()
        self.sync = initial_sync.InitialSync()

    def test_wait_is_a_fraction_of_the_time_to_the_deadline(self) -> None:
        self.assertEqual(
            10.0 + initial_sync.WAIT_MAX_SECONDS, self.sync.compute_wait_deadline(10.0, 99.0)
        )
        expected = 10.0 + initial_sync.WAIT_MAX_RATIO * 1.5
        self.assertEqual(expected, self.sync.compute_wait_deadline(10.0, 11.5))

    def test_last_retry_after_an_outage(self) -> None:
        """Pattern: a caller retries for the last time, one second before its deadline.

        Goal: the request waits for reads that take 0.4 s, as from distant regions, and as much time
        remains afterwards.
        """
        until = self.sync.compute_wait_deadline(10.0, 11.0)
        self.assertTrue(10.4 <= until <= 10.6, f"got {until}")

    def test_request_past_its_deadline_does_not_wait(self) -> None:
        self.assertEqual(10.0, self.sync.compute_wait_deadline(10.0, 9.0))

    def test_requests_do_not_wait_once_all_reads_are_complete(self) -> None:
        self.sync.record_read(initial_sync.SyncStep.CONFIGURATION)
        self.assertFalse(self.sync.is_settled)
        self.sync.record_read(initial_sync.SyncStep.SERVERS)
        self.assertEqual(10.0, self.sync.compute_wait_deadline(10.0, 99.0))

    def test_requests_do_not_wait_after_a_failed_read(self) -> None:
        self.sync.record_failure()
        self.assertEqual(10.0, self.sync.compute_wait_deadline(10.0, 99.0))
