"""Selects the backend server of a request, or reports that none can answer it in time.

An object's homes are the servers that rank first for it and are likely to be warm; see ``homes``.
"""

import dataclasses
import math
import random

from caperdyke.coordination.placement import (
    answer_times,
    completion,
    processing_times,
    server_options,
    server_view,
)
from caperdyke.state import ids

# Cost of leaving the failure domain, in seconds of waiting: for an answer of any size, and the
# upper bound for a large one.
CROSS_DOMAIN_PENALTY_S = 0.02
CROSS_DOMAIN_PENALTY_MAX_S = 0.15
# Extra cost of a server that is no home of the object but may happen to be warm, relative to the
# difference between cold and warm processing time. It moves objects to servers that joined.
NON_HOME_COST_RATIO = 0.5
# Extra cost of the second home while the first home is not warm for the object, relative to the
# same difference. It applies in full to an idle service and shrinks as the utilization grows.
SECOND_HOME_COST_RATIO = 0.35
# Extra cost of an object's home in another region, in seconds of waiting: a request leaves its
# region only if it would clearly wait longer there, so that small differences of load move none.
REGION_CHANGE_COST_S = 0.05
# Utilization of a service from which on a request is queued only if it is expected to meet its
# latency objective.
FULL_UTILIZATION = 0.9
# Utilization of a service from which on servers that are not expected to be warm are not used, so
# that objects stay with their homes.
COLD_UTILIZATION = 0.7
# Outstanding requests per slot from which on a server would reject another one.
OUTSTANDING_PER_SLOT_MAX = 2.5
# Servers of a service that are considered for one request, in rank order: the object's homes and
# some others, of which usually at least one has capacity. All servers are considered only if none
# of these has.
CANDIDATES_MAX = 24
# Part of the remaining time that must be left after the wait for a slot and the round trip.
DEADLINE_MARGIN_RATIO = 0.05
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
    :param is_repeatable: whether the request may run more than once.
    :param timeout_s: timeout of the route in seconds; the deadline may be earlier.
    :param last_server: server that answered last for the object; None if unknown.
    :param stay_margin_s: by how much another server must be cheaper, in seconds.
    :param reserved_ratio: part of the slots that the request leaves free for others.
    :param may_be_queued: whether the request may be sent to a server without a free slot.
    """

    service: ids.ServiceName
    key: ids.ObjectKey
    deadline: float
    objective_at: float
    cross_domain_penalty: float
    tried: frozenset[ids.BackendId] = frozenset()
    is_repeatable: bool = True
    timeout_s: float = math.inf
    last_server: ids.BackendId | None = None
    stay_margin_s: float = 0.0
    reserved_ratio: float = 0.0
    may_be_queued: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may get the request.

    :param is_near: whether the server is in the failure domain of this instance.
    :param round_trip: network round-trip time in seconds.
    :param is_deprioritized: whether the server requested a backoff from another instance.
    :param is_regional_home: whether the server is the object's home in another region.
    """

    view: server_view.ServerView
    is_near: bool
    round_trip: float
    is_deprioritized: bool = False
    is_regional_home: bool = False


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
    is_regional_home: bool = False


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
    rng: random.Random | None = None,
) -> Selection:
    """Returns the server with the lowest cost: the expected latency and what others lose by it.

    Pattern: objects are slow on a server that has not handled them recently, and servers fill up
    unevenly. All instances of a region rank the servers of an object alike, so the object stays
    with its homes as long as waiting there costs less than a cold run elsewhere. The fuller the
    service, the more the processing time weighs, as it delays other requests: an overload must not
    spread objects over all servers and make itself worse.

    Servers that requested a backoff from other instances are used only if no other has capacity.

    :param candidates: servers in the order of their rank for the object.
    :param rng: chooses between servers whose loads are not known well enough to tell which costs
        less, see ``server_options.choose``; None to choose the better ranked one.
    """
    if any(item.is_deprioritized for item in candidates):
        preferred = [item for item in candidates if not item.is_deprioritized]
        selected = _select_among(now, needs, preferred, times, rng)
        if isinstance(selected, Placement):
            return selected
    return _select_among(now, needs, candidates, times, rng)


def _select_among(
    now: float,
    needs: Requirements,
    candidates: list[Candidate],
    times: processing_times.ProcessingTime,
    rng: random.Random | None,
) -> Selection:
    eligible = [item for item in candidates if is_eligible(now, item, needs)]
    if not eligible:
        return NoCapacity(RETRY_AFTER_MAX_S if not candidates else RETRY_AFTER_MIN_S * 3, True)
    estimates = [
        answer_times.estimate(
            now, item.view, needs.key, rank, item.round_trip, times, item.is_regional_home
        )
        for rank, item in enumerate(eligible)
    ]
    slots = sum(item.view.server.slots for item in eligible)
    utilization = min(1.0, sum(expected.outstanding for expected in estimates) / slots)
    cross_domain_cost = _compute_cross_domain_cost(now, needs, eligible)
    has_homes = bool(needs.key)
    second_home_cost = 0.0
    if has_homes:
        second_home_cost = _compute_second_home_cost(now, needs, eligible[0], times, utilization)
    options: list[server_options.Option] = []
    shortest_wait = RETRY_AFTER_MAX_S
    for rank, (candidate, expected) in enumerate(zip(eligible, estimates, strict=True)):
        view = candidate.view
        if not _should_send(now, needs, view, expected, utilization):
            shortest_wait = min(shortest_wait, max(0.0, expected.wait_s))
            continue
        cost = expected.answer_s + utilization * expected.processing_s
        cost += second_home_cost if rank == 1 else 0.0
        if candidate.is_regional_home:
            cost += REGION_CHANGE_COST_S
        elif has_homes and rank >= len(answer_times.WARM_PROBABILITIES):
            cost += NON_HOME_COST_RATIO * max(0.0, times.cold - times.warm)
        if not candidate.is_near:
            cost += cross_domain_cost
        if needs.last_server is not None and view.server.backend != needs.last_server:
            cost += needs.stay_margin_s
        options.append(server_options.Option(view, expected, cost, candidate.is_regional_home))
    completing = options
    if options and not needs.is_repeatable:
        conditions = completion.Conditions(needs.deadline - now, needs.timeout_s, has_homes, times)
        completing = completion.keep_completing(now, conditions, needs.objective_at, options)
    if completing:
        best = (
            server_options.find_cheapest(completing)
            if rng is None
            else server_options.choose(completing, rng)
        )
        return make_placement(best.view, best.times, best.is_regional_home)
    if options:
        shortest_wait = min(shortest_wait, completion.find_shortest_wait(options))
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


def compute_utilization(now: float, candidates: list[Candidate]) -> float:
    """Returns the outstanding requests per slot of all candidates, at most 1."""
    slots = sum(item.view.server.slots for item in candidates)
    return min(1.0, sum(item.view.estimate_outstanding(now) for item in candidates) / slots)


def is_eligible(now: float, candidate: Candidate, needs: Requirements) -> bool:
    """Returns whether a server is open and the request was not sent to it before."""
    view = candidate.view
    is_open = view.find_status(now) is server_view.ServerStatus.OPEN
    return is_open and view.server.backend not in needs.tried


def make_placement(
    view: server_view.ServerView,
    expected: answer_times.AnswerTimes,
    is_regional_home: bool = False,
) -> Placement:
    """Returns the placement of a request on a server."""
    return Placement(
        view,
        expected.answer_s,
        expected.due_at,
        expected.is_warm,
        expected.is_queued,
        is_regional_home,
    )


def _should_send(
    now: float,
    needs: Requirements,
    view: server_view.ServerView,
    expected: answer_times.AnswerTimes,
    utilization: float,
) -> bool:
    """Returns whether the request should be sent to a server rather than be refused.

    Pattern: more work than slots. Requests that are queued then are answered late, as is everything
    queued behind them, and a cold run takes as long as several warm ones. A request that would be
    late because of the queue is refused while its caller can still retry in time. One that is
    merely slow to process is sent.
    """
    if expected.outstanding >= OUTSTANDING_PER_SLOT_MAX * view.server.slots:
        return False
    # The processing time is left out: its estimate may stem from another kind of request.
    earliest_answer_at = now + expected.wait_s + expected.round_trip
    if earliest_answer_at > needs.deadline - DEADLINE_MARGIN_RATIO * max(0.0, needs.deadline - now):
        return False
    if not expected.is_warm and (expected.is_queued or utilization >= COLD_UTILIZATION):
        return False
    if needs.reserved_ratio and not _leaves_reserve(now, needs, view, utilization):
        return False
    if not expected.is_queued:
        return True
    if not needs.may_be_queued:
        return False
    return utilization < FULL_UTILIZATION or now + expected.answer_s <= needs.objective_at


def _leaves_reserve(
    now: float, needs: Requirements, view: server_view.ServerView, utilization: float
) -> bool:
    """Returns whether the part of the slots that a request leaves free stays free.

    It counts for each server and for the service: a server with one slot can't keep a part of it.
    """
    usable_ratio = 1 - needs.reserved_ratio
    usable_slots = max(1.0, usable_ratio * view.server.slots)
    return utilization <= usable_ratio and view.estimate_outstanding(now) + 1 <= usable_slots


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
