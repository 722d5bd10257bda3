"""Orders of the servers of each service, for objects and for requests that concern none."""

from caperdyke.coordination.placement import affinity, homes
from caperdyke.state import backend, gateway_settings, ids

Servers = dict[ids.ServiceName, list[backend.BackendServer]]


class ServerOrders:
    """Orders that were worked out, until the servers in use change."""

    def __init__(self) -> None:
        self._servers: Servers = {}
        # By service, object, and whether answers are large.
        self._orders: dict[tuple[ids.ServiceName, ids.ObjectKey, bool], list[homes.Place]] = {}
        self._places: dict[
            tuple[ids.ServiceName, bool], tuple[list[homes.Place], homes.Nearness, float]
        ] = {}
        # Counts requests that concern no object.
        self._turn = 0

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
        own: gateway_settings.GatewaySettings,
        service: ids.ServiceName,
        key: ids.ObjectKey,
        is_large: bool,
    ) -> list[homes.Place]:
        """Returns the servers of a service in the order in which they suit a request.

        :param key: the object that it concerns; empty where there is none.
        :param is_large: whether answers are so large that each should stay in its failure domain.
        """
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
