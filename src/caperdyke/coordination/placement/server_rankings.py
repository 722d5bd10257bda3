"""Orders of the servers of each service, for objects and for requests that concern none."""

import math

from caperdyke.coordination.placement import affinity, homes
from caperdyke.state import backend, gateway_settings, ids

Servers = dict[ids.ServiceName, list[backend.BackendServer]]
# How long a service that had no room for a request counts as too small to keep large objects once
# in each failure domain, in seconds.
SHORT_SECONDS = 120.0


class ServerRankings:
    """Orders that were worked out, until the servers in use change."""

    def __init__(self) -> None:
        self._servers: Servers = {}
        # By service, object, and whether answers are large.
        self._orders: dict[tuple[ids.ServiceName, ids.ObjectKey, bool], list[homes.Place]] = {}
        self._places: dict[
            tuple[ids.ServiceName, bool], tuple[list[homes.Place], homes.Nearness, float]
        ] = {}
        self._short_until: dict[ids.ServiceName, float] = {}
        # Counts requests that concern no object.
        self._turn = 0

    def record_no_capacity(self, now: float, service: ids.ServiceName) -> bool:
        """Learns that no server had room for a request with a large answer.

        Pattern: few servers keep few objects each, and nine failure domains each want a copy of
        all. The copies push each other out, every second run is cold, and callers are turned away
        though warm servers would be idle. A copy in each region is what there is room for.

        :returns: whether the order is another one from now on.
        """
        is_news = not self._is_short(now, service)
        self._short_until[service] = now + SHORT_SECONDS
        return is_news

    def _is_short(self, now: float, service: ids.ServiceName) -> bool:
        return now < self._short_until.get(service, -math.inf)

    def clear(self) -> None:
        """Forgets all orders."""
        self._orders.clear()
        self._places.clear()

    def apply_servers(self, servers: Servers) -> None:
        """Takes over the servers in use, each list sorted."""
        if servers != self._servers:
            self._servers = servers
            self.clear()

    def find(
        self,
        now: float,
        own: gateway_settings.GatewaySettings,
        service: ids.ServiceName,
        key: ids.ObjectKey,
        is_large: bool,
    ) -> list[homes.Place]:
        """Returns the servers of a service in the order in which they suit a request.

        :param key: the object that it concerns; empty where there is none.
        :param is_large: whether answers are so large that each should stay in its failure domain,
            where there is room.
        """
        is_large = is_large and not self._is_short(now, service)
        if not key:
            self._turn += 1
            key = affinity.make_spread_key(own.instance, self._turn)
        order = self._orders.get((service, key, is_large))
        if order is None:
            places, nearness, weight = self._find_places(own, service, is_large)
            order = homes.order_places(key, nearness, weight, places)
            self._orders[service, key, is_large] = order
        return order

    def _find_places(
        self, own: gateway_settings.GatewaySettings, service: ids.ServiceName, is_large: bool
    ) -> tuple[list[homes.Place], homes.Nearness, float]:
        """Returns the servers of a service, and what draws objects to the near ones."""
        found = self._places.get((service, is_large))
        if found is None:
            places = [
                homes.Place(server, own.domains.get(server.domain, ""))
                for server in self._servers.get(service, ())
            ]
            nearness = homes.Nearness(own.domain, own.region, is_large)
            found = places, nearness, homes.find_near_weight(nearness, places)
            self._places[service, is_large] = found
        return found
