"""Observations of one backend server, and the estimates of processing times."""

import testtools

from caperdyke.coordination.placement import processing_times, server_view
from caperdyke.state import ids
from testing.placement import builders

KEY = ids.ObjectKey("k")


class ServerViewTest(testtools.TestCase):
    """Sequences of answers and failures of one server."""

    def setUp(self) -> None:
        super().setUp()
        self.view = server_view.ServerView(builders.make_server("s1"))

    def test_server_that_fails_part_of_its_requests_is_avoided(self) -> None:
        """Pattern: half of the requests fail while the health check succeeds."""
        is_avoided = False
        for number in range(10):
            if number % 2:
                self.view.record_answer(0.0, KEY, 1.0)
            else:
                is_avoided = self.view.record_failure(0.0, 0.0) or is_avoided
        self.assertTrue(is_avoided)

    def test_single_failure_does_not_make_a_server_avoided(self) -> None:
        self.view.record_answer(0.0, KEY, 1.0)
        self.assertFalse(self.view.record_failure(0.0, 0.0))

    def test_no_server_is_avoided_while_all_fail_alike(self) -> None:
        """Pattern: all servers of a service reject half of their requests."""
        for number in range(20):
            if number % 2:
                self.view.record_answer(0.0, KEY, 1.0)
            else:
                self.assertFalse(self.view.record_failure(0.0, 0.5))

    def test_suspension_doubles_while_a_server_is_unreachable(self) -> None:
        pauses = []
        for _ in range(6):
            self.view.record_unreachable(100.0)
            pauses.append(self.view.suspended_until - 100.0)
        self.assertEqual([0.5, 1.0, 2.0, 4.0, 4.0, 4.0], pauses)

    def test_reset_discards_observations(self) -> None:
        self.view.record_answer(0.0, KEY, 5.0)
        self.view.record_unreachable(0.0)
        self.view.reset()
        self.assertFalse(self.view.is_warm(0.0, KEY))
        self.assertEqual((1.0, 0.0), (self.view.slowdown, self.view.suspended_until))

    def test_server_without_any_response_is_unresponsive(self) -> None:
        """Pattern: a server loses power with requests in flight; its connections stay open."""
        self.view.record_send(1.0, due_at=2.0)
        self.assertFalse(self.view.is_unresponsive(1.9))
        self.assertTrue(self.view.is_unresponsive(2.0))

    def test_slow_server_that_answers_other_requests_is_responsive(self) -> None:
        self.view.record_send(1.0, due_at=2.0)
        self.view.record_activity(1.5)
        self.assertFalse(self.view.is_unresponsive(9.0))

    def test_activity_before_the_oldest_request_is_ignored(self) -> None:
        self.view.record_activity(0.9)
        pending = self.view.record_send(1.0, due_at=2.0)
        self.assertTrue(self.view.is_unresponsive(2.0))
        self.view.record_end(pending)
        self.assertFalse(self.view.is_unresponsive(2.0))

    def test_recent_reported_load_precedes_remote_load(self) -> None:
        self.view.in_flight = 1
        self.view.record_reported_load(10.0, 9)
        self.view.record_remote_load(10.1, 2)
        self.assertEqual(9, self.view.outstanding)
        self.view.record_remote_load(10.5, 2)
        self.assertEqual(3, self.view.outstanding)


class WorkTimesTest(testtools.TestCase):
    """Estimates of processing times from answers."""

    def test_unexpectedly_cold_object_adds_no_slowdown(self) -> None:
        """Pattern: a server evicted an object, and its answer takes as long as a cold one."""
        self.assertEqual(1.0, builders.TIMES.compare(0.65))
        self.assertEqual(1.0, builders.TIMES.compare(0.2))
        self.assertEqual(5.0, builders.TIMES.compare(5 * 0.65))

    def test_first_answers_replace_the_initial_estimate(self) -> None:
        """Pattern: a server that has not answered yet must not look slower than one that has."""
        times = processing_times.ProcessingTimes()
        self.assertAlmostEqual(1.0, times.record(ids.RouteName("r"), 0.5, False, 0.01))
        self.assertAlmostEqual(1.0, times.record(ids.RouteName("r"), 0.5, True, 0.01))

    def test_cold_answers_leave_the_warm_estimate(self) -> None:
        """Pattern: at the start every object is cold, on its homes too."""
        times = processing_times.ProcessingTimes()
        for _ in range(5):
            times.record(ids.RouteName("r"), 0.5, False, 0.65)
        self.assertEqual(0.25, times.find(ids.RouteName("r"), 0.5).warm)

    def test_estimates_converge(self) -> None:
        times = processing_times.ProcessingTimes()
        route = ids.RouteName("r")
        for _ in range(60):
            times.record(route, 0.5, True, 0.2)
            times.record(route, 0.5, False, 0.65)
        found = times.find(route, 0.5)
        self.assertTrue(abs(found.warm - 0.2) < 0.01 and abs(found.cold - 0.65) < 0.02, found)
