"""Until when a request may be sent by an instance that has been asked to stop."""

import dataclasses
import math

# Parts of the time until the process is killed that are left over, in seconds and as ratios of that
# time; of each pair the smaller one counts. The first part is for the exit of the process, the
# second one, before it, for the last answers.
EXIT_MARGIN_S = 0.25
EXIT_MARGIN_RATIO = 0.0625
FINAL_ANSWERS_S = 0.25
FINAL_ANSWERS_RATIO = 0.0625
# Time that the head of an answer takes beyond the expected one: polls, and the way to the caller.
ANSWER_MARGIN_S = 0.1
# Quantile of the latest answers' times that must fit into the time left, and by what factor more.
# A repeatable request that is cut off costs its caller time, another one leaves it uncertain
# whether the work was done.
UNREPEATABLE_QUANTILE = 0.95
REPEATABLE_QUANTILE = 0.75
RESERVE_FACTOR = 1.25
# Answers from which on the quantile is used, and the multiples of the expected time before, unless
# other routes show that less is enough.
ANSWERS_MIN = 8
UNREPEATABLE_UNKNOWN_FACTOR = 3.0
REPEATABLE_UNKNOWN_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What is expected of a request's work at a server.

    :param expected_s: expected seconds until the complete answer.
    :param spread: times of the latest answers as multiples of the expected ones, ascending.
    :param is_repeatable: whether the request may run more than once.
    :param ends_at: time at which the request ends in any case, with or without an answer.
    :param related_s: times of the latest answers of all routes, in proportion to the latency
        objective of this one, ascending; empty if too few are known.
    """

    expected_s: float
    spread: list[float]
    is_repeatable: bool
    ends_at: float
    related_s: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """The end of an instance that has been asked to stop.

    :param deadline: time at which requests without an answer end.
    :param exit_at: time at which the process must begin to exit.
    """

    deadline: float
    exit_at: float

    def find_latest_send(self, work: Work) -> float:
        """Returns the time until which a request may be sent; infinity if it ends before the stop.

        Pattern: uploads arrive for seconds, requests wait for capacity, for a quota or behind
        others, and failed ones are sent again, all while the instance stops. A server that gets a
        request too late works on it for nobody, and its caller cannot repeat it. Before that it can
        truly be told that the request has not run.
        """
        if work.ends_at <= self.deadline:
            return math.inf
        return self.deadline - ANSWER_MARGIN_S - _find_needed(work)


def plan(asked_at: float, stop_s: float) -> PlannedStop:
    """Returns the end of an instance.

    :param asked_at: time at which the stop was asked for.
    :param stop_s: seconds from then until the process is killed.
    """
    exit_at = asked_at + stop_s - min(EXIT_MARGIN_S, EXIT_MARGIN_RATIO * stop_s)
    return PlannedStop(exit_at - min(FINAL_ANSWERS_S, FINAL_ANSWERS_RATIO * stop_s), exit_at)


def _find_needed(work: Work) -> float:
    """Returns the seconds that must be left for a request.

    Pattern: the first upload of a route, whose objective is as long as the stop, arrives as the
    instance stops; all other routes are answered in a fraction of their objectives.
    """
    quantile = REPEATABLE_QUANTILE if work.is_repeatable else UNREPEATABLE_QUANTILE
    if len(work.spread) >= ANSWERS_MIN:
        ratio = max(1.0, work.spread[int(quantile * len(work.spread))])
        return RESERVE_FACTOR * work.expected_s * ratio
    factor = REPEATABLE_UNKNOWN_FACTOR if work.is_repeatable else UNREPEATABLE_UNKNOWN_FACTOR
    needed_s = factor * work.expected_s
    if not work.related_s:
        return needed_s
    # Without an answer of the route, the expected time is a guess from its objective.
    answered_s = work.expected_s * max(work.spread) if work.spread else 0.0
    related_s = work.related_s[int(quantile * len(work.related_s))]
    return min(needed_s, RESERVE_FACTOR * max(related_s, answered_s))
