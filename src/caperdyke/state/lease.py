"""Leases on the slices of a failure domain's limits."""

import dataclasses

from caperdyke.state import ids, timing


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """One process of an instance.

    A replaced or restarted instance has a new incarnation and is a new holder.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Slice:
    """One slice of every limit of a failure domain; times are seconds since 1970.

    The floor and the rest of a slice have separate holders, since the floor of a holder that
    stopped renewing is reassigned much later than the rest.

    :param epoch: increases whenever either holder changes.
    :param rest_from: earliest time at which the rest's holder may spend.
    :param floor_from: earliest time at which the floor's holder may spend.
    :param floor_until: deadline of the floor of a holder that no longer renews; 0 while it renews.
    """

    epoch: int
    rest_holder: Holder | None
    rest_from: ids.Timestamp
    floor_holder: Holder | None
    floor_from: ids.Timestamp
    floor_until: ids.Timestamp


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLease:
    """The lease row of one failure domain.

    :param version: version of the row in the table; 0 before the first write.
    :param rest_until: deadline of the rest of every slice, seconds since 1970.
    """

    domain: ids.DomainName
    version: int
    rest_until: ids.Timestamp
    slices: tuple[Slice, ...]

    def list_slices(self, holder: Holder) -> list[tuple[int, Slice]]:
        """Returns index and state of the slices of which a holder has the floor or the rest."""
        return [
            (index, lease_slice)
            for index, lease_slice in enumerate(self.slices)
            if holder in (lease_slice.rest_holder, lease_slice.floor_holder)
        ]

    def find_floor_deadline(self, lease_slice: Slice) -> float:
        """Returns the deadline of a slice's floor, seconds since 1970."""
        return lease_slice.floor_until or self.rest_until + timing.FLOOR_EXTRA_SECONDS


def make_empty(domain: ids.DomainName, slice_count: int) -> DomainLease:
    """Returns a lease whose slices have no holder."""
    unheld = Slice(0, None, ids.Timestamp(0), None, ids.Timestamp(0), ids.Timestamp(0))
    return DomainLease(domain, 0, ids.Timestamp(0), (unheld,) * slice_count)
