"""Selects the backend server of a request, or reports that none can answer it in time.

An object's homes are the servers that rank first for it and are likely to be warm; see ``homes``.
"""

import dataclasses

from caperdyke.coordination.placement import processing_times, server_view
from caperdyke.state import ids

# Assumed probability that an object is warm on its first and its second home, as long as this
# instance has had no answer for it from there.
WARM_PROBABILITIES = (0.85, 0.3)
# Probability from which on a server is treated as warm; also assumed for requests without a key.
WARM_PROBABILITY_MIN = 0.3
# Cost of leaving the failure domain, in seconds of waiting: for an answer of any size, and the
# upper bound for a large one.
CROSS_DOMAIN_PENALTY_S = 0.02
CROSS_DOMAIN_PENALTY_MAX_S = 0.15
# Highest utilization of a service, and of the server itself, at which a server is prewarmed.
PREWARM_UTILIZATION_MAX = 0.4
# Lowest cross-domain penalty at which an object is prewarmed in the own failure domain.
PREWARM_PENALTY_MIN_S = 0.05
# Extra cost of a server that is no home of the object but may happen to be warm, relative to the
# difference between cold and warm processing time. It moves objects to servers that joined.
NON_HOME_COST_RATIO = 0.5
# Extra cost of the second home while the first home is not warm for the object, relative to the
# same difference. It applies in full to an idle service and shrinks as the utilization grows.
SECOND_HOME_COST_RATIO = 0.35
# Utilization of a service from which on a request is queued only if it is expected to meet its
# latency objective.
FULL_UTILIZATION = 0.9
# Utilization of a service from which on servers that are not expected to be warm are not used, so
# that objects stay with their homes.
COLD_UTILIZATION = 0.7
# Outstanding requests per slot from which on a server would reject another one.
OUTSTANDING_PER_SLOT_MAX = 2.5
# Costs that differ by less than this differ by rounding alone. The better ranked server is kept
# then, so that rounding does not move an object away from its first home.
COST_TIE_S = 1e-6
# Servers of a service that are considered for one request, in rank order: the object's homes and
# some others, of which usually at least one has capacity. All servers are considered only if none
# of these has.
CANDIDATES_MAX = 24
# Part of the remaining time that must be left after the wait for a slot and the round trip.
DEADLINE_MARGIN_RATIO = 0.05
# When a request is overdue, which makes a server that sent nothing since count as unresponsive: a
# multiple of the expected time of a cold run, waiting included, and its lower bound.
UNRESPONSIVE_FACTOR = 3.0
UNRESPONSIVE_MIN_S = 1.0
# Bounds of the time after which a caller is asked to retry.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request requires of the server that is selected for it.

    :param key: object that the request concerns; empty if there is none.
    :param deadline: time after which the answer is useless.
    :param objective_at: time at which the latency objective of the route expires.
    :param cross_domain_penalty: cost of an answer that leaves the failure domain, in seconds.
    :param tried: servers that are not selected since the request was sent to them before.
    :param reserved_ratio: part of the slots that the request leaves free for others.
    :param may_be_queued: whether the request may be sent to a server without a free slot.
    """

    service: ids.ServiceName
    key: ids.ObjectKey
    deadline: float
    objective_at: float
    cross_domain_penalty: float
    tried: frozenset[ids.BackendId] = frozenset()
    reserved_ratio: float = 0.0
    may_be_queued: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may get the request.

    :param is_near: whether the server is in the failure domain of this instance.
    :param round_trip: network round-trip time in seconds.
    :param is_deprioritized: whether the server requested a backoff from another instance.
    """

    view: server_view.ServerView
    is_near: bool
    round_trip: float
    is_deprioritized: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The server that was selected for a request.

    :param expected_s: expected seconds until the complete answer, including the wait for a slot.
    :param due_at: time from which on the request is overdue, with allowance for a cold run.
    :param is_warm: whether the object is expected to be warm on the server.
    :param is_queued: whether the request is expected to wait for a slot.
    """

    view: server_view.ServerView
    expected_s: float
    due_at: float
    is_warm: bool
    is_queued: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """No server can answer in time.

    :param retry_after: seconds after which capacity is expected.
    :param is_empty: whether there was no server to consider, rather than none with capacity.
    :param open_servers: number of servers that were considered.
    :param utilization: outstanding requests per slot of these servers, at most 1.
    :param is_advertised: whether ``retry_after`` is a time that the servers advertised themselves.
    :param spread_s: time after ``retry_after`` over which the retries of callers are spread.
    """

    retry_after: float
    is_empty: bool
    open_servers: int = 0
    utilization: float = 0.0
    is_advertised: bool = False
    spread_s: float = 0.0


Selection = Placement | NoCapacity


def select_server(
    now: float,
    needs: Requirements,
    candidates: list[Candidate],
    times: processing_times.ProcessingTime,
) -> Selection:
    """Returns the server with the lowest cost: the expected latency and what others lose by it.

    Pattern: objects are slow on a server that has not handled them recently, and servers fill up
    unevenly. All instances of a region rank the servers of an object alike, so the object stays
    with its homes as long as waiting there costs less than a cold run elsewhere. The fuller the
    service, the more the processing time weighs, as it delays other requests: an overload must not
    spread objects over all servers and make itself worse.

    Servers that requested a backoff from other instances are used only if no other has capacity.

    :param candidates: servers in the order of their rank for the object.
    """
    if any(item.is_deprioritized for item in candidates):
        preferred = [item for item in candidates if not item.is_deprioritized]
        selected = _select_among(now, needs, preferred, times)
        if isinstance(selected, Placement):
            return selected
    return _select_among(now, needs, candidates, times)


def _select_among(
    now: float,
    needs: Requirements,
    candidates: list[Candidate],
    times: processing_times.ProcessingTime,
) -> Selection:
    eligible = [item for item in candidates if _is_eligible(now, item, needs)]
    if not eligible:
        return NoCapacity(RETRY_AFTER_MAX_S if not candidates else RETRY_AFTER_MIN_S * 3, True)
    utilization = _compute_utilization(eligible)
    cross_domain_cost = _compute_cross_domain_cost(now, needs, eligible)
    has_homes = bool(needs.key)
    second_home_cost = 0.0
    if has_homes:
        second_home_cost = _compute_second_home_cost(now, needs, eligible[0], times, utilization)
    best: Placement | None = None
    best_cost = 0.0
    shortest_wait = RETRY_AFTER_MAX_S
    for rank, candidate in enumerate(eligible):
        estimate = _estimate(now, needs, candidate, rank, times)
        placement = estimate.placement
        if not _should_send(now, needs, estimate, utilization):
            shortest_wait = min(shortest_wait, max(0.0, estimate.wait_s))
            continue
        cost = placement.expected_s + utilization * estimate.processing_s
        cost += second_home_cost if rank == 1 else 0.0
        if has_homes and rank >= len(WARM_PROBABILITIES):
            cost += NON_HOME_COST_RATIO * max(0.0, times.cold - times.warm)
        if not candidate.is_near:
            cost += cross_domain_cost
        if best is None or cost < best_cost - COST_TIE_S:
            best, best_cost = placement, cost
    if best is not None:
        return best
    retry_after = max(RETRY_AFTER_MIN_S, shortest_wait)
    return NoCapacity(retry_after, False, len(eligible), utilization)


def compute_cross_domain_penalty(answer_bytes: float, seconds_per_megabyte: float) -> float:
    """Returns the cost of an answer that leaves the failure domain, in seconds of waiting.

    Pattern: some routes have answers of a few hundred bytes, others of many thousand, and the
    operators pay for each byte between failure domains.

    :param answer_bytes: usual size of the route's answers.
    :param seconds_per_megabyte: waiting that the operators accept to avoid sending a megabyte.
    """
    return min(
        CROSS_DOMAIN_PENALTY_MAX_S,
        CROSS_DOMAIN_PENALTY_S + answer_bytes / 1e6 * seconds_per_megabyte,
    )


def select_near_home(
    now: float,
    needs: Requirements,
    candidates: list[Candidate],
    times: processing_times.ProcessingTime,
) -> Placement | None:
    """Returns the object's home in the own failure domain if prewarming it is worthwhile.

    Pattern: large answers come from a home in the sibling failure domain for the whole day. While
    there is capacity to spare, a copy of a repeatable request warms the near home, and no caller
    waits for its answer.

    :param candidates: servers in the order of their rank for the object.
    """
    if needs.cross_domain_penalty < PREWARM_PENALTY_MIN_S or not needs.key:
        return None
    eligible = [item for item in candidates if _is_eligible(now, item, needs)]
    if not eligible or _compute_utilization(eligible) > PREWARM_UTILIZATION_MAX:
        return None
    for rank, candidate in enumerate(eligible[: len(WARM_PROBABILITIES)]):
        view = candidate.view
        if not candidate.is_near:
            continue
        has_capacity = view.outstanding + 1 <= PREWARM_UTILIZATION_MAX * view.server.slots
        if has_capacity and not candidate.is_deprioritized and not view.is_warm(now, needs.key):
            return _estimate(now, needs, candidate, rank, times).placement
        return None
    return None


def _compute_utilization(candidates: list[Candidate]) -> float:
    """Returns the outstanding requests per slot of all candidates, at most 1."""
    slots = sum(item.view.server.slots for item in candidates)
    return min(1.0, sum(item.view.outstanding for item in candidates) / slots)


def _is_eligible(now: float, candidate: Candidate, needs: Requirements) -> bool:
    view = candidate.view
    is_open = view.find_status(now) is server_view.ServerStatus.OPEN
    return is_open and view.server.backend not in needs.tried


@dataclasses.dataclass(frozen=True, slots=True)
class _Estimate:
    """Expected times of a request on one server.

    :param wait_s: time until a slot is free.
    :param processing_s: time for which the server works on the request.
    """

    placement: Placement
    wait_s: float
    processing_s: float
    round_trip: float


def _estimate(
    now: float,
    needs: Requirements,
    candidate: Candidate,
    rank: int,
    times: processing_times.ProcessingTime,
) -> _Estimate:
    view = candidate.view
    p_warm = _estimate_warm_probability(now, needs, candidate, rank)
    processing_s = view.slowdown * (p_warm * times.warm + (1 - p_warm) * times.cold)
    oldest_sent_at = view.find_oldest_send_time()
    if oldest_sent_at is not None:
        # The age of the oldest pending request reveals a slow server before its first slow answer.
        processing_s = max(processing_s, now - oldest_sent_at - times.cold)
    slots = view.server.slots
    wait_s = max(0, view.outstanding + 1 - slots) / slots * view.slowdown * times.mean
    must_wait = view.outstanding + 1 > slots
    worst_case_s = wait_s + view.slowdown * times.cold + candidate.round_trip
    due_at = now + max(UNRESPONSIVE_MIN_S, UNRESPONSIVE_FACTOR * worst_case_s)
    expected_s = wait_s + processing_s + candidate.round_trip
    placement = Placement(view, expected_s, due_at, p_warm >= WARM_PROBABILITY_MIN, must_wait)
    return _Estimate(placement, wait_s, processing_s, candidate.round_trip)


def _should_send(now: float, needs: Requirements, estimate: _Estimate, utilization: float) -> bool:
    """Returns whether the request should be sent to a server rather than be refused.

    Pattern: more work than slots. Requests that are queued then are answered late, as is everything
    queued behind them, and a cold run takes as long as several warm ones. A request that would be
    late because of the queue is refused while its caller can still retry in time. One that is
    merely slow to process is sent.
    """
    placement = estimate.placement
    view = placement.view
    if view.outstanding >= OUTSTANDING_PER_SLOT_MAX * view.server.slots:
        return False
    # The processing time is left out: its estimate may stem from another kind of request.
    earliest_answer_at = now + estimate.wait_s + estimate.round_trip
    if earliest_answer_at > needs.deadline - DEADLINE_MARGIN_RATIO * max(0.0, needs.deadline - now):
        return False
    if not placement.is_warm and (placement.is_queued or utilization >= COLD_UTILIZATION):
        return False
    if needs.reserved_ratio and not _leaves_reserve(needs, view, utilization):
        return False
    if not placement.is_queued:
        return True
    if not needs.may_be_queued:
        return False
    return utilization < FULL_UTILIZATION or now + placement.expected_s <= needs.objective_at


def _leaves_reserve(needs: Requirements, view: server_view.ServerView, utilization: float) -> bool:
    """Returns whether the part of the slots that a request leaves free stays free.

    It counts for each server and for the service: a server with one slot can't keep a part of it.
    """
    usable_ratio = 1 - needs.reserved_ratio
    usable_slots = max(1.0, usable_ratio * view.server.slots)
    return utilization <= usable_ratio and view.outstanding + 1 <= usable_slots


def _estimate_warm_probability(
    now: float, needs: Requirements, candidate: Candidate, rank: int
) -> float:
    if not needs.key:
        return WARM_PROBABILITY_MIN
    if candidate.view.is_warm(now, needs.key):
        return 1.0
    return WARM_PROBABILITIES[rank] if rank < len(WARM_PROBABILITIES) else 0.0


def _compute_second_home_cost(
    now: float,
    needs: Requirements,
    first: Candidate,
    times: processing_times.ProcessingTime,
    utilization: float,
) -> float:
    """Returns the extra cost of an object's second home, in seconds.

    Pattern: a server joins and becomes the first home of some objects, whose former first home is
    now the second. While there is capacity to spare, one cold run moves each object to the new one.
    """
    if first.view.is_warm(now, needs.key):
        return 0.0
    return SECOND_HOME_COST_RATIO * (1 - utilization) * max(0.0, times.cold - times.warm)


def _compute_cross_domain_cost(
    now: float, needs: Requirements, candidates: list[Candidate]
) -> float:
    """Returns the cost of leaving the failure domain, in seconds.

    The full penalty applies only if a near server is known to be warm. Otherwise the caller would
    wait for a cold run to avoid the transfer.
    """
    if any(item.is_near and item.view.is_warm(now, needs.key) for item in candidates):
        return needs.cross_domain_penalty
    return min(CROSS_DOMAIN_PENALTY_S, needs.cross_domain_penalty)
