"""Connections to backend servers."""

import asyncio
import socket

import testtools
from parameterized import parameterized

from caperdyke.transport.backends import connection
from caperdyke.transport.http import tcp_keepalive
from testing import servers

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def exchange(conn: connection.ServerConnection, body: bytes) -> bytes:
    """Sends a request and returns the body of its answer."""
    headers = [(b"host", b"x"), (b"content-length", b"%d" % len(body))]
    conn.send("POST", b"/1", headers, body)
    await conn.read_head()
    received = b""
    while (chunk := await conn.read_chunk()) is not None:
        received += chunk
    return received


def find_user_timeout(conn: connection.ServerConnection) -> int:
    """Returns the user timeout of a connection in milliseconds."""
    sock = conn._transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


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
        """Guards against a user timeout that counts a server that pauses as gone."""

        async def scenario() -> None:
            async with servers.RawServer({"/1": [ANSWER]}).listen() as address:
                conn = await connection.connect(address, 1.0)
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
