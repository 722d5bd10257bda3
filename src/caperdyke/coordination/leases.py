"""Decides who holds which slice of a failure domain's limits.

Any instance of the domain may write the lease row; the table's version check makes one writer win.
A slice changes hands only after the old holder's deadline, the clock error and one whole period,
so no window of one period sees starts of both holders.
"""

import collections
import dataclasses

from caperdyke.state import ids, lease, timing

HANDOVER_SECONDS = (
    2 * timing.CLOCK_ERROR_SECONDS + timing.PERIOD_MAX_SECONDS + timing.SEND_DELAY_MAX_SECONDS
)


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Parts of one slice that a holder may spend at one moment."""

    slice_index: int
    floor: bool
    rest: bool


def list_holdings(
    now: float, row: lease.DomainLease, holder: lease.Holder, is_current: bool
) -> list[Holding]:
    """Returns what a holder may spend now.

    :param is_current: whether the holder has confirmed the configuration recently enough.
    """
    return select_holdings(now, row, row.list_slices(holder), holder, is_current)


def select_holdings(
    now: float,
    row: lease.DomainLease,
    parts: list[tuple[int, lease.Slice]],
    holder: lease.Holder,
    is_current: bool,
) -> list[Holding]:
    """Returns what a holder may spend now of slices that it has a part of."""
    holdings = []
    for index, part in parts:
        has_floor = _may_spend_floor(now, row, part, holder)
        has_rest = is_current and _may_spend_rest(now, row, part, holder)
        if has_floor or has_rest:
            holdings.append(Holding(index, has_floor, has_rest))
    return holdings


def _may_spend_rest(
    now: float, row: lease.DomainLease, part: lease.Slice, holder: lease.Holder
) -> bool:
    deadline = row.rest_until - timing.CLOCK_ERROR_SECONDS
    return part.rest_holder == holder and part.rest_from <= now < deadline


def _may_spend_floor(
    now: float, row: lease.DomainLease, part: lease.Slice, holder: lease.Holder
) -> bool:
    deadline = row.find_floor_deadline(part) - timing.CLOCK_ERROR_SECONDS
    return part.floor_holder == holder and part.floor_from <= now < deadline


def plan_renewal(
    now: float, row: lease.DomainLease, live: list[lease.Holder], slice_count: int
) -> lease.DomainLease:
    """Returns the row that extends the lease of live holders and reassigns what others held.

    A holder gains at most one slice at a time, so that the first instance of a domain to start
    does not take what the others are about to ask for.

    :param live: holders that asked for renewal and are not leaving.
    :param slice_count: slices that the configuration gives the domain.
    """
    counts = count_slices(row)
    living = set(live)
    waiting = sorted(living, key=lambda holder: (counts[holder], holder.instance), reverse=True)
    renewed = []
    for part in _resize(row, slice_count):
        chosen = waiting[-1] if waiting else None
        changed = _reassign_rest(now, row, part, living, chosen)
        changed = _reassign_floor(now, row, changed, living, chosen)
        if changed.epoch != part.epoch:
            waiting.pop()
        renewed.append(changed)
    rest_until = max(row.rest_until, now + timing.REST_LEASE_SECONDS)
    return dataclasses.replace(row, rest_until=ids.Timestamp(rest_until), slices=tuple(renewed))


def plan_release(
    now: float, row: lease.DomainLease, holder: lease.Holder
) -> lease.DomainLease | None:
    """Returns the row after a holder that has stopped spending gives up its slices.

    Returns None where it holds none.
    """
    free_from = ids.Timestamp(now + HANDOVER_SECONDS)
    parts = tuple(_release(part, holder, free_from) for part in row.slices)
    if parts == row.slices:
        return None
    return dataclasses.replace(row, slices=parts)


def plan_slice_release(
    now: float, row: lease.DomainLease, holder: lease.Holder, slice_index: int
) -> lease.DomainLease:
    """Returns the row after a holder that has stopped spending one slice gives it up."""
    parts = list(row.slices)
    free_from = ids.Timestamp(now + HANDOVER_SECONDS)
    parts[slice_index] = _release(parts[slice_index], holder, free_from)
    return dataclasses.replace(row, slices=tuple(parts))


def find_surplus(
    row: lease.DomainLease, holder: lease.Holder, others: list[lease.Holder]
) -> int | None:
    """Returns a slice that a holder should give up for the sake of balance, or None.

    :param others: other live holders of the domain, with or without slices.
    """
    counts = count_slices(row)
    if not others or counts[holder] <= min(counts[other] for other in others) + 1:
        return None
    held = row.list_slices(holder)
    return held[-1][0] if held else None


def count_slices(row: lease.DomainLease) -> collections.Counter[lease.Holder]:
    """Returns the number of slices of which each holder has a part."""
    counts: collections.Counter[lease.Holder] = collections.Counter()
    for part in row.slices:
        for holder in {part.rest_holder, part.floor_holder}:
            if holder is not None:
                counts[holder] += 1
    return counts


def _release(part: lease.Slice, holder: lease.Holder, free_from: ids.Timestamp) -> lease.Slice:
    if part.rest_holder == holder:
        part = dataclasses.replace(
            part, rest_holder=None, rest_from=free_from, epoch=part.epoch + 1
        )
    if part.floor_holder == holder:
        part = dataclasses.replace(
            part,
            floor_holder=None,
            floor_from=free_from,
            floor_until=ids.Timestamp(0),
            epoch=part.epoch + 1,
        )
    return part


def _resize(row: lease.DomainLease, slice_count: int) -> list[lease.Slice]:
    parts = list(row.slices)
    empty = lease.make_empty(row.domain, 1).slices[0]
    while len(parts) < slice_count:
        parts.append(empty)
    # Slices beyond the configured count get no allotment, so they may stay.
    return parts


def _reassign_rest(
    now: float,
    row: lease.DomainLease,
    part: lease.Slice,
    live: set[lease.Holder],
    chosen: lease.Holder | None,
) -> lease.Slice:
    if part.rest_holder in live or chosen is None:
        return part
    free_from = part.rest_from
    if part.rest_holder is not None:
        free_from = max(free_from, row.rest_until + HANDOVER_SECONDS)
    return dataclasses.replace(
        part,
        rest_holder=chosen,
        rest_from=ids.Timestamp(max(now, free_from)),
        epoch=part.epoch + 1,
    )


def _reassign_floor(
    now: float,
    row: lease.DomainLease,
    part: lease.Slice,
    live: set[lease.Holder],
    chosen: lease.Holder | None,
) -> lease.Slice:
    if part.floor_holder in live:
        if part.floor_until == 0:
            return part
        return dataclasses.replace(part, floor_until=ids.Timestamp(0))
    free_from = part.floor_from
    if part.floor_holder is not None:
        deadline = row.find_floor_deadline(part)
        if now < deadline + HANDOVER_SECONDS:
            # Remembers the deadline that the silent holder knows, whatever later renewals say.
            return dataclasses.replace(part, floor_until=ids.Timestamp(deadline))
    if chosen is None:
        return part
    return dataclasses.replace(
        part,
        floor_holder=chosen,
        floor_from=ids.Timestamp(max(now, free_from)),
        floor_until=ids.Timestamp(0),
        epoch=part.epoch + 1,
    )
