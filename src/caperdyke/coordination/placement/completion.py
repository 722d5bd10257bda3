"""Whether a request that must not run twice is expected to complete before its deadline."""

import bisect
import dataclasses

from caperdyke.coordination.placement import (
    answer_times,
    processing_times,
    server_options,
    server_pace,
    server_view,
)

# Lowest chance at which a request is placed, and how far a chance may be below the best one for its
# server to be as good; the cost decides between these.
CHANCE_MIN = 0.5
CHANCE_TOLERANCE = 0.01
# Multiple of the uncertainty of a load by which it is assumed to be above or below its estimate.
UNCERTAINTY_FACTOR = 2.0
# Part of the remaining time that is left over, as the deadline ends at the caller.
MARGIN_RATIO = 0.05
# Answers of a route from which on its estimates may reject requests, and how long they may do so
# after the last answer. Otherwise nothing would correct an estimate that rejects every request.
ANSWERS_MIN = 8
ESTIMATES_S = 30.0
# Answers of certainly cold runs from which on their time is used, and the ratio of a cold to a warm
# run that is assumed before; the one of the initial estimates of a route.
COLD_ANSWERS_MIN = 3
COLD_RATIO = processing_times.COLD_INITIAL_RATIO / processing_times.WARM_INITIAL_RATIO
# How long the slowdown of a server, and the load that it reported, may reject requests.
SLOWDOWN_S = 5.0
LOAD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What a request requires, and what is known of its route.

    :param left_s: seconds until the deadline.
    :param timeout_s: timeout of the route in seconds; the deadline of a caller may be earlier.
    :param has_key: whether the request concerns an object, which may be warm or cold.
    """

    left_s: float
    timeout_s: float
    has_key: bool
    times: processing_times.ProcessingTime

    def estimate_warm(self) -> float:
        """Returns the time of a warm run; the latency objective before the first warm answer.

        Pattern: an instance gets a few requests of the route in a minute, so that most are placed
        by initial estimates. These must not make a cold or slow server seem to complete them.
        """
        times = self.times
        if not self.has_key and times.recent_ratios:
            return times.mean
        return (
            times.warm if times.warm_answers else times.warm / processing_times.WARM_INITIAL_RATIO
        )

    def estimate_cold(self) -> float:
        """Returns the time of a cold run."""
        times = self.times
        if not self.has_key:
            return self.estimate_warm()
        if times.certainly_cold_answers >= COLD_ANSWERS_MIN:
            return max(times.certainly_cold, self.estimate_warm())
        return max(times.cold, COLD_RATIO * self.estimate_warm())

    def may_reject(self, now: float) -> bool:
        """Returns whether the estimates are good enough to reject a request.

        They are not before enough answers or long after the last one, nor if even a usual warm run
        exceeds the timeout of the route: every request would be rejected for good.
        """
        has_answers = len(self.times.recent_ratios) >= ANSWERS_MIN
        is_recent = now < self.times.measured_at + ESTIMATES_S
        return has_answers and is_recent and self.estimate_warm() <= self.timeout_s


def keep_completing(
    now: float,
    conditions: Conditions,
    objective_at: float,
    options: list[server_options.Option],
) -> list[server_options.Option]:
    """Returns the servers on which a request that must not run twice is expected to complete.

    Pattern: warm runs take about half of the timeout, and cold runs, as well as runs on a machine
    that is slow at the moment, exceed it. A request that is not repeatable is lost there, while
    another server can complete it or its caller can retry. Of several servers, those that are
    expected to meet the latency objective are preferred.

    :param objective_at: time at which the latency objective of the route expires.
    :param options: at least one option.
    :returns: the options with about the best chance; none if the request should be rejected.
    """
    chances = [compute_chance(now, conditions, option.view, option.times) for option in options]
    best = max(chances)
    if best < CHANCE_MIN and conditions.may_reject(now):
        outlooks = (may_complete(now, conditions, option.view, option.times) for option in options)
        if not any(outlooks):
            return []
    if min(chances) >= best - CHANCE_TOLERANCE:
        return options
    kept = [
        option
        for option, chance in zip(options, chances, strict=True)
        if chance >= best - CHANCE_TOLERANCE
    ]
    timely = [option for option in kept if now + option.times.answer_s <= objective_at]
    return timely or kept


def find_shortest_wait(options: list[server_options.Option]) -> float:
    """Returns the time after which a rejected request may be expected to complete, in seconds.

    Where a server is not busy, it is the time in which half of what its pace says is outdated.
    """
    return min(option.times.wait_s or server_pace.PACE_HALF_S for option in options)


def compute_chance(
    now: float,
    conditions: Conditions,
    view: server_view.ServerView,
    expected: answer_times.AnswerTimes,
) -> float:
    """Returns the probability that a request completes in time on a server.

    The latest answers of the route tell how far a run may exceed the average one.
    """
    margin_s = UNCERTAINTY_FACTOR * expected.uncertainty_s
    if margin_s <= 0:
        return _compute_chance(now, conditions, view, expected, view.slowdown, expected.wait_s)
    # The load is far above the estimate in one of four cases, and far below it in another.
    low, usual, high = (
        _compute_chance(now, conditions, view, expected, view.slowdown, max(0.0, wait_s))
        for wait_s in (
            expected.excess_s - margin_s,
            expected.excess_s,
            expected.excess_s + margin_s,
        )
    )
    return (low + 2 * usual + high) / 4


def may_complete(
    now: float,
    conditions: Conditions,
    view: server_view.ServerView,
    expected: answer_times.AnswerTimes,
) -> bool:
    """Returns whether a request has a chance if what is outdated about the server is left out."""
    is_slowdown_recent = now < view.slowdown_measured_at + SLOWDOWN_S
    slowdown = view.slowdown if is_slowdown_recent else min(1.0, view.slowdown)
    wait_s = expected.wait_s if now < view.load_reported_at + LOAD_S else 0.0
    return _compute_chance(now, conditions, view, expected, slowdown, wait_s) >= CHANCE_MIN


def _compute_chance(
    now: float,
    conditions: Conditions,
    view: server_view.ServerView,
    expected: answer_times.AnswerTimes,
    slowdown: float,
    wait_s: float,
) -> float:
    left_s = conditions.left_s * (1 - MARGIN_RATIO) - wait_s - expected.round_trip

    warm_s, cold_s = conditions.estimate_warm(), conditions.estimate_cold()
    spread, p_warm = conditions.times.spread, expected.p_warm

    def compute_at_pace(pace: float) -> float:
        factor, chance = slowdown * pace, 0.0
        if p_warm > 0.0:
            chance += p_warm * _compute_share(left_s, factor * warm_s, spread)
        if p_warm < 1.0:
            chance += (1 - p_warm) * _compute_share(left_s, factor * cold_s, spread)
        return chance

    weight = view.pace.compute_weight(now)
    chance = 0.0
    if weight > 0.0:
        chance = weight * compute_at_pace(view.pace.reports[-1][1])
    if weight < 1.0:
        usual = view.list_usual_paces() or (1.0,)
        chance += (1 - weight) * sum(compute_at_pace(pace) for pace in usual) / len(usual)
    return chance


def _compute_share(left_s: float, expected_s: float, spread: list[float]) -> float:
    """Returns the part of runs that end within the time left."""
    ratio = left_s / max(processing_times.EXPECTED_MIN_S, expected_s)
    if not spread:
        return float(ratio >= 1.0)
    return bisect.bisect_right(spread, ratio) / len(spread)
