"""Divides a route's requests among its services by weight."""

from caperdyke.state import ids, routes


class WeightedRoundRobin:
    """Gives each service of a split route its part, with the least possible deviation.

    Pattern: few requests a second on a route, where drawing lots would miss the weights. Smooth
    weighted round robin: the service that is farthest behind its part is next.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple, dict[ids.ServiceName, float]] = {}

    def choose(self, route: routes.Route) -> ids.ServiceName:
        """Returns the service of the next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0].service
        credits = self._credits.setdefault((route.name, route.parts), {})
        for part in route.parts:
            credits[part.service] = credits.get(part.service, 0.0) + part.weight
        chosen = max(route.parts, key=lambda part: credits[part.service]).service
        credits[chosen] -= total
        return chosen
