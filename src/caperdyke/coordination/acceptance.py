"""Validates a proposed change against the whole configuration and builds the next revision."""

import dataclasses

from caperdyke import errors
from caperdyke.coordination import allotment
from caperdyke.state import configuration as configurations
from caperdyke.state import contract as contracts
from caperdyke.state import ids, places, timing


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A document that an operator submits for acceptance.

    :param base: revision of the document that the operator edited; 0 for a new one.
    :param document: the parsed text.
    """

    change_id: ids.ChangeId
    operator: ids.OperatorName
    name: configurations.DocumentName
    base: ids.Revision
    text: str
    document: places.Places | contracts.Contract


def accept(
    now: float, current: configurations.Configuration, proposal: Proposal
) -> configurations.Configuration:
    """Returns the next revision, which contains the proposed document.

    :raises errors.ProposalError: with every problem of the proposal.
    """
    problems = _check_base(current, proposal) + _check_operator(current, proposal)
    if problems:
        raise errors.ProposalError(problems)
    accepted_at = max(now, current.in_force_at - timing.IN_FORCE_DELAY_SECONDS)
    changed = apply_document(
        current,
        proposal.change_id,
        ids.Timestamp(accepted_at + timing.IN_FORCE_DELAY_SECONDS),
        proposal.name,
        proposal.text,
        proposal.document,
    )
    problems = check_consistency(changed) + _check_period(current, changed)
    problems += check_standing_floors(now, changed)
    if problems:
        raise errors.ProposalError(problems)
    return changed


def apply_document(
    current: configurations.Configuration,
    change_id: ids.ChangeId,
    in_force_at: ids.Timestamp,
    name: configurations.DocumentName,
    text: str,
    document: places.Places | contracts.Contract,
) -> configurations.Configuration:
    """Returns the next revision; the same inputs give the same result on every instance."""
    revision = ids.Revision(current.revision + 1)
    new_places = dict(current.places)
    new_contracts = dict(current.contracts)
    match document:
        case places.Places():
            new_places[document.operator] = document
        case contracts.Contract():
            new_contracts[document.customer] = document
    changed = configurations.Configuration(
        revision,
        change_id,
        in_force_at,
        new_places,
        new_contracts,
        texts={**current.texts, name: text},
        text_revisions={**current.text_revisions, name: revision},
    )
    standing = _list_standing_floors(current, changed)
    return dataclasses.replace(changed, standing_floors=standing)


def check_consistency(configuration: configurations.Configuration) -> list[str]:
    """Returns all inconsistencies between contracts, places and loans."""
    problems = []
    owners: dict[ids.DomainName, ids.OperatorName] = {}
    for operator_places in configuration.places.values():
        for domain in operator_places.domains:
            other = owners.setdefault(domain.name, operator_places.operator)
            if other != operator_places.operator:
                problems.append(f"failure domain {domain.name} is claimed by {other} too")
    for contract in configuration.contracts.values():
        problems += _check_contract(configuration, contract)
    problems += _check_capacity(configuration)
    problems += _check_loans(configuration)
    return problems


def check_standing_floors(now: float, configuration: configurations.Configuration) -> list[str]:
    """Returns a problem for each limit that is below a floor which may still be in use."""
    problems = []
    for standing in configuration.standing_floors:
        parts = _find_allotments(configuration, standing.customer, standing.domain)
        index = standing.slice_index
        part = parts[index] if index < len(parts) else allotment.EMPTY
        if standing.until > now and (
            part.share < standing.floor or part.shift < standing.shift_floor
        ):
            problems.append(
                f"{standing.customer} in {standing.domain}: limit {part.share} (shift {part.shift})"
                f" of slice {index} is below the floor {standing.floor}"
                f" (shift {standing.shift_floor}) that instances cut off may use until"
                f" {standing.until:.0f}; lower the floor first and the limit after that time"
            )
    return problems


def _check_base(current: configurations.Configuration, proposal: Proposal) -> list[str]:
    actual = current.text_revisions.get(proposal.name, ids.Revision(0))
    if actual == proposal.base:
        return []
    return [
        f"{proposal.name} was edited from revision {proposal.base} but revision {actual} is"
        f" accepted; accepted text:\n{current.texts.get(proposal.name, '(none)')}\n"
        f"proposed text:\n{proposal.text}"
    ]


def _check_operator(current: configurations.Configuration, proposal: Proposal) -> list[str]:
    owner = proposal.document.operator
    problems = []
    if owner != proposal.operator:
        problems.append(f"{proposal.name} belongs to {owner}, not to {proposal.operator}")
    if isinstance(proposal.document, contracts.Contract):
        previous = current.contracts.get(proposal.document.customer)
        if previous is not None and previous.operator != proposal.operator:
            problems.append(f"customer {previous.customer} belongs to {previous.operator}")
    return problems


def _check_period(
    current: configurations.Configuration, changed: configurations.Configuration
) -> list[str]:
    problems = []
    for customer, contract in changed.contracts.items():
        previous = current.contracts.get(customer)
        if previous is not None and previous.period_ms != contract.period_ms:
            problems.append(
                f"contract {customer}: period_ms is {contract.period_ms}, but it cannot change"
                f" from {previous.period_ms} while the customer exists"
            )
    return problems


def _check_contract(
    configuration: configurations.Configuration, contract: contracts.Contract
) -> list[str]:
    label = f"contract {contract.customer}"
    problems = []
    if contract.period_ms > timing.PERIOD_MAX_SECONDS * 1000:
        problems.append(
            f"{label}: period_ms is {contract.period_ms},"
            f" expected at most {timing.PERIOD_MAX_SECONDS * 1000:.0f}"
        )
    shift_total = sum(region_limits.shift for region_limits in contract.regions)
    if shift_total > contract.shift_cap:
        problems.append(
            f"{label}: the regions' shift adds up to {shift_total},"
            f" expected at most shift_cap {contract.shift_cap}"
        )
    for region_limits in contract.regions:
        if configuration.find_owner(region_limits.region) is None:
            problems.append(
                f"{label}: region {region_limits.region} is not in any operator's places"
            )
        if region_limits.floor > region_limits.share or region_limits.shift > region_limits.share:
            problems.append(
                f"{label}: region {region_limits.region} has floor {region_limits.floor}"
                f" and shift {region_limits.shift},"
                f" expected at most share {region_limits.share}"
            )
        service_names = {service.name for service in contract.services}
        for unknown in sorted(region_limits.never - service_names):
            problems.append(
                f"{label}: region {region_limits.region} names unknown service {unknown}"
            )
    return problems


def _check_capacity(configuration: configurations.Configuration) -> list[str]:
    claimed: dict[ids.RegionName, int] = {}
    for contract in configuration.contracts.values():
        for region_limits in contract.regions:
            claimed[region_limits.region] = (
                claimed.get(region_limits.region, 0) + region_limits.share
            )
    problems = []
    for region, total in claimed.items():
        owner = configuration.find_owner(region)
        capacity = owner.sum_capacity(region) if owner else 0
        if owner and total > capacity:
            problems.append(
                f"region {region}: shares of all contracts add up to {total},"
                f" expected at most its capacity {capacity}"
            )
    return problems


def _check_loans(configuration: configurations.Configuration) -> list[str]:
    claims: dict[tuple[ids.RegionName, ids.OperatorName], int] = {}
    for contract in configuration.contracts.values():
        for region_limits in contract.regions:
            owner = configuration.find_owner(region_limits.region)
            if owner and owner.operator != contract.operator:
                key = (region_limits.region, contract.operator)
                claims[key] = claims.get(key, 0) + region_limits.share
    problems = []
    for (region, borrower), total in claims.items():
        lent = _sum_loans(configuration, region, borrower)
        if total > lent:
            problems.append(
                f"region {region}: contracts of {borrower} claim {total},"
                f" expected at most the {lent} that its operator lends"
            )
    return problems


def _sum_loans(
    configuration: configurations.Configuration,
    region: ids.RegionName,
    borrower: ids.OperatorName,
) -> int:
    owner = configuration.find_owner(region)
    loans = owner.loans if owner else ()
    return sum(loan.amount for loan in loans if (loan.region, loan.borrower) == (region, borrower))


def _find_allotments(
    configuration: configurations.Configuration,
    customer: ids.CustomerName,
    domain_name: ids.DomainName,
) -> tuple[allotment.Allotment, ...]:
    contract = configuration.contracts.get(customer)
    domain = configuration.find_domain(domain_name)
    if contract is None or domain is None:
        return ()
    return allotment.allot_domain(configuration, contract, domain)


def _list_standing_floors(
    current: configurations.Configuration, changed: configurations.Configuration
) -> tuple[configurations.StandingFloor, ...]:
    """Returns the floors of earlier revisions that exceed those of the changed one."""
    floors = [item for item in current.standing_floors if item.until > changed.in_force_at]
    until = ids.Timestamp(
        changed.in_force_at
        + timing.REST_LEASE_SECONDS
        + timing.FLOOR_EXTRA_SECONDS
        + timing.CLOCK_ERROR_SECONDS
    )
    for customer, contract in current.contracts.items():
        for operator_places in current.places.values():
            for domain in operator_places.domains:
                if _is_affected(current, changed, customer, contract, domain):
                    floors += _list_lowered_floors(current, changed, customer, domain, until)
    return tuple(floors)


def _is_affected(
    current: configurations.Configuration,
    changed: configurations.Configuration,
    customer: ids.CustomerName,
    contract: contracts.Contract,
    domain: places.FailureDomain,
) -> bool:
    """Returns whether a change can alter a contract's allotments to the slices of a domain."""
    if contract.find_region(domain.region) is None:
        return False
    if changed.contracts.get(customer) is not contract:
        return True
    return changed.places is not current.places and (
        changed.list_region(domain.region) != current.list_region(domain.region)
    )


def _list_lowered_floors(
    current: configurations.Configuration,
    changed: configurations.Configuration,
    customer: ids.CustomerName,
    domain: places.FailureDomain,
    until: ids.Timestamp,
) -> list[configurations.StandingFloor]:
    lowered = []
    before = _find_allotments(current, customer, domain.name)
    after = _find_allotments(changed, customer, domain.name)
    for index, old in enumerate(before):
        new = after[index] if index < len(after) else allotment.EMPTY
        if new.floor < old.floor or new.shift_floor < old.shift_floor:
            lowered.append(
                configurations.StandingFloor(
                    customer, domain.name, index, old.floor, old.shift_floor, until
                )
            )
    return lowered
