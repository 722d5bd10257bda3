"""Hooks below uvicorn for connections of callers: silence, slow heads, and the target as sent."""

import asyncio

import uvicorn.protocols.http.httptools_impl as httptools_impl

from caperdyke.transport import events
from caperdyke.transport.http import tcp_keepalive

# Key in the scope under which the request target is found byte for byte; the server library
# leaves out the question mark of an empty query.
TARGET_KEY = "caperdyke.target"
# Longest time for the head of a request while no configuration is known, in seconds.
HEAD_FIRST_SECONDS = 10.0


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """One connection of a caller."""

    # Longest time for the head of a request, in seconds; set once the configuration is known.
    head_seconds = HEAD_FIRST_SECONDS

    def __init__(self, *arguments, **named) -> None:
        super().__init__(*arguments, **named)
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        """Starts."""
        super().connection_made(transport)
        tcp_keepalive.enable_keepalive(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Ends."""
        self._stop_head_timer()
        super().connection_lost(error)

    def on_message_begin(self) -> None:
        """Starts to wait for the rest of a head."""
        super().on_message_begin()
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(self.head_seconds, self._end_slow_head)

    def on_headers_complete(self) -> None:
        """Keeps the target as it was sent."""
        self._stop_head_timer()
        self.scope[TARGET_KEY] = self.url
        super().on_headers_complete()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_slow_head(self) -> None:
        if not self.transport.is_closing():
            events.log(events.Event.SLOW_HEAD, caller=str(self.client), seconds=self.head_seconds)
            self.transport.close()
