"""Which instances a caller is told of."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import fleet
from caperdyke.state import ids, marks, member
from testing import builders

REGIONS = {"hall-1": "north", "hall-2": "north", "hall-3": "south"}


def hear(
    known: fleet.Fleet, now: float, record: member.Member, is_ready: bool, interval: float = 0.4
) -> fleet.KnownInstance | None:
    """Takes an announcement that carries its sender's record."""
    known.merge(now, record)
    mark = marks.make_mark(record.instance)
    return known.hear(now, mark, record.incarnation, is_ready, interval)


class FleetTest(testtools.TestCase):
    """One instance's view of the others."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.fleet.is_ready = True
        hear(self.fleet, 0.0, builders.make_member("b", "hall-2"), True)
        hear(self.fleet, 0.0, builders.make_member("c", "hall-3"), True)

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
        hear(self.fleet, 1.0, leaving, False)
        self.assertEqual(["a:2"], self.choose("hall-2", "north"))

    def test_word_of_an_earlier_start_counts_for_nothing(self) -> None:
        hear(self.fleet, 1.0, builders.make_member("b", "hall-2", incarnation=2), True)
        self.assertIsNone(hear(self.fleet, 1.1, builders.make_member("b", "hall-2"), True))

    def test_word_of_a_later_start_needs_its_record(self) -> None:
        """Pattern: an instance was killed, and the datagram with its new record was lost."""
        mark = marks.make_mark("b")
        self.assertIsNone(self.fleet.hear(1.0, mark, ids.Incarnation(2), True, 0.4))
        self.assertIsNone(self.fleet.hear(1.0, marks.make_mark("d"), ids.Incarnation(1), True, 0.4))
        self.assertIsNotNone(self.fleet.hear(1.0, mark, ids.Incarnation(1), True, 0.4))

    def test_instance_that_was_only_listed_is_not_alive(self) -> None:
        self.fleet.merge(0.0, builders.make_member("d", "hall-1"))
        self.assertEqual(["a", "b", "c"], self.fleet.list_names(1.0))

    def test_part_of_a_limit(self) -> None:
        self.assertEqual(1 / 3, self.fleet.find_part(1.0))
        self.fleet.merge(1.0, builders.make_member("d", "hall-1"))
        self.assertEqual(1 / 4, self.fleet.find_part(1.0))
        self.assertEqual(1.0, self.fleet.find_part(1.0 + fleet.SHARE_SECONDS))

    def test_instance_behind_a_cut_takes_no_part(self) -> None:
        alone = fleet.Fleet(builders.make_member("a", "hall-1"), REGIONS)
        self.assertEqual(0.0, alone.find_part(1.0))
        alone.note_listed()
        self.assertEqual(1.0, alone.find_part(1.0))

    def test_silent_instances_are_forgotten(self) -> None:
        gone = self.fleet.forget_silent(fleet.FORGET_SECONDS + 1.0)
        self.assertEqual(["b", "c"], sorted(record.instance for record in gone))
