"""Ranks the backend servers of a service for an object.

An object's homes are the servers that rank first. Its requests go there as long as they have
capacity, so that the object is warm on few servers.
"""

import dataclasses

from caperdyke.coordination.placement import rendezvous
from caperdyke.state import backend, ids

# Weight of near servers if they have capacity for all objects of the callers near them.
NEAR_WEIGHT_MAX = 50.0
NEAR_WEIGHT_MIN = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedServer:
    """A server and the region that the instance's settings place its failure domain in."""

    server: backend.BackendServer
    region: ids.RegionName


@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """Location of an instance, and which servers count as near to it.

    :param domain: failure domain of the instance.
    :param region: region of the instance.
    :param is_by_domain: whether near means in the same failure domain rather than in the same
        region. This is worthwhile for large answers only: the operators pay for each byte between
        failure domains, but an object that a region keeps twice has to be warmed twice.
    """

    domain: ids.DomainName
    region: ids.RegionName
    is_by_domain: bool

    def covers(self, located: LocatedServer) -> bool:
        """Returns whether a server is near the instance."""
        if self.is_by_domain:
            return located.server.domain == self.domain
        return located.region == self.region

    def count_groups(self, servers: list[LocatedServer]) -> int:
        """Returns the number of failure domains or regions, the own included, that share load."""
        if self.is_by_domain:
            return len({located.server.domain for located in servers} | {self.domain})
        return len({located.region for located in servers} | {self.region})


def compute_near_weight(locality: Locality, servers: list[LocatedServer]) -> float:
    """Returns the weight of near servers, relative to a weight of 1 for all others.

    Pattern: a region has a third of the callers, but a ninth of the servers. Load is assumed to be
    equal in all groups, and only as many objects get a near home as the near slots can serve. The
    others get a home elsewhere from the start, rather than alternate between servers whenever the
    near ones are full.
    """
    total_slots = sum(located.server.slots for located in servers)
    near_slots = sum(located.server.slots for located in servers if locality.covers(located))
    far_slots = total_slots - near_slots
    if near_slots == 0 or far_slots == 0:
        return NEAR_WEIGHT_MIN
    local_ratio = min(1.0, near_slots / total_slots * locality.count_groups(servers))
    if local_ratio >= 1.0:
        return NEAR_WEIGHT_MAX
    weight = local_ratio * far_slots / ((1 - local_ratio) * near_slots)
    return min(NEAR_WEIGHT_MAX, max(NEAR_WEIGHT_MIN, weight))


def rank_servers(
    key: ids.ObjectKey, locality: Locality, near_weight: float, servers: list[LocatedServer]
) -> list[LocatedServer]:
    """Returns the servers ranked for an object, the first home first.

    All instances with the same locality compute the same ranking. Unless near means the failure
    domain, the second home is the best ranked server in another failure domain of the first home's
    region, so that callers in both failure domains have a home nearby.

    :param near_weight: weight of near servers, see ``compute_near_weight``.
    """

    def score_server(located: LocatedServer) -> float:
        weight = located.server.slots * (near_weight if locality.covers(located) else 1.0)
        return rendezvous.compute_score(key, located.server.backend, weight)

    ranking = sorted(servers, key=score_server, reverse=True)
    if len(ranking) < 2 or locality.is_by_domain:
        return ranking
    first = ranking[0]
    for position, located in enumerate(ranking[1:], 1):
        is_sibling = located.region == first.region
        if is_sibling and located.server.domain != first.server.domain:
            ranking.insert(1, ranking.pop(position))
            break
    return ranking
