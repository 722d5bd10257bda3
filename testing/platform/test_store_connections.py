"""Connections to the platform's store."""

import asyncio
import socket

from caperdyke.transport.http import http_client
from testing import servers
from testing.platform import fake_store, stage

# Shortest bound of the users' deployments from a confirmation to "in force", in seconds.
APPLY_SECONDS = 2.5


class SilentConnectionTest(stage.StageCase):
    """Pattern: an open connection falls silent for good, without a word to either side."""

    def test_silent_connection_ends_within_the_bound_for_the_configuration(self) -> None:
        async def scene() -> None:
            async with servers.serve_app(fake_store.FakeStore().make_app()) as address:
                client = http_client.HttpClient(1, 1.0)
                exchange = http_client.Exchange()
                url = f"http://{address}/caperdyke/rows-get?table=op&part=&limit=1"
                response = await client.start(exchange, "GET", url, [], None, 1.0)
                opened = exchange.connection.writer.get_extra_info("socket")
                tcp = socket.IPPROTO_TCP
                self.assertEqual(1, opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
                idle = opened.getsockopt(tcp, socket.TCP_KEEPIDLE)
                interval = opened.getsockopt(tcp, socket.TCP_KEEPINTVL)
                count = opened.getsockopt(tcp, socket.TCP_KEEPCNT)
                self.assertTrue(
                    idle + interval * count < APPLY_SECONDS,
                    f"got {idle} + {interval} * {count} s, expected under {APPLY_SECONDS} s",
                )
                self.assertEqual(200, response.status_code)
                exchange.close()
                await client.close()
                await asyncio.sleep(0)

        self.play(scene)
