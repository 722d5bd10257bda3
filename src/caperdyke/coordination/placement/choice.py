"""Chooses the backend server of one request, or says that none can answer it in time."""

import dataclasses

from caperdyke.coordination.placement import affinity, server_view, work_times
from caperdyke.state import ids

# Weight of an object's servers in the instance's own failure domain, against 1 elsewhere.
NEAR_WEIGHT = 4.0
# Chance that an object is warm on the first and the second server of its order, where this
# instance has not seen it itself.
FIRST_WARM_CHANCE = 0.7
SECOND_WARM_CHANCE = 0.2
# What it is worth not to leave the failure domain: bytes that leave it cost the operators, and a
# download has many. In seconds of waiting.
FAR_SECONDS = 0.02
FAR_DOWNLOAD_SECONDS = 0.1
# Requests under way for each slot beyond which a server would turn more away.
OVERFILL = 2.5
# Part of the remaining time that must be left when the answer is expected.
SPARE_PART = 0.05
# How long a caller is asked to stay away at least and at most, in seconds.
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs.

    :param deadline: time after which an answer is of no use.
    :param objective: seconds within which the route's answers are worth most.
    """

    service: ids.ServiceName
    key: ids.ObjectKey
    deadline: float
    objective: float
    is_download: bool
    tried: frozenset[ids.BackendId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may get the request.

    :param round_trip: seconds to the server and back.
    """

    view: server_view.ServerView
    is_near: bool
    round_trip: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The request goes to a server.

    :param expected: seconds until the whole answer, waiting included.
    :param is_warm: whether the object is expected to be warm there.
    :param waits: whether it will wait for a slot.
    """

    view: server_view.ServerView
    expected: float
    is_warm: bool
    waits: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """No server can answer in time.

    :param retry_after: seconds after which room is expected.
    :param is_empty: whether there is no server at all, rather than no room.
    """

    retry_after: float
    is_empty: bool


Choice = Placed | NoRoom


def choose(
    now: float, demand: Demand, candidates: list[Candidate], times: work_times.WorkTime
) -> Choice:
    """Returns the server with the earliest expected answer.

    Pattern: objects are slow on a server that has not handled them lately, and servers fill up
    unevenly. The order of an object's servers is the same on every instance, so each object stays
    with its first server as long as waiting there costs less than the second one's lack of warmth.
    """
    open_candidates = [item for item in candidates if _is_open(now, item, demand)]
    if not open_candidates:
        return NoRoom(RETRY_MAX_SECONDS if not candidates else RETRY_MIN_SECONDS * 3, True)
    order = rank(demand.key, open_candidates)
    best: Placed | None = None
    best_cost = 0.0
    earliest_room = RETRY_MAX_SECONDS
    for place, candidate in enumerate(order):
        placed = _estimate(now, demand, candidate, place, times)
        is_full = candidate.view.busy >= OVERFILL * candidate.view.server.slots
        if is_full or now + placed.expected > demand.deadline - _find_spare(now, demand):
            earliest_room = min(earliest_room, max(0.0, placed.expected - times.warm))
            continue
        cost = placed.expected + _find_distance_cost(demand, candidate)
        if best is None or cost < best_cost:
            best, best_cost = placed, cost
    if best is not None:
        return best
    return NoRoom(max(RETRY_MIN_SECONDS, earliest_room), False)


def rank(key: ids.ObjectKey, candidates: list[Candidate]) -> list[Candidate]:
    """Orders servers by an object's preference; a request without an object has none."""
    if not key:
        return candidates
    return sorted(candidates, key=lambda item: -_weigh(key, item))


def _weigh(key: ids.ObjectKey, candidate: Candidate) -> float:
    server = candidate.view.server
    weight = server.slots * (NEAR_WEIGHT if candidate.is_near else 1.0)
    return affinity.weigh(key, server.backend, weight)


def _is_open(now: float, candidate: Candidate, demand: Demand) -> bool:
    view = candidate.view
    is_paused = now < view.avoided_until or now < view.suspended_until
    return not is_paused and view.server.backend not in demand.tried


def _estimate(
    now: float, demand: Demand, candidate: Candidate, place: int, times: work_times.WorkTime
) -> Placed:
    view = candidate.view
    if not demand.key:
        chance = 0.0
    elif view.is_warm(now, demand.key):
        chance = 1.0
    else:
        chance = {0: FIRST_WARM_CHANCE, 1: SECOND_WARM_CHANCE}.get(place, 0.0)
    work = view.speed * (chance * times.warm + (1 - chance) * times.cold)
    oldest = view.find_oldest()
    if oldest is not None:
        # A server that became slow shows it before its first slow answer.
        work = max(work, now - oldest - times.cold)
    slots = view.server.slots
    mean = view.speed * (0.7 * times.warm + 0.3 * times.cold)
    wait = max(0, view.busy + 1 - slots) / slots * mean
    is_waiting = view.busy + 1 > slots
    return Placed(view, wait + work + candidate.round_trip, chance >= 0.5, is_waiting)


def _find_distance_cost(demand: Demand, candidate: Candidate) -> float:
    if candidate.is_near:
        return 0.0
    return FAR_DOWNLOAD_SECONDS if demand.is_download else FAR_SECONDS


def _find_spare(now: float, demand: Demand) -> float:
    return SPARE_PART * max(0.0, demand.deadline - now)
