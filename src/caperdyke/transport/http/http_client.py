"""HTTP client with pooled connections, for calls to any server.

No response is read further than its reader asks, and none is read whole beyond a size. A connection
whose exchange did not complete is closed, so that no later request reads the rest of its response.
"""

import asyncio
import collections.abc
import dataclasses
import math
import time

from caperdyke import errors
from caperdyke.transport.http import client_connection, tcp_keepalive

# Servers commonly close idle connections after 5 s or more; closing them earlier avoids a race
# between the server's close and the next request.
IDLE_MAX_SECONDS = 4.0
# Interval between searches for connections that have idled for too long, at any address.
SWEEP_INTERVAL_SECONDS = 1.0
# Methods whose requests carry a length even without a body.
BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))

Headers = collections.abc.Iterable[tuple[str, str]]


class LateStartError(OSError):
    """The latest time to send passed before the first byte was written; nothing was sent."""


class ResponseTooLargeError(OSError):
    """The body of a response exceeds what its reader accepts."""


# What is raised for a failed exchange; TimeoutError is an OSError.
FAILURES = (OSError, errors.BackendFailedError, errors.ProtocolError)


class Exchange:
    """One request and the connection it is sent on.

    :param send_by: latest time to write the first byte, seconds since 1970.
    :ivar is_sent: whether any byte of the request may have been sent.
    """

    def __init__(self, send_by: float = math.inf) -> None:
        self.send_by = send_by
        self.is_sent = False
        # Takes the connection back once the exchange has ended.
        self._end: collections.abc.Callable[[bool], None] | None = None

    def open(self, end: collections.abc.Callable[[bool], None]) -> None:
        """Records that a connection is in use.

        :param end: called once, with whether the exchange is complete.
        """
        self._end = end

    def finish(self) -> None:
        """Returns the connection to its pool, as the whole response has been read."""
        self._end_once(True)

    def close(self) -> None:
        """Closes the connection, so that no later request reads this response."""
        self._end_once(False)

    def _end_once(self, is_complete: bool) -> None:
        end, self._end = self._end, None
        if end is not None:
            end(is_complete)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response whose body has not been read.

    :param headers: names in lower case and values, in the order in which they arrived.
    """

    status_code: int
    headers: tuple[tuple[str, str], ...]
    connection: client_connection.ServerConnection
    exchange: Exchange

    def find_header(self, name: str, default: str = "") -> str:
        """Returns the value of a header, the last one where there are several.

        :param name: in lower case.
        """
        return dict(self.headers).get(name, default)

    async def iterate(self) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yields the parts of the body; returns only after its end.

        :raises FAILURES: if the body is incomplete; the exchange must be closed.
        """
        while (part := await self.connection.read_chunk()) is not None:
            yield part
        self.exchange.finish()

    async def read_all(self, size_max: int) -> bytes:
        """Returns the whole body.

        :param size_max: size above which the body is not read on, in bytes.
        :raises ResponseTooLargeError: if the body is larger.
        :raises FAILURES: if the body is incomplete.
        """
        body = bytearray()
        async for part in self.iterate():
            body += part
            if len(body) > size_max:
                raise ResponseTooLargeError(f"over {size_max} bytes")
        return bytes(body)


class HttpClient:
    """Sends HTTP requests.

    :param connections_max: connections at a time; further requests wait for one of them.
    :param connect_timeout: longest time to open a connection, in seconds.
    :param keepalive: keepalive options of the connections.
    """

    def __init__(
        self,
        connections_max: int,
        connect_timeout: float,
        keepalive: tcp_keepalive.KeepaliveOptions = tcp_keepalive.REQUEST_KEEPALIVE,
    ) -> None:
        self._connect_timeout = connect_timeout
        self._keepalive = keepalive
        self._free = asyncio.Semaphore(connections_max)
        # Connections without a request, by address, the one used last at the end.
        self._idle: dict[str, list[client_connection.ServerConnection]] = {}
        self._next_sweep_at = 0.0

    async def start(
        self,
        exchange: Exchange,
        method: str,
        address: str,
        target: str,
        headers: Headers,
        body: bytes | None,
        timeout: float,
    ) -> Response:
        """Sends a request and returns the response with its body unread.

        :param exchange: records the connection; close it unless the body is read to its end.
        :param address: address of the server, ``host:port``.
        :param target: path and query.
        :param timeout: longest time until the response's head arrives, in seconds.
        :raises FAILURES: if no complete head arrived; the connection is closed.
        """
        try:
            async with asyncio.timeout(timeout):
                connection = await self._acquire(exchange, address)
                if time.time() > exchange.send_by:
                    raise LateStartError("the request was held up before its first byte")
                fields = [(b"host", address.encode()), *_encode_headers(headers)]
                if body or method in BODY_METHODS:
                    fields.append((b"content-length", b"%d" % len(body or b"")))
                connection.send(method, _encode(target), fields, body or b"")
                exchange.is_sent = True
                head = await connection.read_head()
        except BaseException:
            exchange.close()
            raise
        pairs = ((name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers)
        return Response(head.status_code, tuple(pairs), connection, exchange)

    async def fetch(
        self,
        exchange: Exchange,
        method: str,
        address: str,
        target: str,
        headers: Headers,
        body: bytes | None,
        timeout: float,
        size_max: int,
    ) -> tuple[Response, bytes]:
        """Sends a request and returns the response and its whole body.

        :param size_max: size above which the body is not read on, in bytes.
        :raises FAILURES: if the response was not complete in time or is too large; the connection
            is closed.
        """
        try:
            async with asyncio.timeout(timeout):
                response = await self.start(
                    exchange, method, address, target, headers, body, timeout
                )
                return response, await response.read_all(size_max)
        except BaseException:
            exchange.close()
            raise

    async def close(self) -> None:
        """Closes the connections without a request."""
        for address in list(self._idle):
            for connection in self._idle.pop(address):
                connection.close()

    async def _acquire(
        self, exchange: Exchange, address: str
    ) -> client_connection.ServerConnection:
        """Returns a connection, which the end of the exchange gives back."""
        await self._free.acquire()
        try:
            connection = self._take_idle(address)
            if connection is None:
                connection = await client_connection.connect(
                    address, self._connect_timeout, self._keepalive
                )
        except BaseException:
            self._free.release()
            raise

        def end(is_complete: bool) -> None:
            self._free.release()
            if is_complete and connection.finish():
                connection.idle_until = time.monotonic() + IDLE_MAX_SECONDS
                self._idle.setdefault(address, []).append(connection)
            else:
                connection.close()

        exchange.open(end)
        return connection

    def _take_idle(self, address: str) -> client_connection.ServerConnection | None:
        now = time.monotonic()
        addresses = [address]
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
            addresses = list(self._idle)
        for item in addresses:
            self._drop_expired(now, item)
        idle = self._idle.get(address)
        return idle.pop() if idle else None

    def _drop_expired(self, now: float, address: str) -> None:
        usable = []
        for connection in self._idle.pop(address, ()):
            if now < connection.idle_until and connection.is_reusable:
                usable.append(connection)
            else:
                connection.close()
        if usable:
            self._idle[address] = usable


def _encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(_encode(name), _encode(value)) for name, value in headers]


def _encode(text: str) -> bytes:
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise errors.ProtocolError(f"request: {error}") from error
