"""The shared retry budget, the split of traffic among services, and the limits on attempts."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import attempts, shared_retry_budget, traffic_splits
from caperdyke.state import ids, routes

SERVICE = ids.ServiceName("reader")


class RetryQuotaTest(testtools.TestCase):
    """Retries of many instances within one budget."""

    @parameterized.expand([(1,), (10,), (70,)])
    def test_sum_over_instances_is_within_the_budget(self, instances) -> None:
        """Pattern: every request fails on every instance at the same time."""
        budgets = [shared_retry_budget.SharedRetryBudget(0.2, 60, 10.0) for _ in range(instances)]
        requests = retries = 0
        for step in range(2000):
            now = step * 0.005
            budget = budgets[step % instances]
            budget.record_request(now, SERVICE)
            requests += 1
            retries += budget.try_acquire(now, SERVICE, 1 / instances)
        self.assertTrue(0 < retries <= 0.2 * requests + 60, f"got {retries} of {requests}")

    def test_window_slides(self) -> None:
        budget = shared_retry_budget.SharedRetryBudget(0.0, 2.0, 10.0)
        self.assertTrue(budget.try_acquire(0.0, SERVICE, 1))
        self.assertFalse(budget.try_acquire(9.0, SERVICE, 1))
        self.assertTrue(budget.try_acquire(10.1, SERVICE, 1))

    def test_reserve_is_left_for_retries(self) -> None:
        """Pattern: copies are sent continuously, then a server fails all of its requests."""
        budget = shared_retry_budget.SharedRetryBudget(0.0, 20.0, 10.0)
        copies = sum(budget.try_acquire(0.0, SERVICE, 1, reserve_ratio=0.5) for _ in range(50))
        retries = sum(budget.try_acquire(0.1, SERVICE, 1) for _ in range(50))
        self.assertTrue(0 < copies <= retries, f"got {copies} copies and {retries} repeats")

    @parameterized.expand([(1,), (10,)])
    def test_sum_over_a_restart_is_within_the_budget(self, instances) -> None:
        """Pattern: every request fails while all instances are killed and restarted."""
        ratio, allowance, window = 0.2, 60, 10.0
        requests, retries = [], []
        budgets = []
        for step in range(400):
            now = step / 20
            if now in (0.0, 10.0, 13.0):
                # The first instances started a window earlier, so they may use the allowance.
                started_at = now if step else -window
                budgets = [
                    shared_retry_budget.SharedRetryBudget(ratio, allowance, window, started_at)
                    for _ in range(instances)
                ]
            budget = budgets[step % instances]
            budget.record_request(now, SERVICE)
            requests.append(now)
            if budget.try_acquire(now, SERVICE, 1 / instances):
                retries.append(now)
        for start in (at * 0.5 for at in range(21)):
            retry_count = sum(start <= at < start + window for at in retries)
            request_count = sum(start <= at < start + window for at in requests)
            bound = ratio * request_count + allowance
            self.assertTrue(
                retry_count <= bound, f"from {start}: got {retry_count}, expected at most {bound}"
            )


class SplitCounterTest(testtools.TestCase):
    """The services of a route whose traffic is split."""

    def test_shares_follow_weights(self) -> None:
        parts = (
            routes.WeightedService(ids.ServiceName("a"), 90.0),
            routes.WeightedService(ids.ServiceName("b"), 10.0),
        )
        route = make_route(parts)
        counter = traffic_splits.WeightedRoundRobin()
        chosen = [counter.choose(route) for _ in range(40)]
        self.assertEqual(4, chosen.count("b"))

    @parameterized.expand([("no weight", 0.0, 0.0, "a"), ("one part", 0.0, 1.0, "b")])
    def test_unusual_weights(self, _name, first, second, expected) -> None:
        parts = (
            routes.WeightedService(ids.ServiceName("a"), first),
            routes.WeightedService(ids.ServiceName("b"), second),
        )
        self.assertEqual(expected, traffic_splits.WeightedRoundRobin().choose(make_route(parts)))


class AttemptsTest(testtools.TestCase):
    """The conditions under which a request may be retried."""

    @parameterized.expand(
        [
            ("safe after a lost answer", True, "may", True),
            ("unsafe after a lost answer", False, "may", False),
            ("unsafe after a refusal", False, "not", True),
        ]
    )
    def test_retry_depends_on_repeatability_and_outcome(
        self, _name, is_repeatable, outcome, expected
    ) -> None:
        request_attempts = attempts.Attempts(2, is_repeatable)
        request_attempts.record_reached()
        if outcome == "may":
            request_attempts.record_may_have_run()
        else:
            request_attempts.record_not_run()
        self.assertEqual(expected, request_attempts.allows_retry())

    def test_later_refusal_does_not_undo_a_lost_answer(self) -> None:
        request_attempts = attempts.Attempts(3, True)
        request_attempts.record_may_have_run()
        request_attempts.record_not_run()
        self.assertFalse(request_attempts.is_known_not_run)

    def test_reused_address_does_not_use_up_an_attempt(self) -> None:
        """Pattern: several servers ended at once, and other servers now have their addresses."""
        request_attempts = attempts.Attempts(1, False)
        request_attempts.record_misdirected()
        self.assertTrue(request_attempts.allows_retry() and request_attempts.is_known_not_run)
        self.assertEqual((1, 0), (request_attempts.sent, request_attempts.reached))

    def test_number_of_servers_is_bounded(self) -> None:
        request_attempts = attempts.Attempts(1, True)
        request_attempts.record_reached()
        self.assertFalse(request_attempts.allows_retry())


def make_route(parts: tuple[routes.WeightedService, ...]) -> routes.Route:
    """Returns a route that is split into parts."""
    return routes.Route(
        ids.RouteName("r"),
        "shop.example",
        "/",
        routes.RouteKind.SAFE,
        parts,
        1000.0,
        500.0,
        1,
        2,
        True,
        frozenset(),
    )
