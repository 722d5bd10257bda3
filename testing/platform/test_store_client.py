"""The client of the store: eras, old states and pages that do not fit together."""

from unittest import mock

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.platform import store
from caperdyke.state import ids, store_rows
from testing import servers
from testing.platform import fake_store, harness

TABLE = store_rows.StoreTable.SERVERS


class StoreClientTest(harness.AsyncTestCase):
    """One client and a store that misbehaves."""

    def play_client(self, scene) -> None:
        """Runs a coroutine function with a store of three rows and a client of it."""

        async def run() -> None:
            kept = fake_store.FakeStore()
            for name in ("a", "b", "c"):
                await kept.put("servers", name, {})
            async with servers.serve_app(kept.make_app()) as address:
                client = store.Store(ids.Address(address))
                try:
                    await scene(kept, client)
                finally:
                    await client.close()

        self.run_async(run)

    def test_positions_carry_the_era(self) -> None:
        async def scene(kept, client) -> None:
            reading = await client.read_table(TABLE)
            self.assertEqual(store_rows.Position(1, kept.position), reading.position)
            self.assertEqual({1}, {row.changed.era for row in reading.rows})

        self.play_client(scene)

    @parameterized.expand([("forgotten", False), ("of another era", True)])
    def test_changes_that_cannot_be_told(self, _name, is_other_era) -> None:
        async def scene(kept, client) -> None:
            position = (await client.read_table(TABLE)).position
            if is_other_era:
                await kept.restore_copy(kept.copy())
                # The later era has given out the same numbers again.
                await kept.put("servers", "d", {})
            else:
                await kept.put("servers", "d", {})
                kept.forget_history()
            self.assertIsNone(await client.read_changes(TABLE, position, 0))

        self.play_client(scene)

    @parameterized.expand([("of another era", True), ("of an older state", False)])
    def test_pages_of_different_states_are_no_reading(self, _name, is_other_era) -> None:
        async def scene(kept, client) -> None:
            old = kept.copy()
            await kept.put("servers", "d", {})

            async def change_after_first_page(request, answer=kept._read):
                response = await answer(request)
                if is_other_era:
                    await kept.restore_copy(old)
                else:
                    kept.stale = old
                return response

            with mock.patch.object(kept, "_read", change_after_first_page):
                async with servers.serve_app(kept.make_app()) as address:
                    torn = store.Store(ids.Address(address))
                    refused = testtools.ExpectedException(errors.PlatformUnavailableError)
                    with mock.patch.object(store, "ROWS_MAX", 2), refused:
                        await torn.read_table(TABLE)
                    await torn.close()

        self.play_client(scene)
