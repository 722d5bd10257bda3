"""Counting the servers that ended under a request."""

import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import crashing_requests
from caperdyke.state import ids

DEADLY = ids.RequestDigest(b"d" * 16)
OTHER = ids.RequestDigest(b"o" * 16)


class CrashingRequestsTest(testtools.TestCase):
    """Records of one instance; times are in seconds."""

    def setUp(self) -> None:
        super().setUp()
        self.records = crashing_requests.CrashingRequests(3)

    def crash(self, *starts: int, now: float = 0.0, digest: ids.RequestDigest = DEADLY) -> None:
        """Records that servers ended under a request."""
        for start in starts:
            self.records.record_crash(now, digest, start)

    def test_request_is_blocked_after_the_third_server(self) -> None:
        self.crash(1, 2)
        self.assertFalse(self.records.is_blocked(0.0, DEADLY))
        self.crash(3)
        self.assertTrue(self.records.is_blocked(0.0, DEADLY))
        self.assertFalse(self.records.is_blocked(0.0, OTHER))

    def test_one_server_counts_once(self) -> None:
        """Pattern: several instances ran the request on a server when it ended."""
        self.crash(1, 1, 1, 2)
        self.assertEqual(2, self.records.count_crashes(0.0, DEADLY))

    def test_request_that_a_server_answered_is_excused(self) -> None:
        """Guards against healthy requests that are rejected since they ran beside a deadly one."""
        self.crash(1, 2)
        self.assertTrue(self.records.record_success(1.0, DEADLY))
        self.crash(3, now=2.0)
        self.assertEqual(1, self.records.count_crashes(2.0, DEADLY))

    def test_excuse_of_another_instance_ends_a_block(self) -> None:
        self.crash(1, 2, 3)
        self.records.merge(1.0, DEADLY, {1: True}, 1.0)
        self.assertFalse(self.records.is_blocked(1.0, DEADLY))

    @parameterized.expand(
        [
            ("suspected", (1, 2), crashing_requests.SUSPECT_SECONDS),
            ("blocked", (1, 2, 3), crashing_requests.BLOCK_SECONDS),
        ]
    )
    def test_records_expire(self, _name, starts, seconds) -> None:
        self.crash(*starts)
        self.assertEqual(len(starts), self.records.count_crashes(seconds - 0.1, DEADLY))
        self.assertEqual(0, self.records.count_crashes(seconds, DEADLY))
        self.records.remove_expired(seconds)
        self.assertTrue(self.records.is_empty)

    def test_expired_record_of_another_instance_does_not_return(self) -> None:
        self.assertFalse(
            self.records.merge(1000.0, DEADLY, {1: False}, crashing_requests.SUSPECT_SECONDS)
        )
        self.assertTrue(self.records.is_empty)

    def test_records_in_any_order_and_repeatedly_give_the_same_result(self) -> None:
        """Pattern: datagrams are lost, repeated and overtake each other."""
        reports = [({1: False}, 3.0), ({2: False}, 2.0), ({1: True}, 2.5), ({3: False}, 1.0)]
        rng = random.Random(1)
        results = set()
        for _ in range(20):
            records = crashing_requests.CrashingRequests(3)
            for starts, age in rng.sample(reports, len(reports)) + rng.sample(reports, 2):
                records.merge(10.0, DEADLY, starts, age)
            record = records.find(DEADLY)
            results.add((tuple(sorted(record.starts.items())), record.last_at))
        self.assertEqual({(((1, True), (2, False), (3, False)), 9.0)}, results)

    def test_memory_is_bounded_and_blocked_requests_are_kept(self) -> None:
        self.crash(1, 2, 3)
        for number in range(2 * crashing_requests.RECORDS_MAX):
            self.crash(4, digest=ids.RequestDigest(number.to_bytes(16, "big")))
        self.assertTrue(self.records.is_blocked(0.0, DEADLY))
        newest = self.records.list_newest()
        self.assertEqual(crashing_requests.RECORDS_MAX, len(newest))
        self.crash(*range(100), digest=OTHER)
        self.assertEqual(crashing_requests.STARTS_MAX, len(self.records.find(OTHER).starts))

    def test_limit_of_zero_lifts_all_blocks(self) -> None:
        self.crash(1, 2, 3)
        self.records.apply_limit(0)
        self.crash(4, 5, 6)
        self.assertFalse(self.records.is_blocked(0.0, DEADLY))
        self.assertTrue(self.records.is_empty)
