"""Adopted revisions never decrease, and confirmations expire."""

import itertools

import testtools

from caperdyke.coordination import adoption
from caperdyke.state import timing
from testing import builders


class ConfigurationTableTest(testtools.TestCase):
    """Configurations are adopted by highest revision, in whatever order they arrive."""

    def setUp(self) -> None:
        super().setUp()
        first = builders.make_configuration()
        second = builders.change_contract(first, 100.0, "share = 120", "share = 110")
        third = builders.change_contract(second, 101.0, "share = 110", "share = 100")
        self.configurations = (first, second, third)

    def test_any_order_and_repetition_results_in_the_highest_revision(self) -> None:
        for order in itertools.product(self.configurations, repeat=4):
            table = adoption.ConfigurationTable()
            highest = 0
            for configuration in order:
                table.adopt(102.0, configuration)
                highest = max(highest, configuration.revision)
                self.assertEqual(highest, table.revision)
            self.assertEqual(highest, table.find_in_force(200.0).revision)

    def test_old_and_new_are_in_effect_until_the_in_force_time(self) -> None:
        table = adoption.ConfigurationTable()
        for configuration in self.configurations:
            table.adopt(101.5, configuration)
        self.assertEqual([2, 3, 4], [item.revision for item in table.list_effective(101.6)])
        self.assertEqual([3, 4], [item.revision for item in table.list_effective(103.5)])
        self.assertEqual([4], [item.revision for item in table.list_effective(104.5)])

    def test_confirmation_of_another_revision_is_ignored(self) -> None:
        table = adoption.ConfigurationTable()
        table.adopt(100.0, self.configurations[1])
        for other in (self.configurations[0], self.configurations[2]):
            table.confirm(other.revision, 100.0)
            self.assertFalse(table.is_current(100.0))
        table.confirm(self.configurations[1].revision, 100.0)
        self.assertTrue(table.is_current(100.0))

    def test_confirmation_expires_and_its_time_never_decreases(self) -> None:
        table = builders.make_configuration_table(100.0, self.configurations[0])
        table.confirm(self.configurations[0].revision, 90.0)
        self.assertTrue(table.is_current(100.0 + timing.CONFIRMATION_AGE_MAX_SECONDS - 0.01))
        self.assertFalse(table.is_current(100.0 + timing.CONFIRMATION_AGE_MAX_SECONDS))

    def test_unaware_instance_is_limited_to_floors_before_a_change_applies(self) -> None:
        # Worst case: confirmed just before the change, by the fastest allowed clock.
        unaware_seconds = timing.CONFIRMATION_AGE_MAX_SECONDS + 2 * timing.CLOCK_ERROR_SECONDS
        unaware_seconds += timing.PERIOD_MAX_SECONDS
        self.assertLessEqual(unaware_seconds, timing.IN_FORCE_DELAY_SECONDS)
        self.assertLess(timing.IN_FORCE_DELAY_SECONDS, 4.0)
