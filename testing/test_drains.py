"""Drain announcements merge in any order."""

import itertools

import testtools

from caperdyke.coordination import drains
from caperdyke.state import backend


class DrainTableTest(testtools.TestCase):
    """The newest announcement of each subject wins."""

    def test_order_and_repetition_do_not_matter(self) -> None:
        marks = [
            backend.DrainMark("a", 1, True),
            backend.DrainMark("a", 3, False),
            backend.DrainMark("a", 2, True),
            backend.DrainMark("b", 5, False),
            backend.DrainMark("b", 5, True),
        ]
        for order in itertools.permutations(marks):
            table = drains.DrainTable()
            for mark in (*order, *order[:2]):
                table.merge(mark)
            self.assertEqual(frozenset(["b"]), table.list_active())

    def test_new_version_exceeds_that_of_a_faster_clock(self) -> None:
        table = drains.DrainTable()
        table.merge(backend.DrainMark("a", 10_000, True))
        version = table.find_next_version("a", 1.0)
        self.assertTrue(table.merge(backend.DrainMark("a", version, False)))
