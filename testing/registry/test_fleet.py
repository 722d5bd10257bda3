"""Which instances are alive, which ones callers get, and how limits are divided."""

import dataclasses

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import fleet
from caperdyke.state import ids, member, name_hashes
from testing import builders

REGIONS = {"hall-1": "north", "hall-2": "north", "hall-3": "south"}


def announce(
    members: fleet.Fleet, now: float, record: member.Member, is_ready: bool, interval: float = 0.4
) -> fleet.PeerInstance | None:
    """Merges the sender's record and records its announcement."""
    members.merge(now, record)
    name_hash = name_hashes.hash_name(record.instance)
    return members.record_announcement(now, name_hash, record.incarnation, is_ready, interval)


class FleetTest(testtools.TestCase):
    """Live instances as seen by one of them."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.fleet.is_ready = True
        announce(self.fleet, 0.0, builders.make_member("b", "hall-2"), True)
        announce(self.fleet, 0.0, builders.make_member("c", "hall-3"), True)

    def choose(self, domain: str, region: str, now: float = 1.0) -> list[str]:
        """Returns the addresses that a caller gets."""
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

    def test_silent_instance_is_not_returned(self) -> None:
        self.assertEqual(["a:2"], self.choose("hall-2", "north", now=2.0))

    def test_leaving_instance_is_not_returned(self) -> None:
        leaving = builders.make_member("b", "hall-2", state=member.MemberState.LEAVING)
        announce(self.fleet, 1.0, leaving, False)
        self.assertEqual(["a:2"], self.choose("hall-2", "north"))

    def test_announcement_of_an_earlier_incarnation_is_ignored(self) -> None:
        announce(self.fleet, 1.0, builders.make_member("b", "hall-2", incarnation=2), True)
        self.assertIsNone(announce(self.fleet, 1.1, builders.make_member("b", "hall-2"), True))

    def test_announcement_of_a_later_incarnation_needs_its_record(self) -> None:
        """Pattern: an instance was restarted, and the datagram with its new record was lost."""
        name_hash = name_hashes.hash_name("b")
        self.assertIsNone(
            self.fleet.record_announcement(1.0, name_hash, ids.Incarnation(2), True, 0.4)
        )
        self.assertIsNone(
            self.fleet.record_announcement(
                1.0, name_hashes.hash_name("d"), ids.Incarnation(1), True, 0.4
            )
        )
        self.assertIsNotNone(
            self.fleet.record_announcement(1.0, name_hash, ids.Incarnation(1), True, 0.4)
        )

    def test_instance_without_announcement_is_not_alive(self) -> None:
        self.fleet.merge(0.0, builders.make_member("d", "hall-1"))
        self.assertEqual(["a", "b", "c"], self.fleet.list_names(1.0))

    def test_fraction_of_a_limit(self) -> None:
        self.assertEqual(0.0, self.fleet.compute_limit_fraction(1.0))
        self.fleet.record_members_read(0.0)
        self.assertEqual(1 / 3, self.fleet.compute_limit_fraction(1.0))
        self.fleet.merge(1.0, builders.make_member("d", "hall-1"))
        self.assertEqual(1 / 4, self.fleet.compute_limit_fraction(1.0))
        self.assertEqual(1.0, self.fleet.compute_limit_fraction(1.0 + fleet.LIMIT_RELEASE_SECONDS))

    def test_instance_without_member_list_uses_no_limit(self) -> None:
        isolated = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.assertEqual(0.0, isolated.compute_limit_fraction(1.0))
        isolated.record_members_read(0.0)
        self.assertEqual(1.0, isolated.compute_limit_fraction(1.0))

    def test_silent_instances_are_removed(self) -> None:
        removed = self.fleet.remove_silent(fleet.SILENT_PEER_EXPIRY_SECONDS + 1.0)
        self.assertEqual(["b", "c"], sorted(record.instance for record in removed))


class FleetViewTest(testtools.TestCase):
    """Which instances take part in the division of fleet-wide limits."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.fleet.record_members_read(0.0)
        self.run_until(0.0, 10.0)

    def run_until(self, since: float, until: float, senders: str = "bcd") -> None:
        """Ticks the instance every 0.5 s and delivers announcements of the named others."""
        now = since
        while now < until:
            now = round(now + 0.5, 1)
            self.fleet.record_tick(now)
            for name in senders:
                domain = "hall-1" if name == "b" else "hall-2"
                self.fleet.merge(now, builders.make_member(name, domain))
                name_hash = name_hashes.hash_name(name)
                self.fleet.record_announcement(now, name_hash, ids.Incarnation(1), True, 0.4)

    def test_view_contains_all_live_instances(self) -> None:
        view = self.fleet.build_fleet_view(10.0)
        self.assertEqual(("a", set("abcd"), 1.0), (view.own, set(view.domains), view.live_ratio))

    def test_paused_instance_waits_for_announcements(self) -> None:
        """Pattern: an instance resumes after a pause, and all others look silent to it."""
        self.assertIsNone(self.fleet.build_fleet_view(15.0).own)
        self.fleet.record_tick(15.0)
        self.assertIsNone(self.fleet.build_fleet_view(15.0).own)
        self.run_until(15.0, 15.5, senders="bc")
        self.assertIsNone(self.fleet.build_fleet_view(15.5).own)
        self.run_until(15.5, 16.0, senders="d")
        self.assertEqual("a", self.fleet.build_fleet_view(16.0).own)

    def test_paused_instance_does_not_wait_for_dead_instances_for_ever(self) -> None:
        self.run_until(15.0, 15.5, senders="bc")
        self.run_until(15.5, 17.0, senders="bc")
        self.assertEqual("a", self.fleet.build_fleet_view(17.0).own)

    def test_started_instance_takes_no_part_at_once(self) -> None:
        started = fleet.Fleet(builders.make_member("z", "hall-1"), REGIONS)
        started.record_tick(0.0)
        self.assertIsNone(started.build_fleet_view(0.0).own)
        started.merge(100.0, builders.make_member("b", "hall-2"))
        started.record_members_read(100.0)
        for now in (100.0, 100.5, 101.0, 101.4):
            started.record_tick(now)
            self.assertIsNone(started.build_fleet_view(now).own)
        started.record_tick(100.0 + fleet.SETTLE_MAX_SECONDS)
        self.assertEqual("z", started.build_fleet_view(100.0 + fleet.SETTLE_MAX_SECONDS).own)

    def test_single_instance_takes_part_at_once(self) -> None:
        started = fleet.Fleet(builders.make_member("z", "hall-1"), REGIONS)
        started.record_tick(0.0)
        started.record_members_read(0.0)
        self.assertEqual("z", started.build_fleet_view(0.0).own)

    def test_leaving_instance_takes_no_part(self) -> None:
        leaving = member.MemberState.LEAVING
        self.fleet.own = dataclasses.replace(self.fleet.own, state=leaving)
        self.assertIsNone(self.fleet.build_fleet_view(10.0).own)

    def test_silent_instances_keep_their_quota_for_a_while(self) -> None:
        """Pattern: a network partition splits the fleet, and the other side keeps running."""
        self.run_until(10.0, 16.0, senders="b")
        view = self.fleet.build_fleet_view(16.0)
        self.assertEqual(("a", set("ab"), 0.5), (view.own, set(view.domains), view.live_ratio))
        self.run_until(16.0, 50.0, senders="b")
        self.assertEqual(1.0, self.fleet.build_fleet_view(50.0).live_ratio)

    def test_instance_without_announcements_of_its_domain_takes_no_part(self) -> None:
        for name in "ef":
            self.fleet.merge(10.0, builders.make_member(name, "hall-1"))
        self.run_until(10.0, 16.0, senders="cd")
        self.assertIsNone(self.fleet.build_fleet_view(16.0).own)
