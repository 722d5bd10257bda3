"""Tests for the store client: eras, older copies and inconsistent pages."""

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
    """A client and a faulty store."""

    def run_with_client(self, scenario) -> None:
        """Runs a coroutine function with a store of three rows and its client."""

        async def run() -> None:
            fake = fake_store.FakeStore()
            for name in ("a", "b", "c"):
                await fake.put("servers", name, {})
            async with servers.serve_app(fake.make_app()) as address:
                client = store.Store(ids.Address(address))
                try:
                    await scenario(fake, client)
                finally:
                    await client.close()

        self.run_async(run)

    def test_positions_carry_the_era(self) -> None:
        async def scenario(fake, client) -> None:
            reading = await client.read_table(TABLE)
            self.assertEqual(store_rows.Position(1, fake.position), reading.position)
            self.assertEqual({1}, {row.changed.era for row in reading.rows})

        self.run_with_client(scenario)

    @parameterized.expand([("forgotten", False), ("of another era", True)])
    def test_changes_that_cannot_be_told(self, _name, is_other_era) -> None:
        async def scenario(fake, client) -> None:
            position = (await client.read_table(TABLE)).position
            if is_other_era:
                await fake.restore_copy(fake.copy())
                # The new era assigns the same numbers again.
                await fake.put("servers", "d", {})
            else:
                await fake.put("servers", "d", {})
                fake.forget_history()
            self.assertIsNone(await client.read_changes(TABLE, position, 0))

        self.run_with_client(scenario)

    def test_changes_that_exceed_an_answer_are_read_as_a_table(self) -> None:
        """Guards against a store that is never read again after very many changes."""

        async def scenario(fake, client) -> None:
            position = (await client.read_table(TABLE)).position
            await fake.put("servers", "d", {"value": "x" * 2000})
            with mock.patch.object(store, "ANSWER_MAX_BYTES", 1000):
                self.assertIsNone(await client.read_changes(TABLE, position, 0))

        self.run_with_client(scenario)

    @parameterized.expand([("of another era", True), ("of an older state", False)])
    def test_pages_of_different_states_are_no_reading(self, _name, is_other_era) -> None:
        async def scenario(fake, client) -> None:
            older_copy = fake.copy()
            await fake.put("servers", "d", {})

            async def change_after_first_page(request, answer=fake._read):
                response = await answer(request)
                if is_other_era:
                    await fake.restore_copy(older_copy)
                else:
                    fake.stale = older_copy
                return response

            with mock.patch.object(fake, "_read", change_after_first_page):
                async with servers.serve_app(fake.make_app()) as address:
                    torn_client = store.Store(ids.Address(address))
                    expects_error = testtools.ExpectedException(errors.PlatformUnavailableError)
                    with mock.patch.object(store, "ROWS_MAX", 2), expects_error:
                        await torn_client.read_table(TABLE)
                    await torn_client.close()

        self.run_with_client(scenario)
