"""Divides a server's request rate among all instances, without coordination between them.

A bound is the number of requests that all instances together may send to a server in any window. An
instance's quota is its part of that number.
"""

import collections
import dataclasses
import math
import operator
import zlib

from caperdyke.state import ids

# Window over which an advertised limit is measured, and by how much the window for sends is longer,
# as requests that are sent a window apart may arrive closer together.
LIMIT_WINDOW_S = 4.0
LIMIT_MARGIN_S = 0.1
# Part of an advertised limit that is divided into quotas. If a fleet is partitioned into three, the
# first side has used up its quotas of the whole limit before the other two begin to use theirs.
LIMIT_USABLE_RATIO = 0.9
# Part of the instances in its failure domain, itself included, that an instance has to see as live.
# Below that it counts as isolated.
LIVE_RATIO_MIN = 0.5
# Part of a bound that may be used in the first window of an advertised limit.
FIRST_WINDOW_RATIO = 0.5
# Longest interval between requests to a server with a low limit. A server that advertises 0 gets a
# request this often, so that the end of the limit is noticed.
PROBE_INTERVAL_MAX_S = 8.0
# Window over which requests to a cold server are counted, and the part of the tolerated requests
# that is divided into quotas.
COLD_WINDOW_S = 1.0
COLD_USABLE_RATIO = 0.45
# Weight of an instance in the failure domain of the server, elsewhere in its region, and in another
# region. Most requests for the objects of a server come from near it.
DISTANCE_WEIGHTS = (32, 4, 1)
# How long sends are recorded: the longest window.
HISTORY_S = PROBE_INTERVAL_MAX_S


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Number of requests that all instances together may send to one server.

    :param count: requests in any window.
    :param window: length of the window in seconds.
    """

    count: int
    window: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as one instance sees it.

    :param own: this instance, or None while it has no quota.
    :param domains: failure domain of each live instance, this one included.
    :param live_ratio: live instances, relative to all instances that may be alive.
    """

    own: ids.InstanceId | None
    domains: dict[ids.InstanceId, ids.DomainName]
    live_ratio: float


def make_fleet_view(
    own: ids.InstanceId,
    live: dict[ids.InstanceId, ids.DomainName],
    unreachable: dict[ids.InstanceId, ids.DomainName],
) -> FleetView:
    """Returns the fleet as an instance sees it.

    Pattern: a few of many instances receive no announcements, and each would use the quota of the
    whole fleet. An instance that receives announcements from too few others in its failure domain
    has no quota.

    :param live: failure domain of each live instance, the own one included.
    :param unreachable: failure domain of each instance whose announcements ceased recently without
        an announcement that it is leaving.
    """
    domain = live[own]
    live_in_domain = sum(other_domain == domain for other_domain in live.values())
    expected_in_domain = live_in_domain + sum(
        other_domain == domain for other_domain in unreachable.values()
    )
    is_isolated = live_in_domain < LIVE_RATIO_MIN * expected_in_domain
    return FleetView(None if is_isolated else own, live, len(live) / (len(live) + len(unreachable)))


def bound_advertised_limit(per_second: float) -> Bound:
    """Returns the bound for a server that advertises a limit.

    :param per_second: requests a second that the server accepts from all instances.
    """
    rate = LIMIT_USABLE_RATIO * per_second
    count = math.floor(rate * LIMIT_WINDOW_S)
    if count > 1:
        return Bound(count, LIMIT_WINDOW_S + LIMIT_MARGIN_S)
    return Bound(1, min(PROBE_INTERVAL_MAX_S, 1 / rate) if rate > 0 else PROBE_INTERVAL_MAX_S)


def bound_first_window(bound: Bound) -> Bound:
    """Returns the bound for a server that has just advertised its limit.

    Pattern: all instances send to a server until they receive its limit, and it still has to
    process those requests.
    """
    return Bound(math.floor(bound.count * FIRST_WINDOW_RATIO), bound.window)


def bound_cold_start(per_second: float, factor: float, allowance: float) -> Bound:
    """Returns the bound for a cold server.

    :param per_second: requests a second that the server tolerates while it is cold.
    :param factor: factor by which this rate may be exceeded.
    :param allowance: requests that may be added in each second.
    """
    allowed = per_second * factor + allowance
    return Bound(max(1, math.floor(allowed * COLD_USABLE_RATIO)), COLD_WINDOW_S)


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaPosition:
    """Position of an instance among those that share the bounds of one server.

    :param rank: number of instances that come before it; those nearest to the server come first.
    :param distance: index of the instance's weight in ``DISTANCE_WEIGHTS``.
    :param counts: number of instances at each distance.
    """

    rank: int
    distance: int
    counts: tuple[int, ...]


class QuotaPositions:
    """Caches the positions of this instance for each server, until the fleet changes."""

    def __init__(self) -> None:
        self._domains: dict[ids.InstanceId, ids.DomainName] = {}
        self._positions: dict[ids.BackendId, QuotaPosition] = {}

    def find(
        self,
        server: ids.BackendId,
        domain: ids.DomainName,
        fleet_view: FleetView,
        regions: dict[ids.DomainName, ids.RegionName],
    ) -> QuotaPosition | None:
        """Returns this instance's position, or None while it has no quota.

        :param domain: failure domain of the server.
        :param regions: region of each failure domain.
        """
        if fleet_view.own is None:
            return None
        if fleet_view.domains != self._domains:
            self._domains = fleet_view.domains
            self._positions.clear()
        position = self._positions.get(server)
        if position is None:
            position = self._positions[server] = _find_position(server, domain, fleet_view, regions)
        return position


def _find_position(
    server: ids.BackendId,
    domain: ids.DomainName,
    fleet_view: FleetView,
    regions: dict[ids.DomainName, ids.RegionName],
) -> QuotaPosition:
    def find_distance(other_domain: ids.DomainName) -> int:
        if other_domain == domain:
            return 0
        return 1 if other_domain in regions and regions[other_domain] == regions.get(domain) else 2

    distances = {
        name: find_distance(other_domain) for name, other_domain in fleet_view.domains.items()
    }

    def sort_key(name: ids.InstanceId) -> tuple[int, int, ids.InstanceId]:
        return distances[name], zlib.crc32(f"{server}/{name}".encode()), name

    own_key = sort_key(fleet_view.own)
    counts = collections.Counter(distances.values())
    return QuotaPosition(
        sum(sort_key(name) < own_key for name in fleet_view.domains),
        own_key[0],
        tuple(counts[distance] for distance in range(len(DISTANCE_WEIGHTS))),
    )


def compute_quota(bound: Bound, position: QuotaPosition | None, fleet_view: FleetView) -> int:
    """Returns how many requests one instance may send in a window.

    Pattern: a server is cold or advertises a limit, and every instance sends to it, those near it
    most. The bound is divided by distance and the remainder goes to the first ranks, one request
    each. Instances whose fleet views differ by a few others thus exceed the bound by a few
    requests, not twofold. An instance that sees only a part of the fleet as live divides only that
    part of the bound, since the others may be alive too: the sides of a network partition add up to
    one bound. Each side may send at least one request, by which it notices that the bound ended.

    :param position: None if the instance has no quota.
    """
    if position is None or bound.count == 0:
        return 0
    count = max(1, math.floor(bound.count * fleet_view.live_ratio))
    total = sum(map(operator.mul, position.counts, DISTANCE_WEIGHTS))
    quotas = [count * weight // total for weight in DISTANCE_WEIGHTS]
    remainder = count - sum(map(operator.mul, position.counts, quotas))
    return quotas[position.distance] + (position.rank < remainder)


class SendHistory:
    """Times of the latest requests of this instance to each server."""

    def __init__(self) -> None:
        self._sends: dict[ids.BackendId, collections.deque[float]] = {}

    def record_send(self, now: float, server: ids.BackendId) -> None:
        """Counts a request, whether or not a bound applies to the server."""
        sends = self._sends.setdefault(server, collections.deque())
        sends.append(now)
        while sends[0] <= now - HISTORY_S:
            sends.popleft()

    def remove_server(self, server: ids.BackendId) -> None:
        """Removes a server that has left."""
        self._sends.pop(server, None)

    def find_next_send_time(
        self, now: float, server: ids.BackendId, count: int, window: float
    ) -> float:
        """Returns the earliest time at which one more request may be sent.

        Requests are spaced by at least half of the mean interval, so that an overloaded server does
        not get all requests of a window at once.

        :param count: quota of this instance in a window; at least one.
        :param window: length of the window in seconds.
        """
        sends = self._sends.get(server)
        if not sends:
            return now
        next_send_at = sends[-1] + window / (2 * count) if count > 1 else now
        if len(sends) >= count:
            next_send_at = max(next_send_at, sends[-count] + window)
        return max(now, next_send_at)
