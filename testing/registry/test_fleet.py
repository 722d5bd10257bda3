"""Which instances a caller is told of."""

import dataclasses

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import fleet
from caperdyke.state import ids, member, name_hashes
from testing import builders

REGIONS = {"hall-1": "north", "hall-2": "north", "hall-3": "south"}


def record_announcement(
    known: fleet.Fleet, now: float, record: member.Member, is_ready: bool, interval: float = 0.4
) -> fleet.PeerInstance | None:
    """Takes an announcement that carries its sender's record."""
    known.merge(now, record)
    mark = name_hashes.hash_name(record.instance)
    return known.record_announcement(now, mark, record.incarnation, is_ready, interval)


class FleetTest(testtools.TestCase):
    """One instance's view of the others."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.fleet.is_ready = True
        record_announcement(self.fleet, 0.0, builders.make_member("b", "hall-2"), True)
        record_announcement(self.fleet, 0.0, builders.make_member("c", "hall-3"), True)

    def choose(self, domain: str, region: str, now: float = 1.0) -> list[str]:
        """Returns the addresses for a caller."""
        return self.fleet.choose_for_caller(now, domain, region, 64)

    @parameterized.expand(
        [
            ("own failure domain", "hall-2", "north", ["b:2"]),
            ("region, where the domain has none", "hall-9", "north", ["b:2", "a:2"]),
            ("all, where the region has none", "hall-9", "west", ["b:2", "c:2", "a:2"]),
        ]
    )
    def test_nearest_group(self, _name, domain, region, expected) -> None:
        self.assertEqual(expected, self.choose(domain, region))

    def test_silent_instance_is_not_named(self) -> None:
        self.assertEqual(["a:2"], self.choose("hall-2", "north", now=2.0))

    def test_leaving_instance_is_not_named(self) -> None:
        leaving = builders.make_member("b", "hall-2", state=member.MemberState.LEAVING)
        record_announcement(self.fleet, 1.0, leaving, False)
        self.assertEqual(["a:2"], self.choose("hall-2", "north"))

    def test_word_of_an_earlier_start_counts_for_nothing(self) -> None:
        record_announcement(
            self.fleet, 1.0, builders.make_member("b", "hall-2", incarnation=2), True
        )
        self.assertIsNone(
            record_announcement(self.fleet, 1.1, builders.make_member("b", "hall-2"), True)
        )

    def test_word_of_a_later_start_needs_its_record(self) -> None:
        """Pattern: an instance was killed, and the datagram with its new record was lost."""
        mark = name_hashes.hash_name("b")
        self.assertIsNone(self.fleet.record_announcement(1.0, mark, ids.Incarnation(2), True, 0.4))
        self.assertIsNone(
            self.fleet.record_announcement(
                1.0, name_hashes.hash_name("d"), ids.Incarnation(1), True, 0.4
            )
        )
        self.assertIsNotNone(
            self.fleet.record_announcement(1.0, mark, ids.Incarnation(1), True, 0.4)
        )

    def test_instance_that_was_only_listed_is_not_alive(self) -> None:
        self.fleet.merge(0.0, builders.make_member("d", "hall-1"))
        self.assertEqual(["a", "b", "c"], self.fleet.list_names(1.0))

    def test_part_of_a_limit(self) -> None:
        self.assertEqual(0.0, self.fleet.compute_limit_fraction(1.0))
        self.fleet.record_members_read(0.0)
        self.assertEqual(1 / 3, self.fleet.compute_limit_fraction(1.0))
        self.fleet.merge(1.0, builders.make_member("d", "hall-1"))
        self.assertEqual(1 / 4, self.fleet.compute_limit_fraction(1.0))
        self.assertEqual(1.0, self.fleet.compute_limit_fraction(1.0 + fleet.SHARE_SECONDS))

    def test_instance_behind_a_cut_takes_no_part(self) -> None:
        alone = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.assertEqual(0.0, alone.compute_limit_fraction(1.0))
        alone.record_members_read(0.0)
        self.assertEqual(1.0, alone.compute_limit_fraction(1.0))

    def test_silent_instances_are_forgotten(self) -> None:
        gone = self.fleet.remove_silent(fleet.FORGET_SECONDS + 1.0)
        self.assertEqual(["b", "c"], sorted(record.instance for record in gone))


class SightTest(testtools.TestCase):
    """Who takes part in what is dealt out among all instances."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.fleet.record_members_read(0.0)
        self.run_until(0.0, 10.0)

    def run_until(self, since: float, until: float, heard: str = "bcd") -> None:
        """Lets the instance run, and hear of others."""
        now = since
        while now < until:
            now = round(now + 0.5, 1)
            self.fleet.record_tick(now)
            for name in heard:
                domain = "hall-1" if name == "b" else "hall-2"
                self.fleet.merge(now, builders.make_member(name, domain))
                mark = name_hashes.hash_name(name)
                self.fleet.record_announcement(now, mark, ids.Incarnation(1), True, 0.4)

    def test_all_are_seen(self) -> None:
        sight = self.fleet.build_fleet_view(10.0)
        self.assertEqual(("a", set("abcd"), 1.0), (sight.own, set(sight.domains), sight.part))

    def test_instance_that_was_paused_listens_first(self) -> None:
        """Pattern: an instance wakes up, and all others look silent to it."""
        self.assertIsNone(self.fleet.build_fleet_view(15.0).own)
        self.fleet.record_tick(15.0)
        self.assertIsNone(self.fleet.build_fleet_view(15.0).own)
        self.run_until(15.0, 15.5, heard="bc")
        self.assertIsNone(self.fleet.build_fleet_view(15.5).own)
        self.run_until(15.5, 16.0, heard="d")
        self.assertEqual("a", self.fleet.build_fleet_view(16.0).own)

    def test_instance_that_was_paused_does_not_wait_for_the_dead_for_ever(self) -> None:
        self.run_until(15.0, 15.5, heard="bc")
        self.run_until(15.5, 17.0, heard="bc")
        self.assertEqual("a", self.fleet.build_fleet_view(17.0).own)

    def test_instance_that_started_takes_no_part_at_once(self) -> None:
        started = fleet.Fleet(builders.make_member("z", "hall-1"), REGIONS)
        started.record_tick(0.0)
        self.assertIsNone(started.build_fleet_view(0.0).own)
        started.merge(100.0, builders.make_member("b", "hall-2"))
        started.record_members_read(100.0)
        for now in (100.0, 100.5, 101.0, 101.4):
            started.record_tick(now)
            self.assertIsNone(started.build_fleet_view(now).own)
        started.record_tick(100.0 + fleet.SETTLE_SECONDS)
        self.assertEqual("z", started.build_fleet_view(100.0 + fleet.SETTLE_SECONDS).own)

    def test_only_instance_takes_all_at_once(self) -> None:
        started = fleet.Fleet(builders.make_member("z", "hall-1"), REGIONS)
        started.record_tick(0.0)
        started.record_members_read(0.0)
        self.assertEqual("z", started.build_fleet_view(0.0).own)

    def test_instance_that_leaves_takes_no_part(self) -> None:
        leaving = member.MemberState.LEAVING
        self.fleet.own = dataclasses.replace(self.fleet.own, state=leaving)
        self.assertIsNone(self.fleet.build_fleet_view(10.0).own)

    def test_silent_instances_keep_their_part_for_a_while(self) -> None:
        """Pattern: the fleet is cut in two, and the other side goes on."""
        self.run_until(10.0, 16.0, heard="b")
        sight = self.fleet.build_fleet_view(16.0)
        self.assertEqual(("a", set("ab"), 0.5), (sight.own, set(sight.domains), sight.part))
        self.run_until(16.0, 50.0, heard="b")
        self.assertEqual(1.0, self.fleet.build_fleet_view(50.0).part)

    def test_instance_that_hears_nobody_of_its_domain_takes_no_part(self) -> None:
        for name in "ef":
            self.fleet.merge(10.0, builders.make_member(name, "hall-1"))
        self.run_until(10.0, 16.0, heard="cd")
        self.assertIsNone(self.fleet.build_fleet_view(16.0).own)
