"""Regions and failure domains of one operator, and the capacity that it lends."""

import dataclasses

from caperdyke.state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDomain:
    """One failure domain.

    :param capacity: requests that its backend servers can start in one period.
    :param slices: parts into which every limit of the domain is divided among its instances.
    :param blocks: IPv4 blocks of the clients whose home it is, such as ``10.1.0.0/16``.
    """

    name: ids.DomainName
    region: ids.RegionName
    capacity: int
    slices: int
    blocks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """Capacity of one region that its operator grants to another operator, per period."""

    region: ids.RegionName
    borrower: ids.OperatorName
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class Places:
    """All failure domains of one operator."""

    operator: ids.OperatorName
    domains: tuple[FailureDomain, ...]
    loans: tuple[Loan, ...] = ()

    def find_domain(self, name: ids.DomainName) -> FailureDomain | None:
        """Returns the domain with this name, or None."""
        return next((domain for domain in self.domains if domain.name == name), None)

    def list_region(self, region: ids.RegionName) -> tuple[FailureDomain, ...]:
        """Returns the domains of a region in the order of the document."""
        return tuple(domain for domain in self.domains if domain.region == region)

    @property
    def regions(self) -> tuple[ids.RegionName, ...]:
        """Names of the regions, each once, in the order of the document."""
        return tuple(dict.fromkeys(domain.region for domain in self.domains))

    def sum_capacity(self, region: ids.RegionName) -> int:
        """Returns the requests per period that the whole region can start."""
        return sum(domain.capacity for domain in self.list_region(region))
