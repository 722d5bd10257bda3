"""Pool of idle connections to backend servers."""

import collections.abc

from caperdyke.state import ids
from caperdyke.transport.http import client_connection

# Longest time that an idle connection is kept, and the default if the server announces none.
IDLE_TIMEOUT_MAX_SECONDS = 8.0
# Share of the server's own idle timeout after which a connection is not reused.
IDLE_TIMEOUT_RATIO = 0.8
# Covers one lost packet between regions.
CONNECT_TIMEOUT_SECONDS = 0.5
# Largest number of idle connections per server, also used until the fleet size is available.
IDLE_CONNECTIONS_MAX = 32
# Share of a server's connections that the idle ones of all instances together may take.
IDLE_CONNECTIONS_RATIO = 0.5


# What connections are pooled by: a backend server, or the peer address of another instance.
PoolKey = ids.BackendId | ids.Address


class ConnectionPool:
    """Idle connections by backend server or instance, reused in LIFO order."""

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[PoolKey, list[client_connection.ServerConnection]] = {}
        self._idle_max = IDLE_CONNECTIONS_MAX
        # Number of connections opened so far.
        self.opened = 0

    def set_idle_limit(self, connections_max: int, instances: int) -> None:
        """Limits the idle connections per server to an equal share for each instance.

        :param connections_max: connections that a server accepts from all instances together.
        :param instances: number of instances that share them.
        """
        share = int(connections_max * IDLE_CONNECTIONS_RATIO / max(1, instances))
        self._idle_max = max(1, min(IDLE_CONNECTIONS_MAX, share))

    def acquire(self, server: PoolKey) -> client_connection.ServerConnection | None:
        """Removes and returns an idle connection that is still usable, or returns None."""
        idle = self._idle.get(server, [])
        now = self._clock()
        while idle:
            idle_connection = idle.pop()
            if idle_connection.is_reusable and now < idle_connection.idle_until:
                return idle_connection
            idle_connection.close()
        return None

    async def open(
        self, address: ids.Address, timeout: float
    ) -> client_connection.ServerConnection:
        """Opens a connection.

        :param timeout: in seconds; at most ``CONNECT_TIMEOUT_SECONDS`` is used.
        :raises errors.BackendFailedError: if the connection failed; nothing was sent.
        """
        connected = await client_connection.connect(address, min(timeout, CONNECT_TIMEOUT_SECONDS))
        self.opened += 1
        return connected

    def release(
        self,
        server: PoolKey,
        idle_connection: client_connection.ServerConnection,
        idle_seconds: float | None,
    ) -> None:
        """Returns a reusable connection to the pool; closes the oldest one above the limit.

        :param idle_seconds: idle time after which the server closes it; None if not announced.
        """
        timeout_seconds = (
            IDLE_TIMEOUT_MAX_SECONDS if idle_seconds is None else IDLE_TIMEOUT_RATIO * idle_seconds
        )
        idle_connection.idle_until = self._clock() + min(timeout_seconds, IDLE_TIMEOUT_MAX_SECONDS)
        idle = self._idle.setdefault(server, [])
        idle.append(idle_connection)
        if len(idle) > self._idle_max:
            idle.pop(0).close()

    def drop(self, server: PoolKey) -> None:
        """Closes the idle connections to a server that is no longer used."""
        for idle_connection in self._idle.pop(server, []):
            idle_connection.close()

    def drop_expired(self) -> None:
        """Closes the idle connections that have expired or are no longer reusable."""
        now = self._clock()
        for server, idle in self._idle.items():
            for idle_connection in idle:
                if not idle_connection.is_reusable or now >= idle_connection.idle_until:
                    idle_connection.close()
            self._idle[server] = [
                candidate
                for candidate in idle
                if candidate.is_reusable and now < candidate.idle_until
            ]

    def close(self) -> None:
        """Closes all idle connections."""
        for server in list(self._idle):
            self.drop(server)
