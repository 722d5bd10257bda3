"""Evacuations of failure domains, also across eras of the store."""

import testtools

from caperdyke.coordination.registry import evacuations
from caperdyke.state import ids, store_rows

HALL = ids.DomainName("hall-1")


def make_position(number: int, era: int = 0) -> store_rows.Position:
    """Returns a position in the order of the store's changes."""
    return store_rows.Position(era, number)


class EvacuationsTest(testtools.TestCase):
    """One evacuated failure domain."""

    def setUp(self) -> None:
        super().setUp()
        self.tracker = evacuations.Evacuations()
        self.tracker.apply_change(1.0, HALL, make_position(5), True)
        self.assertEqual(({HALL}, set()), self.tracker.update(1.0))

    def test_end_is_reported_once(self) -> None:
        self.tracker.apply_change(2.0, HALL, make_position(6), False)
        self.assertEqual((set(), {HALL}), self.tracker.update(2.0))
        self.assertEqual((set(), set()), self.tracker.update(2.1))

    def test_older_end_is_ignored(self) -> None:
        self.tracker.apply_change(2.0, HALL, make_position(4), False)
        self.assertEqual(({HALL}, set()), self.tracker.update(2.0))

    def test_evacuation_that_a_later_era_lacks_stays_in_force(self) -> None:
        """Pattern: the store is restored from a copy older than the evacuation."""
        self.tracker.apply_change(2.0, HALL, make_position(3, 1), False)
        self.assertEqual(({HALL}, set()), self.tracker.update(2.1))
        self.tracker.apply_change(3.0, HALL, make_position(4, 1), True)
        self.assertEqual(({HALL}, set()), self.tracker.update(60.0))

    def test_evacuation_that_is_not_written_again_ends(self) -> None:
        self.tracker.apply_change(2.0, HALL, make_position(3, 1), False)
        ends_at = 2.0 + evacuations.REWRITE_SECONDS
        self.assertEqual((set(), {HALL}), self.tracker.update(ends_at))

    def test_end_that_a_later_era_lacks_applies_when_written_again(self) -> None:
        self.tracker.apply_change(2.0, HALL, make_position(6), False)
        self.tracker.apply_change(3.0, HALL, make_position(5, 1), True)
        self.assertEqual(({HALL}, set()), self.tracker.update(3.0))
        self.tracker.apply_change(4.0, HALL, make_position(7, 1), False)
        self.assertEqual((set(), {HALL}), self.tracker.update(4.0))
