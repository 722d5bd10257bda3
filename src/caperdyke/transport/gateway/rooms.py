"""Lets requests wait until a server of their service may have room."""

import asyncio
import contextlib

from caperdyke.coordination.placement import entry_queue
from caperdyke.state import ids


class Rooms:
    """Wakes waiting requests in their order."""

    def __init__(self) -> None:
        self._queue = entry_queue.EntryQueue()
        self._signals: dict[entry_queue.Waiting, asyncio.Event] = {}

    @contextlib.contextmanager
    def join(self, service: ids.ServiceName, priority: int, objective_at: float):
        """Yields the event of a request that waits; it is set when room is likely."""
        place = self._queue.join(service, priority, objective_at)
        signal = self._signals[place] = asyncio.Event()
        try:
            yield signal
        finally:
            del self._signals[place]
            self._queue.leave(place)

    def count_waiting(self) -> int:
        """Returns how many requests wait."""
        return len(self._signals)

    def note_room(self, service: ids.ServiceName) -> None:
        """Wakes the first requests of a service, since one of its servers ended a request."""
        for place in self._queue.list_next(service):
            self._signals[place].set()

    def note_change(self) -> None:
        """Wakes the first requests of every service, since the load of servers was told anew."""
        for service in self._queue.list_services():
            self.note_room(service)
