"""Splits a route's requests among its services by weight."""

from caperdyke.state import ids, routes


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of each route.

    Pattern: a route has few requests a second, for which a random choice would miss the weights.
    The service that is farthest behind its share is chosen next.
    """

    def __init__(self) -> None:
        self._weights: dict[tuple, dict[ids.ServiceName, float]] = {}

    def choose(self, route: routes.Route) -> ids.ServiceName:
        """Returns the service of the route's next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0].service
        weights = self._weights.setdefault((route.name, route.parts), {})
        for part in route.parts:
            weights[part.service] = weights.get(part.service, 0.0) + part.weight
        chosen = max(route.parts, key=lambda part: weights[part.service]).service
        weights[chosen] -= total
        return chosen
