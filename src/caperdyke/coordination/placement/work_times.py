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
class WorkTime:
    """Time in seconds for an object that the server handled lately, and for any other."""

    warm: float
    cold: float
    # Of all latest answers.
    mean: float
    # Answers so far of each sort; the first ones replace the guess.
    warm_answers: int = 0
    cold_answers: int = 0

    def compare(self, is_warm: bool, took: float) -> float:
        """Returns the time of an answer as a multiple of what was to be expected.

        Pattern: an object is thought to be warm and is not. Such an answer says nothing of the
        server's speed, so it is held against the time of a cold one.
        """
        if is_warm and took * took > self.warm * self.cold:
            return max(1.0, took / max(TIME_MIN, self.cold))
        return took / max(TIME_MIN, self.warm if is_warm else self.cold)


class WorkTimes:
    """Estimates by route, from answers that did not wait for a slot."""

    def __init__(self) -> None:
        self._times: dict[ids.RouteName, WorkTime] = {}

    def find(self, route: ids.RouteName, objective: float) -> WorkTime:
        """Returns the estimates of a route.

        :param objective: seconds within which the route's answers are worth most.
        """
        known = self._times.get(route)
        if known is None:
            warm, cold = WARM_FIRST_PART * objective, COLD_FIRST_PART * objective
            known = WorkTime(warm, cold, warm)
            self._times[route] = known
        return known

    def note(self, route: ids.RouteName, objective: float, is_warm: bool, took: float) -> None:
        """Learns from an answer that did not wait.

        :param took: seconds from the send to the whole answer.
        """
        known = self.find(route, objective)
        known.mean += _find_weight(known.warm_answers + known.cold_answers) * (took - known.mean)
        was_cold = took * took > known.warm * known.cold
        if is_warm and (not was_cold or not known.warm_answers):
            known.warm += _find_weight(known.warm_answers) * (took - known.warm)
            known.warm_answers += 1
        elif not is_warm and (was_cold or not known.cold_answers):
            known.cold += _find_weight(known.cold_answers) * (took - known.cold)
            known.cold_answers += 1


def _find_weight(answers: int) -> float:
    """Returns the weight of the newest answer; the first ones count equally."""
    return max(NEW_WEIGHT, 1 / (answers + 1))
