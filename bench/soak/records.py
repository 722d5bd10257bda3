"""Observations of callers, backend servers and operators in one run.

All times are seconds on the clock of the run.
"""

import dataclasses
import enum

# Stands for the last version with a route that no version has dropped.
NEVER_DROPPED = 10**9


class RequestKind(enum.Enum):
    """Kind of a request: read, purchase, or probe of a version's route."""

    READ = "read"
    BUY = "buy"
    PROBE = "probe"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a caller.

    :param start: number of the start of the gateway process that got it.
    :param version: configuration version whose route a probe requests; 0 for other kinds.
    :param status: status of the answer, 0 if the connection ended without a complete answer, -1 if
        nothing could be sent, -2 if an earlier answer announced that the connection closes.
    :param is_right: whether the body belongs to the request.
    """

    request: str
    kind: RequestKind
    gateway: int
    start: int
    version: int
    sent_at: float
    ended_at: float
    status: int
    is_right: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a backend server started to process."""

    request: str
    server: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a backend server, and the state that the answer's headers announced.

    :param backoff_s: backoff that the answer requests, in seconds; None if it requests none.
    :param announces_leaving: whether the answer announces that the server leaves.
    """

    request: str
    server: int
    at: float
    backoff_s: float | None
    announces_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NamedTeam:
    """What a request that reached a backend server says about its caller.

    :param team: empty if it names none.
    :param has_key: whether it contains a key.
    """

    request: str
    server: int
    team: str
    has_key: bool


@dataclasses.dataclass(slots=True)
class AdvertisedLimit:
    """A limit that a backend server advertised in its answers.

    :param per_second: requests per second from all gateways together.
    """

    server: int
    per_second: float
    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True)
class Disruption:
    """The time during which a fault was active.

    :param gateway: number of the affected gateway; None if all are affected.
    :param is_process: whether the process was killed, stopped or frozen.
    """

    gateway: int | None
    began_at: float
    ended_at: float
    is_process: bool = False


@dataclasses.dataclass(slots=True)
class PathCut:
    """The time during which a gateway had no path to any backend server."""

    gateway: int
    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True)
class Shortage:
    """The time during which a server accepted less than usual or got nothing."""

    server: int
    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True)
class Records:
    """All observations that the checks judge.

    :ivar confirmed: time at which the store acknowledged each version.
    :ivar routes_until: by version, the last version that contains its route.
    :ivar left_at_by_server: by server, time at which the store acknowledged that it leaves.
    :ivar stops: graceful stops: gateway, start, time of the signal, time of the exit.
    :ivar logged_requests: ids of requests that a log line names.
    :ivar killed: gateway and start of each process that was killed.
    :ivar path_cuts: cuts of the path between a gateway and all servers.
    :ivar shortages: limits, backoffs, faults, evacuations and departures of servers.
    :ivar relayed_to: gateway that sent a request to servers in place of the one that got it.
    :ivar teams: by request, the team whose key it has; empty if it has none.
    :ivar intruders: requests with a key that no team holds, and the status of each answer.
    :ivar named_teams: teams that requests at backend servers name.
    :ivar error_lines: log lines and events that are errors by themselves.
    :ivar lateness: largest delay of a timer of the soak or of a process that waited for a
        processor, in seconds.
    """

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    confirmed: dict[int, float] = dataclasses.field(default_factory=dict)
    routes_until: dict[int, int] = dataclasses.field(default_factory=dict)
    left_at_by_server: dict[int, float] = dataclasses.field(default_factory=dict)
    stops: list[tuple[int, int, float, float]] = dataclasses.field(default_factory=list)
    faults_end_at: float = 0.0
    recovery_ends_at: float = float("inf")
    logged_requests: set[str] = dataclasses.field(default_factory=set)
    killed: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    limits: list[AdvertisedLimit] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    path_cuts: list[PathCut] = dataclasses.field(default_factory=list)
    shortages: list[Shortage] = dataclasses.field(default_factory=list)
    relayed_to: dict[str, int] = dataclasses.field(default_factory=dict)
    teams: dict[str, str] = dataclasses.field(default_factory=dict)
    intruders: dict[str, int] = dataclasses.field(default_factory=dict)
    named_teams: list[NamedTeam] = dataclasses.field(default_factory=list)
    error_lines: list[str] = dataclasses.field(default_factory=list)
    descriptors: dict[int, int] = dataclasses.field(default_factory=dict)
    memory_mb: dict[int, float] = dataclasses.field(default_factory=dict)
    lateness: float = 0.0
