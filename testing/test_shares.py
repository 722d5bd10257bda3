"""Starts of all instances together stay within the contract's limits."""

import dataclasses

import parameterized
import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from caperdyke.coordination import acceptance, allotment, leases, shares
from caperdyke.state import ids, lease, outcome, timing
from testing import builders

ONE = builders.make_holder("one")
TWO = builders.make_holder("two")


def make_limiter(now: float, holder: lease.Holder, row: lease.DomainLease) -> shares.ShareLimiter:
    """Returns a limiter with a lease row."""
    limiter = shares.ShareLimiter(holder, row.domain)
    limiter.apply_row(row)
    return limiter


def count_spends(limiter, table, now: float, is_shifted: bool, attempts: int = 400) -> int:
    """Returns how many of a number of attempted starts are admitted at one moment."""
    refusals = [limiter.spend(now, table, builders.CUSTOMER, is_shifted) for _ in range(attempts)]
    return refusals.count(None)


class ShareLimiterTest(testtools.TestCase):
    """Limits depend on held slices, lease deadlines and confirmations."""

    def setUp(self) -> None:
        super().setUp()
        self.configuration = builders.make_configuration()
        self.table = builders.make_configuration_table(100.0, self.configuration)
        row = builders.make_row(100.0, [ONE, TWO], 2)
        self.limiter_one = make_limiter(100.0, ONE, row)
        self.limiter_two = make_limiter(100.0, TWO, row)

    def test_holders_of_a_domain_spend_exactly_its_part(self) -> None:
        spent = [
            count_spends(item, self.table, 101.0, False)
            for item in (self.limiter_one, self.limiter_two)
        ]
        self.assertEqual(60, sum(spent), "half of luzon's share of 120")

    def test_refusal_contains_the_time_for_a_retry(self) -> None:
        count_spends(self.limiter_one, self.table, 101.0, False)
        refusal = self.limiter_one.spend(101.5, self.table, builders.CUSTOMER, False)
        self.assertEqual(outcome.Reason.SHARE_SPENT, refusal.reason)
        self.assertEqual(102.0, refusal.retry_at)
        self.assertIsNone(self.limiter_one.spend(102.0, self.table, builders.CUSTOMER, False))

    def test_shift_grows_by_its_step(self) -> None:
        counts = []
        for second in (101.0, 102.0, 103.0):
            self.table.confirm(self.configuration.revision, second)
            spent = [
                count_spends(item, self.table, second, True)
                for item in (self.limiter_one, self.limiter_two)
            ]
            counts.append(sum(spent))
        # Of the step of 20, luzon gets 8 and pasig-hall 4; of 20 shifted, pasig-hall gets 10.
        self.assertEqual([4, 8, 10], counts)

    def test_stale_confirmation_allows_only_the_floor(self) -> None:
        stale = 100.0 + timing.CONFIRMATION_AGE_MAX_SECONDS
        spent = [
            count_spends(item, self.table, stale, False)
            for item in (self.limiter_one, self.limiter_two)
        ]
        self.assertEqual(30, sum(spent), "half of luzon's floor of 60")

    def test_expired_lease_allows_only_the_floor_and_later_nothing(self) -> None:
        row = self.limiter_one.row
        self.table.confirm(self.configuration.revision, row.rest_until)
        limits = self.limiter_one.find_limits(row.rest_until, self.table, builders.CUSTOMER)
        self.assertEqual(15, limits.share)
        end = row.rest_until + timing.FLOOR_EXTRA_SECONDS
        self.assertEqual(0, self.limiter_one.find_limits(end, self.table, builders.CUSTOMER).share)

    def test_stricter_of_old_and_new_applies_until_the_in_force_time(self) -> None:
        lowered = builders.change_contract(self.configuration, 200.0, "share = 120", "share = 80")
        row = builders.make_row(199.0, [ONE], 2)
        limiter_one = make_limiter(199.0, ONE, row)
        table = builders.make_configuration_table(199.0, self.configuration)
        table.adopt(200.1, lowered)
        table.confirm(lowered.revision, 200.1)
        self.assertEqual(40, limiter_one.find_limits(200.1, table, builders.CUSTOMER).share)
        raised = builders.change_contract(lowered, 210.0, "share = 80", "share = 120")
        table.adopt(210.1, raised)
        table.confirm(raised.revision, 210.1)
        self.assertEqual(40, limiter_one.find_limits(210.1, table, builders.CUSTOMER).share)
        in_force_at = raised.in_force_at
        table.confirm(raised.revision, in_force_at)
        limiter_one.apply_row(dataclasses.replace(row, version=2, rest_until=in_force_at + 9))
        self.assertEqual(60, limiter_one.find_limits(in_force_at, table, builders.CUSTOMER).share)

    def test_stopped_slice_is_not_spent_until_a_newer_row(self) -> None:
        row = builders.make_row(100.0, [ONE], 2)
        limiter_one = make_limiter(100.0, ONE, row)
        limiter_one.stop_spending(0)
        self.assertEqual(30, limiter_one.find_limits(101.0, self.table, builders.CUSTOMER).share)
        limiter_one.apply_row(dataclasses.replace(row, version=2))
        self.assertEqual(60, limiter_one.find_limits(101.0, self.table, builders.CUSTOMER).share)

    def test_older_and_foreign_rows_are_ignored(self) -> None:
        older = dataclasses.replace(self.limiter_one.row, version=0)
        self.assertFalse(self.limiter_one.apply_row(older))
        foreign = dataclasses.replace(self.limiter_one.row, version=9, domain=ids.DomainName("x"))
        self.assertFalse(self.limiter_one.apply_row(foreign))

    def test_renewal_of_an_unknown_row_is_not_applied(self) -> None:
        self.assertFalse(self.limiter_one.apply_renewal(5, 4, 500.0))
        self.assertTrue(self.limiter_one.apply_renewal(2, 1, 500.0))
        self.assertEqual(500.0, self.limiter_one.row.rest_until)

    def test_unknown_customer_may_not_start_requests(self) -> None:
        other = ids.CustomerName("nobody")
        self.assertEqual(0, self.limiter_one.find_limits(101.0, self.table, other).share)


class AllotmentTest(testtools.TestCase):
    """Parts of all slices add up to exactly the contract's limits."""

    @seed(20261203)
    @settings(max_examples=200, deadline=None, database=None, phases=builders.PHASES)
    @given(st.integers(0, 10_000), st.lists(st.integers(0, 500), min_size=1, max_size=9))
    def test_apportioned_parts_add_up(self, total, weights) -> None:
        parts = allotment.apportion(total, weights, "seed")
        self.assertEqual(total if sum(weights) else 0, sum(parts))
        for part, weight in zip(parts, weights, strict=True):
            share = total * weight / max(1, sum(weights))
            self.assertLessEqual(abs(part - share), 1 if weight else 0)

    def test_slices_add_up_to_the_region(self) -> None:
        configuration = builders.make_configuration()
        contract = configuration.contracts[builders.CUSTOMER]
        for region_limits in contract.regions:
            parts = [
                allotment.allot_slice(configuration, contract, domain, index)
                for domain in configuration.list_region(region_limits.region)
                for index in range(domain.slices)
            ]
            self.assertEqual(region_limits.share, sum(part.share for part in parts))
            self.assertEqual(region_limits.floor, sum(part.floor for part in parts))
            self.assertEqual(region_limits.shift, sum(part.shift for part in parts))
        steps = [
            allotment.allot_slice(configuration, contract, domain, index).step
            for operator_places in configuration.places.values()
            for domain in operator_places.domains
            for index in range(domain.slices)
        ]
        self.assertEqual(contract.shift_step, sum(steps))


class FleetLimitTest(testtools.TestCase):
    """Holders that pause, have stale rows and take over slices keep share, shift and step."""

    @seed(20261203)
    @settings(max_examples=60, deadline=None, database=None, phases=builders.PHASES)
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.booleans(), st.floats(0.01, 0.7), st.integers(0, 9)),
            min_size=30,
            max_size=150,
        )
    )
    def test_sum_over_holders_keeps_the_limits(self, steps) -> None:
        configuration = builders.make_configuration()
        table = builders.make_configuration_table(100.0, configuration)
        stored = lease.make_empty(builders.PASIG, 0)
        holders = [builders.make_holder(f"i{holder_index}") for holder_index in range(3)]
        limiters = [shares.ShareLimiter(holder, builders.PASIG) for holder in holders]
        starts, shifted = [], []
        now = 100.0
        for holder_index, is_shifted, pause, action in steps:
            table.confirm(configuration.revision, now)
            if action == 0:
                planned = leases.plan_renewal(now, stored, [holders[holder_index]], 2)
                stored = dataclasses.replace(planned, version=stored.version + 1)
            if action <= 2:
                limiters[holder_index].apply_row(stored)
            if action == 3:
                now += 15.0
            for _ in range(20):
                if limiters[holder_index].spend(now, table, builders.CUSTOMER, is_shifted) is None:
                    starts.append(now)
                    if is_shifted:
                        shifted.append(now)
            now += pause
        period = 1.0
        for window_end in starts:
            self.assertLessEqual(
                sum(1 for t in starts if window_end - period < t <= window_end), 60
            )
        for window_end in shifted:
            self.assertLessEqual(
                sum(1 for t in shifted if window_end - period < t <= window_end), 10
            )
            index = int(window_end)
            count_now = sum(1 for t in shifted if int(t) == index)
            count_before = sum(1 for t in shifted if int(t) == index - 1)
            self.assertLessEqual(count_now, count_before + 4)


class MovedCapacityTest(testtools.TestCase):
    """A change that moves parts between domains keeps the limit although one domain lacks it."""

    @parameterized.parameterized.expand([(f"{tick * 5}0_ms", tick * 0.05) for tick in range(20)])
    def test_unaware_and_aware_domain_keep_the_region_share(self, _name, first_start) -> None:
        old = builders.make_configuration()
        places = builders.PLACES_TEXT.replace("capacity = 100", "capacity = 150", 1)
        places = places.replace("capacity = 100", "capacity = 50", 1)
        accepted_at = 100.0
        proposal = builders.make_proposal(places, "moved", base=1)
        new = acceptance.accept(accepted_at, old, proposal)
        by_domain = {}
        for domain in ("pasig-hall", "quezon-hall"):
            row = builders.make_row(99.0, [ONE], 2, ids.DomainName(domain))
            by_domain[domain] = (
                make_limiter(99.0, ONE, row),
                # Confirmed just before the change, by the fastest allowed clock.
                builders.make_configuration_table(
                    accepted_at + 2 * timing.CLOCK_ERROR_SECONDS, old
                ),
            )
        aware = by_domain["pasig-hall"][1]
        starts = []
        for tick in range(100):
            now = accepted_at + tick * 0.05
            aware.adopt(now, new)
            aware.confirm(new.revision, now)
            for domain, (limiter, table) in by_domain.items():
                if domain == "pasig-hall" or now >= accepted_at + first_start:
                    starts += [now] * count_spends(limiter, table, now, False, 130)
        for window_end in set(starts):
            recent = sum(1 for t in starts if window_end - 1.0 < t <= window_end)
            self.assertLessEqual(recent, 120, f"{window_end - accepted_at:.2f} s after acceptance")
