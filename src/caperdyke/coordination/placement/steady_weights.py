"""The weight of near servers, without jumps when a server is added or removed."""

import math

from caperdyke.coordination.placement import homes

# Decay of the exponent with the ratio of near capacity to the load of the own region. At 0.9 the
# weight is within a fifth of ``homes.compute_near_weight`` for ratios from 0.3 to 0.75.
LOCAL_RATIO_SCALE = 0.9


def compute_steady_near_weight(
    locality: homes.Locality, servers: list[homes.LocatedServer], groups: int
) -> float:
    """Returns the weight of near servers, relative to a weight of 1 for all others.

    Pattern: servers come and go all day. The weight that matches the near capacity exactly grows
    without bound as a region comes to serve its callers alone, so that one server less in another
    region moves objects that need not move. Here the weight approaches its maximum gradually, and
    one of 16 servers changes it by a tenth at most.

    :param groups: failure domains or regions that share the load, whether or not they have servers.
    """
    total_slots = sum(located.server.slots for located in servers)
    near_slots = sum(located.server.slots for located in servers if locality.covers(located))
    if near_slots == 0 or near_slots == total_slots:
        return homes.NEAR_WEIGHT_MIN
    local_ratio = near_slots / total_slots * groups
    exponent = 1 - math.exp(-local_ratio / LOCAL_RATIO_SCALE)
    return math.exp(math.log(homes.NEAR_WEIGHT_MAX) * exponent)
