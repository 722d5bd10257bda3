"""Estimates how long backend servers take to process a request of a route."""

import collections
import dataclasses
import math

from caperdyke.state import ids

# Weight of the newest answer in the moving averages.
EWMA_WEIGHT = 0.1
# Estimates before the first answer, relative to the route's latency objective.
COLD_INITIAL_RATIO = 1.2
WARM_INITIAL_RATIO = 0.5
# Lowest expected time that an answer's time is divided by.
EXPECTED_MIN_S = 0.001
# Multiple of an estimate to which the time of an answer is reduced where servers report their pace:
# there, 3 of 100 runs take seven times as long, for no reason that lasts.
OUTLIER_RATIO_MAX = 2.5
# Latest answers whose times relative to the estimates are kept as the spread of a route.
SPREAD_ANSWERS_MAX = 64
# Latest answers of all routes whose times relative to the objectives are kept, and how many must be
# known before they say anything about another route.
OBJECTIVE_ANSWERS_MAX = 256
OBJECTIVE_ANSWERS_MIN = 32


@dataclasses.dataclass(slots=True)
class ProcessingTime:
    """Moving averages of a route, in seconds.

    :param warm: time for an object that the server handled recently.
    :param cold: time for any other object.
    :param mean: time of all answers.
    :param warm_answers: number of answers in ``warm``.
    :param cold_answers: number of answers in ``cold``.
    :param answer_bytes: size of an answer's body; 0 before the first one.
    :param certainly_cold: time of runs that were certain to be cold, as the object was on none of
        its homes; 0 before the first one.
    :param certainly_cold_answers: number of answers in ``certainly_cold``.
    :param recent_ratios: times of the latest answers as multiples of the estimates.
    :param measured_at: time of the latest answer.
    """

    warm: float
    cold: float
    mean: float
    warm_answers: int = 0
    cold_answers: int = 0
    answer_bytes: float = 0.0
    certainly_cold: float = 0.0
    certainly_cold_answers: int = 0
    recent_ratios: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SPREAD_ANSWERS_MAX)
    )
    measured_at: float = -math.inf
    _sorted_ratios: list[float] | None = None

    @property
    def spread(self) -> list[float]:
        """Times of the latest answers as multiples of the estimates, in ascending order."""
        if self._sorted_ratios is None:
            self._sorted_ratios = sorted(self.recent_ratios)
        return self._sorted_ratios

    def was_cold(self, elapsed_s: float) -> bool:
        """Returns whether a time is closer to that of a cold object, by ratio."""
        return elapsed_s * elapsed_s > self.warm * self.cold

    def compare(self, elapsed_s: float) -> float:
        """Returns the time of an answer as a multiple of the expected time.

        Pattern: an object is assumed to be warm and is not, or the other way round. Such an answer
        gives no evidence that the server is slow or fast, so the time is compared with the closer
        of the two estimates.
        """
        return elapsed_s / max(EXPECTED_MIN_S, self.cold if self.was_cold(elapsed_s) else self.warm)

    def update(self, is_known_warm: bool, elapsed_s: float) -> None:
        """Updates the estimates with the time of an answer.

        The first answer of either kind is taken as expected. Later, an answer that was expected to
        be cold counts as warm if its time is closer to a warm one, and an answer that was expected
        to be warm but was cold changes ``mean`` alone.

        :param is_known_warm: whether the server answered for the object recently.
        """
        weight = _compute_weight(self.warm_answers + self.cold_answers)
        self.mean += weight * (elapsed_s - self.mean)
        if is_known_warm and (not self.warm_answers or not self.was_cold(elapsed_s)):
            self._record_warm(elapsed_s)
        elif not is_known_warm and (not self.cold_answers or self.was_cold(elapsed_s)):
            self.cold += _compute_weight(self.cold_answers) * (elapsed_s - self.cold)
            self.cold_answers += 1
            self.warm = min(self.warm, self.cold)
        elif not is_known_warm:
            self._record_warm(elapsed_s)

    def limit_outlier(self, is_known_warm: bool, elapsed_s: float) -> float:
        """Returns the time of an answer, reduced to what may change the estimates.

        Pattern: 3 of 100 runs take seven times as long. They would raise the mean by a fifth, and
        far more just after one of them.
        """
        is_first = not self.warm_answers if is_known_warm else not self.cold_answers
        if is_first:
            return elapsed_s
        return min(elapsed_s, OUTLIER_RATIO_MAX * (self.warm if is_known_warm else self.cold))

    def record_certainly_cold(self, elapsed_s: float) -> None:
        """Updates the time of runs that were certain to be cold.

        ``cold`` contains runs on homes, too, which are warm more often than not.
        """
        weight = _compute_weight(self.certainly_cold_answers)
        self.certainly_cold += weight * (elapsed_s - self.certainly_cold)
        self.certainly_cold_answers += 1

    def record_ratio(self, now: float, is_known_warm: bool, elapsed_s: float) -> None:
        """Adds the time of an answer to the spread.

        A run for an object that was known to be warm is compared with a warm run, whatever it took,
        as its object may have been evicted.
        """
        expected_s = max(EXPECTED_MIN_S, self.warm)
        ratio = elapsed_s / expected_s if is_known_warm else self.compare(elapsed_s)
        self.recent_ratios.append(ratio)
        self._sorted_ratios = None
        self.measured_at = now

    def record_size(self, size: int) -> None:
        """Updates the average size of answers.

        :param size: size of an answer's body in bytes.
        """
        weight = EWMA_WEIGHT if self.answer_bytes else 1.0
        self.answer_bytes += weight * (size - self.answer_bytes)

    def _record_warm(self, elapsed_s: float) -> None:
        self.warm += _compute_weight(self.warm_answers) * (elapsed_s - self.warm)
        self.warm_answers += 1


class ProcessingTimes:
    """Estimates by route, from answers to requests that did not wait for a slot."""

    def __init__(self) -> None:
        self._times: dict[ids.RouteName, ProcessingTime] = {}
        self._objective_ratios: collections.deque[float] = collections.deque(
            maxlen=OBJECTIVE_ANSWERS_MAX
        )

    def list_related(self, objective: float) -> tuple[float, ...]:
        """Returns the times of the latest answers of all routes, in proportion to an objective.

        :param objective: latency objective of the route that is asked about, in seconds.
        :returns: seconds, ascending; empty if too few answers are known.
        """
        if len(self._objective_ratios) < OBJECTIVE_ANSWERS_MIN:
            return ()
        return tuple(ratio * objective for ratio in sorted(self._objective_ratios))

    def find(self, route: ids.RouteName, objective: float) -> ProcessingTime:
        """Returns the estimates of a route.

        :param objective: latency objective of the route in seconds.
        """
        times = self._times.get(route)
        if times is None:
            warm, cold = WARM_INITIAL_RATIO * objective, COLD_INITIAL_RATIO * objective
            times = ProcessingTime(warm, cold, warm)
            self._times[route] = times
        return times

    def record(
        self,
        route: ids.RouteName,
        objective: float,
        is_known_warm: bool,
        elapsed_s: float,
        pace: float | None = None,
        now: float = -math.inf,
        is_certainly_cold: bool = False,
    ) -> float:
        """Updates the estimates with an answer to a request that did not wait for a slot.

        :param objective: latency objective of the route in seconds.
        :param is_known_warm: whether the server answered for the object recently.
        :param elapsed_s: seconds from sending the request to the complete answer.
        :param pace: pace of the server during the run, which is factored out of all estimates; None
            if the server reports none.
        :param is_certainly_cold: whether the object was expected to be cold on the server.
        :returns: time of the answer as a multiple of the expected time.
        """
        times = self.find(route, objective)
        self._objective_ratios.append(elapsed_s / max(EXPECTED_MIN_S, objective))
        if pace is None:
            times.update(is_known_warm, elapsed_s)
        else:
            elapsed_s /= pace
            times.update(is_known_warm, times.limit_outlier(is_known_warm, elapsed_s))
        times.record_ratio(now, is_known_warm, elapsed_s)
        if is_certainly_cold:
            times.record_certainly_cold(elapsed_s)
        return times.compare(elapsed_s)


def _compute_weight(answers: int) -> float:
    """Returns the weight of the newest answer.

    The first answers weigh equally and replace the initial estimate.

    :param answers: number of earlier answers.
    """
    return max(EWMA_WEIGHT, 1 / (answers + 1))
