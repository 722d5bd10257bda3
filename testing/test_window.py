"""Counts in sliding windows and in periods of the wall clock."""

import testtools

from caperdyke.state import window


class SlidingWindowTest(testtools.TestCase):
    """The window forgets exactly what is older than one period."""

    def test_counts_the_last_period(self) -> None:
        counted = window.SlidingWindow(1.0)
        for moment in (0.0, 0.5, 0.9):
            counted.add(moment)
        self.assertEqual(3, counted.count(0.99))
        self.assertEqual(2, counted.count(1.0))
        self.assertEqual(0, counted.count(2.0))

    def test_free_time_is_when_the_oldest_of_the_limit_leaves(self) -> None:
        counted = window.SlidingWindow(1.0)
        for moment in (0.0, 0.5):
            counted.add(moment)
        self.assertEqual(0.6, counted.find_free_time(0.6, 3))
        self.assertEqual(1.0, counted.find_free_time(0.6, 2))
        self.assertEqual(1.5, counted.find_free_time(0.6, 1))
        self.assertEqual(1.6, counted.find_free_time(0.6, 0))


class PeriodCounterTest(testtools.TestCase):
    """Growth is counted between periods that all instances cut at the same moments."""

    def test_turns_at_whole_periods(self) -> None:
        counted = window.PeriodCounter(1.0)
        counted.add(10.1)
        counted.add(10.9)
        self.assertEqual((0, 2), (counted.count_previous(10.95), counted.count(10.95)))
        self.assertEqual((2, 0), (counted.count_previous(11.0), counted.count(11.0)))

    def test_quiet_period_resets_growth(self) -> None:
        counted = window.PeriodCounter(1.0)
        counted.add(10.1)
        self.assertEqual(0, counted.count_previous(12.0))

    def test_clock_set_back_does_not_reopen_a_period(self) -> None:
        counted = window.PeriodCounter(1.0)
        counted.add(10.1)
        counted.add(11.1)
        self.assertEqual((1, 1), (counted.count_previous(10.5), counted.count(10.5)))
