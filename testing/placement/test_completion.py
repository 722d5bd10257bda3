"""Requests that must not run twice are placed where they are expected to complete."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import completion, processing_times, selection, server_pace
from caperdyke.state import header_fields, ids
from testing.placement import builders

# A route whose warm runs take 610 ms on average, with a timeout of 1,200 ms.
BOOKING_TIMES = builders.make_measured_times(warm=0.61, cold=1.83)
TIMEOUT_S = 1.2


def make_candidate(name: str, outstanding: int = 0, pace: float = 1.0, warm: str = "k"):
    """Returns a candidate that reported its load and pace at time 0."""
    candidate = builders.make_candidate(name, outstanding, warm=warm)
    load = header_fields.ServerLoad(outstanding, 0, 4, pace)
    candidate.view.record_load_report(0.0, load)
    candidate.view.slowdown_measured_at = 0.0
    return candidate


def select(candidates, times=BOOKING_TIMES, now=0.0, **options) -> selection.Selection:
    """Returns the selection for a request that must not run twice."""
    options = {"objective_at": 0.8, "deadline": TIMEOUT_S, "timeout_s": TIMEOUT_S} | options
    needs = builders.make_requirements(**{"is_repeatable": False} | options)
    return selection.select_server(now, needs, candidates, times)


def find_name(selected: selection.Selection) -> str:
    """Returns the name of the selected server, or an empty string if the request is rejected."""
    return selected.view.server.backend if isinstance(selected, selection.Placement) else ""


class CompletionTest(testtools.TestCase):
    """Pattern: a cold run, a slow machine or a queue each exceed the timeout; a warm run does not.

    Guards against attempts that end with the timeout, while the request must not be repeated.
    """

    @parameterized.expand(
        [
            # Outstanding requests, pace and warm object of the first home.
            ("first home is free", 0, 1.0, "k", "home"),
            ("first home is slow at the moment", 0, 2.5, "k", "other"),
            ("first home has a queue", 8, 1.0, "k", "other"),
        ]
    )
    def test_server_that_can_complete_is_used(self, _name, busy, pace, warm, expected) -> None:
        candidates = [
            make_candidate("home", busy, pace, warm),
            make_candidate("second", warm=""),
            make_candidate("third", warm=""),
            make_candidate("other"),
        ]
        self.assertEqual(expected, find_name(select(candidates)))

    def test_known_warm_server_precedes_homes_that_may_be_cold(self) -> None:
        candidates = [
            make_candidate("home", warm=""),
            make_candidate("second", warm=""),
            make_candidate("third", warm=""),
            make_candidate("other"),
        ]
        self.assertEqual("other", find_name(select(candidates)))

    def test_repeatable_request_is_placed_by_cost(self) -> None:
        candidates = [make_candidate("home", warm=""), make_candidate("other", 3)]
        self.assertEqual("home", find_name(select(candidates, is_repeatable=True)))

    @parameterized.expand(
        [
            # Outstanding requests and pace of the homes; warm object of the other servers.
            ("all slow at the moment", 0, 2.5, "k"),
            ("all with a queue", 9, 1.0, "k"),
            ("homes slow at the moment, others cold", 0, 2.5, ""),
            ("homes with a queue, others cold", 9, 1.0, ""),
        ]
    )
    def test_request_that_no_server_can_complete_is_rejected(self, _name, busy, pace, warm) -> None:
        is_cold = not warm
        candidates = [make_candidate(name, busy, pace) for name in ("home", "second")]
        candidates += [
            make_candidate(name, 0 if is_cold else busy, 1.0 if is_cold else pace, warm)
            for name in ("third", "fourth")
        ]
        selected = select(candidates)
        self.assertIsInstance(selected, selection.NoCapacity)
        self.assertFalse(selected.is_empty)
        self.assertTrue(0.1 <= selected.retry_after <= 1.0, selected.retry_after)

    def test_retry_delay_names_the_time_when_a_pace_is_outdated(self) -> None:
        selected = select([make_candidate("a", pace=2.5)])
        self.assertEqual(server_pace.PACE_HALF_S, selected.retry_after)

    def test_deadline_of_the_caller_counts(self) -> None:
        """Pattern: a caller has 0.4 s left for a run of 0.61 s."""
        self.assertEqual("", find_name(select([make_candidate("home")], deadline=0.4)))

    def test_objective_decides_between_servers_that_can_complete(self) -> None:
        """Pattern: the cheapest server that can complete is late, as it is far behind in its queue.

        Guards against a preference for the near server at the price of the objective.
        """
        candidates = [
            make_candidate("queue", 4),
            make_candidate("far", 0),
            make_candidate("slow", pace=2.5),
        ]
        candidates[1] = selection.Candidate(candidates[1].view, False, 0.03)
        self.assertEqual("far", find_name(select(candidates, objective_at=0.7, far_seconds=0.15)))

    def test_initial_estimates_prefer_the_home(self) -> None:
        """Pattern: an instance gets a few bookings in a minute; its estimates are those of a start.

        Guards against a cold server that seems to complete the request by such an estimate.
        """
        times = processing_times.ProcessingTimes().find(ids.RouteName("booking"), 0.8)
        candidates = [
            make_candidate("home", 4),
            make_candidate("second", 4),
            make_candidate("cold", warm=""),
        ]
        self.assertEqual("home", find_name(select(candidates, times)))

    def test_runs_on_homes_do_not_lower_the_time_of_a_cold_run(self) -> None:
        """Pattern: this instance knows of no home that is warm, and all of them are."""
        times = processing_times.ProcessingTimes()
        route = ids.RouteName("booking")
        for _ in range(20):
            times.record(route, 0.8, False, 0.61, 1.0, 0.0)
        times.record(route, 0.8, True, 0.61, 1.0, 0.0)
        conditions = completion.Conditions(1.2, 1.2, True, times.find(route, 0.8))
        self.assertTrue(conditions.estimate_cold() > 1.2, conditions.estimate_cold())
        for _ in range(completion.COLD_ANSWERS_MIN):
            times.record(route, 0.8, False, 0.7, 1.0, 0.0, is_certainly_cold=True)
        self.assertAlmostEqual(0.7, conditions.estimate_cold())

    def test_request_without_an_object_is_neither_warm_nor_cold(self) -> None:
        """Guards against requests without an object that are rejected as if all were cold."""
        times = processing_times.ProcessingTimes()
        route = ids.RouteName("booking")
        for _ in range(20):
            times.record(route, 0.8, False, 0.61, 1.0, 0.0)
        candidates = [make_candidate("any", warm="")]
        self.assertEqual("any", find_name(select(candidates, times.find(route, 0.8), key="")))


class UncertainEstimatesTest(testtools.TestCase):
    """Estimates that must not reject every request; the best chance is taken then.

    Guards against a route for which nothing is placed, so that nothing corrects its estimates.
    """

    def test_initial_estimates_reject_nothing(self) -> None:
        """Pattern: a route was just added, with a short timeout and no measured times."""
        times = processing_times.ProcessingTime(warm=5.0, cold=12.0, mean=5.0)
        self.assertEqual("home", find_name(select([make_candidate("home")], times)))

    def test_few_answers_reject_nothing(self) -> None:
        times = processing_times.ProcessingTime(0.61, 1.83, 0.61, warm_answers=7)
        for _ in range(completion.ANSWERS_MIN - 1):
            times.record_ratio(0.0, True, 0.61)
        self.assertEqual("a", find_name(select([make_candidate("a", pace=2.5)], times)))

    def test_warm_time_above_the_timeout_rejects_nothing(self) -> None:
        """Pattern: a configuration sets a timeout below what the route takes."""
        times = builders.make_measured_times(warm=1.5, cold=4.5)
        candidates = [make_candidate("slow", pace=2.5), make_candidate("usual")]
        self.assertEqual("usual", find_name(select(candidates, times)))

    def test_outdated_route_estimate_rejects_nothing(self) -> None:
        now = completion.ESTIMATES_S + 1
        candidate = make_candidate("a")
        candidate.view.record_load_report(now, header_fields.ServerLoad(0, 0, 4, 2.5))
        selected = select([candidate], now=now, deadline=now + TIMEOUT_S, objective_at=now + 0.8)
        self.assertEqual("a", find_name(selected))

    @parameterized.expand([("recent", 0.0, ""), ("outdated", 6.0, "a")])
    def test_slowdown_rejects_only_while_it_is_recent(self, _name, now, expected) -> None:
        candidate = make_candidate("a")
        candidate.view.slowdown = 4.0
        selected = select([candidate], now=now, deadline=now + TIMEOUT_S, objective_at=now + 0.8)
        self.assertEqual(expected, find_name(selected))

    @parameterized.expand([("recent", 0.5, False), ("outdated", 1.5, True)])
    def test_load_rejects_only_while_it_is_recent(self, _name, now, is_placed) -> None:
        """Pattern: the load that instances announced to each other is seconds old."""
        candidates = [
            *(builders.make_candidate(name, 8, warm="k") for name in ("home", "second")),
            *(builders.make_candidate(name) for name in ("third", "fourth", "fifth")),
        ]
        for candidate in candidates[:2]:
            candidate.view.record_load_report(0.0, header_fields.ServerLoad(8, 0, 4))
        selected = select(candidates, now=now, deadline=now + TIMEOUT_S, objective_at=now + 0.8)
        self.assertEqual(is_placed, isinstance(selected, selection.Placement))

    def test_timeout_far_above_processing_times_changes_nothing(self) -> None:
        """Pattern: the earlier deployments; warm runs of 0.2 s, cold ones of 0.65 s, 10 s timeout.

        Guards against another choice of servers there.
        """
        times = builders.make_measured_times(warm=0.2, cold=0.65)
        for busy in range(10):
            for pace in (1.0, 2.5):
                candidates = [
                    make_candidate("home", busy, pace, ""),
                    make_candidate("second", 2, warm=""),
                    make_candidate("third", 1),
                    make_candidate("fourth", 0, warm=""),
                ]
                options = {"deadline": 10.0, "timeout_s": 10.0}
                self.assertEqual(
                    find_name(select(candidates, times, is_repeatable=True, **options)),
                    find_name(select(candidates, times, is_repeatable=False, **options)),
                )
