"""Orders the backend servers of a service for one object: its homes first."""

import dataclasses

from caperdyke.coordination.placement import affinity
from caperdyke.state import backend, ids

# Weight of servers in the caller's region where the region has room for all of its objects.
NEAR_WEIGHT_MAX = 50.0
NEAR_WEIGHT_MIN = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a server stands, seen from one instance."""

    server: backend.BackendServer
    region: ids.RegionName


def find_near_weight(region: ids.RegionName, places: list[Place]) -> float:
    """Returns the weight of servers in a region against 1 elsewhere.

    Pattern: a third of the callers, but a ninth of the servers in their region. Objects stay in
    the region as far as its part of all slots covers an equal part of the load; the others get a
    home elsewhere from the start, rather than by turns when the region is full.
    """
    total = sum(place.server.slots for place in places)
    near = sum(place.server.slots for place in places if place.region == region)
    regions = len({place.region for place in places} | {region})
    far = total - near
    if near == 0 or far == 0:
        return NEAR_WEIGHT_MIN
    kept = min(1.0, near / total * regions)
    if kept >= 1.0:
        return NEAR_WEIGHT_MAX
    weight = kept * far / ((1 - kept) * near)
    return min(NEAR_WEIGHT_MAX, max(NEAR_WEIGHT_MIN, weight))


def order_places(
    key: ids.ObjectKey, region: ids.RegionName, near_weight: float, places: list[Place]
) -> list[Place]:
    """Returns the servers in the order in which they suit an object of a region's callers.

    The order is the same on every instance of the region. The second is the best one in another
    failure domain of the first one's region, so that callers in both have a home nearby.
    """

    def weigh(place: Place) -> float:
        weight = place.server.slots * (near_weight if place.region == region else 1.0)
        return affinity.weigh(key, place.server.backend, weight)

    order = sorted(places, key=weigh, reverse=True)
    if len(order) < 2:
        return order
    first = order[0]
    for position, place in enumerate(order[1:], 1):
        is_sibling = place.region == first.region
        if is_sibling and place.server.domain != first.server.domain:
            order.insert(1, order.pop(position))
            break
    return order
