"""What is learned of one backend server."""

import testtools

from caperdyke.coordination.placement import processing_times, server_view
from caperdyke.state import ids
from testing.placement import builders

KEY = ids.ObjectKey("k")


class ServerViewTest(testtools.TestCase):
    """Outcomes in a row."""

    def setUp(self) -> None:
        super().setUp()
        self.view = server_view.ServerView(builders.make_server("s1"))

    def test_server_that_fails_part_of_its_requests_is_avoided(self) -> None:
        """Pattern: half of the requests fail while the health check is good."""
        is_avoided = False
        for number in range(10):
            if number % 2:
                self.view.record_answer(0.0, KEY, 1.0)
            else:
                is_avoided = self.view.record_failure(0.0, 0.0) or is_avoided
        self.assertTrue(is_avoided)

    def test_single_failure_does_not_count(self) -> None:
        self.view.record_answer(0.0, KEY, 1.0)
        self.assertFalse(self.view.record_failure(0.0, 0.0))

    def test_no_server_is_avoided_while_all_fail_alike(self) -> None:
        """Pattern: all servers of a service turn half of their requests away."""
        for number in range(20):
            if number % 2:
                self.view.record_answer(0.0, KEY, 1.0)
            else:
                self.assertFalse(self.view.record_failure(0.0, 0.5))

    def test_pause_grows_while_a_server_is_away(self) -> None:
        pauses = []
        for _ in range(6):
            self.view.record_unreachable(100.0)
            pauses.append(self.view.suspended_until - 100.0)
        self.assertEqual([0.5, 1.0, 2.0, 4.0, 4.0, 4.0], pauses)

    def test_new_start_knows_nothing(self) -> None:
        self.view.record_answer(0.0, KEY, 5.0)
        self.view.record_unreachable(0.0)
        self.view.reset()
        self.assertFalse(self.view.is_warm(0.0, KEY))
        self.assertEqual((1.0, 0.0), (self.view.slowdown, self.view.suspended_until))

    def test_server_without_a_sign_of_life_is_silent(self) -> None:
        """Pattern: a server loses power while it works; its connections stay open."""
        self.view.record_send(1.0, due_at=2.0)
        self.assertFalse(self.view.is_unresponsive(1.9))
        self.assertTrue(self.view.is_unresponsive(2.0))

    def test_slow_server_that_answers_others_is_not_silent(self) -> None:
        self.view.record_send(1.0, due_at=2.0)
        self.view.record_activity(1.5)
        self.assertFalse(self.view.is_unresponsive(9.0))

    def test_word_from_before_the_oldest_request_says_nothing(self) -> None:
        self.view.record_activity(0.9)
        pending = self.view.record_send(1.0, due_at=2.0)
        self.assertTrue(self.view.is_unresponsive(2.0))
        self.view.record_end(pending)
        self.assertFalse(self.view.is_unresponsive(2.0))

    def test_own_count_of_the_server_goes_first_while_it_is_new(self) -> None:
        self.view.in_flight = 1
        self.view.record_reported_load(10.0, 9)
        self.view.record_remote_load(10.1, 2)
        self.assertEqual(9, self.view.outstanding)
        self.view.record_remote_load(10.5, 2)
        self.assertEqual(3, self.view.outstanding)


class WorkTimesTest(testtools.TestCase):
    """Estimates from answers."""

    def test_object_thought_warm_does_not_make_the_server_slow(self) -> None:
        """Pattern: a server forgot an object, and its answer takes as long as a cold one."""
        self.assertEqual(1.0, builders.TIMES.compare(0.65))
        self.assertEqual(1.0, builders.TIMES.compare(0.2))
        self.assertEqual(5.0, builders.TIMES.compare(5 * 0.65))

    def test_first_answers_replace_the_guess(self) -> None:
        """Pattern: a server that has not answered yet must not look slower than one that has."""
        times = processing_times.ProcessingTimes()
        self.assertAlmostEqual(1.0, times.record(ids.RouteName("r"), 0.5, False, 0.01))
        self.assertAlmostEqual(1.0, times.record(ids.RouteName("r"), 0.5, True, 0.01))

    def test_cold_answer_of_a_likely_home_leaves_the_warm_time(self) -> None:
        """Pattern: at the start every object is cold, on its homes too."""
        times = processing_times.ProcessingTimes()
        for _ in range(5):
            times.record(ids.RouteName("r"), 0.5, False, 0.65)
        self.assertEqual(0.25, times.find(ids.RouteName("r"), 0.5).warm)

    def test_estimates_approach_what_is_seen(self) -> None:
        times = processing_times.ProcessingTimes()
        route = ids.RouteName("r")
        for _ in range(60):
            times.record(route, 0.5, True, 0.2)
            times.record(route, 0.5, False, 0.65)
        found = times.find(route, 0.5)
        self.assertTrue(abs(found.warm - 0.2) < 0.01 and abs(found.cold - 0.65) < 0.02, found)
