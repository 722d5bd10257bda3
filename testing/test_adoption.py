"""Instances never go back to a lower revision and know how current they are."""

import itertools

import testtools

from caperdyke.coordination import adoption
from caperdyke.state import timing
from testing import builders


class ConfigurationBookTest(testtools.TestCase):
    """Merging by highest revision only."""

    def setUp(self) -> None:
        super().setUp()
        first = builders.make_configuration()
        second = builders.change_contract(first, 100.0, "share = 120", "share = 110")
        third = builders.change_contract(second, 101.0, "share = 110", "share = 100")
        self.all = (first, second, third)

    def test_any_order_and_repetition_ends_at_the_highest(self) -> None:
        for order in itertools.product(self.all, repeat=4):
            book = adoption.ConfigurationTable()
            highest = 0
            for configuration in order:
                book.adopt(102.0, configuration)
                highest = max(highest, configuration.revision)
                self.assertEqual(highest, book.revision)
            self.assertEqual(highest, book.find_in_force(200.0).revision)

    def test_old_and_new_bind_until_the_stored_time(self) -> None:
        book = adoption.ConfigurationTable()
        for configuration in self.all:
            book.adopt(101.5, configuration)
        self.assertEqual([2, 3, 4], [item.revision for item in book.list_effective(101.6)])
        self.assertEqual([3, 4], [item.revision for item in book.list_effective(103.5)])
        self.assertEqual([4], [item.revision for item in book.list_effective(104.5)])

    def test_confirmation_of_another_revision_says_nothing(self) -> None:
        book = adoption.ConfigurationTable()
        book.adopt(100.0, self.all[1])
        for other in (self.all[0], self.all[2]):
            book.confirm(other.revision, 100.0)
            self.assertFalse(book.is_current(100.0))
        book.confirm(self.all[1].revision, 100.0)
        self.assertTrue(book.is_current(100.0))

    def test_confirmation_ages_and_never_grows_older(self) -> None:
        book = builders.make_book(100.0, self.all[0])
        book.confirm(self.all[0].revision, 90.0)
        self.assertTrue(book.is_current(100.0 + timing.CONFIRMATION_AGE_MAX_SECONDS - 0.01))
        self.assertFalse(book.is_current(100.0 + timing.CONFIRMATION_AGE_MAX_SECONDS))

    def test_unaware_instance_is_at_floors_before_a_change_binds(self) -> None:
        # The confirmation was made just before the change, by the fastest allowed clock.
        latest = timing.CONFIRMATION_AGE_MAX_SECONDS + 2 * timing.CLOCK_ERROR_SECONDS
        latest += timing.PERIOD_MAX_SECONDS
        self.assertLessEqual(latest, timing.IN_FORCE_DELAY_SECONDS)
        self.assertLess(timing.IN_FORCE_DELAY_SECONDS, 4.0)
