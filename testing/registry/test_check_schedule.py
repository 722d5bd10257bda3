"""Schedule of extra reads of the store beside a pending long poll."""

import math

import testtools

from caperdyke.coordination.registry import check_schedule


class CheckScheduleTest(testtools.TestCase):
    """Announcements, answers and failures in various orders."""

    def test_no_check_is_scheduled_at_first(self) -> None:
        self.assertEqual(math.inf, check_schedule.CheckSchedule().next_at)

    def test_check_is_delayed_for_the_long_poll(self) -> None:
        schedule = check_schedule.CheckSchedule()
        schedule.record_peer_ahead(10.0)
        self.assertEqual(10.0 + check_schedule.CHECK_DELAY_SECONDS, schedule.next_at)

    def test_further_announcements_do_not_postpone_the_check(self) -> None:
        schedule = check_schedule.CheckSchedule()
        for number in range(10):
            schedule.record_peer_ahead(10.0 + number / 20)
        self.assertEqual(10.0 + check_schedule.CHECK_DELAY_SECONDS, schedule.next_at)

    def test_announcement_does_not_repeat_a_check_at_once(self) -> None:
        schedule = check_schedule.CheckSchedule()
        schedule.record_possible_stall(10.0)
        schedule.record_start(10.0)
        self.assertEqual(math.inf, schedule.next_at)
        schedule.record_peer_ahead(10.1)
        self.assertEqual(10.0 + check_schedule.CHECK_INTERVAL_SECONDS, schedule.next_at)

    def test_failed_check_is_repeated_without_further_announcement(self) -> None:
        schedule = check_schedule.CheckSchedule()
        schedule.record_possible_stall(10.0)
        schedule.record_start(10.0)
        schedule.record_failure(12.0)
        self.assertEqual(12.0, schedule.next_at)
        self.assertTrue(schedule.is_needed)

    def test_check_is_needed_until_an_answer(self) -> None:
        schedule = check_schedule.CheckSchedule()
        schedule.record_peer_ahead(10.0)
        self.assertFalse(schedule.is_needed)
        schedule.record_possible_stall(10.0)
        self.assertTrue(schedule.is_needed)
        schedule.record_answer()
        self.assertFalse(schedule.is_needed)
        self.assertEqual(math.inf, schedule.next_at)
