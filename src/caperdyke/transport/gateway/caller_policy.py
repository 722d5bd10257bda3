"""What this instance decides about requests that callers send ahead on a connection."""

from caperdyke.transport.gateway import context, request_app
from caperdyke.transport.http import client_connection

# Bytes of buffered responses of a connection while memory is short.
SHORT_BYTES = 64 * 1024


class CallerPolicy:
    """Rules for callers' connections, from the settings and the configuration in force."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node

    @property
    def requests_max(self) -> int:
        """Most requests of a connection in progress at once; 1 while memory is short."""
        return 1 if self._node.resources.account.is_short else self._node.settings.pipelined_max

    @property
    def bytes_max(self) -> int:
        """Most bytes of buffered responses of a connection; a part while memory is short."""
        if self._node.resources.account.is_short:
            return min(SHORT_BYTES, self._node.settings.pipelined_bytes)
        return self._node.settings.pipelined_bytes

    @property
    def request_bytes(self) -> int:
        """Memory of a request in progress for what arrives from its server."""
        return client_connection.EXCHANGE_BYTES

    @property
    def is_stopping(self) -> bool:
        """Whether this instance has begun to stop."""
        return self._node.is_stopping

    def is_repeatable(self, scope: dict) -> bool:
        """Returns whether a request may run more than once; one without a route never runs."""
        table = self._node.routes
        if table is None:
            return False
        host = next((value for name, value in scope["headers"] if name == b"host"), b"")
        route = table.find_route(
            request_app.strip_port(host.decode("latin-1")), scope["raw_path"].decode("latin-1")
        )
        return route is None or route.kind.is_repeatable
