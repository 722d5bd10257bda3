"""Orders to evacuate failure domains."""

import testtools

from caperdyke.coordination.registry import evacuations
from caperdyke.state import ids, store_rows

HALL = ids.DomainName("hall-1")


def at(number: int, era: int = 0) -> store_rows.Position:
    """Returns a position in the order of the store's changes."""
    return store_rows.Position(era, number)


class EvacuationsTest(testtools.TestCase):
    """One failure domain that is evacuated."""

    def setUp(self) -> None:
        super().setUp()
        self.known = evacuations.Evacuations()
        self.known.note(1.0, HALL, at(5), True)
        self.assertEqual(({HALL}, set()), self.known.update(1.0))

    def test_domain_is_taken_back_once(self) -> None:
        self.known.note(2.0, HALL, at(6), False)
        self.assertEqual((set(), {HALL}), self.known.update(2.0))
        self.assertEqual((set(), set()), self.known.update(2.1))

    def test_older_end_changes_nothing(self) -> None:
        self.known.note(2.0, HALL, at(4), False)
        self.assertEqual(({HALL}, set()), self.known.update(2.0))

    def test_order_that_a_later_era_lacks_is_held(self) -> None:
        """Pattern: the store comes back from a copy from before the evacuation was written."""
        self.known.note(2.0, HALL, at(3, 1), False)
        self.assertEqual(({HALL}, set()), self.known.update(2.1))
        self.known.note(3.0, HALL, at(4, 1), True)
        self.assertEqual(({HALL}, set()), self.known.update(60.0))

    def test_order_that_stays_away_in_a_later_era_ends(self) -> None:
        self.known.note(2.0, HALL, at(3, 1), False)
        ends_at = 2.0 + evacuations.REWRITE_SECONDS
        self.assertEqual((set(), {HALL}), self.known.update(ends_at))

    def test_end_that_a_later_era_has_lost_holds_again_when_written(self) -> None:
        self.known.note(2.0, HALL, at(6), False)
        self.known.note(3.0, HALL, at(5, 1), True)
        self.assertEqual(({HALL}, set()), self.known.update(3.0))
        self.known.note(4.0, HALL, at(7, 1), False)
        self.assertEqual((set(), {HALL}), self.known.update(4.0))
