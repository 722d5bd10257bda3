"""Validated settings of a gateway."""

import dataclasses
import enum

from caperdyke.state import ids, settings

# A wait of 0.1 s is accepted to keep 5 kB within the failure domain.
CROSS_DOMAIN_SECONDS_PER_MEGABYTE = 20.0
# Longest backoff of a backend server that is honoured, in seconds.
BACKOFF_SECONDS_MAX = 3600.0
# Most requests of a caller's connection that are in progress at once; 1 serves them in turn.
PIPELINED_MAX = 16
# Most bytes of responses of a caller's connection that wait for earlier ones.
PIPELINED_BYTES = 4 * 1024 * 1024
# Age of the configuration, in seconds, above which it no longer decides about keys where strict
# revocation is set.
REVOKE_SECONDS = 5.0
# Backend servers that may end under a request before it is rejected.
CRASHES_MAX = 3
# Interval at which backend servers write their registrations, where the platform names none.
HEARTBEAT_SECONDS = 1.5


class LoadModel(enum.Enum):
    """How the requests at a backend server are estimated between its reports."""

    # From the last report, and from what instances announce to each other.
    REPORTED = "reported"
    # From the last report, and from what the servers of the service usually report.
    BLENDED = "blended"


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayBounds:
    """Limits and times agreed with the platform.

    :param retry_ratio: retries allowed for each request to a service.
    :param retry_allowance: retries allowed in addition, over all instances.
    :param retry_window: length of the window in which retries are counted, in seconds.
    :param cold_factor: factor by which a cold backend server's rate may be exceeded.
    :param cold_allowance: requests per second that a cold backend server may get in addition.
    :param leaving_seconds: time after which a leaving backend server gets no new requests.
    :param lookup_seconds: longest time that a look-up answer may be used.
    :param stop_seconds: time from the stop signal until the process is killed.
    """

    retry_ratio: float
    retry_allowance: float
    retry_window: float
    cold_factor: float
    cold_allowance: float
    leaving_seconds: float
    lookup_seconds: float
    stop_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """By how much all instances together may exceed the quota of a team.

    :param window_s: window over which requests are counted, in seconds.
    :param overrun: ratio of the requests that the quota allows in a window.
    :param slack: requests in a window.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class TeamSettings:
    """How an instance that is cut off from the store treats requests that need a key.

    :param is_revocation_strict: whether it refuses them, as their keys may have been removed.
    :param revoke_seconds: time since the last confirmation of the configuration after which it
        does so.
    """

    is_revocation_strict: bool = False
    revoke_seconds: float = REVOKE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway.

    :param domains: region of each failure domain.
    :param cross_domain_seconds_per_megabyte: wait of callers, in seconds, that the operators accept
        for each megabyte that is not sent between failure domains.
    :param backoff_seconds_max: longest time for which a backend server that refused a request gets
        no further ones at its request, in seconds.
    :param has_steady_weights: whether the weight of near servers changes without jumps.
    :param stay_margin_seconds: by how much another server must be cheaper before the requests for
        an object leave the server that answered last, in seconds; 0 to choose anew each time.
    :param overflow_ratio_max: largest part of the requests that may leave the region for an
        object's home in another one while the servers here are busier, 0 to 1; 0 if none may.
    :param quota_tolerance: by how much teams may exceed their quotas.
    :param load_model: how the requests at servers that report no pace are estimated; those that
        report it are always estimated by ``LoadModel.BLENDED``.
    :param pipelined_max: most requests of a caller's connection that are in progress at once; 1
        serves them in turn.
    :param pipelined_bytes: most bytes of responses of a caller's connection that are buffered until
        earlier ones have been sent.
    :param has_ranks: whether less urgent requests leave a part of the slots to more urgent ones
        while these are rejected.
    :param has_team_shares: whether teams of one rank share a service that is short of capacity; an
        instance must have several requests of most teams in progress to tell their shares.
    :param waiting_max: requests for each service that may wait at this instance for capacity; 0 if
        they are rejected instead.
    :param crashes_max: backend servers that may end under a request before it is rejected; 0 to
        reject none.
    :param heartbeat_seconds: interval at which a backend server writes its registration.
    :param memory_bytes: memory that the process may take; None if unknown.
    :param descriptors: descriptors that it may open; None for the limit that the system tells.
    :param seeds: peer addresses of possible other instances.
    """

    instance: ids.InstanceId
    domain: ids.DomainName
    region: ids.RegionName
    caller_address: ids.Address
    readiness_address: ids.Address
    lookup_address: ids.Address
    metrics_address: ids.Address
    peer_address: ids.Address
    store_address: ids.Address
    seeds: tuple[ids.Address, ...]
    domains: dict[ids.DomainName, ids.RegionName]
    bounds: GatewayBounds
    logs: settings.LogSettings
    cross_domain_seconds_per_megabyte: float = CROSS_DOMAIN_SECONDS_PER_MEGABYTE
    backoff_seconds_max: float = BACKOFF_SECONDS_MAX
    has_steady_weights: bool = False
    stay_margin_seconds: float = 0.0
    overflow_ratio_max: float = 0.0
    quota_tolerance: QuotaTolerance = QuotaTolerance()
    load_model: LoadModel = LoadModel.REPORTED
    teams: TeamSettings = TeamSettings()
    pipelined_max: int = PIPELINED_MAX
    pipelined_bytes: int = PIPELINED_BYTES
    waiting_max: int = 0
    has_team_shares: bool = False
    has_ranks: bool = False
    heartbeat_seconds: float = HEARTBEAT_SECONDS
    crashes_max: int = CRASHES_MAX
    memory_bytes: int | None = None
    descriptors: int | None = None
