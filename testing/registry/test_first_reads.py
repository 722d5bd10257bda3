"""How long a request waits for a starting instance."""

import testtools

from caperdyke.coordination.registry import first_reads


class FirstReadsTest(testtools.TestCase):
    """Progress of the first reads."""

    def setUp(self) -> None:
        super().setUp()
        self.reads = first_reads.FirstReads()

    def test_wait_is_a_part_of_the_callers_time(self) -> None:
        self.assertEqual(10.0 + first_reads.HOLD_SECONDS, self.reads.find_hold_until(10.0, 99.0))
        expected = 10.0 + first_reads.HOLD_PART * 2.0
        self.assertEqual(expected, self.reads.find_hold_until(10.0, 12.0))

    def test_late_request_does_not_wait(self) -> None:
        self.assertEqual(10.0, self.reads.find_hold_until(10.0, 9.0))

    def test_nothing_waits_once_everything_is_read(self) -> None:
        self.reads.note_read(first_reads.FirstRead.CONFIGURATION)
        self.assertFalse(self.reads.is_settled)
        self.reads.note_read(first_reads.FirstRead.SERVERS)
        self.assertEqual(10.0, self.reads.find_hold_until(10.0, 99.0))

    def test_nothing_waits_after_a_failure(self) -> None:
        self.reads.note_failure()
        self.assertEqual(10.0, self.reads.find_hold_until(10.0, 99.0))
