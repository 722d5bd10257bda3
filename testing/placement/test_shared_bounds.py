"""Bounds on the requests that one server gets from all instances together."""

import itertools

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import shared_bounds
from caperdyke.state import ids
from testing.placement import fleet_views

SERVER = fleet_views.SERVER
SIZES = (10, 68, 750)
LIMITS = (0.0, 0.3, 1.0, 4.7, 20.0, 1e6)
# Arguments of ``bound_cold_start``: 11 requests a second, a factor of 1.5, and 5 in addition.
COLD = (11.0, 1.5, 5.0)


class QuotaSumTest(testtools.TestCase):
    """The quotas of all instances do not add up to more than is allowed during any fault."""

    @parameterized.expand(list(itertools.product(fleet_views.FAULTS, SIZES, LIMITS)))
    def test_named_limit(self, fault, size, limit) -> None:
        bound = shared_bounds.bound_advertised_limit(limit)
        got = fleet_views.simulate(fault, size).sum_quotas(bound)
        # The goal is judged over 4 s; the windows of the bounds last several seconds as well.
        allowed = 1.5 * limit * 4 + 5
        self.assertTrue(got <= allowed, f"got {got}, allowed {allowed}")

    @parameterized.expand(list(itertools.product(fleet_views.FAULTS, SIZES)))
    def test_cold_server(self, fault, size) -> None:
        rate, factor, allowance = COLD
        bound = shared_bounds.bound_cold_start(*COLD)
        got = fleet_views.simulate(fault, size).sum_quotas(bound)
        allowed = rate * factor + allowance
        self.assertTrue(got <= allowed, f"got {got}, allowed {allowed}")

    @parameterized.expand(list(itertools.product(SIZES, LIMITS)))
    def test_quotas_add_up_to_the_bound_without_a_fault(self, size, limit) -> None:
        bound = shared_bounds.bound_advertised_limit(limit)
        self.assertEqual(bound.count, fleet_views.simulate("calm", size).sum_quotas(bound))

    def test_bound_is_not_above_the_limit(self) -> None:
        for limit in LIMITS[1:]:
            bound = shared_bounds.bound_advertised_limit(limit)
            got = bound.count / bound.window
            self.assertTrue(got <= limit, f"{got} a second, expected at most {limit}")


class QuotaPositionTest(testtools.TestCase):
    """The positions of instances in the division of a bound."""

    def test_instances_near_a_server_have_larger_quotas(self) -> None:
        """Pattern: the objects of a server are requested near it, and other instances send none."""
        fleet = fleet_views.simulate("calm", 10)
        bound = shared_bounds.bound_advertised_limit(4.7)
        quotas = {}
        for name, (fleet_view,) in fleet.views.items():
            position = shared_bounds.QuotaPositions().find(
                SERVER, fleet_views.SERVER_DOMAIN, fleet_view, fleet_views.REGIONS
            )
            quotas[name] = shared_bounds.compute_quota(bound, position, fleet_view)
        near = [quota for name, quota in quotas.items() if fleet.domains[name] == "hall-0"]
        far = [quota for name, quota in quotas.items() if fleet.domains[name] != "hall-0"]
        self.assertTrue(min(near) > max(far), quotas)

    def test_instance_without_a_position_has_no_quota(self) -> None:
        fleet_view = shared_bounds.FleetView(None, {ids.InstanceId("a"): "hall-0"}, 1.0)
        position = shared_bounds.QuotaPositions().find(
            SERVER, "hall-0", fleet_view, fleet_views.REGIONS
        )
        self.assertEqual(
            0, shared_bounds.compute_quota(shared_bounds.Bound(9, 1.0), position, fleet_view)
        )

    def test_position_follows_the_fleet(self) -> None:
        positions, own = shared_bounds.QuotaPositions(), ids.InstanceId("a")
        counts = []
        for others in ("", "b", "bc", "c"):
            domains = {ids.InstanceId(name): "hall-0" for name in "a" + others}
            fleet_view = shared_bounds.FleetView(own, domains, 1.0)
            counts.append(
                positions.find(SERVER, "hall-0", fleet_view, fleet_views.REGIONS).counts[0]
            )
        self.assertEqual([1, 2, 3, 2], counts)


class SendHistoryTest(testtools.TestCase):
    """Quotas hold in every sliding window, however many requests arrive."""

    @parameterized.expand([(1, 4.2), (3, 4.2), (9, 1.0), (1, 8.0)])
    def test_no_window_exceeds_the_quota(self, count, window) -> None:
        """Pattern: callers send requests without a pause."""
        history, sent = shared_bounds.SendHistory(), []
        for step in range(4000):
            now = step * 0.01
            if history.find_next_send_time(now, SERVER, count, window) <= now:
                history.record_send(now, SERVER)
                sent.append(now)
        for start in sent:
            got = sum(start <= at < start + window - 1e-9 for at in sent)
            self.assertTrue(got <= count, f"from {start}: got {got}, allowed {count}")
        self.assertTrue(len(sent) >= 0.9 * count * 40 / window, len(sent))

    def test_requests_before_the_limit_was_advertised_count(self) -> None:
        history = shared_bounds.SendHistory()
        for step in range(20):
            history.record_send(step * 0.1, SERVER)
        self.assertEqual(19 * 0.1 + 4.2, history.find_next_send_time(2.0, SERVER, 1, 4.2))

    def test_server_that_left_is_removed(self) -> None:
        history = shared_bounds.SendHistory()
        history.record_send(1.0, SERVER)
        history.remove_server(SERVER)
        self.assertEqual(1.1, history.find_next_send_time(1.1, SERVER, 1, 4.2))
