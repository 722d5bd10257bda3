"""Orders the backend servers of a service for one object: its homes first."""

import dataclasses

from caperdyke.coordination.placement import affinity
from caperdyke.state import backend, ids

# Weight of near servers where they have room for all objects of the callers near them.
NEAR_WEIGHT_MAX = 50.0
NEAR_WEIGHT_MIN = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a server stands, seen from one instance."""

    server: backend.BackendServer
    region: ids.RegionName


@dataclasses.dataclass(frozen=True, slots=True)
class Nearness:
    """Whose objects are placed, and how far they should stay.

    :param is_by_domain: whether near means the own failure domain rather than the region. Large
        answers are worth it: each byte between failure domains costs the operators, and a region
        that keeps an object twice warms it twice.
    """

    domain: ids.DomainName
    region: ids.RegionName
    is_by_domain: bool

    def covers(self, place: Place) -> bool:
        """Tells whether a server is near."""
        if self.is_by_domain:
            return place.server.domain == self.domain
        return place.region == self.region

    def count_groups(self, places: list[Place]) -> int:
        """Returns how many failure domains or regions share the load."""
        if self.is_by_domain:
            return len({place.server.domain for place in places} | {self.domain})
        return len({place.region for place in places} | {self.region})


def find_near_weight(nearness: Nearness, places: list[Place]) -> float:
    """Returns the weight of near servers against 1 elsewhere.

    Pattern: a third of the callers, but a ninth of the servers in their region. Objects stay near
    as far as the near part of all slots covers an equal part of the load; the others get a home
    elsewhere from the start, rather than by turns when the near servers are full.
    """
    total = sum(place.server.slots for place in places)
    near = sum(place.server.slots for place in places if nearness.covers(place))
    far = total - near
    if near == 0 or far == 0:
        return NEAR_WEIGHT_MIN
    kept = min(1.0, near / total * nearness.count_groups(places))
    if kept >= 1.0:
        return NEAR_WEIGHT_MAX
    weight = kept * far / ((1 - kept) * near)
    return min(NEAR_WEIGHT_MAX, max(NEAR_WEIGHT_MIN, weight))


def order_places(
    key: ids.ObjectKey, nearness: Nearness, near_weight: float, places: list[Place]
) -> list[Place]:
    """Returns the servers in the order in which they suit an object of some callers.

    The order is the same on every instance near these callers. The second is the best one in
    another failure domain of the first one's region, so that callers in both have a home nearby.
    """

    def weigh(place: Place) -> float:
        weight = place.server.slots * (near_weight if nearness.covers(place) else 1.0)
        return affinity.weigh(key, place.server.backend, weight)

    order = sorted(places, key=weigh, reverse=True)
    if len(order) < 2 or nearness.is_by_domain:
        return order
    first = order[0]
    for position, place in enumerate(order[1:], 1):
        is_sibling = place.region == first.region
        if is_sibling and place.server.domain != first.server.domain:
            order.insert(1, order.pop(position))
            break
    return order
