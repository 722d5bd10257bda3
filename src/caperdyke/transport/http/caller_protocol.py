"""Protocol of callers' connections: keepalive, a header timeout and the raw request target."""

import asyncio

import uvicorn.protocols.http.httptools_impl as httptools_impl

from caperdyke.transport import events
from caperdyke.transport.http import tcp_keepalive

# ASGI scope key of the request target exactly as received; uvicorn drops the question mark of an
# empty query.
TARGET_KEY = "caperdyke.target"
# Applies until a configuration is loaded.
DEFAULT_HEADER_TIMEOUT_S = 10.0


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """One connection of a caller."""

    # Longest time to receive a request head, in seconds; replaced by the configured value.
    header_timeout_s = DEFAULT_HEADER_TIMEOUT_S

    def __init__(self, *arguments, **named) -> None:
        super().__init__(*arguments, **named)
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        """Enables TCP keepalive on the new connection."""
        super().connection_made(transport)
        tcp_keepalive.enable_keepalive(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the header timer."""
        self._cancel_header_timer()
        super().connection_lost(error)

    def on_message_begin(self) -> None:
        """Starts the header timer."""
        super().on_message_begin()
        self._cancel_header_timer()
        self._header_timer = self.loop.call_later(
            self.header_timeout_s, self._close_slow_connection
        )

    def on_headers_complete(self) -> None:
        """Cancels the header timer and stores the raw request target in the scope."""
        self._cancel_header_timer()
        self.scope[TARGET_KEY] = self.url
        super().on_headers_complete()

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_slow_connection(self) -> None:
        if not self.transport.is_closing():
            events.log(
                events.Event.SLOW_HEAD, caller=str(self.client), seconds=self.header_timeout_s
            )
            self.transport.close()
