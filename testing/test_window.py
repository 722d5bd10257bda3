"""Event counts in sliding windows and in fixed windows of the wall clock."""

import testtools

from caperdyke.state import window


class SlidingWindowTest(testtools.TestCase):
    """Events expire after exactly one period."""

    def test_counts_the_last_period(self) -> None:
        counter = window.SlidingWindow(1.0)
        for moment in (0.0, 0.5, 0.9):
            counter.add(moment)
        self.assertEqual(3, counter.count(0.99))
        self.assertEqual(2, counter.count(1.0))
        self.assertEqual(0, counter.count(2.0))

    def test_free_time_is_when_enough_events_have_expired(self) -> None:
        counter = window.SlidingWindow(1.0)
        for moment in (0.0, 0.5):
            counter.add(moment)
        self.assertEqual(0.6, counter.find_free_time(0.6, 3))
        self.assertEqual(1.0, counter.find_free_time(0.6, 2))
        self.assertEqual(1.5, counter.find_free_time(0.6, 1))
        self.assertEqual(1.6, counter.find_free_time(0.6, 0))


class PeriodCounterTest(testtools.TestCase):
    """Events are counted in periods that start at the same times on all instances."""

    def test_counts_restart_at_whole_periods(self) -> None:
        counter = window.PeriodCounter(1.0)
        counter.add(10.1)
        counter.add(10.9)
        self.assertEqual((0, 2), (counter.count_previous(10.95), counter.count(10.95)))
        self.assertEqual((2, 0), (counter.count_previous(11.0), counter.count(11.0)))

    def test_period_without_events_resets_the_previous_count(self) -> None:
        counter = window.PeriodCounter(1.0)
        counter.add(10.1)
        self.assertEqual(0, counter.count_previous(12.0))

    def test_clock_set_back_does_not_reopen_a_period(self) -> None:
        counter = window.PeriodCounter(1.0)
        counter.add(10.1)
        counter.add(11.1)
        self.assertEqual((1, 1), (counter.count_previous(10.5), counter.count(10.5)))
