"""Which instances hold the tokens of a team in the course of faults."""

import math

import testtools
from parameterized import parameterized

from caperdyke.coordination.quotas import holders
from caperdyke.state import ids

REGIONS = {"hall-0": "region-0", "hall-1": "region-1", "hall-2": "region-2"}
TEAM = ids.TeamName("team-1")


def make_domains(count: int) -> dict[ids.InstanceId, ids.DomainName]:
    """Returns the failure domains of some instances."""
    return {
        ids.InstanceId(f"gateway-{number}"): ids.DomainName(f"hall-{number % 3}")
        for number in range(count)
    }


class HolderDirectoryTest(testtools.TestCase):
    """Roles and their parts."""

    def setUp(self) -> None:
        super().setUp()
        self.domains = make_domains(30)
        self.observer = ids.InstanceId("gateway-0")

    def make_directory(self, own: ids.InstanceId) -> holders.HolderDirectory:
        """Returns the directory of an instance that sees all others since time 0."""
        directory = holders.HolderDirectory(own)
        directory.update(0.0, holders.FleetReport(True, self.domains, {}), REGIONS)
        return directory

    def test_all_instances_find_the_same_holder_in_each_region(self) -> None:
        found = [self.make_directory(name).list_holders(TEAM) for name in self.domains]
        self.assertEqual([found[0]] * len(found), found)
        self.assertEqual(set(REGIONS.values()), set(found[0]))

    def test_teams_are_spread_over_the_instances(self) -> None:
        directory = self.make_directory(self.observer)
        names = {
            directory.find_in_region(ids.TeamName(f"team-{number}"), ids.RegionName("region-0"))
            for number in range(200)
        }
        self.assertEqual(10, len(names))

    def hide(self, own: ids.InstanceId, hidden: set, now: float) -> holders.HolderDirectory:
        """Returns the directory of an instance that does not hear some since just after 0."""
        directory = self.make_directory(own)
        live = {name: at for name, at in self.domains.items() if name not in hidden}
        silent = {name: self.domains[name] for name in hidden}
        for at in (0.5, now):
            directory.update(at, holders.FleetReport(True, live, silent), REGIONS)
        return directory

    @parameterized.expand([("keeps_its_role", 25.0, False), ("loses_it_later", 45.0, True)])
    def test_silent_holder(self, _name, now, is_moved) -> None:
        """Guards against two holders of one part after a short fault."""
        region = ids.RegionName("region-1")
        holder = self.make_directory(self.observer).find_in_region(TEAM, region)
        directory = self.hide(self.observer, {holder}, now)
        self.assertEqual(is_moved, directory.find_in_region(TEAM, region) != holder)

    def test_role_that_is_taken_over_starts_later(self) -> None:
        """Guards against tokens of the holder before that are not used yet."""
        region = ids.RegionName("region-0")
        holder = self.make_directory(self.observer).find_in_region(TEAM, region)
        starts = {}
        for name, domain in self.domains.items():
            if domain == "hall-0" and name != holder:
                starts[name] = self.hide(name, {holder}, 45.0).find_role_start(TEAM)
        self.assertEqual(1, sum(start < math.inf for start in starts.values()))
        self.assertEqual(45.0 + holders.TAKEOVER_S, min(starts.values()))

    @parameterized.expand([(sides,) for sides in ((10,), (8, 2), (7, 3), (5, 5), (4, 3, 3))])
    def test_sides_of_a_partition_hold_one_part(self, sides) -> None:
        """Guards against a partition in which each side refills the whole part."""
        region = sorted(name for name, domain in self.domains.items() if domain == "hall-0")
        total, start = 0.0, 0
        for size in sides:
            side = set(region[start : start + size])
            start += size
            directory = self.hide(min(side), set(region) - side, 45.0)
            total += directory.compute_own_ratio()
        self.assertTrue(0.0 < total <= 1 / 3 + 1e-9, total)

    def test_frozen_or_stranded_instance_holds_nothing(self) -> None:
        directory = self.make_directory(self.observer)
        report = holders.FleetReport(False, self.domains, {})
        directory.update(1.0, report, REGIONS)
        for number in range(200):
            name = ids.TeamName(f"team-{number}")
            self.assertEqual(math.inf, directory.find_role_start(name))
            self.assertNotIn(self.observer, directory.list_holders(name).values())

    def test_planned_stop_moves_the_role_at_once(self) -> None:
        region = ids.RegionName("region-1")
        directory = self.make_directory(self.observer)
        holder = directory.find_in_region(TEAM, region)
        live = {name: at for name, at in self.domains.items() if name != holder}
        directory.update(1.0, holders.FleetReport(True, live, {}, frozenset({holder})), REGIONS)
        self.assertNotEqual(holder, directory.find_in_region(TEAM, region))

    @parameterized.expand([("leaves", True), ("dies", False)])
    def test_roles_of_others_go_on_when_an_instance_goes(self, _name, is_planned) -> None:
        """Guards against buckets that are emptied by each stop of another instance."""
        region = ids.RegionName("region-0")
        holder = self.make_directory(self.observer).find_in_region(TEAM, region)
        other = next(
            name for name, domain in self.domains.items() if domain == "hall-0" and name != holder
        )
        directory = self.make_directory(holder)
        start = directory.find_role_start(TEAM)
        live = {name: at for name, at in self.domains.items() if name != other}
        silent = {} if is_planned else {other: self.domains[other]}
        report = holders.FleetReport(True, live, silent, frozenset({other} if is_planned else ()))
        for now in (5.0, 50.0):
            directory.update(now, report, REGIONS)
            self.assertEqual(start, directory.find_role_start(TEAM))
