"""The pace that servers report, and heavy tails of the times that their runs take."""

import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import (
    answer_times,
    processing_times,
    server_pace,
    server_view,
)
from caperdyke.state import header_fields, ids
from testing.placement import builders

KEY = ids.ObjectKey("k")
ROUTE = ids.RouteName("r")


def make_view(pace: float | None) -> server_view.ServerView:
    """Returns the view of a server that reported its load at time 0."""
    view = server_view.ServerView(builders.make_server("s1"))
    view.record_load_report(0.0, header_fields.ServerLoad(1, 0, 4, pace))
    return view


class ServerPaceTest(testtools.TestCase):
    """Influence of the last report by its age."""

    @parameterized.expand(
        [(0.0, 2.5), (0.15, 2.125), (0.3, 1.75), (0.65, 1.375), (1.0, 1.0), (60.0, 1.0)]
    )
    def test_influence_decays(self, age, expected) -> None:
        """Pattern: work takes 2.5 times as long in spells of 0.6 s.

        Guards against decisions by a spell that is over.
        """
        self.assertAlmostEqual(expected, make_view(2.5).pace.estimate(age))

    def test_pace_multiplies_expected_times(self) -> None:
        """Guards against a queue on a slow machine that is expected to take the usual time."""
        views = [make_view(pace) for pace in (1.0, 2.5)]
        for view in views:
            view.others = view.reported_others = 6
        usual, slow = (
            answer_times.estimate(0.0, view, KEY, 0, 0.0, builders.TIMES) for view in views
        )
        self.assertAlmostEqual(2.5 * usual.wait_s, slow.wait_s)
        self.assertAlmostEqual(2.5 * usual.processing_s, slow.processing_s)

    def test_server_without_pace_is_estimated_by_its_slowdown_alone(self) -> None:
        view = make_view(None)
        view.slowdown = 2.0
        expected = answer_times.estimate(0.0, view, KEY, 9, 0.0, builders.TIMES)
        self.assertEqual(2.0 * builders.TIMES.cold, expected.processing_s)

    @parameterized.expand(
        [
            ("slow throughout", [(0.0, 2.5), (0.5, 2.5)], 0.0, 2.5),
            ("slow at the end", [(0.0, 1.0), (0.5, 2.5)], 0.0, 1.75),
            ("only the answer's own report", [(0.5, 2.5)], 0.0, 2.5),
            ("reports long before the run", [(0.0, 9.0), (2.0, 1.5)], 1.5, 1.5),
        ]
    )
    def test_pace_during_a_run(self, _name, reports, started_at, expected) -> None:
        pace = server_pace.ServerPace()
        for at, value in reports:
            pace.record(at, value)
        self.assertAlmostEqual(expected, pace.find_run_pace(started_at, reports[-1][0]))

    def test_no_pace_during_a_run_without_reports(self) -> None:
        self.assertIsNone(server_pace.ServerPace().find_run_pace(0.0, 1.0))

    def test_restart_discards_the_pace(self) -> None:
        view = make_view(2.5)
        view.reset()
        self.assertEqual(1.0, view.pace.estimate(0.0))
        self.assertFalse(view.pace.is_reported(0.0))


class RobustTimesTest(testtools.TestCase):
    """Estimates from answers of a server whose pace changes and whose runs have a heavy tail."""

    def record_runs(self, seed: int, pace_at):
        """Records 400 runs of 0.2 s, of which 3 of 100 take seven times as long.

        :param pace_at: returns the pace of a run by its number.
        :returns: the view, the estimates, and the highest slowdown on the way.
        """
        rng = random.Random(seed)
        view = server_view.ServerView(builders.make_server("s1"))
        times = processing_times.ProcessingTimes()
        found = times.find(ROUTE, 0.5)
        for _ in range(20):
            found.update(True, 0.2)
            found.update(False, 0.65)
        now, highest = 0.0, 0.0
        for number in range(400):
            pace = pace_at(number)
            elapsed_s = 0.2 * pace * rng.uniform(0.85, 1.15)
            elapsed_s *= 7.0 if rng.random() < 0.03 else 1.0
            started_at, now = now, now + elapsed_s
            view.record_load_report(now, header_fields.ServerLoad(1, 0, 4, pace))
            run_pace = view.pace.find_run_pace(started_at, now)
            ratio = times.record(ROUTE, 0.5, True, elapsed_s, run_pace, now)
            view.record_answer(now, KEY, ratio)
            highest = max(highest, view.slowdown)
        return view, found, highest

    @parameterized.expand([(seed,) for seed in range(10)])
    def test_heavy_tail_is_no_slowdown(self, seed) -> None:
        """Pattern: 3 of 100 runs take seven times as long, on every server.

        Guards against a server that is avoided, or a route that counts as slow, for one such run.
        """
        _, found, highest = self.record_runs(seed, lambda _: 1.0)
        self.assertTrue(highest < 1.3, highest)
        self.assertTrue(0.17 < found.warm < 0.23, found.warm)
        self.assertTrue(0.17 < found.mean < 0.26, found.mean)

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_pace_is_no_slowdown(self, seed) -> None:
        """Pattern: a machine is at 2.5 times the usual time in every seventh spell of 3 runs.

        Guards against counting the pace twice: in the slowdown and as reported.
        """
        view, found, _ = self.record_runs(seed, lambda number: 2.5 if number // 3 % 7 == 6 else 1.0)
        self.assertTrue(0.8 < view.slowdown < 1.25, view.slowdown)
        self.assertTrue(0.17 < found.warm < 0.23, found.warm)

    def test_slowdown_follows_after_five_answers(self) -> None:
        """Guards against a median over so many answers that a slow server is noticed late."""
        view = make_view(1.0)
        for _ in range(5):
            view.record_answer(0.0, KEY, 3.0)
        self.assertEqual(3.0, view.slowdown)

    def test_single_slow_run_in_flight_is_no_slowdown(self) -> None:
        """Pattern: one run takes seven times as long while the server answers others."""
        view = make_view(1.0)
        view.record_send(0.0)
        view.record_activity(1.5)
        expected = answer_times.estimate(2.0, view, KEY, 0, 0.0, builders.TIMES)
        self.assertTrue(expected.processing_s < 0.65, expected.processing_s)

    def test_silent_server_looks_slow_by_its_oldest_request(self) -> None:
        """Guards against a server that stalls and is noticed only by its first late answer."""
        view = make_view(1.0)
        view.record_send(0.0)
        expected = answer_times.estimate(3.0, view, KEY, 0, 0.0, builders.TIMES)
        self.assertAlmostEqual(3.0 - builders.TIMES.cold, expected.processing_s)
