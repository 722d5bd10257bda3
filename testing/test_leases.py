"""A slice of a domain's limits never has two holders that may spend at the same time."""

import dataclasses
import itertools

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from caperdyke.coordination import leases
from caperdyke.state import lease, timing
from testing import builders

ONE = builders.make_holder("one")
TWO = builders.make_holder("two")
# Largest difference between the clocks of two instances, in seconds.
SKEW = 2 * timing.CLOCK_ERROR_SECONDS


def list_rest_indexes(now: float, row: lease.DomainLease, holder: lease.Holder) -> list[int]:
    """Returns the slices of which a holder may spend the rest."""
    held = leases.list_holdings(now, row, holder, is_current=True)
    return [item.slice_index for item in held if item.rest]


class PlanRenewalTest(testtools.TestCase):
    """Renewal extends leases and reassigns and balances slices."""

    def test_holder_gains_one_slice_at_a_time(self) -> None:
        row = leases.plan_renewal(0.0, lease.make_empty(builders.PASIG, 0), [ONE], 3)
        self.assertEqual([0], list_rest_indexes(1.0, row, ONE))

    def test_live_holder_keeps_its_slices(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 4)
        renewed = leases.plan_renewal(3.0, row, [ONE, TWO], 4)
        self.assertEqual(row.slices, renewed.slices)
        self.assertEqual(3.0 + timing.REST_LEASE_SECONDS, renewed.rest_until)

    def test_rest_of_a_silent_holder_is_reassigned_after_its_deadline(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 2)
        (index,) = list_rest_indexes(0.0, row, TWO)
        reassigned = leases.plan_renewal(9.0, row, [ONE], 2)
        self.assertEqual(ONE, reassigned.slices[index].rest_holder)
        expected = row.rest_until + leases.HANDOVER_SECONDS
        self.assertEqual(expected, reassigned.slices[index].rest_from)

    def test_floor_of_a_silent_holder_is_kept_until_its_deadline(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 2)
        (index,) = list_rest_indexes(0.0, row, TWO)
        reassigned = leases.plan_renewal(9.0, row, [ONE], 2)
        later = leases.plan_renewal(400.0, reassigned, [ONE], 2)
        self.assertEqual(TWO, later.slices[index].floor_holder)
        deadline = row.rest_until + timing.FLOOR_EXTRA_SECONDS
        self.assertEqual(deadline, later.slices[index].floor_until)
        after = leases.plan_renewal(deadline + leases.HANDOVER_SECONDS, later, [ONE], 2)
        self.assertEqual(ONE, after.slices[index].floor_holder)

    def test_released_slice_is_free_after_one_period_and_the_clock_error(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 2)
        (index,) = list_rest_indexes(0.0, row, TWO)
        released = leases.plan_release(5.0, row, TWO)
        self.assertEqual([], list_rest_indexes(5.0, released, TWO))
        reassigned = leases.plan_renewal(6.0, released, [ONE], 2)
        self.assertEqual(5.0 + leases.HANDOVER_SECONDS, reassigned.slices[index].rest_from)
        self.assertEqual(5.0 + leases.HANDOVER_SECONDS, reassigned.slices[index].floor_from)

    def test_new_incarnation_is_a_new_holder(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 2)
        restarted = builders.make_holder("two", 2)
        self.assertEqual([], list_rest_indexes(1.0, row, restarted))
        self.assertEqual([], leases.list_holdings(1.0, row, restarted, True))

    def test_surplus_is_released_only_for_better_balance(self) -> None:
        row = builders.make_row(0.0, [ONE], 3)
        self.assertEqual(2, leases.find_surplus(row, ONE, [TWO]))
        balanced = builders.make_row(0.0, [ONE, TWO], 3)
        self.assertIsNone(leases.find_surplus(balanced, ONE, [TWO]))
        self.assertIsNone(leases.find_surplus(row, ONE, []))


class HoldingsTest(testtools.TestCase):
    """A holder stops before its deadlines by the clock error, since its own clock may be slow."""

    def test_rest_ends_before_the_deadline_and_floor_continues(self) -> None:
        row = builders.make_row(0.0, [ONE], 1)
        rest_deadline = row.rest_until - timing.CLOCK_ERROR_SECONDS
        self.assertEqual([0], list_rest_indexes(rest_deadline - 0.01, row, ONE))
        self.assertEqual(
            [leases.Holding(0, True, False)], leases.list_holdings(rest_deadline, row, ONE, 1)
        )
        floor_deadline = row.rest_until + timing.FLOOR_EXTRA_SECONDS - timing.CLOCK_ERROR_SECONDS
        self.assertEqual([], leases.list_holdings(floor_deadline, row, ONE, is_current=True))

    def test_unconfirmed_configuration_allows_only_the_floor(self) -> None:
        row = builders.make_row(0.0, [ONE], 1)
        held = leases.list_holdings(1.0, row, ONE, is_current=False)
        self.assertEqual([leases.Holding(0, True, False)], held)


@dataclasses.dataclass
class InstanceView:
    """One instance with its lease row, which may be outdated, and the error of its clock."""

    holder: lease.Holder
    row: lease.DomainLease
    clock_error: float


step_lists = st.lists(
    st.tuples(
        st.sampled_from(["renew", "learn", "release", "wait", "restart"]),
        st.integers(0, 2),
        st.floats(0.1, 40.0),
    ),
    max_size=40,
)
clock_error_values = st.floats(-timing.CLOCK_ERROR_SECONDS, timing.CLOCK_ERROR_SECONDS)


class SafetyTest(testtools.TestCase):
    """No slice is spent by two holders within one period, whatever updates they miss."""

    @seed(20261203)
    @settings(max_examples=300, deadline=None, database=None, phases=builders.PHASES)
    @given(step_lists, st.tuples(clock_error_values, clock_error_values, clock_error_values))
    def test_holders_of_a_slice_are_one_period_apart(self, steps, clock_errors) -> None:
        stored = lease.make_empty(builders.PASIG, 0)
        views = [
            InstanceView(builders.make_holder(f"i{view_index}"), stored, clock_error)
            for view_index, clock_error in enumerate(clock_errors)
        ]
        spends: dict[tuple[int, str], list[tuple[float, lease.Holder]]] = {}
        now = 1000.0
        for action, view_index, duration in steps:
            view = views[view_index]
            clock = now + view.clock_error
            if action == "renew":
                live = [view.holder] + [v.holder for v in views if duration > 20 and v is not view]
                planned = leases.plan_renewal(clock, stored, live, 2)
                stored = dataclasses.replace(planned, version=stored.version + 1)
                view.row = stored
            elif action == "learn":
                view.row = stored
            elif action == "release":
                released = leases.plan_release(clock, stored, view.holder)
                if released is not None:
                    stored = dataclasses.replace(released, version=stored.version + 1)
                view.row = stored
            elif action == "restart":
                incarnation = view.holder.incarnation + 1
                view.holder = builders.make_holder(view.holder.instance, incarnation)
                view.row = lease.make_empty(builders.PASIG, 0)
            else:
                now += duration
            self._spend_all(now, views, spends)
            now += 0.05
        self._check(spends)

    def _spend_all(self, now: float, views: list[InstanceView], spends: dict) -> None:
        for view in views:
            clock = now + view.clock_error
            for item in leases.list_holdings(clock, view.row, view.holder, True):
                for part, is_held in (("rest", item.rest), ("floor", item.floor)):
                    if is_held:
                        spends.setdefault((item.slice_index, part), []).append((now, view.holder))

    def _check(self, spends: dict) -> None:
        for slice_spends in spends.values():
            for (before, first), (after, second) in itertools.pairwise(slice_spends):
                if first != second:
                    self.assertGreaterEqual(after - before, timing.PERIOD_MAX_SECONDS)
