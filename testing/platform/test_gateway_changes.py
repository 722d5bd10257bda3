"""Requests that are under way while the configuration changes, or whose time runs out."""

import asyncio

from testing.platform import fake_server, harness


class ChangedUnderWayTest(harness.AsyncTestCase):
    """Pattern: connections take half a second to open, and a change comes into force meanwhile."""

    def delay_connections(self, played, seconds: float = 0.0) -> asyncio.Event:
        """Makes new connections to servers wait for an event, or for a time."""
        is_open, pool = asyncio.Event(), played.gateway.node.pool
        real = pool.open

        async def open_late(address, timeout):
            if seconds:
                await asyncio.sleep(seconds)
            else:
                await is_open.wait()
            return await real(address, timeout)

        self.patch(pool, "open", open_late)
        return is_open

    async def change(self, played, routes: dict) -> None:
        """Brings version 2 into force."""
        service = harness.make_configuration()["services"]["reader"]
        services = {"reader": service, "writer": service}
        document = harness.make_configuration(2, routes=routes, services=services)
        await played.store.put("op", "config", document)
        await played.wait_until(lambda: played.gateway.node.routes.version == 2)

    def test_request_goes_where_the_new_version_sends_its_route(self) -> None:
        async def scene() -> None:
            async with (
                harness.open_stage(["s1"]) as played,
                fake_server.FakeServer("w1").listen() as w1,
            ):
                await played.store.put("servers", "w1", w1.register("writer", "hall-1"))
                node = played.gateway.node
                await played.wait_until(lambda: len(node.servers.list_usable(node.now())) == 2)
                is_open = self.delay_connections(played)
                asking = asyncio.create_task(played.ask())
                await played.wait_until(lambda: node.active_requests)
                routes = harness.make_configuration()["routes"]
                routes["r-read"]["service"] = "writer"
                await self.change(played, routes)
                is_open.set()
                self.assertEqual(200, (await asking)[0])
                self.assertEqual([], played.servers[0].seen)
                self.assertEqual(1, len(w1.seen))

        self.run_async(scene)

    def test_request_whose_route_is_gone_is_not_sent(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                is_open = self.delay_connections(played)
                asking = asyncio.create_task(played.ask())
                await played.wait_until(lambda: played.gateway.node.active_requests)
                routes = harness.make_configuration()["routes"]
                del routes["r-read"]
                await self.change(played, routes)
                is_open.set()
                self.assertEqual(404, (await asking)[0])
                self.assertEqual([], played.servers[0].seen)

        self.run_async(scene)

    def test_request_whose_time_is_over_is_not_sent(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                self.delay_connections(played, 0.3)
                status, _, _ = await played.ask("/buy/1", "POST", b"1", wait_ms=200)
                self.assertEqual(503, status)
                view = played.gateway.node.find_view("s1")
                await played.wait_until(lambda: view.in_flight == 0)
                self.assertEqual([], played.servers[0].seen)

        self.run_async(scene)
