"""Takes over what backend servers say of themselves in their answers."""

import collections.abc

from caperdyke.coordination.registry import server_registry
from caperdyke.state import backend, header_fields, name_hashes
from caperdyke.transport.backends import pool
from caperdyke.transport.gateway import server_bounds


class ServerHeaderHandler:
    """Passes each word of a server on to what keeps it.

    :param on_left: called when a server is out of use by its own word.
    """

    def __init__(
        self,
        bounds: server_bounds.ServerBounds,
        servers: server_registry.ServerRegistry,
        connections: pool.ConnectionPool,
        on_left: collections.abc.Callable[[], None],
    ) -> None:
        self._bounds = bounds
        self._servers = servers
        self._connections = connections
        self._on_left = on_left

    def record_answer(
        self,
        now: float,
        server: backend.BackendServer,
        about: header_fields.ServerHeaders,
        sent_at: float,
        is_own: bool,
        is_success: bool,
    ) -> None:
        """Learns what an answer says of the server that sent it.

        :param server: the server that the request was meant for.
        :param sent_at: time at which the request was sent.
        :param is_own: whether it is the answer to that request.
        """
        if about.is_misdirected:
            if about.is_leaving:
                self.record_leaving(
                    now, self._servers.list_by_address(server.address, server.backend)
                )
            return
        is_sound = is_own and about.is_signed and is_success
        self._bounds.record_answer(now, server.backend, about.limit, sent_at, is_sound)
        self._bounds.record_rest(now, server.backend, about.rest)
        if about.is_leaving:
            known = self._servers.find(server.backend)
            self.record_leaving(now, [] if known is None else [known])
        if about.cold_ms and is_own:
            self._servers.record_cold(now, server.backend, about.cold_ms / 1000)

    def merge_announced(
        self,
        now: float,
        limits: dict[int, tuple[float | None, float]],
        backoffs: dict[int, float],
        leaving: dict[int, float],
    ) -> None:
        """Learns what servers said to another instance; see `ServerBounds.note_told`."""
        if self._bounds.merge_announced(now, limits, backoffs, leaving):
            self._drop_leaving(self._servers.list_all())

    def record_leaving(self, now: float, found: list[server_registry.RegisteredServer]) -> None:
        """Learns that servers say that they leave."""
        news = [
            known
            for known in found
            if self._bounds.record_leaving(
                now, known.registration.server.backend, _mark_start(known)
            )
        ]
        if news:
            self._drop_leaving(news)

    def is_leaving(self, known: server_registry.RegisteredServer) -> bool:
        """Tells whether this start of a server says that it leaves."""
        leaving = self._bounds.leaving
        return not leaving.is_empty and leaving.contains(_mark_start(known))

    def _drop_leaving(self, servers: list[server_registry.RegisteredServer]) -> None:
        for known in servers:
            if self.is_leaving(known):
                self._connections.drop(known.registration.server.backend)
        self._on_left()


def _mark_start(known: server_registry.RegisteredServer) -> int:
    entry = known.registration
    return name_hashes.hash_start(entry.server.backend, entry.started_ms)
