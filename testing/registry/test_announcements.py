"""Encoding of announcements, and the intervals of announcements and of store retries."""

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.coordination.registry import fleet, intervals
from caperdyke.protocol import announcements
from caperdyke.state import ids, member, name_hashes, store_rows
from testing import builders

# Instances of the largest known deployment, in three regions, and the time after which no look-up
# there may return an instance that was killed.
INSTANCES = 68
LOOKUP_STALE_MAX_SECONDS = 4.0 + 3.0
# Backend servers at which one of its instances has requests in flight.
USED_SERVERS = 12
DATAGRAM_HEADER_BYTES = 42


def make_announcement(record: member.Member | None) -> announcements.Announcement:
    """Returns an announcement of an instance with requests at some servers."""
    load = {name_hashes.hash_name(f"server-{number}"): 3 for number in range(USED_SERVERS)}
    name_hash = name_hashes.hash_name("front-failure-domain-12")
    started_incarnation = ids.Incarnation(1_700_000_000_000)
    changed = {table: store_rows.Position(2, 70_000) for table in announcements.FOLLOWED_TABLES}
    read_state = (40, store_rows.Position(2, 70_040))
    limits = {name_hash: (4.7, 0.25), name_hash + 1: (None, 12.0)} if record else {}
    backoffs, leaving = ({name_hash: 2.5}, {name_hash + 2: 0.75}) if record else ({}, {})
    return announcements.Announcement(
        name_hash,
        started_incarnation,
        record,
        True,
        record is None,
        250,
        changed,
        *read_state,
        load,
        limits,
        backoffs,
        leaving,
        False,
    )


class AnnouncementTest(testtools.TestCase):
    """Round trip of datagrams between instances."""

    @parameterized.expand([("with the record", True), ("for those who know it", False)])
    def test_round_trip(self, _name, has_record) -> None:
        record = builders.make_member("a") if has_record else None
        announcement = make_announcement(record)
        data = announcements.encode_announcement(announcement)
        self.assertEqual(announcement, announcements.decode_announcement(data))

    @parameterized.expand([("empty", b""), ("text", b"\xa5hello"), ("short", b"\x93\x02\x01\x01")])
    def test_invalid_bytes_are_rejected(self, _name, data) -> None:
        self.assertRaises(errors.ProtocolError, announcements.decode_announcement, data)


# Read calls per second that the store serves to all instances, and the number of instances to
# design for.
STORE_READS_PER_SECOND = 2000
INSTANCES_MAX = 750
# Tables that each instance follows.
FOLLOWED_TABLE_COUNT = 2


class RetryDelayTest(testtools.TestCase):
    """Delays between calls to an unreachable store."""

    def test_calls_of_all_instances_stay_below_the_store_limit(self) -> None:
        """Pattern: the store is unreachable for all instances, and all of them retry."""
        delays = [intervals.compute_retry_delay(9, step / 100) for step in range(101)]
        rate = INSTANCES_MAX * FOLLOWED_TABLE_COUNT * len(delays) / sum(delays)
        self.assertTrue(rate <= STORE_READS_PER_SECOND, f"got {rate:.0f} calls a second")

    def test_delays_are_short_enough(self) -> None:
        """Goal: changes made during an outage are read well within the 2.5 s allowed for them."""
        delays = [intervals.compute_retry_delay(failures, 1.0) for failures in range(1, 30)]
        self.assertEqual(sorted(delays), delays)
        self.assertTrue(delays[0] <= 0.5 and delays[-1] <= 2.0, f"got {delays}")


class IntervalTest(testtools.TestCase):
    """Intervals between announcements."""

    def test_killed_instance_is_detected_in_time(self) -> None:
        """Pattern: dozens of instances, each of which announces itself to all others."""
        data = announcements.encode_announcement(make_announcement(None))
        size = len(data) + DATAGRAM_HEADER_BYTES
        interval = intervals.compute_interval(True, INSTANCES // 3, size)
        silence = fleet.LOST_ANNOUNCEMENTS_MAX * interval
        self.assertTrue(silence <= LOOKUP_STALE_MAX_SECONDS, f"got {silence:.1f} s, {size} bytes")

    @parameterized.expand([(10,), (68,), (300,)])
    def test_traffic_does_not_grow_with_the_fleet(self, instances) -> None:
        near, far, size = instances // 3, instances - instances // 3 - 1, 140
        bytes_per_second = near * size / intervals.compute_interval(True, near, size)
        bytes_per_second += far * size / intervals.compute_interval(False, far, size)
        bound = intervals.NEAR_BYTES_PER_SECOND + intervals.FAR_BYTES_PER_SECOND
        self.assertTrue(bytes_per_second <= bound + 1, f"got {bytes_per_second:.0f} bytes a second")
