"""Chooses the backend server of one request, or says that none can answer it in time."""

import dataclasses

from caperdyke.coordination.placement import processing_times, server_view
from caperdyke.state import ids

# Chance that an object is warm on its first homes, where this instance has not seen it itself.
WARM_CHANCES = (0.85, 0.3)
# Chance from which on a server counts as warm.
WARM_MIN = 0.3
# What it is worth not to leave the failure domain, in seconds of waiting: for any answer, and at
# most for one of many bytes.
FAR_SECONDS = 0.02
FAR_MAX_SECONDS = 0.15
# Part of the slots of a service and of a server up to which objects are brought near ahead of need.
WARMING_PRESSURE = 0.4
# What leaving the failure domain must cost before an object is brought near, in seconds.
WARMING_FAR_SECONDS = 0.05
# What it is worth to use one of an object's homes rather than another server that is warm by
# accident, as a part of the difference that warmth makes; brings objects to servers that joined.
HOME_PART = 0.5
# The same for the first home rather than the second, on an idle service, where the first home has
# not had the object yet.
SECOND_PART = 0.35
# Requests under way per slot of a service from which on nothing waits that would be late.
FULL_PRESSURE = 0.9
# Requests under way per slot of a service from which on objects stay with their homes.
COLD_PRESSURE = 0.7
# Requests under way for each slot beyond which a server would turn more away.
OVERFILL = 2.5
# Costs that differ by less are equal but for rounding; the object's order decides then, so that it
# does not leave its first home by chance. In seconds.
TIE_SECONDS = 1e-6
# Servers of a service that are weighed for one request, in the object's order: its homes, and some
# others, of which one mostly has room. All are weighed only where none of these has.
CANDIDATES_MAX = 24
# Part of the remaining time that must be left when the answer is expected.
SPARE_PART = 0.05
# Silence after which a server is doubted: a multiple of the time that an object that is not warm
# takes there, and at least, in seconds.
SILENCE_FACTOR = 3.0
SILENCE_MIN_SECONDS = 1.0
# How long a caller is asked to stay away at least and at most, in seconds.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request needs.

    :param deadline: time after which an answer is of no use.
    :param objective_at: time until which an answer is worth most.
    :param far_seconds: what it is worth that the answer does not leave the failure domain, in
        seconds of waiting.
    """

    service: ids.ServiceName
    key: ids.ObjectKey
    deadline: float
    objective_at: float
    far_seconds: float
    tried: frozenset[ids.BackendId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may get the request.

    :param round_trip: seconds to the server and back.
    :param is_deprioritized: whether the server asked another instance to leave it alone for now.
    """

    view: server_view.ServerView
    is_near: bool
    round_trip: float
    is_deprioritized: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The request goes to a server.

    :param expected_s: seconds until the whole answer, waiting included.
    :param due_at: time by which even a cold object should be answered.
    :param is_warm: whether the object is expected to be warm there.
    :param is_queued: whether it will wait for a slot.
    """

    view: server_view.ServerView
    expected_s: float
    due_at: float
    is_warm: bool
    is_queued: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """No server can answer in time.

    :param retry_after: seconds after which room is expected.
    :param is_empty: whether there is no server at all, rather than no room.
    :param open_servers: servers that were weighed.
    :param utilization: requests under way per slot of these.
    :param is_named: whether the servers themselves named the time after which they take requests.
    """

    retry_after: float
    is_empty: bool
    open_servers: int = 0
    utilization: float = 0.0
    is_named: bool = False


Selection = Placement | NoCapacity


def select_server(
    now: float,
    demand: Requirements,
    candidates: list[Candidate],
    times: processing_times.ProcessingTime,
) -> Selection:
    """Returns the server with the earliest expected answer, taking the cost to others into account.

    Pattern: objects are slow on a server that has not handled them lately, and servers fill up
    unevenly. The order of an object's homes is the same on every instance of a region, so each
    object stays with its homes as long as waiting there costs less than their warmth is worth. The
    fuller the service, the more a cold run costs the others, so that overload does not spread
    objects over all servers and make itself worse.

    Servers that asked other instances for a rest are used where no other server has room.

    :param candidates: in the order of the object's homes.
    """
    if any(item.is_deprioritized for item in candidates):
        unspared = [item for item in candidates if not item.is_deprioritized]
        chosen = _choose_among(now, demand, unspared, times)
        if isinstance(chosen, Placement):
            return chosen
    return _choose_among(now, demand, candidates, times)


def _choose_among(
    now: float,
    demand: Requirements,
    candidates: list[Candidate],
    times: processing_times.ProcessingTime,
) -> Selection:
    open_candidates = [item for item in candidates if _is_open(now, item, demand)]
    if not open_candidates:
        return NoCapacity(RETRY_AFTER_MAX_S if not candidates else RETRY_AFTER_MIN_S * 3, True)
    utilization = _measure_pressure(open_candidates)
    far_cost = _find_far_cost(now, demand, open_candidates)
    has_homes = bool(demand.key)
    second_cost = 0.0
    if has_homes:
        second_cost = _find_second_cost(now, demand, open_candidates[0], times, utilization)
    best: Placement | None = None
    best_cost = 0.0
    earliest_room = RETRY_AFTER_MAX_S
    for place, candidate in enumerate(open_candidates):
        estimate = _estimate(now, demand, candidate, place, times)
        placed = estimate.placed
        if not _is_worth_sending(now, demand, estimate, utilization):
            earliest_room = min(earliest_room, max(0.0, estimate.wait))
            continue
        cost = placed.expected_s + utilization * estimate.work
        cost += second_cost if place == 1 else 0.0
        if has_homes and place >= len(WARM_CHANCES):
            cost += HOME_PART * max(0.0, times.cold - times.warm)
        if not candidate.is_near:
            cost += far_cost
        if best is None or cost < best_cost - TIE_SECONDS:
            best, best_cost = placed, cost
    if best is not None:
        return best
    retry_after = max(RETRY_AFTER_MIN_S, earliest_room)
    return NoCapacity(retry_after, False, len(open_candidates), utilization)


def compute_cross_domain_penalty(answer_bytes: float, seconds_per_megabyte: float) -> float:
    """Returns what it is worth that an answer does not leave the failure domain.

    Pattern: some routes have answers of a few hundred bytes, others of many thousand, and each byte
    between failure domains costs the operators.

    :param answer_bytes: usual size of the route's answers.
    :param seconds_per_megabyte: waiting that the operators accept to spare a megabyte.
    :returns: seconds of waiting.
    """
    return min(FAR_MAX_SECONDS, FAR_SECONDS + answer_bytes / 1e6 * seconds_per_megabyte)


def select_near_home(
    now: float,
    demand: Requirements,
    candidates: list[Candidate],
    times: processing_times.ProcessingTime,
) -> Placement | None:
    """Returns the object's home in the own failure domain where it is worth bringing it there.

    Pattern: large answers come from a home in the sibling failure domain for the whole day. While
    there is room, a copy of a repeatable request warms the near home, and no caller waits for it.

    :param candidates: in the order of the object's homes.
    """
    if demand.far_seconds < WARMING_FAR_SECONDS or not demand.key:
        return None
    open_candidates = [item for item in candidates if _is_open(now, item, demand)]
    if not open_candidates or _measure_pressure(open_candidates) > WARMING_PRESSURE:
        return None
    for place, candidate in enumerate(open_candidates[: len(WARM_CHANCES)]):
        view = candidate.view
        if not candidate.is_near:
            continue
        has_room = view.outstanding + 1 <= WARMING_PRESSURE * view.server.slots
        if has_room and not candidate.is_deprioritized and not view.is_warm(now, demand.key):
            return _estimate(now, demand, candidate, place, times).placed
        return None
    return None


def _measure_pressure(candidates: list[Candidate]) -> float:
    """Returns requests under way per slot, at most 1."""
    slots = sum(item.view.server.slots for item in candidates)
    return min(1.0, sum(item.view.outstanding for item in candidates) / slots)


def _is_open(now: float, candidate: Candidate, demand: Requirements) -> bool:
    view = candidate.view
    is_paused = now < view.avoided_until or now < view.suspended_until
    is_usable = not is_paused and not view.is_silent(now)
    return is_usable and view.server.backend not in demand.tried


@dataclasses.dataclass(frozen=True, slots=True)
class _Estimate:
    """What is expected of one server.

    :param wait: seconds until a slot is free.
    :param work: seconds for which the server would work.
    """

    placed: Placement
    wait: float
    work: float
    round_trip: float


def _estimate(
    now: float,
    demand: Requirements,
    candidate: Candidate,
    place: int,
    times: processing_times.ProcessingTime,
) -> _Estimate:
    view = candidate.view
    chance = _find_warm_chance(now, demand, candidate, place)
    work = view.slowdown * (chance * times.warm + (1 - chance) * times.cold)
    oldest = view.find_oldest()
    if oldest is not None:
        # A server that became slow shows it before its first slow answer.
        work = max(work, now - oldest - times.cold)
    slots = view.server.slots
    wait = max(0, view.outstanding + 1 - slots) / slots * view.slowdown * times.mean
    is_waiting = view.outstanding + 1 > slots
    slowest = wait + view.slowdown * times.cold + candidate.round_trip
    due_at = now + max(SILENCE_MIN_SECONDS, SILENCE_FACTOR * slowest)
    expected_s = wait + work + candidate.round_trip
    placed = Placement(view, expected_s, due_at, chance >= WARM_MIN, is_waiting)
    return _Estimate(placed, wait, work, candidate.round_trip)


def _is_worth_sending(
    now: float, demand: Requirements, estimate: _Estimate, utilization: float
) -> bool:
    """Tells whether a server should get the request rather than turn it away.

    Pattern: more work than slots. Whatever waits then is late when it is answered, and so is
    everything behind it, and a cold run takes the slots of several warm ones. What would be late
    is turned away while it can still come back in time; what is merely slow is sent.
    """
    placed = estimate.placed
    view = placed.view
    if view.outstanding >= OVERFILL * view.server.slots:
        return False
    # Only the wait is certain; the work is an estimate and may be of another kind of request.
    soonest = now + estimate.wait + estimate.round_trip
    if soonest > demand.deadline - SPARE_PART * max(0.0, demand.deadline - now):
        return False
    if not placed.is_warm and (placed.is_queued or utilization >= COLD_PRESSURE):
        return False
    if not placed.is_queued:
        return True
    return utilization < FULL_PRESSURE or now + placed.expected_s <= demand.objective_at


def _find_warm_chance(now: float, demand: Requirements, candidate: Candidate, place: int) -> float:
    if not demand.key:
        return WARM_MIN
    if candidate.view.is_warm(now, demand.key):
        return 1.0
    return WARM_CHANCES[place] if place < len(WARM_CHANCES) else 0.0


def _find_second_cost(
    now: float,
    demand: Requirements,
    first: Candidate,
    times: processing_times.ProcessingTime,
    utilization: float,
) -> float:
    """Returns what an object's second home costs beyond its time, in seconds.

    Pattern: a server joins, becomes the first home of some objects, and their former first home is
    now the second. While there is room, one cold run brings them to the new one.
    """
    if first.view.is_warm(now, demand.key):
        return 0.0
    return SECOND_PART * (1 - utilization) * max(0.0, times.cold - times.warm)


def _find_far_cost(now: float, demand: Requirements, candidates: list[Candidate]) -> float:
    """Returns what leaving the failure domain costs, in seconds.

    Bytes are spared where a near server is known to be warm; a cold run there would make the
    caller wait for them.
    """
    if any(item.is_near and item.view.is_warm(now, demand.key) for item in candidates):
        return demand.far_seconds
    return min(FAR_SECONDS, demand.far_seconds)
