"""Tests for connections to the platform's store."""

import asyncio
import socket

from caperdyke.platform import store
from caperdyke.state import store_rows
from caperdyke.transport.http import client_connection, http_client
from testing import servers
from testing.platform import fake_store, harness

# Shortest time limit of the users' deployments from confirmation to "in force", in seconds.
APPLY_SECONDS = 2.5


class SilentConnectionTest(harness.AsyncTestCase):
    """Pattern: an open connection stops passing data for good; neither side sees it close."""

    def test_silent_connection_ends_within_the_bound_for_the_configuration(self) -> None:
        opened: list[socket.socket] = []

        class OpenedConnection(client_connection.ServerConnection):
            def connection_made(self, transport) -> None:
                super().connection_made(transport)
                opened.append(transport.get_extra_info("socket"))

        async def scenario() -> None:
            self.patch(client_connection, "ServerConnection", OpenedConnection)
            async with servers.serve_app(fake_store.FakeStore().make_app()) as address:
                client = store.Store(address)
                await client.read_table(store_rows.StoreTable.CONFIGURATION)
                tcp = socket.IPPROTO_TCP
                self.assertEqual(1, opened[0].getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
                idle = opened[0].getsockopt(tcp, socket.TCP_KEEPIDLE)
                interval = opened[0].getsockopt(tcp, socket.TCP_KEEPINTVL)
                count = opened[0].getsockopt(tcp, socket.TCP_KEEPCNT)
                self.assertTrue(
                    idle + interval * count < APPLY_SECONDS,
                    f"got {idle} + {interval} * {count} s, expected under {APPLY_SECONDS} s",
                )
                await client.close()

        self.run_async(scenario)

    def test_connection_that_idled_is_replaced(self) -> None:
        async def scenario() -> None:
            self.patch(http_client, "IDLE_MAX_SECONDS", 0.001)
            used = []
            original = client_connection.ServerConnection.send

            def send(conn, *arguments) -> None:
                used.append(conn)
                original(conn, *arguments)

            self.patch(client_connection.ServerConnection, "send", send)
            async with servers.serve_app(fake_store.FakeStore().make_app()) as address:
                client = store.Store(address)
                for _ in range(3):
                    await client.read_table(store_rows.StoreTable.CONFIGURATION)
                    await asyncio.sleep(0.01)
                await client.close()
            self.assertEqual(3, len(set(used)))

        self.run_async(scenario)
