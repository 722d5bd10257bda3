"""Bounds what a cold backend server gets from all instances together."""

import collections
import math

from caperdyke.coordination import overlay
from caperdyke.state import ids

WINDOW_SECONDS = 1.0
# Part of the bound that one owner uses. While ownership moves from one instance to another, or a
# cut leaves an owner on each side, two of them may send in the same second.
OWNER_PART = 0.45


class ColdStarts:
    """Sends to cold backend servers by this instance.

    Pattern: a failure domain's servers come back cold together, and a rate well above what they
    tolerate ends them again. One instance owns each cold server, so no count is shared.
    """

    def __init__(self) -> None:
        self._sends: dict[ids.BackendId, collections.deque[float]] = {}

    def is_owner(
        self, server: ids.BackendId, own: ids.InstanceId, instances: list[ids.InstanceId]
    ) -> bool:
        """Tells whether this instance may send to the server while it is cold."""
        return overlay.rank_instances(server, instances)[0] == own

    def may_send(self, now: float, server: ids.BackendId, bound: float) -> bool:
        """Tells whether one more request fits.

        :param bound: requests that the server may get in one second from all instances.
        """
        return self._count(now, server) + 1 <= max(1, math.floor(bound * OWNER_PART))

    def note_send(self, now: float, server: ids.BackendId) -> None:
        """Counts a request that is sent to a server, cold or not."""
        self._sends.setdefault(server, collections.deque()).append(now)
        self._count(now, server)

    def forget(self, server: ids.BackendId) -> None:
        """Forgets a server that has left."""
        self._sends.pop(server, None)

    def _count(self, now: float, server: ids.BackendId) -> int:
        sends = self._sends.get(server)
        if sends is None:
            return 0
        while sends and sends[0] <= now - WINDOW_SECONDS:
            sends.popleft()
        return len(sends)
