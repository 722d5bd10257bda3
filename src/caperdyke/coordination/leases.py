"""Decides which instance holds which slice of a failure domain's limits.

Any instance of the domain may write the lease row; the table's version check lets only one of
several concurrent writes succeed. A new holder may spend a slice only after the old holder's
deadline, the clock error and one whole period, so no window of one period contains starts of both.
"""

import collections
import dataclasses

from caperdyke.state import ids, lease, timing

HANDOVER_SECONDS = (
    2 * timing.CLOCK_ERROR_SECONDS + timing.PERIOD_MAX_SECONDS + timing.SEND_DELAY_MAX_SECONDS
)


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Parts of one slice (its floor, the rest) that a holder may spend at one moment."""

    slice_index: int
    floor: bool
    rest: bool


def list_holdings(
    now: float, row: lease.DomainLease, holder: lease.Holder, is_current: bool
) -> list[Holding]:
    """Returns the parts of the row's slices that a holder may spend now.

    :param is_current: whether the holder has confirmed the configuration recently enough.
    """
    return select_holdings(now, row, row.list_slices(holder), holder, is_current)


def select_holdings(
    now: float,
    row: lease.DomainLease,
    lease_slices: list[tuple[int, lease.Slice]],
    holder: lease.Holder,
    is_current: bool,
) -> list[Holding]:
    """Returns what a holder may spend now of the given slices, each with its index."""
    holdings = []
    for index, lease_slice in lease_slices:
        has_floor = _may_spend_floor(now, row, lease_slice, holder)
        has_rest = is_current and _may_spend_rest(now, row, lease_slice, holder)
        if has_floor or has_rest:
            holdings.append(Holding(index, has_floor, has_rest))
    return holdings


def _may_spend_rest(
    now: float, row: lease.DomainLease, lease_slice: lease.Slice, holder: lease.Holder
) -> bool:
    deadline = row.rest_until - timing.CLOCK_ERROR_SECONDS
    return lease_slice.rest_holder == holder and lease_slice.rest_from <= now < deadline


def _may_spend_floor(
    now: float, row: lease.DomainLease, lease_slice: lease.Slice, holder: lease.Holder
) -> bool:
    deadline = row.find_floor_deadline(lease_slice) - timing.CLOCK_ERROR_SECONDS
    return lease_slice.floor_holder == holder and lease_slice.floor_from <= now < deadline


def plan_renewal(
    now: float, row: lease.DomainLease, live: list[lease.Holder], slice_count: int
) -> lease.DomainLease:
    """Returns the row that extends the lease of live holders and reassigns what others held.

    A holder gains at most one slice per renewal, so that the first instance of a domain to start
    does not take the slices that the others are about to request.

    :param live: holders that requested renewal and are not leaving.
    :param slice_count: number of slices that the configuration gives the domain.
    """
    slice_counts = count_slices(row)
    live_set = set(live)
    candidates = sorted(
        live_set, key=lambda holder: (slice_counts[holder], holder.instance), reverse=True
    )
    renewed = []
    for lease_slice in _resize(row, slice_count):
        candidate = candidates[-1] if candidates else None
        changed = _reassign_rest(now, row, lease_slice, live_set, candidate)
        changed = _reassign_floor(now, row, changed, live_set, candidate)
        if changed.epoch != lease_slice.epoch:
            candidates.pop()
        renewed.append(changed)
    rest_until = max(row.rest_until, now + timing.REST_LEASE_SECONDS)
    return dataclasses.replace(row, rest_until=ids.Timestamp(rest_until), slices=tuple(renewed))


def plan_release(
    now: float, row: lease.DomainLease, holder: lease.Holder
) -> lease.DomainLease | None:
    """Returns the row in which a holder that has stopped spending has released its slices.

    Returns None where it holds none.
    """
    free_from = ids.Timestamp(now + HANDOVER_SECONDS)
    lease_slices = tuple(_release(lease_slice, holder, free_from) for lease_slice in row.slices)
    if lease_slices == row.slices:
        return None
    return dataclasses.replace(row, slices=lease_slices)


def plan_slice_release(
    now: float, row: lease.DomainLease, holder: lease.Holder, slice_index: int
) -> lease.DomainLease:
    """Returns the row in which a holder that has stopped spending one slice has released it."""
    lease_slices = list(row.slices)
    free_from = ids.Timestamp(now + HANDOVER_SECONDS)
    lease_slices[slice_index] = _release(lease_slices[slice_index], holder, free_from)
    return dataclasses.replace(row, slices=tuple(lease_slices))


def find_surplus(
    row: lease.DomainLease, holder: lease.Holder, others: list[lease.Holder]
) -> int | None:
    """Returns the index of a slice that a holder should release for balance, or None.

    :param others: other live holders of the domain, with or without slices.
    """
    slice_counts = count_slices(row)
    if not others or slice_counts[holder] <= min(slice_counts[other] for other in others) + 1:
        return None
    held = row.list_slices(holder)
    return held[-1][0] if held else None


def count_slices(row: lease.DomainLease) -> collections.Counter[lease.Holder]:
    """Returns the number of slices of which each holder has a part."""
    slice_counts: collections.Counter[lease.Holder] = collections.Counter()
    for lease_slice in row.slices:
        for holder in {lease_slice.rest_holder, lease_slice.floor_holder}:
            if holder is not None:
                slice_counts[holder] += 1
    return slice_counts


def _release(
    lease_slice: lease.Slice, holder: lease.Holder, free_from: ids.Timestamp
) -> lease.Slice:
    if lease_slice.rest_holder == holder:
        lease_slice = dataclasses.replace(
            lease_slice, rest_holder=None, rest_from=free_from, epoch=lease_slice.epoch + 1
        )
    if lease_slice.floor_holder == holder:
        lease_slice = dataclasses.replace(
            lease_slice,
            floor_holder=None,
            floor_from=free_from,
            floor_until=ids.Timestamp(0),
            epoch=lease_slice.epoch + 1,
        )
    return lease_slice


def _resize(row: lease.DomainLease, slice_count: int) -> list[lease.Slice]:
    lease_slices = list(row.slices)
    empty = lease.make_empty(row.domain, 1).slices[0]
    while len(lease_slices) < slice_count:
        lease_slices.append(empty)
    # Slices beyond the configured count get no allotment, so they need not be removed.
    return lease_slices


def _reassign_rest(
    now: float,
    row: lease.DomainLease,
    lease_slice: lease.Slice,
    live: set[lease.Holder],
    candidate: lease.Holder | None,
) -> lease.Slice:
    if lease_slice.rest_holder in live or candidate is None:
        return lease_slice
    free_from = lease_slice.rest_from
    if lease_slice.rest_holder is not None:
        free_from = max(free_from, row.rest_until + HANDOVER_SECONDS)
    return dataclasses.replace(
        lease_slice,
        rest_holder=candidate,
        rest_from=ids.Timestamp(max(now, free_from)),
        epoch=lease_slice.epoch + 1,
    )


def _reassign_floor(
    now: float,
    row: lease.DomainLease,
    lease_slice: lease.Slice,
    live: set[lease.Holder],
    candidate: lease.Holder | None,
) -> lease.Slice:
    if lease_slice.floor_holder in live:
        if lease_slice.floor_until == 0:
            return lease_slice
        return dataclasses.replace(lease_slice, floor_until=ids.Timestamp(0))
    free_from = lease_slice.floor_from
    if lease_slice.floor_holder is not None:
        deadline = row.find_floor_deadline(lease_slice)
        if now < deadline + HANDOVER_SECONDS:
            # Keeps the deadline last received by a holder that no longer renews; later renewals
            # by others do not extend it.
            return dataclasses.replace(lease_slice, floor_until=ids.Timestamp(deadline))
    if candidate is None:
        return lease_slice
    return dataclasses.replace(
        lease_slice,
        floor_holder=candidate,
        floor_from=ids.Timestamp(max(now, free_from)),
        floor_until=ids.Timestamp(0),
        epoch=lease_slice.epoch + 1,
    )
