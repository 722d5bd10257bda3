"""Servers, peers and stores that send bytes without end to every client of the programs.

The checks count what the server could send before nobody read on, not times or memory.
"""

import asyncio
import contextlib
import math
import time

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.platform import store
from caperdyke.state import backend, ids, store_rows
from caperdyke.transport.backends import backend_client
from caperdyke.transport.callers import answers
from caperdyke.transport.gateway import row_exchange
from caperdyke.transport.store import platform_client
from testing import builders

# Largest answer of the store and of peers in these tests.
ANSWER_MAX_BYTES = 1024 * 1024
# Bytes that the system holds of a connection between the two ends, at most.
SYSTEM_BYTES = 12 * 1024 * 1024
# Bytes after which a server gives up.
SENT_MAX_BYTES = 32 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# Settling time of a server that is not read on, and interval between two looks at it.
SETTLE_SECONDS = 0.3
LOOK_SECONDS = 0.02

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What precedes the pieces, and the piece that is sent again and again.
CONTENTS = {
    "status line": (b"", b"HTTP"),
    "field": (OK + b"A: ", b"a"),
    "fields": (OK, b"A: b\r\n"),
    "empty lines": (b"", b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "one chunk": (CHUNKED + b"ffffffffff\r\n", b"x"),
    "long chunks": (CHUNKED, b"ea60\r\n" + b"x" * 60_000 + b"\r\n"),
    "short chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
    "length": (OK + b"Content-Length: 1000000000000\r\n\r\n", b"x"),
    "close": (OK + b"\r\n", b"x"),
    "compressed": (OK + b"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n", b"x"),
}
# What a client may pass on piece by piece, as long as its own caller reads.
STREAMED = ("one chunk", "long chunks", "short chunks", "length")


class _EndlessServer:
    """Sends one content on each connection until it is closed or enough has been sent.

    :ivar sent: bytes sent on the connection on which most was sent.
    :ivar ended: connections that the client has closed.
    """

    def __init__(self, content: str) -> None:
        self._start, piece = CONTENTS[content]
        self._block = piece * max(1, PIECE_BYTES // len(piece))
        self.sent = 0
        self.ended = 0

    @contextlib.asynccontextmanager
    async def listen(self):
        """Listens on a free port and yields the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        async with server:
            yield ids.Address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            sent = 0
            while sent < SENT_MAX_BYTES:
                writer.write(self._block)
                await writer.drain()
                sent += len(self._block)
                self.sent = max(self.sent, sent)
                await asyncio.sleep(0)
            await reader.read()
        except (OSError, EOFError):
            self.ended += 1
        finally:
            writer.close()

    async def settle(self) -> None:
        """Waits until nothing more is sent."""
        unchanged_since, sent = time.monotonic(), self.sent
        while time.monotonic() < unchanged_since + SETTLE_SECONDS:
            await asyncio.sleep(LOOK_SECONDS)
            if self.sent != sent:
                unchanged_since, sent = time.monotonic(), self.sent


async def read_rows_of_store(address: ids.Address) -> None:
    """Reads a table of the platform's store."""
    client = store.Store(address)
    try:
        await client.read_table(store_rows.StoreTable.SERVERS)
    finally:
        await client.close()


async def read_platform_rows(address: ids.Address) -> None:
    """Reads a row of the platform's table."""
    client = platform_client.PlatformClient(address)
    try:
        await client.read(["key"])
    finally:
        await client.close()


async def request_rows(address: ids.Address) -> None:
    """Requests rows of another instance."""
    await row_exchange.fetch(address, {})


def make_request() -> answers.IncomingRequest:
    """Returns a request with a deadline in 60 s."""
    contract = builders.make_configuration().contracts[builders.CUSTOMER]
    service = contract.find_service("checkout")
    deadline = time.time() + 60
    return answers.IncomingRequest(
        "label", contract, service, "GET", "/a", (), b"", None, builders.PASIG, deadline
    )


class EndlessAnswerTest(testtools.TestCase):
    """A server, a peer or a store that sends without end."""

    def setUp(self) -> None:
        super().setUp()
        for module in (store, platform_client, row_exchange):
            self.patch(module, "ANSWER_MAX_BYTES", ANSWER_MAX_BYTES)

    @parameterized.expand(
        [
            (f"{call.__name__}, {content}", call, content)
            for call in (read_rows_of_store, read_platform_rows, request_rows)
            for content in CONTENTS
        ]
    )
    def test_answer_is_not_read_beyond_the_largest_one(self, _name, call, content) -> None:
        """Guards against a process that keeps whatever the store or a peer sends."""
        server = _EndlessServer(content)

        async def scenario() -> None:
            async with server.listen() as address:
                try:
                    await call(address)
                except (errors.PlatformUnavailableError, errors.LinkClosedError):
                    await server.settle()
                    return
                self.fail("the answer counts as complete")

        asyncio.run(scenario())
        bound = ANSWER_MAX_BYTES + SYSTEM_BYTES
        self.assertTrue(server.sent <= bound, f"sent {server.sent} bytes, expected {bound}")

    @parameterized.expand([(content, content) for content in CONTENTS if content not in STREAMED])
    def test_answer_that_is_none_is_not_read_on(self, _name, content) -> None:
        """Guards against an entry instance that keeps whatever a backend server sends."""
        server = _EndlessServer(content)

        async def scenario() -> None:
            client = backend_client.BackendClient()
            async with server.listen() as address:
                target = backend.BackendServer("b", builders.PASIG, "checkout", address, 3)
                try:
                    answer = await client.send(target, make_request(), math.inf)
                    async for _ in answer.iterate():
                        continue
                except errors.BackendFailedError as error:
                    self.assertTrue(error.sent)
                    await server.settle()
                    return
                finally:
                    await client.close()
                self.fail("the answer counts as complete")

        asyncio.run(scenario())
        self.assertTrue(server.sent <= SYSTEM_BYTES, f"sent {server.sent} bytes")

    @parameterized.expand([(content, content) for content in STREAMED])
    def test_body_is_read_as_fast_as_the_caller_reads(self, _name, content) -> None:
        """Guards against an entry instance that reads a chunk whole before it passes it on."""
        server = _EndlessServer(content)

        async def scenario() -> None:
            client = backend_client.BackendClient()
            async with server.listen() as address:
                target = backend.BackendServer("b", builders.PASIG, "checkout", address, 3)
                answer = await client.send(target, make_request(), math.inf)
                parts = answer.iterate()
                first = await anext(parts)
                await server.settle()
                self.assertTrue(len(first) <= 2 * PIECE_BYTES, f"got {len(first)} bytes at once")
                await parts.aclose()
                await answer.close()
                await client.close()
                await server.settle()

        asyncio.run(scenario())
        self.assertTrue(server.sent <= SYSTEM_BYTES, f"sent {server.sent} bytes")
        self.assertEqual(1, server.ended, "connections that were closed")
