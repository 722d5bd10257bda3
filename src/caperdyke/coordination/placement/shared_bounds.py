"""Bounds on what a backend server gets from all instances together, kept without a shared count."""

import collections
import dataclasses
import math
import operator
import zlib

from caperdyke.state import ids

# Window in which a named limit counts, and by how much longer the window is in which sends are
# counted here: requests that were sent a window apart may arrive closer to each other. In seconds.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_MARGIN_SECONDS = 0.1
# Part of a named limit that is dealt out. Where a fleet is cut into three, the first side has sent
# its parts of all when the two others begin to deal out theirs.
LIMIT_PART = 0.9
# Part of the instances of its failure domain that an instance hears at least, itself included, if
# it is not cut off alone.
MATES_PART_MIN = 0.5
# Part of the count that is dealt out in the first window of a limit.
FIRST_PART = 0.5
# Longest interval of requests to a server with a low limit: one that names 0 is asked this often
# whether it still does, in seconds.
ASK_SECONDS = 8.0
# Window in which requests to a cold server count, in seconds, and the part of the bound that is
# dealt out.
COLD_WINDOW_SECONDS = 1.0
COLD_PART = 0.45
# Weight of an instance in the failure domain of a server, elsewhere in its region, and in another
# region: most requests for a server's objects come from near it.
DISTANCE_WEIGHTS = (32, 4, 1)
# How long sends are remembered, in seconds: the longest window.
HISTORY_SECONDS = ASK_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """What all instances together may send to one server.

    :param count: requests in any window.
    :param window: its length, in seconds.
    """

    count: int
    window: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as one instance sees it.

    :param own: this instance, or None while it takes no part.
    :param domains: failure domain of each instance that takes part, this one included.
    :param part: part of the instances that live, as far as known, of those that may live.
    """

    own: ids.InstanceId | None
    domains: dict[ids.InstanceId, ids.DomainName]
    part: float


def make_fleet_view(
    own: ids.InstanceId,
    live: dict[ids.InstanceId, ids.DomainName],
    silent: dict[ids.InstanceId, ids.DomainName],
) -> FleetView:
    """Returns the fleet as an instance sees it.

    Pattern: a few instances of many hear nobody, and each would take the part of a whole fleet. One
    that hears too few of its failure domain takes no part.

    :param live: failure domain of each live instance, the own included.
    :param silent: the same of those that fell silent lately and did not say that they leave.
    """
    domain = live[own]
    heard = sum(home == domain for home in live.values())
    mates = heard + sum(home == domain for home in silent.values())
    is_alone = heard < MATES_PART_MIN * mates
    return FleetView(None if is_alone else own, live, len(live) / (len(live) + len(silent)))


def bound_advertised_limit(per_second: float) -> Bound:
    """Returns the bound for a server that names a limit.

    :param per_second: requests a second that it takes from all instances.
    """
    rate = LIMIT_PART * per_second
    count = math.floor(rate * LIMIT_WINDOW_SECONDS)
    if count > 1:
        return Bound(count, LIMIT_WINDOW_SECONDS + LIMIT_MARGIN_SECONDS)
    return Bound(1, min(ASK_SECONDS, 1 / rate) if rate > 0 else ASK_SECONDS)


def bound_first_window(bound: Bound) -> Bound:
    """Returns the bound for a server that has just named its limit.

    Pattern: all send to a server until they hear of its limit, and it has that to work on.
    """
    return Bound(math.floor(bound.count * FIRST_PART), bound.window)


def bound_cold_start(per_second: float, factor: float, allowance: float) -> Bound:
    """Returns the bound for a cold server.

    :param per_second: requests a second that it tolerates.
    :param factor: how far that may be exceeded, as a factor.
    :param allowance: requests that it may get besides in a second.
    """
    allowed = per_second * factor + allowance
    return Bound(max(1, math.floor(allowed * COLD_PART)), COLD_WINDOW_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Place of an instance among those that share the bounds of one server.

    :param rank: from 0 on, those near the server first.
    :param distance: index of the instance's weight.
    :param counts: instances at each distance.
    """

    rank: int
    distance: int
    counts: tuple[int, ...]


class QuotaPositions:
    """Places of this instance among those that share the bounds of each server."""

    def __init__(self) -> None:
        self._domains: dict[ids.InstanceId, ids.DomainName] = {}
        self._places: dict[ids.BackendId, Place] = {}

    def find(
        self,
        server: ids.BackendId,
        domain: ids.DomainName,
        sight: FleetView,
        regions: dict[ids.DomainName, ids.RegionName],
    ) -> Place | None:
        """Returns this instance's place, or None while it takes no part.

        :param domain: failure domain of the server.
        """
        if sight.own is None:
            return None
        if sight.domains != self._domains:
            self._domains = sight.domains
            self._places.clear()
        place = self._places.get(server)
        if place is None:
            place = self._places[server] = _place(server, domain, sight, regions)
        return place


def _place(
    server: ids.BackendId,
    domain: ids.DomainName,
    sight: FleetView,
    regions: dict[ids.DomainName, ids.RegionName],
) -> Place:
    def measure(home: ids.DomainName) -> int:
        if home == domain:
            return 0
        return 1 if home in regions and regions[home] == regions.get(domain) else 2

    distances = {name: measure(home) for name, home in sight.domains.items()}

    def weigh(name: ids.InstanceId) -> tuple[int, int, ids.InstanceId]:
        return distances[name], zlib.crc32(f"{server}/{name}".encode()), name

    own = weigh(sight.own)
    counts = collections.Counter(distances.values())
    return Place(
        sum(weigh(name) < own for name in sight.domains),
        own[0],
        tuple(counts[distance] for distance in range(len(DISTANCE_WEIGHTS))),
    )


def compute_quota(bound: Bound, place: Place | None, sight: FleetView) -> int:
    """Returns how many requests one instance may send in a window.

    Pattern: a server is cold or names a limit, and every instance sends to it, those near it most.
    The count is dealt out by distance and then one by one, so that instances that disagree about a
    few others deal a few requests too many, not the whole count twice. An instance that hears just
    a part of the fleet deals out just that part of the count, since those that it does not hear may
    live: the sides of a cut add up to one count. Each side has at least one request, by which it
    learns that the bound has ended.

    :param place: None where the instance takes no part.
    """
    if place is None or bound.count == 0:
        return 0
    count = max(1, math.floor(bound.count * sight.part))
    total = sum(map(operator.mul, place.counts, DISTANCE_WEIGHTS))
    parts = [count * weight // total for weight in DISTANCE_WEIGHTS]
    rest = count - sum(map(operator.mul, place.counts, parts))
    return parts[place.distance] + (place.rank < rest)


class SendHistory:
    """Latest sends of this instance to each server."""

    def __init__(self) -> None:
        self._sends: dict[ids.BackendId, collections.deque[float]] = {}

    def record_send(self, now: float, server: ids.BackendId) -> None:
        """Counts a request, whether a bound holds for the server or not."""
        sends = self._sends.setdefault(server, collections.deque())
        sends.append(now)
        while sends[0] <= now - HISTORY_SECONDS:
            sends.popleft()

    def forget(self, server: ids.BackendId) -> None:
        """Forgets a server that has left."""
        self._sends.pop(server, None)

    def find_next_send_time(
        self, now: float, server: ids.BackendId, count: int, window: float
    ) -> float:
        """Returns from when on one more request fits.

        Requests keep half of the mean distance, so that a server in need does not get the requests
        of a window at once.

        :param count: requests of this instance in a window; at least one.
        """
        sends = self._sends.get(server)
        if not sends:
            return now
        room_at = sends[-1] + window / (2 * count) if count > 1 else now
        if len(sends) >= count:
            room_at = max(room_at, sends[-count] + window)
        return max(now, room_at)
