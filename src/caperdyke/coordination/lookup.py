"""Selects the entry instances that a look-up answers with."""

import dataclasses

from caperdyke.coordination import membership
from caperdyke.state import configuration as configurations
from caperdyke.state import contract as contracts
from caperdyke.state import ids, timing

ENTRIES_MAX = 6
# Entries of one failure domain; fewer than ENTRIES_MAX, so that the answer has other domains too.
ENTRIES_PER_DOMAIN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Entry instances, in the order in which the caller tries them.

    :param home: failure domain that is the caller's home.
    :param valid_until: time until which the answer may be used, seconds since 1970.
    """

    entries: tuple[ids.Address, ...]
    home: ids.DomainName
    valid_until: ids.Timestamp


def choose_entries(
    now: float,
    configuration: configurations.Configuration,
    contract: contracts.Contract,
    home: ids.DomainName,
    members: membership.MemberTable,
    draining: frozenset[str],
    rotation: int,
) -> LookupAnswer:
    """Returns the entry instances for one caller.

    :param rotation: counter that spreads callers over the instances of a domain.
    """
    entries: list[ids.Address] = []
    for domain in _order_domains(configuration, contract, home):
        if domain in draining:
            continue
        for record in members.pick_usable(now, domain, rotation, ENTRIES_PER_DOMAIN):
            entries.append(record.caller_address)
        if len(entries) >= ENTRIES_MAX:
            break
    valid_until = ids.Timestamp(now + timing.LOOKUP_TTL_SECONDS)
    return LookupAnswer(tuple(entries[:ENTRIES_MAX]), home, valid_until)


def _order_domains(
    configuration: configurations.Configuration,
    contract: contracts.Contract,
    home: ids.DomainName,
) -> list[ids.DomainName]:
    home_domain = configuration.find_domain(home)
    home_region = home_domain.region if home_domain else None
    ranked = []
    for region_limits in contract.regions:
        for domain in configuration.list_region(region_limits.region):
            rank = (domain.name != home, domain.region != home_region, domain.name)
            ranked.append((rank, domain.name))
    return [name for _, name in sorted(ranked)]


def choose_home(
    contract: contracts.Contract,
    configuration: configurations.Configuration,
    mapped_domain: ids.DomainName | None,
    own_domain: ids.DomainName,
) -> ids.DomainName:
    """Returns the home of a caller.

    This is the failure domain that the block map gives, else that of this instance, where the
    contract covers its region; else the first domain of the contract's regions.
    """
    for candidate in (mapped_domain, own_domain):
        domain = configuration.find_domain(candidate) if candidate else None
        if domain is not None and contract.find_region(domain.region) is not None:
            return domain.name
    for region_limits in contract.regions:
        domains = configuration.list_region(region_limits.region)
        if domains:
            return domains[0].name
    return own_domain
