"""Estimates how long backend servers work on one request of a route."""

import dataclasses

from caperdyke.state import ids

NEW_WEIGHT = 0.1
# Estimates before the first answer, as parts of the route's objective.
COLD_FIRST_PART = 1.2
WARM_FIRST_PART = 0.5
# Least time that an estimate is divided by, in seconds.
TIME_MIN = 0.001


@dataclasses.dataclass(slots=True)
class ProcessingTime:
    """Time in seconds for an object that the server handled lately, and for any other.

    :param answer_bytes: size of an answer's body.
    """

    warm: float
    cold: float
    # Of all latest answers.
    mean: float
    # Answers so far of each sort; the first ones replace the guess.
    warm_answers: int = 0
    cold_answers: int = 0
    answer_bytes: float = 0.0

    def was_cold(self, took: float) -> bool:
        """Tells whether an answer's time rather is that of an object that was not warm."""
        return took * took > self.warm * self.cold

    def compare(self, took: float) -> float:
        """Returns the time of an answer as a multiple of what was to be expected.

        Pattern: an object is thought to be warm and is not, or the other way round. Such an answer
        says nothing of the server's speed, so each is held against the times of its own sort.
        """
        return took / max(TIME_MIN, self.cold if self.was_cold(took) else self.warm)

    def learn(self, is_known_warm: bool, took: float) -> None:
        """Takes over the time of an answer.

        :param is_known_warm: whether the server answered for the object before.
        """
        weight = _find_weight(self.warm_answers + self.cold_answers)
        self.mean += weight * (took - self.mean)
        if is_known_warm and (not self.warm_answers or not self.was_cold(took)):
            self._learn_warm(took)
        elif not is_known_warm and (not self.cold_answers or self.was_cold(took)):
            self.cold += _find_weight(self.cold_answers) * (took - self.cold)
            self.cold_answers += 1
            self.warm = min(self.warm, self.cold)
        elif not is_known_warm:
            self._learn_warm(took)

    def record_size(self, size: int) -> None:
        """Takes over the size of an answer's body, in bytes."""
        weight = NEW_WEIGHT if self.answer_bytes else 1.0
        self.answer_bytes += weight * (size - self.answer_bytes)

    def _learn_warm(self, took: float) -> None:
        self.warm += _find_weight(self.warm_answers) * (took - self.warm)
        self.warm_answers += 1


class ProcessingTimes:
    """Estimates by route, from answers that did not wait for a slot."""

    def __init__(self) -> None:
        self._times: dict[ids.RouteName, ProcessingTime] = {}

    def find(self, route: ids.RouteName, objective: float) -> ProcessingTime:
        """Returns the estimates of a route.

        :param objective: seconds within which the route's answers are worth most.
        """
        known = self._times.get(route)
        if known is None:
            warm, cold = WARM_FIRST_PART * objective, COLD_FIRST_PART * objective
            known = ProcessingTime(warm, cold, warm)
            self._times[route] = known
        return known

    def record(
        self, route: ids.RouteName, objective: float, is_known_warm: bool, took: float
    ) -> float:
        """Learns from an answer that did not wait, and returns how it compares.

        :param is_known_warm: whether the server answered for the object before.
        :param took: seconds from the send to the whole answer.
        :returns: time of the answer as a multiple of what was to be expected.
        """
        known = self.find(route, objective)
        known.learn(is_known_warm, took)
        return known.compare(took)


def _find_weight(answers: int) -> float:
    """Returns the weight of the newest answer; the first ones count equally."""
    return max(NEW_WEIGHT, 1 / (answers + 1))
