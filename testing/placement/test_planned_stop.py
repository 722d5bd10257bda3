"""Until when a stopping instance may send a request."""

import math

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import planned_stop, processing_times
from caperdyke.state import ids

ASKED_AT = 100.0
EVEN_SPREAD = [1.0] * planned_stop.ANSWERS_MIN
# Of 100 answers, 10 take three times as long.
UNEVEN_SPREAD = [1.0] * 90 + [3.0] * 10
# Times of the answers of other routes, in proportion to the objective of this one.
FAST = (0.1,) * 30 + (0.2,) * 2
SLOW = (5.0,) * 32


def make_work(**changes) -> planned_stop.Work:
    """Returns the work of a request that may take 0.4 s and may not be repeated."""
    fields = {
        "expected_s": 0.4,
        "spread": EVEN_SPREAD,
        "is_repeatable": False,
        "ends_at": math.inf,
    }
    return planned_stop.Work(**{**fields, **changes})


class PlanTest(testtools.TestCase):
    """The end of an instance, by the time that the platform grants."""

    @parameterized.expand([("1 s", 1.0), ("6 s", 6.0), ("10 s", 10.0), ("30 s", 30.0)])
    def test_work_that_the_platform_kills(self, _name, stop_s) -> None:
        """Guards against a process that still has requests when it is killed."""
        stop = planned_stop.plan(ASKED_AT, stop_s)
        killed_at = ASKED_AT + stop_s
        # Servers may be at work until the last sixth.
        self.assertTrue(killed_at - stop_s / 6 < stop.deadline < stop.exit_at < killed_at, stop)
        self.assertTrue(killed_at - stop.exit_at <= planned_stop.EXIT_MARGIN_S)


class LatestSendTest(testtools.TestCase):
    """The last moment that suffices for a request."""

    @parameterized.expand(
        [
            ("not repeatable", {}, 0.6),
            ("repeatable", {"is_repeatable": True}, 0.6),
            ("not repeatable, uneven", {"spread": UNEVEN_SPREAD}, 1.6),
            ("repeatable, uneven", {"spread": UNEVEN_SPREAD, "is_repeatable": True}, 0.6),
            ("not repeatable, few answers", {"spread": []}, 1.3),
            ("repeatable, few answers", {"spread": [], "is_repeatable": True}, 0.7),
            ("slow server", {"expected_s": 1.5}, 1.975),
            ("few answers, other routes are fast", {"spread": [], "related_s": FAST}, 0.35),
            ("few answers, other routes are slow", {"spread": [], "related_s": SLOW}, 1.3),
            ("one slow answer, other routes are fast", {"spread": [2.0], "related_s": FAST}, 1.1),
            ("answers enough", {"related_s": FAST}, 0.6),
        ]
    )
    def test_work_that_does_not_fit(self, _name, changes, needed_s) -> None:
        """Guards against requests that are sent and cut off."""
        for stop_s in (1.0, 6.0, 10.0, 30.0):
            stop = planned_stop.plan(ASKED_AT, stop_s)
            latest = stop.find_latest_send(make_work(**changes))
            self.assertAlmostEqual(needed_s, stop.deadline - latest, 6)

    @parameterized.expand(
        [
            ("none", 0, False),
            ("too few", processing_times.OBJECTIVE_ANSWERS_MIN - 1, False),
            ("enough", processing_times.OBJECTIVE_ANSWERS_MIN, True),
        ]
    )
    def test_first_request_of_a_route_with_a_long_objective(self, _name, answers, expected) -> None:
        """Guards against refusing the uploads of a rare route for the whole of every stop."""
        times = processing_times.ProcessingTimes()
        for _ in range(answers):
            times.record(ids.RouteName("look-ups"), 0.6, False, 0.2)
        objective, stop = 6.0, planned_stop.plan(ASKED_AT, 6.0)
        upload = times.find(ids.RouteName("uploads"), objective)
        work = make_work(
            expected_s=upload.cold, spread=upload.spread, related_s=times.list_related(objective)
        )
        self.assertEqual(expected, stop.find_latest_send(work) >= ASKED_AT + 2.2)

    @parameterized.expand(
        [
            ("1 s, at the signal", 1.0, 0.0, True),
            ("1 s, just after the last moment", 1.0, 0.28, False),
            ("6 s, at the signal", 6.0, 0.0, True),
            ("6 s, as look-ups expire", 6.0, 2.2, True),
            ("6 s, just before the last moment", 6.0, 4.89, True),
            ("6 s, just after the last moment", 6.0, 4.91, False),
            ("10 s, just before the last moment", 10.0, 8.89, True),
            ("10 s, just after the last moment", 10.0, 8.91, False),
            ("30 s, just before the last moment", 30.0, 28.89, True),
            ("30 s, just after the last moment", 30.0, 28.91, False),
        ]
    )
    def test_moments_of_a_stop(self, _name, stop_s, after_s, expected) -> None:
        stop = planned_stop.plan(ASKED_AT, stop_s)
        self.assertEqual(expected, ASKED_AT + after_s <= stop.find_latest_send(make_work()))

    def test_request_that_ends_before_the_stop(self) -> None:
        """Guards against refusing what its own deadline ends anyway."""
        stop = planned_stop.plan(ASKED_AT, 6.0)
        work = make_work(expected_s=5.0, ends_at=stop.deadline)
        self.assertEqual(math.inf, stop.find_latest_send(work))
