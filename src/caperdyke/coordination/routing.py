"""Decides in which failure domains a request may be served, and in which order they are tried."""

import dataclasses

from caperdyke.state import configuration as configurations
from caperdyke.state import contract as contracts
from caperdyke.state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLoad:
    """Latest reported load of a failure domain.

    :param busy: requests in flight and queued per slot, or 0.5 without a recent report.
    """

    busy: float
    is_reachable: bool


UNKNOWN_LOAD = DomainLoad(0.5, True)
# Requests per slot from which another domain of the same region is tried first, for customers that
# put latency or headroom first.
FULL_LOAD_LATENCY = 0.95
FULL_LOAD_HEADROOM = 0.7
# Requests per slot by which another instance must be less loaded to be preferred.
SIBLING_MARGIN = 0.25


def list_destinations(
    configuration: configurations.Configuration,
    contract: contracts.Contract,
    service: ids.ServiceName,
    home: ids.RegionName,
    own_domain: ids.DomainName,
    loads: dict[ids.DomainName, DomainLoad],
    draining: frozenset[str],
) -> list[ids.DomainName]:
    """Returns failure domains in the order in which they are to be tried.

    Domains of the caller's home region come first; domains of other regions count as a shift.
    Draining and unreachable domains are omitted.
    """
    ranked = []
    for region_limits in contract.regions:
        if not contract.allows(region_limits.region, service):
            continue
        for domain in configuration.list_region(region_limits.region):
            load = loads.get(domain.name, UNKNOWN_LOAD)
            if domain.name in draining or not load.is_reachable:
                continue
            rank = _rank_domain(contract, domain.region, domain.name, home, own_domain, load)
            ranked.append((rank, domain.name))
    return [name for _, name in sorted(ranked)]


def _rank_domain(
    contract: contracts.Contract,
    region: ids.RegionName,
    name: ids.DomainName,
    home: ids.RegionName,
    own_domain: ids.DomainName,
    load: DomainLoad,
) -> tuple[bool, bool, bool, float]:
    is_shift = region != home
    limit = FULL_LOAD_LATENCY if contract.weight is contracts.Weight.LATENCY else FULL_LOAD_HEADROOM
    is_full = load.busy >= limit
    is_remote = name != own_domain
    return (is_shift, is_full, is_remote, load.busy)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLoad:
    """Load of another instance of the same failure domain.

    :param busy: its requests in flight and queued per slot, as last reported.
    :param sent: requests that this instance forwarded to it and that are not answered yet.
    :param slots: slots that it is assumed to fill.
    """

    busy: float
    sent: int
    slots: int

    @property
    def expected(self) -> float:
        """Requests per slot, with all of ``sent`` counted on top of the reported load."""
        return self.busy + self.sent / max(1, self.slots)


def prefers_sibling(own_busy: float, has_free_slot: bool, sibling: InstanceLoad) -> bool:
    """Returns whether a request should go to another instance of the same failure domain.

    A free slot at this instance needs no further hop and is always used. Without one, the other
    instance must be less loaded by more than ``SIBLING_MARGIN``, so that requests do not go back
    and forth on slightly outdated loads.
    """
    if has_free_slot:
        return False
    return sibling.expected + SIBLING_MARGIN < own_busy
