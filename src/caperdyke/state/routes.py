"""Routes, services and limits of one version of an operator's configuration."""

import dataclasses
import enum

from caperdyke.state import ids
from caperdyke.state import teams as customer_teams

# Home of a request whose route and team have no home in common; no failure domain is in it.
NO_REGION = ids.RegionName("\0none")


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated, and the shape of its answers."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once (idempotent)."""
        return self is not RouteKind.UNSAFE


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its weight among the services of the route."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix.

    :param parts: the services that share the route's requests; at least one.
    :param timeout_ms: longest time that a request may wait for its answer, in milliseconds.
    :param objective_ms: latency objective, in milliseconds; an answer within it has full value.
    :param priority: rank among routes of one service; 0 is the most urgent.
    :param attempts_max: most backend servers that one request may be sent to.
    :param has_affinity: whether a backend server is faster for objects that it handled recently.
    :param homes: regions that may serve the route; empty where any may.
    :param is_public: whether callers need no key.
    """

    name: ids.RouteName
    host: str
    prefix: str
    kind: RouteKind
    parts: tuple[WeightedService, ...]
    timeout_ms: float
    objective_ms: float
    priority: int
    attempts_max: int
    has_affinity: bool
    homes: frozenset[ids.RegionName]
    is_public: bool = False

    def apply_team(self, team: customer_teams.Team | None) -> "Route":
        """Returns the route as it applies to a team: its priority, and the homes of both."""
        if team is None:
            return self
        homes = self.homes or team.homes
        if self.homes and team.homes:
            homes = self.homes & team.homes or frozenset((NO_REGION,))
        priority = self.priority if team.priority is None else team.priority
        return dataclasses.replace(self, homes=homes, priority=priority)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits that apply to each backend server of a service.

    :param connections_max: connections that a backend server accepts from all instances together.
    :param cold_ms: how long a backend server is cold after its start, in milliseconds.
    :param cold_per_second: requests per second that a cold backend server tolerates.
    """

    service: ids.ServiceName
    connections_max: int
    cold_ms: float
    cold_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    :param header_bytes: size of all headers of a request.
    :param body_bytes: size of a request's body.
    :param header_timeout_ms: longest time for the headers of a request, in milliseconds.
    :param idle_timeout_ms: longest time that a connection may be idle, in milliseconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration.

    :param version: increases with every change.
    :param teams: None where the configuration has no teams and callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, ServiceLimits]
    limits: CallerLimits
    teams: customer_teams.TeamDirectory | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of a path, or None."""
        matches = (
            route for route in self.routes if route.host == host and path.startswith(route.prefix)
        )
        return max(matches, key=lambda route: len(route.prefix), default=None)
