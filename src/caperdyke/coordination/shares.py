"""Admits request starts within an instance's part of the contract limits."""

import dataclasses

from caperdyke.coordination import adoption, allotment, leases
from caperdyke.state import configuration as configurations
from caperdyke.state import ids, lease, outcome, window


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of an instance on the request starts of one customer.

    :param share: most starts in one period.
    :param shift: most starts in one period outside the caller's home region.
    :param step: most by which shifted starts may grow from one period to the next.
    """

    share: int
    shift: int
    step: int


@dataclasses.dataclass(slots=True)
class _Usage:
    starts: window.SlidingWindow
    shifted: window.SlidingWindow
    ramp: window.PeriodCounter


class ShareLimiter:
    """Counts request starts of one instance against the slices that it holds.

    :param holder: this process.
    :param domain: failure domain of this process.
    """

    def __init__(self, holder: lease.Holder, domain: ids.DomainName) -> None:
        self._holder = holder
        self._domain = domain
        self._usages: dict[ids.CustomerName, _Usage] = {}
        self.row = lease.make_empty(domain, 0)
        self._stopped_slices: set[int] = set()
        self._held_slices: list[tuple[int, lease.Slice]] = []
        # Limits by customer and holdings, cached for the configurations in effect.
        self._limits: dict[tuple, Limits] = {}
        self._limits_revisions: tuple[ids.Revision, ...] = ()

    def stop_spending(self, slice_index: int) -> None:
        """Stops spending a slice at once, until a newer lease row is applied."""
        self._stopped_slices.add(slice_index)

    def apply_row(self, row: lease.DomainLease) -> bool:
        """Replaces the lease row by a newer one of this domain; returns whether it was newer."""
        if row.domain != self._domain or row.version <= self.row.version:
            return False
        self.row = row
        self._held_slices = row.list_slices(self._holder)
        self._stopped_slices.clear()
        return True

    def apply_renewal(self, version: int, previous_version: int, rest_until: float) -> bool:
        """Extends the deadline of the lease row; returns False where an earlier write is missing.

        :param previous_version: version of the row that the renewal extends.
        """
        if version <= self.row.version:
            return True
        if previous_version != self.row.version:
            return False
        self.row = dataclasses.replace(
            self.row, version=version, rest_until=ids.Timestamp(rest_until)
        )
        return True

    def list_holdings(
        self, now: float, configuration_table: adoption.ConfigurationTable
    ) -> list[leases.Holding]:
        """Returns the parts of slices that may be spent now."""
        holdings = leases.select_holdings(
            now, self.row, self._held_slices, self._holder, configuration_table.is_current(now)
        )
        return [item for item in holdings if item.slice_index not in self._stopped_slices]

    def find_limits(
        self,
        now: float,
        configuration_table: adoption.ConfigurationTable,
        customer: ids.CustomerName,
    ) -> Limits:
        """Returns the strictest limits of all configurations in effect now."""
        effective = configuration_table.list_effective(now)
        revisions = tuple(item.revision for item in effective)
        if revisions != self._limits_revisions:
            self._limits_revisions = revisions
            self._limits.clear()
        holdings = tuple(self.list_holdings(now, configuration_table))
        cached = self._limits.get((customer, holdings))
        if cached is None:
            cached = _find_strictest(effective, customer, self._domain, holdings)
            self._limits[customer, holdings] = cached
        return cached

    def spend(
        self,
        now: float,
        configuration_table: adoption.ConfigurationTable,
        customer: ids.CustomerName,
        is_shifted: bool,
    ) -> outcome.Refusal | None:
        """Counts one start, or returns the refusal when a limit is reached.

        The caller must send the request without awaiting anything in between.
        """
        limits = self.find_limits(now, configuration_table, customer)
        usage = self._find_usage(configuration_table, customer)
        if usage.starts.count(now) >= limits.share:
            retry_at = usage.starts.find_free_time(now, limits.share)
            return outcome.refuse(outcome.Reason.SHARE_SPENT, retry_at)
        if is_shifted:
            refusal = _spend_shift(now, usage, limits)
            if refusal is not None:
                return refusal
        usage.starts.add(now)
        return None

    def count(self, now: float, customer: ids.CustomerName) -> int:
        """Returns the number of a customer's starts in the period that ends now."""
        usage = self._usages.get(customer)
        return usage.starts.count(now) if usage else 0

    def _find_usage(
        self, configuration_table: adoption.ConfigurationTable, customer: ids.CustomerName
    ) -> _Usage:
        usage = self._usages.get(customer)
        if usage is None:
            contract = configuration_table.newest.contracts[customer]
            period = contract.period_ms / 1000
            usage = _Usage(
                window.SlidingWindow(period),
                window.SlidingWindow(period),
                window.PeriodCounter(period),
            )
            self._usages[customer] = usage
        return usage


def _spend_shift(now: float, usage: _Usage, limits: Limits) -> outcome.Refusal | None:
    if usage.shifted.count(now) >= limits.shift:
        retry_at = usage.shifted.find_free_time(now, limits.shift)
        return outcome.refuse(outcome.Reason.SHIFT_SPENT, retry_at)
    if usage.ramp.count(now) >= usage.ramp.count_previous(now) + limits.step:
        return outcome.refuse(outcome.Reason.SHIFT_SPENT, usage.ramp.find_next_start(now))
    usage.shifted.add(now)
    usage.ramp.add(now)
    return None


def _find_strictest(
    effective: list[configurations.Configuration],
    customer: ids.CustomerName,
    domain: ids.DomainName,
    holdings: tuple[leases.Holding, ...],
) -> Limits:
    limits = [_sum_holdings(item, customer, domain, holdings) for item in effective]
    if not limits:
        return Limits(0, 0, 0)
    return Limits(
        min(item.share for item in limits),
        min(item.shift for item in limits),
        min(item.step for item in limits),
    )


def _sum_holdings(
    configuration: configurations.Configuration,
    customer: ids.CustomerName,
    domain_name: ids.DomainName,
    holdings: tuple[leases.Holding, ...],
) -> Limits:
    contract = configuration.contracts.get(customer)
    domain = configuration.find_domain(domain_name)
    if contract is None or domain is None:
        return Limits(0, 0, 0)
    parts = allotment.allot_domain(configuration, contract, domain)
    share = shift = step = 0
    for holding in holdings:
        if holding.slice_index < len(parts):
            part = parts[holding.slice_index]
            share += _count_held(part.share, part.floor, holding)
            shift += _count_held(part.shift, part.shift_floor, holding)
            step += _count_held(part.step, part.step_floor, holding)
    return Limits(share, shift, step)


def _count_held(total: int, floor: int, holding: leases.Holding) -> int:
    if holding.floor and holding.rest:
        return total
    if holding.rest:
        return total - floor
    return floor
