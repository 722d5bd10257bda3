"""A persistent HTTP/1.1 connection to a server, parsed by h11.

Backend servers, other instances and the store may all send anything, without end. What has arrived
and has not been read is bounded here, and each request is matched with its response: bytes that
belong to no request close the connection.
"""

import asyncio

import h11

from caperdyke import errors
from caperdyke.transport.http import response_rules, silence, tcp_keepalive

# Bytes that are read from the socket at a time.
READ_BYTES = 64 * 1024
# Unread bytes above which reading from the socket pauses, and below which it resumes.
BUFFER_HIGH_BYTES = 64 * 1024
BUFFER_LOW_BYTES = 32 * 1024
# Memory of an exchange whose response has not been read.
EXCHANGE_BYTES = BUFFER_HIGH_BYTES + READ_BYTES
# Largest head of a response.
HEAD_MAX_BYTES = 64 * 1024
# Largest body that counts as received as soon as the server's system has a window for it, where the
# system does not tell a server that reads slowly from a silent one.
SHORT_BODY_MAX_BYTES = 8 * 1024
# Bytes of a body that are passed to the transport at a time.
BODY_PART_BYTES = 64 * 1024
# Number of chunks that are read before other connections get their turn.
CHUNKS_PER_TURN = 64
# Number of informational responses skipped before the final one.
INFORMATIONAL_MAX = 8

Headers = list[tuple[bytes, bytes]]
# Connections parse what they have read before the next one reads.
_RECEIVED = memoryview(bytearray(READ_BYTES))


class ServerConnection(asyncio.BufferedProtocol):
    """Carries one exchange at a time.

    :param keepalive: keepalive options of the connection.
    :ivar is_ended: whether the connection ended without being closed here.
    """

    def __init__(
        self, keepalive: tcp_keepalive.KeepaliveOptions = tcp_keepalive.REQUEST_KEEPALIVE
    ) -> None:
        self._keepalive = keepalive
        self._parser = self._make_parser()
        self._received = asyncio.Event()
        self._transport: asyncio.Transport | None = None
        self._silence_watch: silence.SilenceWatch | None = None
        self._closing_error: Exception | None = None
        self._request_events: list[h11.Event] = []
        # Event behind the part of the body that was read last.
        self._next_body_event: h11.Event | None = None
        self._unread_bytes = 0
        self._is_busy = False
        self._may_read_slowly = False
        self._writable = asyncio.Event()
        self._writable.set()
        # Writes a long body.
        self._writing: asyncio.Task | None = None
        self.is_ended = False
        self.idle_until = 0.0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open and idle, so that a request may be sent."""
        return (
            self._closing_error is None and not self._is_busy and not self._transport.is_closing()
        )

    def connection_made(self, transport) -> None:
        """Configures keepalive probes and timeouts of the socket."""
        self._transport = transport
        self._silence_watch = silence.SilenceWatch(transport, self._keepalive, self._end_silent)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Returns where the next bytes are received."""
        return _RECEIVED

    def buffer_updated(self, size: int) -> None:
        """Feeds the parser with what has been received."""
        self.data_received(bytes(_RECEIVED[:size]))

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; bytes that belong to no request close the connection."""
        if not self._is_busy:
            self.close()
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > BUFFER_HIGH_BYTES:
            self._transport.pause_reading()
        self._parser.receive_data(data)
        self._received.set()

    def eof_received(self) -> bool:
        """Passes the end of the stream to the parser; it may end a response without a length."""
        self.is_ended = True
        if self._is_busy:
            self._parser.receive_data(b"")
        self._received.set()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Records why the connection ended."""
        self._silence_watch.stop()
        if self._closing_error is None:
            self.is_ended = True
        self._closing_error = (
            error or self._closing_error or ConnectionResetError("the server closed the connection")
        )
        self._received.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """Lets a long body wait until the server has read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets a long body go on."""
        self._writable.set()

    def close(self) -> None:
        """Aborts the connection, including an exchange in progress."""
        if self._writing is not None:
            self._writing.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._closing_error = self._closing_error or ConnectionAbortedError("closed here")

    def send(self, method: str, target: bytes, headers: Headers, body: bytes | bytearray) -> None:
        """Writes a whole request; a long body as fast as the server reads it.

        The body must not change until the exchange has ended.

        :raises errors.ProtocolError: if the request is not valid HTTP; nothing was sent.
        """
        self._is_busy = True
        self._set_user_timeout(len(body) > SHORT_BODY_MAX_BYTES)
        self._request_events = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            self._request_events.append(h11.Data(data=body))
        self._request_events.append(h11.EndOfMessage())
        try:
            parts = self._encode_request()
        except h11.LocalProtocolError as error:
            raise errors.ProtocolError(f"request: {error}") from error
        if len(body) <= BODY_PART_BYTES:
            self._silence_watch.start()
            self._transport.write(b"".join(parts))
        else:
            self._writing = asyncio.ensure_future(self._write_parts(parts))

    async def read_head(self) -> h11.Response:
        """Returns status and headers of the response.

        :raises errors.BackendFailedError: if no final response head arrived that can be passed on.
        """
        for _ in range(INFORMATIONAL_MAX + 1):
            event = await self._next_event()
            match event:
                case h11.Response():
                    fault = response_rules.find_fault(
                        event.http_version, event.status_code, event.headers
                    )
                    if fault is not None:
                        raise errors.BackendFailedError(f"not an answer: {fault}", True)
                    return event
                case h11.InformationalResponse():
                    continue
                case _:
                    raise errors.BackendFailedError(f"got {event!r}, expected a head", True)
        raise errors.BackendFailedError("only informational answers", True)

    async def read_chunk(self) -> bytes | None:
        """Returns the next part of the body, or None at its end.

        Pattern: a server sends its body in chunks of a byte, without end. Chunks that have arrived
        are returned together, and all other tasks get their turn between two such parts.

        :raises errors.BackendFailedError: if the body is incomplete.
        """
        event, self._next_body_event = self._next_body_event or await self._next_event(), None
        match event:
            case h11.Data():
                data = bytes(event.data)
                if event.chunk_end:
                    data += await self._read_short_chunks()
                self._mark_read(len(data))
                return data
            case h11.EndOfMessage():
                return None
            case _:
                raise errors.BackendFailedError(f"got {event!r}, expected a body", True)

    async def _read_short_chunks(self) -> bytes:
        """Returns the chunks that have arrived, up to a number of them."""
        parts = []
        while len(parts) < CHUNKS_PER_TURN - 1:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                # The parser reports it again when the next part is read.
                break
            match event:
                case h11.Data():
                    parts.append(bytes(event.data))
                case h11.NEED_DATA:
                    break
                case _:
                    self._next_body_event = event
                    break
        else:
            await asyncio.sleep(0)
        return b"".join(parts)

    def expect_next_answer(self) -> bool:
        """Prepares to read another response after one that did not belong to the request.

        Returns False if no further response can arrive on this connection.
        """
        if self._parser.their_state is not h11.DONE or self._parser.our_state is not h11.DONE:
            return False
        trailing_bytes, is_ended = self._parser.trailing_data
        if is_ended or self._closing_error is not None:
            return False
        self._parser = self._make_parser()
        self._encode_request()
        if trailing_bytes:
            self._parser.receive_data(trailing_bytes)
        return True

    def finish(self) -> bool:
        """Ends an exchange after its whole response; returns whether the connection is reusable.

        A connection with unread bytes or an unfinished exchange is closed instead.
        """
        is_clean = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and self._parser.trailing_data == (b"", False)
            and self._closing_error is None
            # The server may answer before it has read the whole request.
            and (self._writing is None or self._writing.done())
        )
        self._is_busy = False
        if not is_clean:
            self.close()
            return False
        self._parser.start_next_cycle()
        self._mark_read(self._unread_bytes)
        return True

    def _set_user_timeout(self, may_read_slowly: bool) -> None:
        """Lets a server that reads a long body slowly take its time, if its silence is not watched.

        A user timeout ends connections to silent servers and to those that read slowly alike.
        """
        if self._silence_watch.is_counting or may_read_slowly == self._may_read_slowly:
            return
        self._may_read_slowly = may_read_slowly
        timeout_ms = self._keepalive.user_timeout_ms
        if may_read_slowly:
            timeout_ms = tcp_keepalive.LONG_BODY_USER_TIMEOUT_MS
        tcp_keepalive.set_user_timeout(self._transport.get_extra_info("socket"), timeout_ms)

    def _end_silent(self) -> None:
        self.is_ended = True
        self._closing_error = TimeoutError("the server answers nothing")
        self._transport.abort()

    def _encode_request(self) -> list[bytes | bytearray]:
        parts = []
        for event in self._request_events:
            parts += self._parser.send_with_data_passthrough(event) or []
        return parts

    async def _write_parts(self, parts: list[bytes | bytearray]) -> None:
        for part in parts:
            view = memoryview(part)
            for start in range(0, len(view), BODY_PART_BYTES):
                await self._writable.wait()
                if self._closing_error is not None:
                    return
                self._silence_watch.start()
                self._transport.write(view[start : start + BODY_PART_BYTES])

    async def _next_event(self):
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise errors.BackendFailedError(
                    f"bytes that are no answer: {error}", True
                ) from error
            if event is not h11.NEED_DATA:
                return event
            if self._closing_error is not None:
                raise errors.BackendFailedError(repr(self._closing_error), True)
            # The framing of chunks, which no event contains, has been read, too.
            self._mark_read(self._unread_bytes)
            self._received.clear()
            await self._received.wait()

    def _mark_read(self, count: int) -> None:
        self._unread_bytes -= count
        if self._unread_bytes < BUFFER_LOW_BYTES and self._closing_error is None:
            self._transport.resume_reading()

    @staticmethod
    def _make_parser() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_MAX_BYTES)


async def connect(
    address: str,
    timeout: float,
    keepalive: tcp_keepalive.KeepaliveOptions = tcp_keepalive.REQUEST_KEEPALIVE,
) -> ServerConnection:
    """Opens a connection.

    :param timeout: in seconds.
    :param keepalive: keepalive options of the connection.
    :raises errors.BackendFailedError: if the connection failed; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, protocol = await loop.create_connection(
                lambda: ServerConnection(keepalive), host, int(port)
            )
    except TimeoutError as error:
        raise errors.ConnectTimeoutError(f"{address}: {error!r}") from error
    except (OSError, ValueError, OverflowError) as error:
        # ValueError and OverflowError stand for addresses that cannot be used at all.
        raise errors.BackendFailedError(f"{address}: {error!r}", False) from error
    return protocol
