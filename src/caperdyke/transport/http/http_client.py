"""HTTP client on kept connections that never hands out the answer of an earlier request.

The client library returns a connection to its pool when a request on it is cancelled, although the
answer may still arrive; the next request on the connection would then read it. Here a connection
whose exchange did not end as planned is closed.
"""

import asyncio
import contextvars
import dataclasses
import math
import time

import aiosonic
import aiosonic.connection
import aiosonic.connectors
import aiosonic.exceptions
import aiosonic.pools
import aiosonic.timeout

from caperdyke.transport.http import tcp_keepalive

# Servers commonly end idle connections after 5 s or more; ending them first leaves no race.
IDLE_MAX_MS = 4000
# What the library raises where an exchange fails; TimeoutError is an OSError.
FAILURES = (OSError, EOFError, ValueError, aiosonic.exceptions.AiosonicError)


class LateStartError(OSError):
    """A request was held up too long before its first byte; nothing was sent."""


@dataclasses.dataclass(slots=True)
class Exchange:
    """The connection of one request.

    :param send_by: time after which the first byte is not sent any more, seconds since 1970.
    :param connection: None until the first byte is written.
    """

    send_by: float = math.inf
    connection: aiosonic.connection.Connection | None = None

    @property
    def is_sent(self) -> bool:
        """Tells whether any byte of the request may have left."""
        return self.connection is not None

    def close(self) -> None:
        """Ends the connection, so that nothing else is read from it."""
        if self.connection is not None:
            self.connection.close()


_CURRENT: contextvars.ContextVar[Exchange | None] = contextvars.ContextVar(
    "current_exchange", default=None
)


class _NotedConnection(aiosonic.connection.Connection):
    """Tells the exchange that is under way which connection it writes to.

    A kept connection that the server has ended is not used again: a request written to it would be
    lost, and nobody could tell that it never ran.

    :cvar silence: how long the peer may be silent. The library makes connections by class, with
        their pool as the only argument.
    """

    silence = tcp_keepalive.REQUEST_KEEPALIVE

    async def connect(self, *arguments, **named) -> None:
        await super().connect(*arguments, **named)
        tcp_keepalive.enable_keepalive(self.writer.get_extra_info("socket"), self.silence)

    def reuse(self, urlparsed, verify: bool) -> bool:
        if self.reader is not None and self.reader.at_eof():
            self.close()
            return False
        return super().reuse(urlparsed, verify)

    def write(self, data: bytes) -> None:
        exchange = _CURRENT.get()
        if exchange is not None:
            if exchange.connection is None and time.time() > exchange.send_by:
                raise LateStartError("the request was held up before its first byte")
            exchange.connection = self
        super().write(data)


class HttpClient:
    """Sends HTTP requests.

    :param connections_max: connections that are kept for each address.
    :param connect_timeout: longest time to open a connection, in seconds.
    :param silence: how long a peer may be silent.
    """

    def __init__(
        self,
        connections_max: int,
        connect_timeout: float,
        silence: tcp_keepalive.KeepaliveOptions = tcp_keepalive.REQUEST_KEEPALIVE,
    ) -> None:
        pool = aiosonic.pools.PoolConfig(size=connections_max, max_conn_idle_ms=IDLE_MAX_MS)
        timeouts = aiosonic.timeout.Timeouts(
            sock_connect=connect_timeout, sock_read=None, request_timeout=None
        )
        connection_cls = type("_ProbedConnection", (_NotedConnection,), {"silence": silence})
        connector = aiosonic.connectors.TCPConnector(
            pool_configs={":default": pool}, timeouts=timeouts, connection_cls=connection_cls
        )
        self._client = aiosonic.HTTPClient(connector, handle_cookies=False)

    async def start(
        self,
        exchange: Exchange,
        method: str,
        url: str,
        headers: list[tuple[str, str]],
        body: bytes | None,
        timeout: float,
    ) -> aiosonic.HttpResponse:
        """Sends a request and returns the response, whose body is still to be read.

        :param exchange: gets the connection; close it where the body is not read to its end.
        :param timeout: longest time until the response's head, in seconds.
        :raises FAILURES: where no whole head arrived; the connection is closed.
        """
        token = _CURRENT.set(exchange)
        try:
            async with asyncio.timeout(timeout):
                return await self._client.request(
                    url, method, headers=headers, data=body, stream=True
                )
        except BaseException:
            exchange.close()
            raise
        finally:
            _CURRENT.reset(token)

    async def fetch(
        self,
        exchange: Exchange,
        method: str,
        url: str,
        headers: list[tuple[str, str]],
        body: bytes | None,
        timeout: float,
    ) -> tuple[aiosonic.HttpResponse, bytes]:
        """Sends a request and returns the response with its whole body.

        :raises FAILURES: where it did not arrive whole in time; the connection is closed.
        """
        try:
            async with asyncio.timeout(timeout):
                response = await self.start(exchange, method, url, headers, body, timeout)
                return response, await response.content()
        except BaseException:
            exchange.close()
            raise

    async def close(self) -> None:
        """Closes the kept connections."""
        await self._client.aclose()
