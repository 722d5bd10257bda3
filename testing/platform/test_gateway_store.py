"""A gateway and its store: changes, outages, lost history and unreadable rows."""

from parameterized import parameterized

from testing.platform import harness


class ConfigurationTest(harness.AsyncTestCase):
    """Which configuration is in force."""

    def test_change_comes_into_force(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                changed = harness.make_configuration(2)
                changed["routes"]["r-new"] = {**changed["routes"]["r-read"], "prefix": "/new/"}
                await played.store.put("op", "config", changed)
                await played.wait_until(lambda: played.gateway.node.routes.version == 2)
                self.assertEqual(200, (await played.ask("/new/1"))[0])

        self.run_async(scene)

    @parameterized.expand(
        [
            ("older version", lambda: harness.make_configuration(1, routes={})),
            ("unreadable", lambda: b"\x00"),
        ]
    )
    def test_configuration_never_goes_back(self, _name, make) -> None:
        async def scene() -> None:
            async with harness.open_stage(configuration=harness.make_configuration(5)) as played:
                await played.store.put("op", "config", make())
                position = played.store.position
                store_sync = played.gateway.store_sync
                await played.wait_until(
                    lambda: store_sync.configuration.position.number >= position
                )
                self.assertEqual(5, played.gateway.node.routes.version)
                self.assertEqual(200, (await played.ask())[0])

        self.run_async(scene)

    def test_lost_history_is_read_anew(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                played.store.is_down = True
                store_sync = played.gateway.store_sync
                await played.wait_until(lambda: store_sync.servers.away_since is not None)
                await played.store.put("op", "config", harness.make_configuration(3))
                await played.store.drop("servers", "s1")
                played.store.forget_history()
                played.store.is_down = False
                node = played.gateway.node
                await played.wait_until(lambda: node.routes.version == 3)

        self.run_async(scene)


class ServersTest(harness.AsyncTestCase):
    """Which backend servers get work."""

    async def ask_all(self, played, count: int = 12) -> set[str]:
        """Sends requests for several objects and returns the bodies that came."""
        answers = [await played.ask(key=f"k{number}") for number in range(count)]
        return {body.decode() for status, _, body in answers if status == 200}

    @parameterized.expand([("draining",), ("removed",), ("unreadable",)])
    def test_server_that_leaves_gets_nothing_new(self, how) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                server = played.servers[0]
                match how:
                    case "draining":
                        entry = server.register("reader", "hall-1", "draining", sequence=2)
                        await played.store.put("servers", "s1", entry)
                    case "removed":
                        await played.store.drop("servers", "s1")
                    case "unreadable":
                        await played.store.put("servers", "s1", b"\xff")
                position = played.store.position
                store_sync = played.gateway.store_sync
                await played.wait_until(lambda: store_sync.servers.position.number >= position)
                self.assertEqual({"body of s2"}, await self.ask_all(played))

        self.run_async(scene)

    def test_evacuated_domain_gets_nothing(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                server = played.servers[1]
                entry = server.register("reader", "hall-2", sequence=2)
                await played.store.put("servers", "s2", entry)
                await played.store.put("op", "evacuate/hall-1", {})
                node = played.gateway.node
                await played.wait_until(lambda: node.evacuated == {"hall-1"})
                position = played.store.position
                store_sync = played.gateway.store_sync
                await played.wait_until(lambda: store_sync.servers.position.number >= position - 1)
                self.assertEqual({"body of s2"}, await self.ask_all(played))
                await played.store.drop("op", "evacuate/hall-1")
                await played.wait_until(lambda: not node.evacuated)

        self.run_async(scene)

    def test_requests_are_served_while_the_store_is_away(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                played.store.is_down = True
                store_sync = played.gateway.store_sync
                await played.wait_until(lambda: store_sync.servers.away_since is not None)
                self.assertEqual(2, len(await self.ask_all(played)))

        self.run_async(scene)

    def test_reused_address_is_left_at_once(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                played.servers[0].faults = ["misdirected"] * 20
                self.assertEqual({"body of s2"}, await self.ask_all(played))
                self.assertEqual(1, len(played.servers[0].seen))

        self.run_async(scene)


class HomeRegionsTest(harness.AsyncTestCase):
    """Routes that only some regions may serve."""

    @parameterized.expand(
        [("served at home", ["south"], 200, "body of s2"), ("no server at home", ["east"], 503, "")]
    )
    def test_homes(self, _name, homes, expected, body) -> None:
        async def scene() -> None:
            configuration = harness.make_configuration()
            configuration["routes"]["r-read"]["homeRegions"] = homes
            async with harness.open_stage(configuration=configuration) as played:
                entry = played.servers[1].register("reader", "hall-2", sequence=2)
                await played.store.put("servers", "s2", entry)
                position = played.store.position
                store_sync = played.gateway.store_sync
                await played.wait_until(lambda: store_sync.servers.position.number >= position)
                for number in range(6):
                    status, _, found = await played.ask(key=f"k{number}")
                    self.assertEqual(expected, status)
                    if body:
                        self.assertEqual(body, found.decode())
                self.assertEqual([], played.servers[0].seen)

        self.run_async(scene)


class LookupTest(harness.AsyncTestCase):
    """What callers and the platform are told of the gateway."""

    def test_lookup_names_this_gateway(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                status, document = await played.look_up()
                address = played.gateway.node.settings.caller_address
                self.assertEqual((200, [address]), (status, document["addresses"]))
                self.assertTrue(0 < document["ttlS"] <= 5)
                self.assertEqual(200, await played.ask_ready())

        self.run_async(scene)
