"""Changes in the store, outages, lost history and unreadable rows."""

from parameterized import parameterized

from testing.platform import harness


class ConfigurationTest(harness.AsyncTestCase):
    """Which configuration is in force."""

    def test_change_comes_into_force(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                changed = harness.make_configuration(2)
                changed["routes"]["r-new"] = {**changed["routes"]["r-read"], "prefix": "/new/"}
                await env.store.put("op", "config", changed)
                await env.wait_until(lambda: env.gateway.node.routes.version == 2)
                self.assertEqual(200, (await env.send_request("/new/1"))[0])

        self.run_async(scenario)

    @parameterized.expand(
        [
            ("older version", lambda: harness.make_configuration(1, routes={})),
            ("unreadable", lambda: b"\x00"),
        ]
    )
    def test_configuration_never_goes_back(self, _name, make) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(configuration=harness.make_configuration(5)) as env:
                await env.store.put("op", "config", make())
                position = env.store.position
                store_sync = env.gateway.store_sync
                await env.wait_until(lambda: store_sync.configuration.position.number >= position)
                self.assertEqual(5, env.gateway.node.routes.version)
                self.assertEqual(200, (await env.send_request())[0])

        self.run_async(scenario)

    def test_lost_history_triggers_a_full_read(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                env.store.is_down = True
                store_sync = env.gateway.store_sync
                await env.wait_until(lambda: store_sync.servers.away_since is not None)
                await env.store.put("op", "config", harness.make_configuration(3))
                await env.store.drop("servers", "s1")
                env.store.forget_history()
                env.store.is_down = False
                node = env.gateway.node
                await env.wait_until(lambda: node.routes.version == 3)

        self.run_async(scenario)


class ServersTest(harness.AsyncTestCase):
    """Which backend servers get requests."""

    async def collect_bodies(self, env, count: int = 12) -> set[str]:
        """Sends requests for several objects and returns the bodies of successful answers."""
        answers = [await env.send_request(key=f"k{number}") for number in range(count)]
        return {body.decode() for status, _, body in answers if status == 200}

    @parameterized.expand([("draining",), ("removed",), ("unreadable",)])
    def test_leaving_server_gets_no_new_requests(self, how) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                server = env.servers[0]
                match how:
                    case "draining":
                        entry = server.register("reader", "hall-1", "draining", sequence=2)
                        await env.store.put("servers", "s1", entry)
                    case "removed":
                        await env.store.drop("servers", "s1")
                    case "unreadable":
                        await env.store.put("servers", "s1", b"\xff")
                position = env.store.position
                store_sync = env.gateway.store_sync
                await env.wait_until(lambda: store_sync.servers.position.number >= position)
                self.assertEqual({"body of s2"}, await self.collect_bodies(env))

        self.run_async(scenario)

    def test_evacuated_domain_gets_no_requests(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                server = env.servers[1]
                entry = server.register("reader", "hall-2", sequence=2)
                await env.store.put("servers", "s2", entry)
                await env.store.put("op", "evacuate/hall-1", {})
                node = env.gateway.node
                await env.wait_until(lambda: node.evacuated == {"hall-1"})
                position = env.store.position
                store_sync = env.gateway.store_sync
                await env.wait_until(lambda: store_sync.servers.position.number >= position - 1)
                self.assertEqual({"body of s2"}, await self.collect_bodies(env))
                await env.store.drop("op", "evacuate/hall-1")
                await env.wait_until(lambda: not node.evacuated)

        self.run_async(scenario)

    def test_requests_are_served_while_the_store_is_unavailable(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                env.store.is_down = True
                store_sync = env.gateway.store_sync
                await env.wait_until(lambda: store_sync.servers.away_since is not None)
                self.assertEqual(2, len(await self.collect_bodies(env)))

        self.run_async(scenario)

    def test_server_with_a_reused_address_is_dropped_at_once(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                env.servers[0].faults = ["misdirected"] * 20
                self.assertEqual({"body of s2"}, await self.collect_bodies(env))
                self.assertEqual(1, len(env.servers[0].requests))

        self.run_async(scenario)


class HomeRegionsTest(harness.AsyncTestCase):
    """Routes that only some regions may serve."""

    @parameterized.expand(
        [("served at home", ["south"], 200, "body of s2"), ("no server at home", ["east"], 503, "")]
    )
    def test_homes(self, _name, homes, expected, body) -> None:
        async def scenario() -> None:
            configuration = harness.make_configuration()
            configuration["routes"]["r-read"]["homeRegions"] = homes
            async with harness.start_gateway(configuration=configuration) as env:
                entry = env.servers[1].register("reader", "hall-2", sequence=2)
                await env.store.put("servers", "s2", entry)
                position = env.store.position
                store_sync = env.gateway.store_sync
                await env.wait_until(lambda: store_sync.servers.position.number >= position)
                for number in range(6):
                    status, _, response_body = await env.send_request(key=f"k{number}")
                    self.assertEqual(expected, status)
                    if body:
                        self.assertEqual(body, response_body.decode())
                self.assertEqual([], env.servers[0].requests)

        self.run_async(scenario)


class LookupTest(harness.AsyncTestCase):
    """Look-up and readiness endpoints."""

    def test_lookup_names_this_gateway(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                status, document = await env.look_up()
                address = env.gateway.node.settings.caller_address
                self.assertEqual((200, [address]), (status, document["addresses"]))
                self.assertTrue(0 < document["ttlS"] <= 5)
                self.assertEqual(200, await env.get_readiness_status())

        self.run_async(scenario)
