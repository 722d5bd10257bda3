"""A gateway whose store hands out old states, or comes back from an older copy."""

from caperdyke.state import store_rows
from testing.platform import harness, test_gateway_life


class StaleReadingTest(harness.AsyncTestCase):
    """Pattern: history is forgotten while an evacuation is written; readings are seconds old."""

    async def cut_history(self, store, write) -> None:
        """Makes a change that no watch hears; whole readings show the state from before it."""
        store.stale = store.copy()
        store.is_mute = True
        await write()
        await store.cut_watches()
        store.is_mute = False

    def test_stale_reading_is_no_answer(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                store_sync = played.gateway.store_sync
                known = store_sync.configuration.position
                store = played.store
                await self.cut_history(store, lambda: store.put("op", "evacuate/hall-1", {}))
                await played.wait_until(lambda: store_sync.configuration.away_since is not None)
                self.assertEqual(known, store_sync.configuration.position)
                self.assertTrue(played.gateway.node.fleet.is_ready)
                store.stale = None
                await played.wait_until(lambda: played.gateway.node.evacuated == {"hall-1"})

        self.run_async(scene)

    def test_stale_reading_does_not_end_an_evacuation(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                node, store = played.gateway.node, played.store
                old = store.copy()
                await store.put("op", "evacuate/hall-1", {})
                await played.wait_until(lambda: node.evacuated == {"hall-1"})
                await self.cut_history(store, lambda: store.put("op", "evacuate/hall-2", {}))
                store.stale = old
                configuration = played.gateway.store_sync.configuration
                await played.wait_until(lambda: configuration.away_since is not None)
                self.assertEqual({"hall-1"}, node.evacuated)

        self.run_async(scene)

    def test_rows_are_heard_from_an_instance_that_is_ahead(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                first = played.gateway.node
                async with test_gateway_life.open_second(first.settings.store_address) as second:
                    await played.wait_until(lambda: first.fleet.list_live(first.now()))
                    await played.wait_until(lambda: second.fleet.list_live(second.now()))
                    reading = store_rows.StoreRow(
                        store_rows.StoreTable.CONFIGURATION,
                        "evacuate/hall-1",
                        store_rows.Position(1, 900),
                        b"{}",
                    )
                    # The other gateway has read what the store does not show to this one.
                    played.gateway.store_sync.configuration.apply_changes(
                        store_rows.StoreChanges(
                            reading.table, (reading,), store_rows.Position(1, 900), False
                        )
                    )
                    await played.wait_until(lambda: second.evacuated == {"hall-1"})

        self.run_async(scene)


class TurnedAwayTest(harness.AsyncTestCase):
    """Pattern: the store turns an instance away, and others tell it that a server left."""

    def test_removal_that_others_tell_holds_at_once(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                node, servers = played.gateway.node, played.gateway.store_sync.servers
                played.store.is_down = True
                await played.wait_until(lambda: servers.away_since is not None)
                position = store_rows.Position(1, 900)
                row = store_rows.StoreRow(store_rows.StoreTable.SERVERS, "s1", position, None)
                servers.apply_changes(store_rows.StoreChanges(row.table, (row,), position, False))
                usable = node.servers.list_usable(node.now())
                self.assertEqual(["s2"], [item.registration.server.backend for item in usable])

        self.run_async(scene)


class LaterEraTest(harness.AsyncTestCase):
    """Pattern: the store is away and comes back from a copy that is some seconds old."""

    def test_nothing_disappears_and_what_is_gone_goes(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                node, store = played.gateway.node, played.store
                copy = store.copy()
                await store.put("op", "config", harness.make_configuration(2))
                await store.put("op", "evacuate/hall-2", {})
                entry = played.servers[0].register("reader", "hall-1", "draining", sequence=9)
                await store.put("servers", "s1", entry)
                await played.wait_until(lambda: node.evacuated and node.routes.version == 2)
                await played.wait_until(lambda: len(node.servers.list_usable(node.now())) == 1)
                await store.restore_copy(copy)
                store_sync = played.gateway.store_sync
                await played.wait_until(lambda: store_sync.find_era() == 2)
                await played.wait_until(lambda: store_sync.servers.position.era == 2)
                self.assertEqual(2, node.routes.version)
                self.assertEqual({"hall-2"}, node.evacuated)
                usable = node.servers.list_usable(node.now())
                self.assertEqual(["s2"], [item.registration.server.backend for item in usable])
                await store.put("op", "config", harness.make_configuration(3))
                await played.wait_until(lambda: node.routes.version == 3)
                # The order was not written again, so it had been taken back.
                await played.wait_until(lambda: not node.evacuated)

        self.run_async(scene)

    def test_own_row_is_written_again(self) -> None:
        async def scene() -> None:
            copies = []
            async with harness.open_stage(
                prepare_store=lambda store: copies.append(store.copy())
            ) as played:
                store = played.store
                key = ("instances", "gateway-1")
                await played.wait_until(lambda: key in store.rows)
                await store.restore_copy(copies[0])
                await played.wait_until(lambda: key in store.rows)
                self.assertEqual(2, store.era)

        self.run_async(scene)

    def test_row_of_an_earlier_era_is_not_removed_by_its_number(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                announcer = played.gateway.announcer
                name = played.gateway.node.settings.instance
                await played.wait_until(lambda: ("instances", name) in played.store.rows)
                store_sync = played.gateway.store_sync
                copy = played.store.copy()
                await played.store.restore_copy(copy)
                await played.wait_until(lambda: store_sync.find_era() == 2)
                await announcer.withdraw(name)
                self.assertIn(("instances", name), played.store.rows)

        self.run_async(scene)


class FailingReadsTest(harness.AsyncTestCase):
    """Pattern: readings of registrations fail for long, while changes of routes are answered."""

    def test_wait_for_the_configuration_is_not_cut_each_time(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                store_sync = played.gateway.store_sync
                store = played.store
                cuts = []
                check = store_sync.watch.check

                def count_check() -> None:
                    cuts.append(store_sync.servers.away_since)
                    check()

                store_sync.watch.check = count_check
                store.refuses_servers = True
                # The first failure raises the question whether the connection is silent.
                await played.wait_until(lambda: cuts)
                tries = len(store.calls)
                await played.wait_until(lambda: len(store.calls) > tries + 3)
                self.assertEqual(1, len(cuts))
                await store.put("op", "config", harness.make_configuration(2))
                await played.wait_until(lambda: played.gateway.node.routes.version == 2)

        self.run_async(scene)
