"""What instances tell each other, and how often."""

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.coordination.registry import fleet, intervals
from caperdyke.protocol import announcements
from caperdyke.state import ids, member, name_hashes, store_rows
from testing import builders

# Instances of the largest deployment that is known so far, in three regions, and the time after
# which no look-up there may name an instance that was killed, in seconds.
INSTANCES = 68
NAMED_SECONDS = 4.0 + 3.0
# Backend servers that one of its instances has requests at.
USED_SERVERS = 12
DATAGRAM_HEADER_BYTES = 42


def make_announcement(record: member.Member | None) -> announcements.Announcement:
    """Returns an announcement of an instance that uses some servers."""
    load = {name_hashes.hash_name(f"server-{number}"): 3 for number in range(USED_SERVERS)}
    mark = name_hashes.hash_name("front-failure-domain-12")
    started = ids.Incarnation(1_700_000_000_000)
    changed = {table: store_rows.Position(2, 70_000) for table in announcements.FOLLOWED_TABLES}
    reading = (40, store_rows.Position(2, 70_040))
    limits = {mark: (4.7, 0.25), mark + 1: (None, 12.0)} if record else {}
    backoffs, leaving = ({mark: 2.5}, {mark + 2: 0.75}) if record else ({}, {})
    return announcements.Announcement(
        mark, started, record, True, 250, changed, *reading, load, limits, backoffs, leaving, False
    )


class AnnouncementTest(testtools.TestCase):
    """Datagrams between instances."""

    @parameterized.expand([("with the record", True), ("for those who know it", False)])
    def test_fields(self, _name, has_record) -> None:
        record = builders.make_member("a") if has_record else None
        item = make_announcement(record)
        data = announcements.encode_announcement(item)
        self.assertEqual(item, announcements.decode_announcement(data))

    @parameterized.expand([("empty", b""), ("text", b"\xa5hello"), ("short", b"\x93\x02\x01\x01")])
    def test_other_bytes(self, _name, data) -> None:
        self.assertRaises(errors.ProtocolError, announcements.decode_announcement, data)


# Reading calls a second that the store serves to all instances, and instances to design for.
STORE_READS = 2000
INSTANCES_MAX = 750
# Tables that each instance follows.
TABLES = 2


class AwayTest(testtools.TestCase):
    """How often instances call a store that is away."""

    def test_calls_of_all_instances(self) -> None:
        """Pattern: the store is away for everybody, then back; all instances call it again."""
        delays = [intervals.compute_retry_delay(9, step / 100) for step in range(101)]
        calls = INSTANCES_MAX * TABLES * len(delays) / sum(delays)
        self.assertTrue(calls <= STORE_READS, f"got {calls:.0f} calls a second")

    def test_first_try_comes_soon(self) -> None:
        """Goal: what changed meanwhile is known well within the 2.5 s in which it must hold."""
        delays = [intervals.compute_retry_delay(failures, 1.0) for failures in range(1, 30)]
        self.assertEqual(sorted(delays), delays)
        self.assertTrue(delays[0] <= 0.5 and delays[-1] <= 2.0, f"got {delays}")


class IntervalTest(testtools.TestCase):
    """How often instances announce themselves."""

    def test_killed_instance_is_missed_in_time(self) -> None:
        """Pattern: dozens of instances, each of which tells all others that it lives."""
        data = announcements.encode_announcement(make_announcement(None))
        size = len(data) + DATAGRAM_HEADER_BYTES
        interval = intervals.compute_interval(True, INSTANCES // 3, size)
        silence = fleet.LOST_MAX * interval
        self.assertTrue(silence <= NAMED_SECONDS, f"got {silence:.1f} s, {size} bytes")

    @parameterized.expand([(10,), (68,), (300,)])
    def test_bytes_do_not_grow_with_the_fleet(self, instances) -> None:
        near, far, size = instances // 3, instances - instances // 3 - 1, 140
        sent = near * size / intervals.compute_interval(True, near, size)
        sent += far * size / intervals.compute_interval(False, far, size)
        bound = intervals.NEAR_BYTES_PER_SECOND + intervals.FAR_BYTES_PER_SECOND
        self.assertTrue(sent <= bound + 1, f"got {sent:.0f} bytes a second")
