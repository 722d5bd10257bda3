"""Estimates how long backend servers of a service work on one request."""

import dataclasses

from caperdyke.state import ids

NEW_WEIGHT = 0.1
# Estimates before the first answer, as parts of the route's objective.
COLD_FIRST_PART = 1.2
WARM_FIRST_PART = 0.5


@dataclasses.dataclass(slots=True)
class WorkTime:
    """Time in seconds for an object that the server handled lately, and for any other."""

    warm: float
    cold: float


class WorkTimes:
    """Estimates by service, from answers that did not wait for a slot."""

    def __init__(self) -> None:
        self._times: dict[ids.ServiceName, WorkTime] = {}

    def find(self, service: ids.ServiceName, objective: float) -> WorkTime:
        """Returns the estimates of a service.

        :param objective: seconds within which the route's answers are worth most.
        """
        known = self._times.get(service)
        if known is None:
            known = WorkTime(WARM_FIRST_PART * objective, COLD_FIRST_PART * objective)
            self._times[service] = known
        return known

    def note(self, service: ids.ServiceName, objective: float, is_warm: bool, took: float) -> None:
        """Learns from an answer that did not wait.

        :param took: seconds from the send to the whole answer.
        """
        known = self.find(service, objective)
        if is_warm:
            known.warm += NEW_WEIGHT * (took - known.warm)
        else:
            known.cold += NEW_WEIGHT * (took - known.cold)
