"""Slices of a domain's limits never have two holders that may spend at the same time."""

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
# Seconds that separate the clocks of two instances at worst.
SKEW = 2 * timing.CLOCK_ERROR_SECONDS


def list_indexes(now: float, row: lease.DomainLease, holder: lease.Holder) -> list[int]:
    """Returns the slices of which a holder may spend the rest."""
    held = leases.list_holdings(now, row, holder, is_current=True)
    return [item.slice_index for item in held if item.rest]


class PlanRenewalTest(testtools.TestCase):
    """Renewal extends, reassigns and spreads slices."""

    def test_holder_gains_one_slice_at_a_time(self) -> None:
        row = leases.plan_renewal(0.0, lease.make_empty(builders.PASIG, 0), [ONE], 3)
        self.assertEqual([0], list_indexes(1.0, row, ONE))

    def test_live_holder_keeps_its_slices(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 4)
        renewed = leases.plan_renewal(3.0, row, [ONE, TWO], 4)
        self.assertEqual(row.slices, renewed.slices)
        self.assertEqual(3.0 + timing.REST_LEASE_SECONDS, renewed.rest_until)

    def test_rest_of_a_silent_holder_is_reassigned_after_its_deadline(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 2)
        (index,) = list_indexes(0.0, row, TWO)
        taken = leases.plan_renewal(9.0, row, [ONE], 2)
        self.assertEqual(ONE, taken.slices[index].rest_holder)
        expected = row.rest_until + leases.HANDOVER_SECONDS
        self.assertEqual(expected, taken.slices[index].rest_from)

    def test_floor_of_a_silent_holder_stays_its_own(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 2)
        (index,) = list_indexes(0.0, row, TWO)
        taken = leases.plan_renewal(9.0, row, [ONE], 2)
        later = leases.plan_renewal(400.0, taken, [ONE], 2)
        self.assertEqual(TWO, later.slices[index].floor_holder)
        deadline = row.rest_until + timing.FLOOR_EXTRA_SECONDS
        self.assertEqual(deadline, later.slices[index].floor_until)
        after = leases.plan_renewal(deadline + leases.HANDOVER_SECONDS, later, [ONE], 2)
        self.assertEqual(ONE, after.slices[index].floor_holder)

    def test_released_slice_is_free_after_one_period_and_the_clock_error(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 2)
        (index,) = list_indexes(0.0, row, TWO)
        released = leases.plan_release(5.0, row, TWO)
        self.assertEqual([], list_indexes(5.0, released, TWO))
        taken = leases.plan_renewal(6.0, released, [ONE], 2)
        self.assertEqual(5.0 + leases.HANDOVER_SECONDS, taken.slices[index].rest_from)
        self.assertEqual(5.0 + leases.HANDOVER_SECONDS, taken.slices[index].floor_from)

    def test_new_incarnation_is_a_new_holder(self) -> None:
        row = builders.make_row(0.0, [ONE, TWO], 2)
        restarted = builders.make_holder("two", 2)
        self.assertEqual([], list_indexes(1.0, row, restarted))
        self.assertEqual([], leases.list_holdings(1.0, row, restarted, True))

    def test_surplus_is_given_up_only_for_a_gain(self) -> None:
        row = builders.make_row(0.0, [ONE], 3)
        self.assertEqual(2, leases.find_surplus(row, ONE, [TWO]))
        balanced = builders.make_row(0.0, [ONE, TWO], 3)
        self.assertIsNone(leases.find_surplus(balanced, ONE, [TWO]))
        self.assertIsNone(leases.find_surplus(row, ONE, []))


class HoldingsTest(testtools.TestCase):
    """A holder checks its deadlines by its own clock, less the clock error."""

    def test_rest_ends_before_the_deadline_and_floor_goes_on(self) -> None:
        row = builders.make_row(0.0, [ONE], 1)
        late = row.rest_until - timing.CLOCK_ERROR_SECONDS
        self.assertEqual([0], list_indexes(late - 0.01, row, ONE))
        self.assertEqual([leases.Holding(0, True, False)], leases.list_holdings(late, row, ONE, 1))
        end = row.rest_until + timing.FLOOR_EXTRA_SECONDS - timing.CLOCK_ERROR_SECONDS
        self.assertEqual([], leases.list_holdings(end, row, ONE, is_current=True))

    def test_unconfirmed_configuration_leaves_the_floor(self) -> None:
        row = builders.make_row(0.0, [ONE], 1)
        held = leases.list_holdings(1.0, row, ONE, is_current=False)
        self.assertEqual([leases.Holding(0, True, False)], held)


@dataclasses.dataclass
class View:
    """What one instance knows: it may be old, and its clock may be wrong."""

    holder: lease.Holder
    row: lease.DomainLease
    error: float


events = st.lists(
    st.tuples(
        st.sampled_from(["renew", "learn", "release", "wait", "restart"]),
        st.integers(0, 2),
        st.floats(0.1, 40.0),
    ),
    max_size=40,
)
errors = st.floats(-timing.CLOCK_ERROR_SECONDS, timing.CLOCK_ERROR_SECONDS)


class SafetyTest(testtools.TestCase):
    """Whatever instances know, miss or do late, no slice is spent twice within one period."""

    @seed(20261203)
    @settings(max_examples=300, deadline=None, database=None, phases=builders.PHASES)
    @given(events, st.tuples(errors, errors, errors))
    def test_holders_of_a_slice_are_one_period_apart(self, steps, clock_errors) -> None:
        stored = lease.make_empty(builders.PASIG, 0)
        views = [
            View(builders.make_holder(f"i{number}"), stored, error)
            for number, error in enumerate(clock_errors)
        ]
        spends: dict[tuple[int, str], list[tuple[float, lease.Holder]]] = {}
        now = 1000.0
        for action, number, length in steps:
            view = views[number]
            clock = now + view.error
            if action == "renew":
                live = [view.holder] + [v.holder for v in views if length > 20 and v is not view]
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
                now += length
            self._spend_all(now, views, spends)
            now += 0.05
        self._check(spends)

    def _spend_all(self, now: float, views: list[View], spends: dict) -> None:
        for view in views:
            clock = now + view.error
            for item in leases.list_holdings(clock, view.row, view.holder, True):
                for part, is_held in (("rest", item.rest), ("floor", item.floor)):
                    if is_held:
                        spends.setdefault((item.slice_index, part), []).append((now, view.holder))

    def _check(self, spends: dict) -> None:
        for times in spends.values():
            for (before, first), (after, second) in itertools.pairwise(times):
                if first != second:
                    self.assertGreaterEqual(after - before, timing.PERIOD_MAX_SECONDS)
