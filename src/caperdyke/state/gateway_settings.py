"""Validated settings of a gateway."""

import dataclasses

from caperdyke.state import ids, settings

# A wait of 0.1 s is accepted to keep 5 kB within the failure domain.
CROSS_DOMAIN_SECONDS_PER_MEGABYTE = 20.0
# Longest backoff of a backend server that is honoured, in seconds.
BACKOFF_SECONDS_MAX = 3600.0


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
class GatewaySettings:
    """Settings of one gateway.

    :param domains: region of each failure domain.
    :param cross_domain_seconds_per_megabyte: wait of callers, in seconds, that the operators accept
        for each megabyte that is not sent between failure domains.
    :param backoff_seconds_max: longest time for which a backend server that refused a request gets
        no further ones at its request, in seconds.
    :param waiting_max: requests for each service that may wait at this instance for capacity; 0 if
        they are rejected instead.
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
    waiting_max: int = 0
