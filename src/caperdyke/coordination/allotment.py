"""Divides a contract's limits among failure domains and their slices.

The division depends on the configuration alone, so every instance computes the same parts without
exchanging messages, and the parts of all slices add up to exactly the limit of the contract.
"""

import dataclasses
import zlib

from caperdyke.state import configuration as configurations
from caperdyke.state import contract as contracts
from caperdyke.state import ids, places


@dataclasses.dataclass(frozen=True, slots=True)
class Allotment:
    """Part of one customer's limits that belongs to one slice; counts per period.

    Each limit includes its floor.
    """

    share: int
    floor: int
    shift: int
    shift_floor: int
    step: int
    step_floor: int


EMPTY = Allotment(0, 0, 0, 0, 0, 0)


def apportion(total: int, weights: list[int], seed: str) -> list[int]:
    """Splits an integer in proportion to weights; the parts add up to the total.

    :param seed: hashed to select the parts that get the remainder. With different seeds, small
        limits are spread over all parts.
    """
    weight_sum = sum(weights)
    if weight_sum == 0:
        return [0] * len(weights)
    parts = [total * weight // weight_sum for weight in weights]
    remainder = total - sum(parts)
    candidates = [index for index, weight in enumerate(weights) if weight > 0]
    offset = zlib.crc32(seed.encode()) % len(candidates)
    for position in range(remainder):
        parts[candidates[(offset + position) % len(candidates)]] += 1
    return parts


def allot_slice(
    configuration: configurations.Configuration,
    contract: contracts.Contract,
    domain: places.FailureDomain,
    slice_index: int,
) -> Allotment:
    """Returns the part of a contract's limits that belongs to one slice of a domain."""
    parts = allot_domain(configuration, contract, domain)
    return parts[slice_index] if slice_index < len(parts) else EMPTY


def allot_domain(
    configuration: configurations.Configuration,
    contract: contracts.Contract,
    domain: places.FailureDomain,
) -> tuple[Allotment, ...]:
    """Returns the parts of a contract's limits that belong to each slice of a domain."""
    region_limits = contract.find_region(domain.region)
    if region_limits is None:
        return (EMPTY,) * domain.slices
    shift_floor = (
        region_limits.shift * region_limits.floor // region_limits.share
        if region_limits.share
        else 0
    )
    region = configuration.list_region(domain.region)

    def split(total: int, name: str) -> list[int]:
        return _split_among_slices(
            region, domain, total, f"{contract.customer}/{domain.region}/{name}"
        )

    columns = zip(
        split(region_limits.floor, "floor"),
        split(region_limits.share - region_limits.floor, "rest"),
        split(shift_floor, "shift-floor"),
        split(region_limits.shift - shift_floor, "shift-rest"),
        split(_find_region_step(contract, domain.region), "step"),
        strict=True,
    )
    return tuple(_make_allotment(*row) for row in columns)


def _make_allotment(
    floor: int, rest: int, shift_floor: int, shift_rest: int, step: int
) -> Allotment:
    share = floor + rest
    shift_floor = min(floor, shift_floor)
    shift = min(share, shift_floor + shift_rest)
    step_floor = step * shift_floor // shift if shift else 0
    return Allotment(share, floor, shift, shift_floor, step, step_floor)


def _find_region_step(contract: contracts.Contract, region: ids.RegionName) -> int:
    weights = [region_limits.shift for region_limits in contract.regions]
    steps = apportion(contract.shift_step, weights, f"{contract.customer}/step")
    for region_limits, step in zip(contract.regions, steps, strict=True):
        if region_limits.region == region:
            return step
    return 0


def _split_among_slices(
    region: tuple[places.FailureDomain, ...],
    domain: places.FailureDomain,
    total: int,
    seed: str,
) -> list[int]:
    parts = apportion(total, [item.capacity for item in region], seed)
    position = [item.name for item in region].index(domain.name)
    return apportion(parts[position], [1] * domain.slices, f"{seed}/{domain.name}")
