"""When the store is asked beside a call that waits."""

import math

import testtools

from caperdyke.coordination.registry import check_schedule


class ChecksTest(testtools.TestCase):
    """Word of others, answers and failures in their order."""

    def test_nothing_is_asked_without_doubt(self) -> None:
        self.assertEqual(math.inf, check_schedule.CheckSchedule().next_at)

    def test_call_that_waits_is_given_time(self) -> None:
        plan = check_schedule.CheckSchedule()
        plan.record_peer_ahead(10.0)
        self.assertEqual(10.0 + check_schedule.PATIENCE_SECONDS, plan.next_at)

    def test_further_word_does_not_put_the_check_off(self) -> None:
        plan = check_schedule.CheckSchedule()
        for number in range(10):
            plan.record_peer_ahead(10.0 + number / 20)
        self.assertEqual(10.0 + check_schedule.PATIENCE_SECONDS, plan.next_at)

    def test_word_does_not_repeat_a_check_at_once(self) -> None:
        plan = check_schedule.CheckSchedule()
        plan.record_possible_stall(10.0)
        plan.record_start(10.0)
        self.assertEqual(math.inf, plan.next_at)
        plan.record_peer_ahead(10.1)
        self.assertEqual(10.0 + check_schedule.CHECK_SECONDS, plan.next_at)

    def test_check_that_failed_is_repeated_without_further_word(self) -> None:
        plan = check_schedule.CheckSchedule()
        plan.record_possible_stall(10.0)
        plan.record_start(10.0)
        plan.record_failure(12.0)
        self.assertEqual(12.0, plan.next_at)
        self.assertTrue(plan.is_needed)

    def test_suspicion_stands_until_an_answer(self) -> None:
        plan = check_schedule.CheckSchedule()
        plan.record_peer_ahead(10.0)
        self.assertFalse(plan.is_needed)
        plan.record_possible_stall(10.0)
        self.assertTrue(plan.is_needed)
        plan.record_answer()
        self.assertFalse(plan.is_needed)
        self.assertEqual(math.inf, plan.next_at)
