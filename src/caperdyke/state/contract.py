"""A customer's contract: services, regions and limits."""

import dataclasses
import enum

from caperdyke.state import ids


class Weight(enum.Enum):
    """Which measure the customer prioritizes."""

    LATENCY = "latency"
    HEADROOM = "headroom"


class ServiceKind(enum.Enum):
    """Shape of a service's answers."""

    CHEAP = "cheap"
    DOWNLOAD = "download"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service of a customer.

    :param repeatable: whether a request may run more than once (idempotent).
    :param deadline_ms: longest time that a request may take, in milliseconds.
    """

    name: ids.ServiceName
    kind: ServiceKind
    repeatable: bool
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLimits:
    """Limits of one customer in one region; counts are request starts in one period.

    :param share: most requests that may start.
    :param floor: part of the share that is never lent and stays usable after the configuration's
        confirmation has lapsed.
    :param shift: part of the share that callers from other home regions may use.
    :param never: services that the region must not serve.
    """

    region: ids.RegionName
    share: int
    floor: int
    shift: int
    never: frozenset[ids.ServiceName]


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """Services and limits of one customer.

    :param period_ms: length of the period to which every limit applies, in milliseconds.
    :param shift_cap: most requests per period that may start outside their home region.
    :param shift_step: most by which shifted starts may grow from one period of the wall clock to
        the next.
    :param retry_percent: retries allowed for each hundred requests.
    """

    customer: ids.CustomerName
    operator: ids.OperatorName
    weight: Weight
    period_ms: int
    shift_cap: int
    shift_step: int
    retry_percent: int
    services: tuple[Service, ...]
    regions: tuple[RegionLimits, ...]

    def find_service(self, name: str) -> Service | None:
        """Returns the service with this name, or None."""
        return next((service for service in self.services if service.name == name), None)

    def find_region(self, name: str) -> RegionLimits | None:
        """Returns the limits in a region, or None where the customer may not use it."""
        return next(
            (region_limits for region_limits in self.regions if region_limits.region == name), None
        )

    def allows(self, region: ids.RegionName, service: ids.ServiceName) -> bool:
        """Returns whether the region may serve the service."""
        region_limits = self.find_region(region)
        return region_limits is not None and service not in region_limits.never
