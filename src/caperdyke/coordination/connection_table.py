"""Bounds the open connections of a server, and decides which one ends for a new one."""

import collections
import collections.abc
import enum
import typing

# Shares of the sockets of a process that its servers may take: the one for requests of callers, the
# one for their look-ups, and each other one, which few and known peers use. What they leave is for
# connections to backend servers, to other instances and to the store.
CALLERS_SHARE = 0.45
LOOKUPS_SHARE = 0.15
OTHERS_SHARE = 0.04
# Descriptors that are not sockets.
FILES = 200
# Smallest bound of a server, on systems that allow hardly any descriptors.
CONNECTIONS_MIN = 16
# Time for which a connection may have no request, or receive a body, before it ends for a new one,
# in seconds.
NEW_MIN_S = 1.0
RECEIVING_MIN_S = 2.0


def compute_bound(descriptors: int, share: float) -> int:
    """Returns the most connections of a server.

    :param descriptors: descriptors that the process may open.
    :param share: share of its sockets that the server may use, 0 to 1.
    """
    sockets = max(descriptors - FILES, descriptors // 2)
    return max(CONNECTIONS_MIN, int(sockets * share))


class Stage(enum.Enum):
    """What a connection does."""

    # No request has been received yet.
    NEW = "new"
    # The body of a request is being received.
    RECEIVING = "receiving"
    # The last response has been sent, and the other side has not closed yet.
    CLOSING = "closing"
    # All requests have been answered.
    IDLE = "idle"
    # A request is in progress; such a connection never ends for another one.
    SERVING = "serving"


class Connection(typing.Protocol):
    """A connection in the table."""

    def end(self, cause: str) -> None:
        """Closes the connection at once."""


class ConnectionTable:
    """The open connections of a server, by what they do.

    Pattern: a crowd opens connections, and sends nothing on them, or parts of requests, or stays
    after it has been refused.

    :param count_max: number above which a connection is ended for each new one.
    :param now: clock, in seconds.
    """

    def __init__(self, count_max: int, now: collections.abc.Callable[[], float]) -> None:
        self.count_max = count_max
        self._now = now
        self._stages: dict[Connection, Stage] = {}
        # Connections in each stage with the time at which they entered it, the earliest first.
        self._entered: dict[Stage, collections.OrderedDict[Connection, float]] = {
            stage: collections.OrderedDict() for stage in Stage
        }

    def __len__(self) -> int:
        return len(self._stages)

    def add(self, connection: Connection) -> None:
        """Adds a new connection, and ends one above the limit: the new one if all others serve."""
        if len(self._stages) >= self.count_max:
            victim = self._choose_victim()
            if victim is None:
                connection.end("too many connections are in use")
                return
            self.remove(victim)
            victim.end("a new connection needs its place")
        self._stages[connection] = Stage.NEW
        self._entered[Stage.NEW][connection] = self._now()

    def move(self, connection: Connection, stage: Stage) -> None:
        """Records what a connection does now, unless it has left the table."""
        previous = self._stages.get(connection)
        if previous is None or previous is stage:
            return
        del self._entered[previous][connection]
        self._stages[connection] = stage
        self._entered[stage][connection] = self._now()

    def remove(self, connection: Connection) -> None:
        """Removes a connection if it is present."""
        stage = self._stages.pop(connection, None)
        if stage is not None:
            del self._entered[stage][connection]

    def _choose_victim(self) -> Connection | None:
        """Returns the connection that ends for a new one, or None if all are serving requests."""
        now = self._now()
        for stage, least_s in _ENDED_AFTER_S:
            entered = self._entered[stage]
            if entered:
                connection, entered_at = next(iter(entered.items()))
                if now >= entered_at + least_s:
                    return connection
        return None


# Stages in the order in which connections end, with the least time in each.
_ENDED_AFTER_S = (
    (Stage.NEW, NEW_MIN_S),
    (Stage.RECEIVING, RECEIVING_MIN_S),
    (Stage.CLOSING, 0.0),
    (Stage.IDLE, 0.0),
    (Stage.NEW, 0.0),
)
