"""Protocol of the connections of all HTTP servers: reading, limits and the close in stages."""

import asyncio

import httptools
import uvicorn.protocols.http.httptools_impl as httptools_impl

from caperdyke.coordination import connection_table
from caperdyke.transport import events
from caperdyke.transport.http import (
    framing,
    lingering_close,
    message_meter,
    server_resources,
    upgrades,
)

# Bytes of a body that arrive after the response to its request; above it the connection closes.
UNREAD_BODY_BYTES_MAX = 256 * 1024
# Longest time for which a caller may leave the buffer of responses full, unless requests may take
# longer; and longest time without a byte of a body that is not complete.
STALLED_MAX_S = 30.0
# Status of a request whose body does not arrive; it promises that the request never runs.
BODY_STALLED_STATUS = 408
# Applies until a configuration is loaded.
HEADER_TIMEOUT_DEFAULT_S = 10.0
# Bytes of one connection that are read before other connections have their turn: of heads, of
# bodies in chunks, which may be short, and of bodies whose length is known, which take little time.
READ_HEAD_BYTES = 4 * 1024
READ_CHUNKS_BYTES = 16 * 1024
READ_BODY_BYTES = 64 * 1024
# Bytes that are parsed at once. Limits are checked, and reading pauses, between such pieces.
PIECE_BYTES = 1024
# Memory of a connection beside what it receives and sends.
CONNECTION_BYTES = 24 * 1024

# Connections parse what they have read before the next one reads.
_RECEIVED = memoryview(bytearray(READ_BODY_BYTES))


class ServerProtocol(httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol):
    """One HTTP connection, which closes in stages, and bounds what its caller may use.

    Pattern: callers send heads, trailers or bodies without end as fast as they are read, or stop
    short of an end; uploads are rejected and go on.

    :param resources: what the servers of the process share.
    :param connections: connections of this server.
    :cvar stalled_max_s: longest time for which a caller may leave the buffer of responses full, in
        seconds; a configuration raises it to its longest timeout.
    :cvar header_timeout_s: longest time to receive the head of a request, in seconds; replaced by
        the configured value.
    """

    stalled_max_s = STALLED_MAX_S
    header_timeout_s = HEADER_TIMEOUT_DEFAULT_S

    def __init__(
        self,
        *arguments,
        resources: server_resources.ServerResources,
        connections: connection_table.ConnectionTable,
        **named,
    ) -> None:
        super().__init__(*arguments, **named)
        self._resources = resources
        self._unread = resources.unread
        self._connections = connections
        self.meter = message_meter.MessageMeter(resources.limits)
        # Received bytes that wait until reading resumes.
        self._unparsed = b""
        self._body_bytes_left = 0
        self._unread_body_bytes = 0
        self._has_answered = False
        self._received_at = 0.0
        self._stall_timer: asyncio.TimerHandle | None = None
        self._body_timer: asyncio.TimerHandle | None = None

    # Events of the connection.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wraps the transport, so that every close of the connection lingers."""
        self.holding = self._resources.account.open(self.end)
        # Whatever the system does not take counts as unread.
        transport.set_write_buffer_limits(high=0)
        super().connection_made(
            lingering_close.LingeringTransport(
                transport,
                self.loop,
                self.on_closing,
                self._on_reading_resumed,
                self._resources.lingering,
            )
        )
        self.start_idle_timer()
        self._connections.add(self)
        self.update_usage()

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Returns where the next bytes are received, at most as many as are parsed in a turn."""
        if self._body_bytes_left > READ_HEAD_BYTES:
            return _RECEIVED
        if self.meter.is_receiving_body:
            return _RECEIVED[:READ_CHUNKS_BYTES]
        return _RECEIVED[:READ_HEAD_BYTES]

    def buffer_updated(self, size: int) -> None:
        """Parses what has been received."""
        self.data_received(bytes(_RECEIVED[:size]))

    def data_received(self, data: bytes) -> None:
        """Parses requests, or discards what arrives while the connection closes."""
        if self.transport.is_closing():
            self.transport.discard(len(data))
            return
        self._parse(self._unparsed + data)

    def _on_reading_resumed(self) -> None:
        if self._unparsed:
            self.loop.call_soon(self._parse_rest)

    def _parse_rest(self) -> None:
        if not self.transport.is_closing():
            self._parse(self._unparsed)

    def _parse(self, data: bytes) -> None:
        """Parses piece by piece, until a limit is exceeded or reading pauses."""
        self._unparsed = b""
        self._received_at = self.loop.time()
        position = 0
        while position < len(data) and not self.is_input_over():
            if self.transport.is_reading_paused:
                self._unparsed = data[position:]
                break
            size = max(PIECE_BYTES, min(self._body_bytes_left, READ_BODY_BYTES))
            piece = data[position : position + size]
            parsed = self._parse_piece(piece)
            if not parsed:
                break
            position += parsed
        if self.meter.is_receiving_body and self._body_timer is None:
            self._body_timer = self.loop.call_later(self.stalled_max_s, self._check_body)
        self.update_usage()

    def _parse_piece(self, piece: bytes) -> int:
        """Returns how many bytes have been parsed, 0 if the connection is not read on.

        The parser stops behind the head of a request for another protocol.
        """
        parsed = len(piece)
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            self._unsupported_upgrade_warning()
            parsed = upgrade.args[0]
            if framing.has_body(self.headers):
                self.parser = upgrades.make_body_parser(self, self.headers)
        except httptools.HttpParserError:
            self.logger.warning("Invalid HTTP request received.")
            self.send_400_response("Invalid HTTP request received.")
            return 0
        fault = self.meter.record_piece(parsed)
        if fault is not None and not self.is_input_over():
            events.log(
                events.Event.MESSAGE_REFUSED, caller=str(self.client), cause=fault.name.lower()
            )
            if fault.status is None:
                self.close_after_responses()
            else:
                self.refuse_message(fault.status, fault.text)
            return 0
        return parsed

    def is_input_over(self) -> bool:
        """Returns whether everything that will be served has been read."""
        return self.transport.is_closing()

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Prepares for the next request."""
        self._unset_keepalive_if_required()
        if self.is_idle:
            self.holding.restart()
        super().on_message_begin()
        self.meter.begin_message()
        self._unread_body_bytes = self._body_bytes_left = 0

    def on_url(self, url: bytes) -> None:
        """Stores a part of the target."""
        self.meter.record_target(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are measured and dropped, since they are no headers."""
        self.meter.record_field(name, value)
        if not self.meter.is_receiving_body:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Completes the head, and creates the request."""
        self._unset_keepalive_if_required()
        self.meter.complete_head()
        self._body_bytes_left = framing.find_length(self.headers) or 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body, or discards it if the request has its response."""
        self.meter.record_body()
        self._body_bytes_left -= len(body)
        self.holding.received_bytes += len(body)
        if not self.cycle.response_complete:
            super().on_body(body)
            return
        self._unread_body_bytes += len(body)
        if self._unread_body_bytes > UNREAD_BODY_BYTES_MAX:
            self.close_after_responses()

    def on_message_complete(self) -> None:
        """Marks the body as complete, unless the parser has stopped before it."""
        if not self.is_body_ahead():
            self.meter.complete_message()
            super().on_message_complete()

    def is_body_ahead(self) -> bool:
        """Returns whether the parser stops at the head of a request that has a body."""
        return self.parser.should_upgrade() and framing.has_body(self.headers)

    def refuse_message(self, status: int, text: str) -> None:
        """Responds to a message that is not read on, after the responses to earlier requests."""
        raise NotImplementedError

    def close_after_responses(self) -> None:
        """Reads no further requests, and closes the connection after the responses in progress."""
        raise NotImplementedError

    # What the connection uses.

    @property
    def is_idle(self) -> bool:
        """Whether the responses to all requests have been sent."""
        raise NotImplementedError

    @property
    def is_running(self) -> bool:
        """Whether a request is in progress whose response has not been completed."""
        raise NotImplementedError

    def measure_requests(self) -> int:
        """Returns the memory of the requests and their responses, in bytes."""
        raise NotImplementedError

    def update_usage(self) -> None:
        """Records what the connection holds and does now."""
        self._connections.move(self, self._find_stage())
        holding = self.holding
        holding.is_receiving = self.meter.is_receiving_body and not self.is_idle
        holding.is_running = (
            self.is_running and not holding.is_receiving and not self.flow.write_paused
        )
        holding.resize(
            CONNECTION_BYTES
            + len(self._unparsed)
            + self.transport.get_write_buffer_size()
            + self.measure_requests()
        )

    def _find_stage(self) -> connection_table.Stage:
        if self.transport.is_closing():
            return connection_table.Stage.CLOSING
        if self.is_idle:
            stages = connection_table.Stage
            return stages.IDLE if self._has_answered else stages.NEW
        if self.meter.is_receiving_body:
            return connection_table.Stage.RECEIVING
        return connection_table.Stage.SERVING

    def end(self, cause: str) -> None:
        """Closes the connection at once, since others need what it uses."""
        events.log(events.Event.CONNECTION_ENDED, caller=str(self.client), cause=cause)
        self.transport.end(cause)

    # Closing and timers.

    def start_idle_timer(self) -> None:
        """Closes the connection unless a request begins in time."""
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def _check_body(self) -> None:
        """Refuses a request of whose body nothing has arrived for too long."""
        self._body_timer = None
        if not self.meter.is_receiving_body or self.is_input_over():
            return
        late_at = self._received_at + self.stalled_max_s
        if self.transport.is_reading_paused or self.loop.time() < late_at:
            left_s = max(1.0, late_at - self.loop.time())
            self._body_timer = self.loop.call_later(left_s, self._check_body)
            return
        self.refuse_message(BODY_STALLED_STATUS, "The body of the request does not arrive.")

    def on_closing(self) -> None:
        """Ends what is in progress, since its response can no longer be sent."""
        self._unset_keepalive_if_required()
        self._unparsed = b""
        if self.cycle is not None:
            if not self.cycle.response_complete:
                self.cycle.disconnected = True
            self.cycle.message_event.set()
        self.flow.resume_writing()
        self.update_usage()

    def pause_writing(self) -> None:
        """Bounds the time for which the caller may leave the buffer full, and the memory."""
        super().pause_writing()
        self._unread.add(self.transport)
        self._stall_timer = self.loop.call_later(self.stalled_max_s, self._end_stalled)
        self.update_usage()

    def resume_writing(self) -> None:
        """Lets responses go on, since the caller has read."""
        self._unread.remove(self.transport)
        self._stop_stall_timer()
        super().resume_writing()
        self.update_usage()

    def _end_stalled(self) -> None:
        self.transport.end(f"not read for {self.stalled_max_s:.0f} s")

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the timers and releases what the connection uses."""
        self._unread.remove(self.transport)
        self._connections.remove(self)
        self.holding.close()
        self._unparsed = b""
        self._stop_stall_timer()
        if self._body_timer is not None:
            self._body_timer.cancel()
        self.transport.stop_checks()
        super().connection_lost(error)
