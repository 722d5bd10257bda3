"""A gateway whose store returns old states or is restored from an older copy."""

from caperdyke.state import store_rows
from testing.platform import harness, test_gateway_lifecycle


class StaleReadTest(harness.AsyncTestCase):
    """Pattern: the store loses its history during a write, and full reads are seconds old."""

    async def lose_history(self, store, write) -> None:
        """Makes a write that no long poll returns, and lets full reads return the state before."""
        store.stale = store.copy()
        store.hides_changes = True
        await write()
        await store.cut_watches()
        store.hides_changes = False

    def test_stale_read_counts_as_a_failure(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                store_sync = env.gateway.store_sync
                position_before = store_sync.configuration.position
                store = env.store
                await self.lose_history(store, lambda: store.put("op", "evacuate/hall-1", {}))
                await env.wait_until(lambda: store_sync.configuration.away_since is not None)
                self.assertEqual(position_before, store_sync.configuration.position)
                self.assertTrue(env.gateway.node.fleet.is_ready)
                store.stale = None
                await env.wait_until(lambda: env.gateway.node.evacuated == {"hall-1"})

        self.run_async(scenario)

    def test_stale_read_does_not_end_an_evacuation(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                node, store = env.gateway.node, env.store
                earlier_copy = store.copy()
                await store.put("op", "evacuate/hall-1", {})
                await env.wait_until(lambda: node.evacuated == {"hall-1"})
                await self.lose_history(store, lambda: store.put("op", "evacuate/hall-2", {}))
                store.stale = earlier_copy
                configuration = env.gateway.store_sync.configuration
                await env.wait_until(lambda: configuration.away_since is not None)
                self.assertEqual({"hall-1"}, node.evacuated)

        self.run_async(scenario)

    def test_rows_are_fetched_from_an_instance_that_is_ahead(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                first = env.gateway.node
                async with test_gateway_lifecycle.start_second_gateway(
                    first.settings.store_address
                ) as second:
                    await env.wait_until(lambda: first.fleet.list_live(first.now()))
                    await env.wait_until(lambda: second.fleet.list_live(second.now()))
                    row = store_rows.StoreRow(
                        store_rows.StoreTable.CONFIGURATION,
                        "evacuate/hall-1",
                        store_rows.Position(1, 900),
                        b"{}",
                    )
                    # The first gateway gets a row that the store does not return to the second.
                    env.gateway.store_sync.configuration.apply_changes(
                        store_rows.StoreChanges(
                            row.table, (row,), store_rows.Position(1, 900), False
                        )
                    )
                    await env.wait_until(lambda: second.evacuated == {"hall-1"})

        self.run_async(scenario)


class RefusedByStoreTest(harness.AsyncTestCase):
    """Pattern: the store refuses an instance, which gets the removal of a server from a peer."""

    def test_removal_from_a_peer_applies_at_once(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                node, servers = env.gateway.node, env.gateway.store_sync.servers
                env.store.is_down = True
                await env.wait_until(lambda: servers.away_since is not None)
                position = store_rows.Position(1, 900)
                row = store_rows.StoreRow(store_rows.StoreTable.SERVERS, "s1", position, None)
                servers.apply_changes(store_rows.StoreChanges(row.table, (row,), position, False))
                usable = node.servers.list_usable(node.now())
                self.assertEqual(["s2"], [item.registration.server.backend for item in usable])

        self.run_async(scenario)


class NewEraTest(harness.AsyncTestCase):
    """Pattern: the store fails and is restored from a copy that is some seconds old."""

    def test_state_is_kept_until_the_new_era_confirms_or_replaces_it(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                node, store = env.gateway.node, env.store
                copy = store.copy()
                await store.put("op", "config", harness.make_configuration(2))
                await store.put("op", "evacuate/hall-2", {})
                entry = env.servers[0].register("reader", "hall-1", "draining", sequence=9)
                await store.put("servers", "s1", entry)
                await env.wait_until(lambda: node.evacuated and node.routes.version == 2)
                await env.wait_until(lambda: len(node.servers.list_usable(node.now())) == 1)
                await store.restore_copy(copy)
                store_sync = env.gateway.store_sync
                await env.wait_until(lambda: store_sync.find_era() == 2)
                await env.wait_until(lambda: store_sync.servers.position.era == 2)
                self.assertEqual(2, node.routes.version)
                self.assertEqual({"hall-2"}, node.evacuated)
                usable = node.servers.list_usable(node.now())
                self.assertEqual(["s2"], [item.registration.server.backend for item in usable])
                await store.put("op", "config", harness.make_configuration(3))
                await env.wait_until(lambda: node.routes.version == 3)
                # The evacuation was not written again, so it counts as ended.
                await env.wait_until(lambda: not node.evacuated)

        self.run_async(scenario)

    def test_own_row_is_written_again(self) -> None:
        async def scenario() -> None:
            copies = []
            async with harness.start_gateway(
                prepare_store=lambda store: copies.append(store.copy())
            ) as env:
                store = env.store
                key = ("instances", "gateway-1")
                await env.wait_until(lambda: key in store.rows)
                await store.restore_copy(copies[0])
                await env.wait_until(lambda: key in store.rows)
                self.assertEqual(2, store.era)

        self.run_async(scenario)

    def test_row_of_an_earlier_era_is_not_removed_by_its_number(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                announcer = env.gateway.announcer
                name = env.gateway.node.settings.instance
                await env.wait_until(lambda: ("instances", name) in env.store.rows)
                store_sync = env.gateway.store_sync
                copy = env.store.copy()
                await env.store.restore_copy(copy)
                await env.wait_until(lambda: store_sync.find_era() == 2)
                await announcer.withdraw(name)
                self.assertIn(("instances", name), env.store.rows)

        self.run_async(scenario)


class FailingReadsTest(harness.AsyncTestCase):
    """Pattern: reads of registrations fail for a long time while the configuration is read."""

    def test_long_poll_is_checked_once_for_repeated_failures(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                store_sync = env.gateway.store_sync
                store = env.store
                check_requests = []
                check = store_sync.watch.check

                def record_check() -> None:
                    check_requests.append(store_sync.servers.away_since)
                    check()

                store_sync.watch.check = record_check
                store.refuses_servers = True
                # After the first failure the connection of the long poll may have stalled as well.
                await env.wait_until(lambda: check_requests)
                tries = len(store.calls)
                await env.wait_until(lambda: len(store.calls) > tries + 3)
                self.assertEqual(1, len(check_requests))
                await store.put("op", "config", harness.make_configuration(2))
                await env.wait_until(lambda: env.gateway.node.routes.version == 2)

        self.run_async(scenario)
