"""Remembers which server last answered for an object, so that its requests stay there."""

import collections

from caperdyke.state import ids

# Objects that are remembered for each service; the least recently used is dropped first.
OBJECTS_MAX = 4096
# Time for which an entry counts. Servers keep an object warm about as long.
RETENTION_S = 30.0


class LastServers:
    """The latest server of each object, as this instance observed it.

    Pattern: a service is busy, and the costs of an object's homes differ by less than the load
    changes between two requests. Without memory, consecutive requests for one object alternate
    between servers.
    """

    def __init__(self) -> None:
        self._entries: dict[
            ids.ServiceName, collections.OrderedDict[ids.ObjectKey, tuple[ids.BackendId, float]]
        ] = {}

    def record_answer(
        self, now: float, service: ids.ServiceName, key: ids.ObjectKey, server: ids.BackendId
    ) -> None:
        """Records that a server answered for an object."""
        if not key:
            return
        entries = self._entries.setdefault(service, collections.OrderedDict())
        entries[key] = (server, now + RETENTION_S)
        entries.move_to_end(key)
        if len(entries) > OBJECTS_MAX:
            entries.popitem(last=False)

    def find(
        self, now: float, service: ids.ServiceName, key: ids.ObjectKey
    ) -> ids.BackendId | None:
        """Returns the server that last answered for an object, or None if that was long ago."""
        entry = self._entries.get(service, {}).get(key)
        return entry[0] if entry is not None and now < entry[1] else None
