"""The HTTP client against a server that sends scripted bytes."""

import asyncio

import testtools
from parameterized import parameterized

from caperdyke.transport.http import client_connection, http_client
from testing import servers

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CLOSING = OK.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
TIMEOUT_SECONDS = 5.0


class HttpClientTest(testtools.TestCase):
    """One client and one server."""

    def setUp(self) -> None:
        super().setUp()
        self.connections: list[client_connection.ServerConnection] = []
        original = client_connection.ServerConnection.connection_made

        def connection_made(conn, transport) -> None:
            self.connections.append(conn)
            original(conn, transport)

        self.patch(client_connection.ServerConnection, "connection_made", connection_made)

    def run_with_server(self, script, steps, connections_max: int = 4):
        """Runs a script with a client and the address of a server; returns its result."""

        async def run():
            server = servers.RawServer(steps)
            async with server.listen() as address:
                client = http_client.HttpClient(connections_max, TIMEOUT_SECONDS)
                try:
                    return await script(client, address)
                finally:
                    await client.close()

        return asyncio.run(run())

    async def fetch(self, client, address, target: str = "/a", size_max: int = 100) -> bytes:
        """Returns the body of a response."""
        exchange = http_client.Exchange()
        _, body = await client.fetch(
            exchange, "GET", address, target, [], None, TIMEOUT_SECONDS, size_max
        )
        return body

    @parameterized.expand([("one", CONTINUE), ("several", CONTINUE + HINTS + CONTINUE)])
    def test_interim_answers_precede_the_final_one(self, _name, interim) -> None:
        """Guards against an interim answer that is taken for the final one."""

        async def script(client, address):
            return [await self.fetch(client, address) for _ in range(2)]

        self.assertEqual([b"hello"] * 2, self.run_with_server(script, {"/a": [interim + OK]}))

    @parameterized.expand([("kept", OK, 1), ("closed by the server", CLOSING, 3)])
    def test_connection_is_used_again(self, _name, answer, opened) -> None:
        async def script(client, address):
            return [await self.fetch(client, address) for _ in range(3)]

        self.assertEqual([b"hello"] * 3, self.run_with_server(script, {"/a": [answer]}))
        self.assertEqual(opened, len(self.connections))

    def test_body_that_is_too_large_closes_the_connection(self) -> None:
        async def script(client, address):
            try:
                await self.fetch(client, address, size_max=4)
            except http_client.ResponseTooLargeError:
                return await self.fetch(client, address, size_max=5)

        self.assertEqual(b"hello", self.run_with_server(script, {"/a": [OK]}))
        self.assertEqual(2, len(self.connections))
        self.assertFalse(self.connections[0].is_reusable)

    def test_requests_wait_for_a_connection(self) -> None:
        async def script(client, address):
            waiting = asyncio.create_task(self.fetch(client, address, "/held"))
            while not self.connections:
                await asyncio.sleep(0)
            other = asyncio.create_task(self.fetch(client, address))
            for _ in range(20):
                await asyncio.sleep(0)
            opened = len(self.connections)
            released.set()
            return opened, await waiting, await other

        released = asyncio.Event()
        steps = {"/held": [released, CLOSING, None], "/a": [OK]}
        self.assertEqual((1, b"hello", b"hello"), self.run_with_server(script, steps, 1))

    def test_failed_connections_do_not_use_up_the_client(self) -> None:
        async def script(client, address):
            for _ in range(5):
                try:
                    await self.fetch(client, "127.0.0.1:1")
                except http_client.FAILURES:
                    continue
            return await self.fetch(client, address)

        self.assertEqual(b"hello", self.run_with_server(script, {"/a": [OK]}, 1))

    def test_idle_connections_to_other_servers_are_closed(self) -> None:
        """Guards against descriptors that stay open for servers that are not asked again."""

        async def script(client, address):
            other = servers.RawServer({"/a": [OK]})
            async with other.listen() as other_address:
                await self.fetch(client, other_address)
                client._next_sweep_at = 0.0
                self.connections[0].idle_until = 0.0
                await self.fetch(client, address)
                return self.connections[0].is_reusable

        self.assertFalse(self.run_with_server(script, {"/a": [OK]}))
