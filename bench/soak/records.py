"""What callers, backend servers and operators saw in one run."""

import dataclasses
import enum

# Last version that holds a route which no version has dropped.
OPEN = 10**9


class RequestKind(enum.Enum):
    """What a request asks for."""

    READ = "read"
    BUY = "buy"
    PROBE = "probe"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a caller.

    :param start: number of the start of the gateway's process that took it.
    :param version: configuration whose route a probe asks for; 0 for others.
    :param status: status of the answer, 0 where the connection ended without a whole one, -1 where
        nothing could be sent.
    :param is_right: whether the body is the one that belongs to the request.
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
    """A request that a backend server began to work on."""

    request: str
    server: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a backend server, and what the server said of itself in its answer.

    :param rest_seconds: for how long it wants nothing from the gateway; None where it does not say.
    :param says_leaving: whether it says that it leaves.
    """

    request: str
    server: int
    at: float
    rest_seconds: float | None
    says_leaving: bool


@dataclasses.dataclass(slots=True)
class Limit:
    """A limit that a backend server named in its answers.

    :param per_second: requests a second from all gateways together.
    """

    server: int
    per_second: float
    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True)
class Disruption:
    """A fault, from its start until it was mended.

    :param gateway: whom it concerns; None for all.
    """

    gateway: int | None
    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True)
class Records:
    """Everything that is judged.

    :ivar confirmed: time at which the store acknowledged each version.
    :ivar routes_until: last version that holds the route of a version.
    :ivar left: time at which the store acknowledged that a server leaves.
    :ivar stops: planned stops: gateway, start, time of the signal, time of the end.
    :ivar lateness: how late timers of the soak were, and how long processes waited for the
        processor, at the most, in seconds.
    """

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    confirmed: dict[int, float] = dataclasses.field(default_factory=dict)
    routes_until: dict[int, int] = dataclasses.field(default_factory=dict)
    left: dict[int, float] = dataclasses.field(default_factory=dict)
    stops: list[tuple[int, int, float, float]] = dataclasses.field(default_factory=list)
    faults_end_at: float = 0.0
    explained: set[str] = dataclasses.field(default_factory=set)
    killed: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    limits: list[Limit] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    bad_lines: list[str] = dataclasses.field(default_factory=list)
    descriptors: dict[int, int] = dataclasses.field(default_factory=dict)
    memory_mb: dict[int, float] = dataclasses.field(default_factory=dict)
    lateness: float = 0.0
