"""Requests in flight while the configuration changes or their deadline passes."""

import asyncio

from testing.platform import fake_server, harness


class ConfigurationChangeTest(harness.AsyncTestCase):
    """Pattern: a connection takes half a second to open, and a change takes effect meanwhile."""

    def delay_connections(self, env, seconds: float = 0.0) -> asyncio.Event:
        """Delays new connections to servers until an event is set, or for some seconds."""
        allow_opening, pool = asyncio.Event(), env.gateway.node.pool
        original_open = pool.open

        async def open_delayed(address, timeout):
            if seconds:
                await asyncio.sleep(seconds)
            else:
                await allow_opening.wait()
            return await original_open(address, timeout)

        self.patch(pool, "open", open_delayed)
        return allow_opening

    async def apply_version_2(self, env, routes: dict) -> None:
        """Writes version 2 of the configuration and waits until it is in force."""
        service = harness.make_configuration()["services"]["reader"]
        services = {"reader": service, "writer": service}
        document = harness.make_configuration(2, routes=routes, services=services)
        await env.store.put("op", "config", document)
        await env.wait_until(lambda: env.gateway.node.routes.version == 2)

    def test_request_goes_where_the_new_version_sends_its_route(self) -> None:
        async def scenario() -> None:
            async with (
                harness.start_gateway(["s1"]) as env,
                fake_server.FakeServer("w1").listen() as w1,
            ):
                await env.store.put("servers", "w1", w1.register("writer", "hall-1"))
                node = env.gateway.node
                await env.wait_until(lambda: len(node.servers.list_usable(node.now())) == 2)
                allow_opening = self.delay_connections(env)
                request_task = asyncio.create_task(env.send_request())
                await env.wait_until(lambda: node.active_requests)
                routes = harness.make_configuration()["routes"]
                routes["r-read"]["service"] = "writer"
                await self.apply_version_2(env, routes)
                allow_opening.set()
                self.assertEqual(200, (await request_task)[0])
                self.assertEqual([], env.servers[0].requests)
                self.assertEqual(1, len(w1.requests))

        self.run_async(scenario)

    def test_request_whose_route_is_gone_is_not_sent(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                allow_opening = self.delay_connections(env)
                request_task = asyncio.create_task(env.send_request())
                await env.wait_until(lambda: env.gateway.node.active_requests)
                routes = harness.make_configuration()["routes"]
                del routes["r-read"]
                await self.apply_version_2(env, routes)
                allow_opening.set()
                self.assertEqual(404, (await request_task)[0])
                self.assertEqual([], env.servers[0].requests)

        self.run_async(scenario)

    def test_request_past_its_deadline_is_not_sent(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                self.delay_connections(env, 0.3)
                status, _, _ = await env.send_request("/buy/1", "POST", b"1", wait_ms=200)
                self.assertEqual(503, status)
                view = env.gateway.node.find_view("s1")
                await env.wait_until(lambda: view.in_flight == 0)
                self.assertEqual([], env.servers[0].requests)

        self.run_async(scenario)
