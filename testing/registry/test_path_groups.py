"""Which instances callers and relayed requests get while some have no path to the servers."""

import dataclasses

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import fleet
from caperdyke.state import ids, name_hashes
from testing import builders

REGIONS = {"hall-1": "north", "hall-2": "north", "hall-3": "south"}
NOW = 1.0
# Instances by failure domain: capital letters have a path to the servers.
ONE = {"hall-1": "aB", "hall-2": "CD", "hall-3": "EF"}
MOST = {"hall-1": "abcdE", "hall-2": "FGHIJ", "hall-3": "KL"}
WHOLE_DOMAIN = {"hall-1": "ab", "hall-2": "CD", "hall-3": "EF"}
WHOLE_REGION = {"hall-1": "ab", "hall-2": "cd", "hall-3": "EF"}
SIX_IN_TEN = {"hall-1": "abC", "hall-2": "deF", "hall-3": "ghIJ"}
ALL = {"hall-1": "ab", "hall-2": "cd", "hall-3": "ef"}


def make_fleet(domains: dict[str, str]) -> fleet.Fleet:
    """Returns the fleet as seen by instance ``a``."""
    members = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
    members.is_ready, members.has_path = True, False
    for domain, names in domains.items():
        for letter in names:
            name = letter.lower()
            if name == "a":
                continue
            record = builders.make_member(name, domain)
            members.merge(0.0, record)
            name_hash = name_hashes.hash_name(record.instance)
            members.record_announcement(
                0.0, name_hash, record.incarnation, True, 0.4, letter.isupper()
            )
    return members


class RelayTest(testtools.TestCase):
    """Instances through which a stranded one relays requests."""

    @parameterized.expand(
        [
            ("one", ONE, "", "b"),
            ("most_of_a_domain", MOST, "", "efghij"),
            ("whole_domain", WHOLE_DOMAIN, "", "cd"),
            ("whole_region", WHOLE_REGION, "", "ef"),
            ("six_in_ten", SIX_IN_TEN, "", "c"),
            ("all", ALL, "", ""),
            ("route_with_homes_elsewhere", ONE, "south", "ef"),
            ("route_with_homes_here", WHOLE_DOMAIN, "north", "cd"),
            ("homes_without_a_path", WHOLE_REGION, "north", ""),
        ]
    )
    def test_nearest_instances_that_are_not_too_few(self, _name, domains, homes, expected) -> None:
        regions = frozenset({ids.RegionName(homes)} if homes else ())
        relays = make_fleet(domains).list_relays(NOW, regions)
        self.assertEqual(list(expected), sorted(peer.record.instance for peer in relays))

    @parameterized.expand(
        [
            ("needed", True, ["d"]),
            ("not_needed", False, ["b"]),
        ]
    )
    def test_instances_that_may_not_support_teams(self, _name, needs_teams, expected) -> None:
        """Guards against old builds that pass a team's request on without its name."""
        members = make_fleet(ONE)
        members.find_by_hash(name_hashes.hash_name("d")).supports_teams = True
        relays = members.list_relays(NOW, needs_teams=needs_teams)
        self.assertEqual(expected, [peer.record.instance for peer in relays])

    def test_restarted_instance_is_not_known_to_support_teams(self) -> None:
        """Guards against an instance that was replaced by an older build."""
        members = make_fleet(ONE)
        before = members.find_by_hash(name_hashes.hash_name("b"))
        before.supports_teams = True
        record = dataclasses.replace(
            before.record, incarnation=ids.Incarnation(before.record.incarnation + 1)
        )
        members.merge(NOW, record)
        self.assertFalse(members.find_by_hash(name_hashes.hash_name("b")).supports_teams)

    def test_silent_instance_is_no_relay(self) -> None:
        self.assertEqual([], make_fleet(ONE).list_relays(5.0, frozenset()))


class LookupTest(testtools.TestCase):
    """Addresses that callers of the first failure domain get."""

    @parameterized.expand(
        [
            ("one", ONE, "b"),
            ("most_of_a_domain", MOST, "efghij"),
            ("whole_domain", WHOLE_DOMAIN, "cd"),
            ("whole_region", WHOLE_REGION, "ef"),
            ("all", ALL, "ab"),
        ]
    )
    def test_stranded_instances_are_left_out(self, _name, domains, expected) -> None:
        addresses = make_fleet(domains).choose_for_caller(NOW, "hall-1", "north", 64)
        self.assertEqual([f"{name}:2" for name in expected], sorted(addresses))

    def test_another_domain_is_not_affected(self) -> None:
        addresses = make_fleet(ONE).choose_for_caller(NOW, "hall-3", "south", 64)
        self.assertEqual(["e:2", "f:2"], sorted(addresses))


class QuotaTest(testtools.TestCase):
    """Instances among which limits are divided."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.fleet.record_members_read(0.0)
        for name, domain in (("b", "hall-1"), ("c", "hall-2")):
            self.fleet.merge(0.0, builders.make_member(name, domain))

    def run_until(self, start: float, end: float, stranded: str = "") -> None:
        """Lets the others announce themselves each 0.4 s."""
        now = start
        while now <= end:
            self.fleet.record_tick(now)
            for name in "bc":
                name_hash = name_hashes.hash_name(ids.InstanceId(name))
                self.fleet.record_announcement(
                    now, name_hash, ids.Incarnation(1), True, 0.4, name not in stranded
                )
            now += 0.4

    def test_quota_of_a_stranded_instance_passes_on_after_a_window(self) -> None:
        self.run_until(0.0, 10.0)
        self.run_until(10.4, 13.0, stranded="b")
        self.assertEqual(set("abc"), set(self.fleet.build_fleet_view(13.0).domains))
        self.run_until(13.4, 16.0, stranded="b")
        view = self.fleet.build_fleet_view(16.0)
        self.assertEqual((set("ac"), 1.0), (set(view.domains), view.live_ratio))

    def test_quota_is_returned_at_once(self) -> None:
        self.run_until(0.0, 20.0, stranded="b")
        self.run_until(20.4, 20.4)
        self.assertEqual(set("abc"), set(self.fleet.build_fleet_view(20.4).domains))

    def test_stranded_instance_has_no_quota_until_a_window_after_its_return(self) -> None:
        self.run_until(0.0, 10.0)
        self.fleet.record_path(10.0, False)
        self.assertIsNone(self.fleet.build_fleet_view(10.0).own)
        self.run_until(10.4, 20.0)
        self.fleet.record_path(20.0, True)
        self.assertIsNone(self.fleet.build_fleet_view(20.0).own)
        self.run_until(20.4, 25.0)
        self.assertEqual("a", self.fleet.build_fleet_view(25.0).own)
