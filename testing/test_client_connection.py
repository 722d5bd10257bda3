"""Connections to backend servers."""

import asyncio
import socket

import testtools
from parameterized import parameterized

from caperdyke.transport.http import client_connection, tcp_keepalive, tcp_state
from testing import servers

# Bytes in short chunks that a connection reads before others get their turn; callers have the same.
TURN_MAX_BYTES = 4096
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def exchange(conn: client_connection.ServerConnection, body: bytes) -> bytes:
    """Sends a request and returns the body of its answer."""
    headers = [(b"host", b"x"), (b"content-length", b"%d" % len(body))]
    conn.send("POST", b"/1", headers, body)
    await conn.read_head()
    received = b""
    while (chunk := await conn.read_chunk()) is not None:
        received += chunk
    return received


def find_user_timeout(conn: client_connection.ServerConnection) -> int:
    """Returns the user timeout of a connection in milliseconds."""
    sock = conn._transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


class FakeTransport:
    """Records whether reading is paused."""

    def __init__(self) -> None:
        self.is_reading = True

    def get_extra_info(self, _name) -> socket.socket:
        """Returns a socket that is not connected."""
        return socket.socket()

    def write(self, _data: bytes) -> None:
        """Drops the request."""

    def is_closing(self) -> bool:
        """Returns whether the connection closes."""
        return False

    def pause_reading(self) -> None:
        """Stops reading."""
        self.is_reading = False

    def resume_reading(self) -> None:
        """Reads on."""
        self.is_reading = True


class ReadingTest(testtools.TestCase):
    """Reading pauses while an answer is not forwarded, and goes on."""

    def setUp(self) -> None:
        super().setUp()
        self.transport = FakeTransport()
        self.conn = client_connection.ServerConnection()
        self.conn.connection_made(self.transport)
        self.conn.send("GET", b"/1", [(b"host", b"x")], b"")

    async def read(self, size: int) -> int:
        """Reads a part of the body of at least this size, and returns its size."""
        received = 0
        while received < size:
            received += len(await self.conn.read_chunk())
        return received

    @parameterized.expand([("of one byte", 1, 20_000), ("of a row", 200, 15_000)])
    def test_answer_in_many_chunks_stops(self, _name, size, count) -> None:
        """Guards against counting the framing of chunks as unread for good."""

        async def scenario() -> None:
            self.conn.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self.conn.read_head()
            chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
            for _ in range(count):
                self.conn.data_received(chunk)
                await self.read(size)
            at_once = 2 * client_connection.BUFFER_HIGH_BYTES // len(chunk)
            self.conn.data_received(chunk * at_once)
            self.assertFalse(self.transport.is_reading)
            await self.read(size * at_once)
            waiting = asyncio.ensure_future(self.conn.read_chunk())
            await asyncio.sleep(0)
            self.assertTrue(self.transport.is_reading)
            self.conn.data_received(chunk + b"0\r\n\r\n")
            self.assertEqual(size, len(await waiting))
            self.assertIsNone(await self.conn.read_chunk())

        asyncio.run(scenario())

    @parameterized.expand([("of one byte", 1), ("of ten bytes", 10)])
    def test_others_get_their_turn_between_short_chunks(self, _name, size) -> None:
        """Guards against a server whose short chunks keep the process from everything else."""
        turns = read = read_in_turn_max = 0

        async def count_turns() -> None:
            nonlocal turns, read, read_in_turn_max
            while True:
                read_in_turn_max = max(read_in_turn_max, read)
                turns, read = turns + 1, 0
                await asyncio.sleep(0)

        async def scenario() -> None:
            nonlocal read
            self.conn.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self.conn.read_head()
            chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
            count = 2 * client_connection.BUFFER_HIGH_BYTES // len(chunk)
            self.conn.data_received(chunk * count + b"0\r\n\r\n")
            counting = asyncio.ensure_future(count_turns())
            await asyncio.sleep(0)
            total = 0
            while (data := await self.conn.read_chunk()) is not None:
                total += len(data)
                read += len(data) // size * len(chunk)
            self.assertEqual(size * count, total)
            await asyncio.sleep(0)
            counting.cancel()

        asyncio.run(scenario())
        self.assertTrue(
            read_in_turn_max <= TURN_MAX_BYTES,
            f"got {read_in_turn_max} bytes in one turn of {turns}, expected {TURN_MAX_BYTES}",
        )

    def test_kept_connection_is_not_read(self) -> None:
        """Guards against a connection that is kept while its reading is paused."""

        async def scenario() -> None:
            size = 2 * client_connection.BUFFER_HIGH_BYTES
            self.conn.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self.conn.read_head()
            chunk = b"1\r\nx\r\n"
            self.conn.data_received(chunk * (size // len(chunk)) + b"0\r\n\r\n")
            self.assertFalse(self.transport.is_reading)
            while await self.conn.read_chunk() is not None:
                continue
            self.assertTrue(self.conn.finish())
            self.assertTrue(self.transport.is_reading)

        asyncio.run(scenario())


class SlowServerTest(testtools.TestCase):
    """Servers that stop reading in the middle of a body."""

    @parameterized.expand(
        [
            ("no body", 0, tcp_keepalive.REQUEST_KEEPALIVE.user_timeout_ms),
            ("short", 8 * 1024, tcp_keepalive.REQUEST_KEEPALIVE.user_timeout_ms),
            ("long", 8 * 1024 + 1, tcp_keepalive.LONG_BODY_USER_TIMEOUT_MS),
        ]
    )
    def test_system_ends_long_bodies(self, _name, size, expected) -> None:
        """Guards against a user timeout that counts a server that pauses as gone.

        The system does not count segments, so nothing else notices a silent server.
        """
        self.patch(tcp_state, "count_segments", lambda _transport: None)

        async def scenario() -> None:
            async with servers.RawServer({"/1": [ANSWER]}).listen() as address:
                conn = await client_connection.connect(address, 1.0)
                for body in (b"", b"x" * size, b"x" * size):
                    self.assertEqual(b"ok", await exchange(conn, body))
                    self.assertTrue(conn.finish())
                self.assertEqual(expected, find_user_timeout(conn))
                await exchange(conn, b"")
                self.assertEqual(
                    tcp_keepalive.REQUEST_KEEPALIVE.user_timeout_ms, find_user_timeout(conn)
                )
                conn.close()

        asyncio.run(scenario())

    @parameterized.expand([("no body", 0), ("short", 8 * 1024), ("long", 8 * 1024 + 1)])
    def test_system_ends_bodies(self, _name, size) -> None:
        """Guards against a user timeout beside the watch, which knows a pause from silence."""

        async def scenario() -> None:
            async with servers.RawServer({"/1": [ANSWER]}).listen() as address:
                conn = await client_connection.connect(address, 1.0)
                self.assertEqual(0, find_user_timeout(conn))
                await exchange(conn, b"x" * size)
                self.assertEqual(0, find_user_timeout(conn))
                conn.close()

        asyncio.run(scenario())


class LongBodyTest(testtools.TestCase):
    """Bodies that are written as fast as the server reads them."""

    def test_buffer_holds_a_second_copy(self) -> None:
        """Guards against a transport that buffers what the server has not read."""

        async def scenario() -> None:
            release = asyncio.Event()

            async def serve(reader, writer) -> None:
                await reader.readuntil(b"\r\n\r\n")
                await release.wait()
                await reader.readexactly(size)
                writer.write(ANSWER)

            server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=8 * 1024)
            size = 64_000_000
            host, port = server.sockets[0].getsockname()
            conn = await client_connection.connect(f"{host}:{port}", 1.0)
            exchanging = asyncio.ensure_future(exchange(conn, bytearray(size)))
            await asyncio.sleep(0.2)
            buffered = conn._transport.get_write_buffer_size()
            self.assertTrue(buffered <= 256 * 1024, f"got {buffered} bytes")
            release.set()
            self.assertEqual(b"ok", await exchanging)
            self.assertTrue(conn.finish())
            server.close()

        asyncio.run(scenario())

    def test_answer_before_the_end_of_the_body(self) -> None:
        """Guards against a request that follows in the middle of an earlier body."""

        async def scenario() -> None:
            async def serve(reader, writer) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(ANSWER)

            server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=8 * 1024)
            host, port = server.sockets[0].getsockname()
            conn = await client_connection.connect(f"{host}:{port}", 1.0)
            self.assertEqual(b"ok", await exchange(conn, bytes(64_000_000)))
            self.assertFalse(conn.finish())
            self.assertFalse(conn.is_reusable)
            server.close()

        asyncio.run(scenario())
