"""Settings of a gateway, after checking."""

import dataclasses

from caperdyke.state import ids, settings

# Callers wait a tenth of a second rather than have five kilobytes leave the failure domain.
CROSS_DOMAIN_SECONDS_PER_MEGABYTE = 20.0
# Longest rest of a backend server that is believed, in seconds.
BACKOFF_SECONDS_MAX = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayBounds:
    """Figures of the contract with the platform.

    :param retry_ratio: repeated sends allowed for each request to a service.
    :param retry_allowance: repeated sends allowed besides, over all instances.
    :param retry_window: length of the window that counts repeated sends, in seconds.
    :param cold_factor: how far a cold backend server's rate may be exceeded, as a factor.
    :param cold_allowance: requests in a second that a cold backend server may get besides.
    :param leaving_seconds: time after which a backend server that leaves gets nothing new.
    :param lookup_seconds: longest time that a look-up answer may be used.
    :param stop_seconds: time from the signal to stop until the process is killed.
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
    :param seeds: peer addresses of other instances that may exist.
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
