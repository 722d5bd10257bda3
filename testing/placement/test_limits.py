"""Budgets that instances keep without asking each other."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import attempts, shared_retry_budget, traffic_splits
from caperdyke.state import ids, routes

SERVICE = ids.ServiceName("reader")


class RetryQuotaTest(testtools.TestCase):
    """Repeated sends of many instances under one budget."""

    @parameterized.expand([(1,), (10,), (70,)])
    def test_sum_over_instances(self, instances) -> None:
        """Pattern: every request fails, on every instance at once."""
        quotas = [shared_retry_budget.SharedRetryBudget(0.2, 60, 10.0) for _ in range(instances)]
        firsts = repeats = 0
        for step in range(2000):
            now = step * 0.005
            quota = quotas[step % instances]
            quota.record_request(now, SERVICE)
            firsts += 1
            repeats += quota.try_acquire(now, SERVICE, 1 / instances)
        self.assertTrue(0 < repeats <= 0.2 * firsts + 60, f"got {repeats} of {firsts}")

    def test_window_slides(self) -> None:
        quota = shared_retry_budget.SharedRetryBudget(0.0, 2.0, 10.0)
        self.assertTrue(quota.try_acquire(0.0, SERVICE, 1))
        self.assertFalse(quota.try_acquire(9.0, SERVICE, 1))
        self.assertTrue(quota.try_acquire(10.1, SERVICE, 1))

    def test_copies_leave_half_of_the_budget_to_failed_requests(self) -> None:
        """Pattern: copies are sent all the time, then a server fails all of its requests."""
        quota = shared_retry_budget.SharedRetryBudget(0.0, 20.0, 10.0)
        copies = sum(quota.try_acquire(0.0, SERVICE, 1, reserve_ratio=0.5) for _ in range(50))
        repeats = sum(quota.try_acquire(0.1, SERVICE, 1) for _ in range(50))
        self.assertTrue(0 < copies <= repeats, f"got {copies} copies and {repeats} repeats")

    @parameterized.expand([(1,), (10,)])
    def test_sum_over_a_restart(self, instances) -> None:
        """Pattern: every request fails while all instances are killed and start again."""
        ratio, allowance, window = 0.2, 60, 10.0
        firsts, repeats = [], []
        quotas = []
        for step in range(400):
            now = step / 20
            if now in (0.0, 10.0, 13.0):
                # Known from before the first start, as at the start of a day.
                begun = now if step else -window
                quotas = [
                    shared_retry_budget.SharedRetryBudget(ratio, allowance, window, begun)
                    for _ in range(instances)
                ]
            quota = quotas[step % instances]
            quota.record_request(now, SERVICE)
            firsts.append(now)
            if quota.try_acquire(now, SERVICE, 1 / instances):
                repeats.append(now)
        for start in (at * 0.5 for at in range(21)):
            sent = sum(start <= at < start + window for at in repeats)
            asked = sum(start <= at < start + window for at in firsts)
            bound = ratio * asked + allowance
            self.assertTrue(sent <= bound, f"from {start}: got {sent}, expected at most {bound}")


class SplitCounterTest(testtools.TestCase):
    """Parts of a split route."""

    def test_parts_follow_weights(self) -> None:
        parts = (
            routes.WeightedService(ids.ServiceName("a"), 90.0),
            routes.WeightedService(ids.ServiceName("b"), 10.0),
        )
        route = make_route(parts)
        counter = traffic_splits.WeightedRoundRobin()
        chosen = [counter.choose(route) for _ in range(40)]
        self.assertEqual(4, chosen.count("b"))

    @parameterized.expand([("no weight", 0.0, 0.0, "a"), ("one part", 0.0, 1.0, "b")])
    def test_odd_weights(self, _name, first, second, expected) -> None:
        parts = (
            routes.WeightedService(ids.ServiceName("a"), first),
            routes.WeightedService(ids.ServiceName("b"), second),
        )
        self.assertEqual(expected, traffic_splits.WeightedRoundRobin().choose(make_route(parts)))


class AttemptsTest(testtools.TestCase):
    """When a request may be sent again."""

    @parameterized.expand(
        [
            ("safe after a lost answer", True, "may", True),
            ("unsafe after a lost answer", False, "may", False),
            ("unsafe after a refusal", False, "not", True),
        ]
    )
    def test_another_send(self, _name, is_repeatable, outcome, expected) -> None:
        tries = attempts.Attempts(2, is_repeatable)
        tries.record_reached()
        if outcome == "may":
            tries.record_may_have_run()
        else:
            tries.record_not_run()
        self.assertEqual(expected, tries.allows_retry())

    def test_a_refusal_does_not_undo_a_lost_answer(self) -> None:
        tries = attempts.Attempts(3, True)
        tries.record_may_have_run()
        tries.record_not_run()
        self.assertFalse(tries.is_known_not_run)

    def test_reused_address_is_no_attempt(self) -> None:
        """Pattern: several servers ended at once, and others have their addresses."""
        tries = attempts.Attempts(1, False)
        tries.record_misdirected()
        self.assertTrue(tries.allows_retry() and tries.is_known_not_run)
        self.assertEqual((1, 0), (tries.sent, tries.reached))

    def test_sends_are_bounded(self) -> None:
        tries = attempts.Attempts(1, True)
        tries.record_reached()
        self.assertFalse(tries.allows_retry())


def make_route(parts: tuple[routes.WeightedService, ...]) -> routes.Route:
    """Returns a route with some parts."""
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
