"""Caches the rankings of the servers of each service, by object."""

import math

from caperdyke.coordination.placement import homes, rendezvous, steady_weights
from caperdyke.state import backend, gateway_settings, ids

Servers = dict[ids.ServiceName, list[backend.BackendServer]]
# How long a service that had no capacity for a request counts as too small to keep one copy of
# large objects in each failure domain.
SHORTAGE_S = 120.0


class ServerRankings:
    """Rankings that were computed since the servers in use last changed."""

    def __init__(self) -> None:
        self._servers: Servers = {}
        self._regional_homes: dict[
            tuple[ids.ServiceName, ids.ObjectKey], list[homes.LocatedServer]
        ] = {}
        # Keys are the service, the object, and whether answers are large.
        self._rankings: dict[
            tuple[ids.ServiceName, ids.ObjectKey, bool], list[homes.LocatedServer]
        ] = {}
        self._located: dict[
            tuple[ids.ServiceName, bool], tuple[list[homes.LocatedServer], homes.Locality, float]
        ] = {}
        self._shortage_until: dict[ids.ServiceName, float] = {}
        # Number of requests so far without an object key.
        self._keyless_requests = 0

    def record_no_capacity(self, now: float, service: ids.ServiceName) -> bool:
        """Records that no server had capacity for a request with a large answer.

        Pattern: a service has few servers that keep few objects each, and nine failure domains each
        need a copy of every object. The copies evict each other, every second run is cold, and
        requests are refused that warm servers would have had capacity for. For the following
        ``SHORTAGE_S``, one copy of each object is kept in a region instead.

        :returns: whether this changes the rankings of the service.
        """
        is_change = not self._has_shortage(now, service)
        self._shortage_until[service] = now + SHORTAGE_S
        return is_change

    def _has_shortage(self, now: float, service: ids.ServiceName) -> bool:
        return now < self._shortage_until.get(service, -math.inf)

    def clear(self) -> None:
        """Discards all cached rankings."""
        self._rankings.clear()
        self._regional_homes.clear()
        self._located.clear()

    def apply_servers(self, servers: Servers) -> None:
        """Replaces the servers in use.

        :param servers: servers by service; each list is sorted, as a changed order would discard
            the cached rankings.
        """
        if servers != self._servers:
            self._servers = servers
            self.clear()

    def find(
        self,
        now: float,
        settings: gateway_settings.GatewaySettings,
        service: ids.ServiceName,
        key: ids.ObjectKey,
        is_large: bool,
    ) -> list[homes.LocatedServer]:
        """Returns the servers of a service, ranked for a request.

        :param key: the object that the request concerns; empty if there is none.
        :param is_large: whether answers are so large that they should not leave the failure domain,
            provided that the service has the capacity.
        """
        is_large = is_large and not self._has_shortage(now, service)
        if not key:
            self._keyless_requests += 1
            key = rendezvous.make_synthetic_key(settings.instance, self._keyless_requests)
        ranking = self._rankings.get((service, key, is_large))
        if ranking is None:
            located, locality, weight = self._find_located(settings, service, is_large)
            ranking = homes.rank_servers(key, locality, weight, located)
            self._rankings[service, key, is_large] = ranking
        return ranking

    def find_regional_homes(
        self,
        now: float,
        settings: gateway_settings.GatewaySettings,
        service: ids.ServiceName,
        key: ids.ObjectKey,
    ) -> list[homes.LocatedServer]:
        """Returns the first server of each other region in an object's ranking.

        The instances there rank their own servers alike, so that these are the object's homes.
        """
        found = self._regional_homes.get((service, key))
        if found is None:
            first: dict[ids.RegionName, homes.LocatedServer] = {}
            for located in self.find(now, settings, service, key, False):
                if located.region != settings.region:
                    first.setdefault(located.region, located)
            found = self._regional_homes[service, key] = list(first.values())
        return found

    def _find_located(
        self, settings: gateway_settings.GatewaySettings, service: ids.ServiceName, is_large: bool
    ) -> tuple[list[homes.LocatedServer], homes.Locality, float]:
        """Returns the servers of a service, the locality to rank them by, and the near weight."""
        entry = self._located.get((service, is_large))
        if entry is None:
            located = [
                homes.LocatedServer(server, settings.domains.get(server.domain, ""))
                for server in self._servers.get(service, ())
            ]
            locality = homes.Locality(settings.domain, settings.region, is_large)
            entry = located, locality, _compute_near_weight(settings, locality, located)
            self._located[service, is_large] = entry
        return entry


def _compute_near_weight(
    settings: gateway_settings.GatewaySettings,
    locality: homes.Locality,
    located: list[homes.LocatedServer],
) -> float:
    if not settings.has_steady_weights:
        return homes.compute_near_weight(locality, located)
    groups = len(settings.domains if locality.is_by_domain else set(settings.domains.values()))
    return steady_weights.compute_steady_near_weight(locality, located, groups)
