"""Decides in which failure domains a request may be served, and in which order to try them."""

import dataclasses

from caperdyke.state import configuration as configurations
from caperdyke.state import contract as contracts
from caperdyke.state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLoad:
    """Latest known load of a failure domain.

    :param busy: part of the slots in use, from 0 to 1, or 0.5 where nothing recent is known.
    """

    busy: float
    is_reachable: bool


UNKNOWN_LOAD = DomainLoad(0.5, True)
# Part of the slots in use beyond which another domain of the same region is tried first.
BUSY_LATENCY = 0.95
BUSY_HEADROOM = 0.7


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

    Domains of the caller's home region come first; domains of other regions count as a shift. A
    domain that is draining or cannot be reached is left out.
    """
    ranked = []
    for terms in contract.regions:
        if not contract.allows(terms.region, service):
            continue
        for domain in configuration.list_region(terms.region):
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
    limit = BUSY_LATENCY if contract.weight is contracts.Weight.LATENCY else BUSY_HEADROOM
    is_full = load.busy >= limit
    is_remote = name != own_domain
    return (is_shift, is_full, is_remote, load.busy)
