"""Applies the state that backend servers report in the headers of their answers."""

import collections.abc

from caperdyke.coordination.registry import server_registry
from caperdyke.state import backend, header_fields
from caperdyke.transport.backends import pool
from caperdyke.transport.gateway import server_bounds


class ServerHeaderHandler:
    """Applies limits, backoffs, drains and cold starts from answers and announcements.

    :param on_server_leaving: called when servers announce that they are leaving.
    """

    def __init__(
        self,
        bounds: server_bounds.ServerBounds,
        servers: server_registry.ServerRegistry,
        connections: pool.ConnectionPool,
        on_server_leaving: collections.abc.Callable[[], None],
    ) -> None:
        self._bounds = bounds
        self._servers = servers
        self._connections = connections
        self._on_server_leaving = on_server_leaving

    def record_answer(
        self,
        now: float,
        server: backend.BackendServer,
        fields: header_fields.ServerHeaders,
        sent_at: float,
        is_for_request: bool,
        is_success: bool,
    ) -> None:
        """Applies the header fields of an answer to the server that sent it.

        :param server: the server to which the request was sent. Another one may have its address.
        :param sent_at: time at which the request was sent.
        :param is_for_request: whether the answer belongs to that request.
        :param is_success: whether the status is below 300.
        """
        if fields.is_misdirected:
            if fields.is_leaving:
                self.record_leaving(
                    now, self._servers.list_by_address(server.address, server.backend)
                )
            return
        is_sound = is_for_request and fields.is_signed and is_success
        self._bounds.record_answer(now, server.backend, fields.limit, sent_at, is_sound)
        self._bounds.record_backoff(now, server.backend, fields.backoff)
        if fields.is_leaving:
            registered = self._servers.find(server.backend)
            self.record_leaving(now, [] if registered is None else [registered])
        if fields.cold_ms and is_for_request:
            self._servers.record_cold(now, server.backend, fields.cold_ms / 1000)

    def merge_announced(
        self,
        now: float,
        limits: dict[int, tuple[float | None, float]],
        backoffs: dict[int, float],
        leaving: dict[int, float],
    ) -> None:
        """Merges what another instance announced; see `ServerBounds.merge_announced`."""
        if self._bounds.merge_announced(now, limits, backoffs, leaving):
            self._close_leaving(self._servers.list_all())

    def record_leaving(self, now: float, senders: list[server_registry.RegisteredServer]) -> None:
        """Records that servers are leaving.

        :param senders: the server that announced it, or all that are registered at its address if
            its answer does not name it.
        """
        newly_leaving = [
            registered
            for registered in senders
            if self._bounds.record_leaving(
                now, registered.registration.server.backend, registered.start_hash
            )
        ]
        if newly_leaving:
            self._close_leaving(newly_leaving)

    def is_leaving(self, registered: server_registry.RegisteredServer) -> bool:
        """Returns whether this start of a server has announced that it is leaving."""
        leaving = self._bounds.leaving
        return not leaving.is_empty and leaving.contains(registered.start_hash)

    def _close_leaving(self, servers: list[server_registry.RegisteredServer]) -> None:
        for registered in servers:
            if self.is_leaving(registered):
                self._connections.drop(registered.registration.server.backend)
        self._on_server_leaving()
