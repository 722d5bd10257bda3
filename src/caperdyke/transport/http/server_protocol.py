"""Protocol of the connections of all HTTP servers."""

import asyncio

import httptools
import uvicorn.protocols.http.httptools_impl as httptools_impl

from caperdyke.transport.http import framing, lingering_close, unread_responses, upgrades

# Bytes of a body that arrive after the response to its request; above it the connection closes.
UNREAD_BODY_BYTES_MAX = 256 * 1024
# Longest time for which a caller may leave the buffer of responses full, unless requests may take
# longer.
STALLED_MAX_S = 30.0


class ServerProtocol(httptools_impl.HttpToolsProtocol):
    """One HTTP connection, which closes in stages, and bounds what its caller may hold.

    Pattern: uploads are rejected by their size or for lack of a configuration, and go on.

    :param lingering: the lingering connections of the process.
    :param unread: its responses that callers do not read.
    :cvar stalled_max_s: longest time for which a caller may leave the buffer of responses full, in
        seconds; a configuration raises it to its longest timeout.
    """

    stalled_max_s = STALLED_MAX_S

    def __init__(
        self,
        *arguments,
        lingering: lingering_close.LingeringConnections,
        unread: unread_responses.UnreadResponses,
        **named,
    ) -> None:
        super().__init__(*arguments, **named)
        self._lingering = lingering
        self._unread = unread
        self._unread_body_bytes = 0
        self._stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wraps the transport, so that every close of the connection lingers."""
        super().connection_made(
            lingering_close.LingeringTransport(
                transport, self.loop, self.on_closing, self._lingering
            )
        )

    def data_received(self, data: bytes) -> None:
        """Parses requests, or discards what arrives while the connection closes.

        uvicorn drops what follows a request for another protocol in the same read.
        """
        if self.transport.is_closing():
            self.transport.discard(len(data))
            return
        self._unset_keepalive_if_required()
        while data and not self.is_input_over():
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                self._unsupported_upgrade_warning()
                data = data[upgrade.args[0] :]
                if framing.has_body(self.headers):
                    self.parser = upgrades.make_body_parser(self, self.headers)
            except httptools.HttpParserError:
                self.logger.warning("Invalid HTTP request received.")
                self.send_400_response("Invalid HTTP request received.")
                return
            else:
                return

    def is_input_over(self) -> bool:
        """Returns whether everything that will be served has been read."""
        return self.transport.is_closing()

    def on_message_begin(self) -> None:
        """Prepares for the next request."""
        super().on_message_begin()
        self._unread_body_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body, or discards it if the request has its response."""
        if not self.cycle.response_complete:
            super().on_body(body)
            return
        self._unread_body_bytes += len(body)
        if self._unread_body_bytes > UNREAD_BODY_BYTES_MAX:
            self.close_after_responses()

    def on_message_complete(self) -> None:
        """Marks the body as complete, unless the parser has stopped before it."""
        if not self.is_body_ahead():
            super().on_message_complete()

    def is_body_ahead(self) -> bool:
        """Returns whether the parser stops at the head of a request that has a body."""
        return self.parser.should_upgrade() and framing.has_body(self.headers)

    def close_after_responses(self) -> None:
        """Reads no further requests, and closes the connection after the responses in progress."""
        self.transport.close()

    def on_closing(self) -> None:
        """Ends what is in progress, since its response can no longer be sent."""
        self._unset_keepalive_if_required()
        if self.cycle is not None:
            if not self.cycle.response_complete:
                self.cycle.disconnected = True
            self.cycle.message_event.set()
        self.flow.resume_writing()

    def pause_writing(self) -> None:
        """Bounds the time for which the caller may leave the buffer full, and the memory."""
        super().pause_writing()
        self._unread.add(self.transport)
        self._stall_timer = self.loop.call_later(self.stalled_max_s, self._end_stalled)

    def resume_writing(self) -> None:
        """Lets responses go on, since the caller has read."""
        self._unread.remove(self.transport)
        self._stop_stall_timer()
        super().resume_writing()

    def _end_stalled(self) -> None:
        self.transport.end(f"not read for {self.stalled_max_s:.0f} s")

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the timers and releases what the connection holds."""
        self._unread.remove(self.transport)
        self._stop_stall_timer()
        self.transport.stop_checks()
        super().connection_lost(error)
