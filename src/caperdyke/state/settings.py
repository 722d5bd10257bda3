"""Validated settings of the programs."""

import dataclasses
import enum

from caperdyke.state import backend, ids


class LogFormat(enum.Enum):
    """Output format of log events."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of the log."""

    level: str
    format: LogFormat


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry instance.

    :param peer_address: listen address for peers, and source address of its own links.
    :param advertised_address: address under which peers reach it; differs from the peer address
        where addresses are translated.
    :param seeds: peer addresses that are tried until the platform's list has been read.
    :param body_max: largest request body in bytes.
    :param stop_seconds: longest time that a graceful shutdown may take.
    :param policy: name of the load balancing policy among backend servers.
    :param memory_bytes: memory that the process may take; None if unknown.
    :param descriptors: descriptors that it may open; None for the limit that the system tells.
    """

    instance: ids.InstanceId
    domain: ids.DomainName
    caller_address: ids.Address
    peer_address: ids.Address
    advertised_address: ids.Address
    platform_address: ids.Address
    seeds: tuple[ids.Address, ...]
    backends: tuple[backend.BackendServer, ...]
    body_max: int
    stop_seconds: int
    policy: str
    logs: LogSettings
    memory_bytes: int | None = None
    descriptors: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the stand-in for the platform.

    :param list_lag_ms: age of the instance list that it serves, in milliseconds.
    """

    address: ids.Address
    list_lag_ms: int
    logs: LogSettings


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedBackend:
    """One backend server that the stand-in simulates.

    :param service_ms: time that one request takes when the server is warm, in milliseconds.
    :param cold_requests: requests after which the server is warm.
    :param cold_factor: factor on the service time of the first request.
    :param download_bytes: size of the answer to a download.
    :param download_ms: time over which a download is spread, in milliseconds.
    """

    backend: ids.BackendId
    service: ids.ServiceName
    address: ids.Address
    slots: int
    service_ms: int
    cold_requests: int
    cold_factor: int
    download_bytes: int
    download_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendSettings:
    """Settings of the stand-in for backend servers."""

    backends: tuple[SimulatedBackend, ...]
    logs: LogSettings


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkRoute:
    """One relay of the stand-in for the network.

    :param place: place of the target.
    """

    place: str
    listen: ids.Address
    target: ids.Address


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkPlace:
    """Source address of the connections from a place."""

    place: str
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkDelay:
    """One-way delay between two places in microseconds, the same in both directions."""

    first: str
    second: str
    one_way_us: int


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkSettings:
    """Settings of the stand-in for the network."""

    control: ids.Address
    routes: tuple[NetworkRoute, ...]
    places: tuple[NetworkPlace, ...]
    delays: tuple[NetworkDelay, ...]
    logs: LogSettings
