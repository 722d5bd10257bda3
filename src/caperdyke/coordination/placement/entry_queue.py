"""Orders requests that wait in an instance because every server is full."""

import bisect
import dataclasses
import itertools

from caperdyke.coordination.placement import work_times
from caperdyke.state import ids

# Requests that are placed again when one slot may have become free; several, since the first ones
# may need other servers.
NEXT_MAX = 4


def find_wait_until(objective_at: float, times: work_times.WorkTime) -> float:
    """Returns the time until which a request may wait for room.

    Pattern: a service is full for a part of a second, and a slot becomes free every few
    milliseconds. A request waits only while it can still be answered within its objective; after
    that it is turned away, so that a lasting overload does not fill the instance.

    :param objective_at: time until which an answer is worth most.
    """
    return objective_at - times.warm


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """A request that waits; the smallest is placed first.

    :param priority: rank of its route, 0 the most urgent.
    :param objective_at: time until which its answer is worth most.
    :param number: order of arrival among equals.
    """

    priority: int
    objective_at: float
    number: int
    service: ids.ServiceName = dataclasses.field(compare=False)


class EntryQueue:
    """Waiting requests of one instance, by service.

    Nobody waits longer than its objective allows, so none is starved by more urgent ones.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._waiting: dict[ids.ServiceName, list[Waiting]] = {}

    def join(self, service: ids.ServiceName, priority: int, objective_at: float) -> Waiting:
        """Adds a request and returns its place."""
        place = Waiting(priority, objective_at, next(self._numbers), service)
        bisect.insort(self._waiting.setdefault(service, []), place)
        return place

    def leave(self, place: Waiting) -> None:
        """Removes a request, placed or not."""
        line = self._waiting[place.service]
        line.remove(place)
        if not line:
            del self._waiting[place.service]

    def list_next(self, service: ids.ServiceName) -> list[Waiting]:
        """Returns those that are placed first when a server of a service may have room."""
        return self._waiting.get(service, [])[:NEXT_MAX]

    def list_services(self) -> list[ids.ServiceName]:
        """Returns the services for which a request waits."""
        return list(self._waiting)
