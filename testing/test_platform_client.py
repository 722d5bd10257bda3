"""The platform client against the platform's stand-in over HTTP."""

import asyncio
import json

import testtools

from caperdyke import errors
from caperdyke.standins import platform_app
from caperdyke.transport.store import platform_client
from testing import servers


class PlatformClientTest(testtools.TestCase):
    """Table, object store and instance list."""

    def run_with_server(self, script, timeout: float = 5.0):
        async def run():
            app = platform_app.PlatformApp(0.0)
            async with servers.serve_app(app.make_app()) as address:
                client = platform_client.PlatformClient(address, timeout)
                try:
                    return await script(client, app)
                finally:
                    await client.close()

        return asyncio.run(run())

    def test_rows_have_versions(self) -> None:
        async def script(client, _):
            missing = await client.read(["a"])
            first = await client.transact({"a": 0}, {"a": b"\x00\xff"})
            second = await client.transact({"a": 1, "b": 0}, {"a": b"2", "b": b"1"})
            return missing, first, second, await client.read(["a", "b"])

        row = platform_client.Row
        missing, first, second, rows = self.run_with_server(script)
        self.assertEqual({"a": row(0, b"")}, missing)
        self.assertEqual(({"a": 1}, {"a": 2, "b": 1}), (first, second))
        self.assertEqual({"a": row(2, b"2"), "b": row(1, b"1")}, rows)

    def test_conflict_writes_nothing(self) -> None:
        async def script(client, _):
            await client.transact({}, {"a": b"1"})
            try:
                await client.transact({"b": 0, "a": 0}, {"a": b"2", "b": b"2"})
            except errors.VersionConflictError as error:
                return error, await client.read(["a", "b"])

        error, rows = self.run_with_server(script)
        self.assertEqual(("a", 1, 0), (error.key, error.actual, error.expected))
        self.assertEqual([1, 0], [rows["a"].version, rows["b"].version])

    def test_outage_means_that_nothing_was_written(self) -> None:
        async def script(client, app):
            app.faults.down = True
            try:
                await client.transact({"a": 0}, {"a": b"1"})
            except errors.PlatformUnavailableError:
                return app.table.find_version("a")

        self.assertEqual(0, self.run_with_server(script))

    def test_refused_connection_means_that_nothing_was_written(self) -> None:
        client = platform_client.PlatformClient("127.0.0.1:1", 1.0)
        written = client.transact({"a": 0}, {"a": b"1"})
        self.assertRaises(errors.PlatformUnavailableError, asyncio.run, written)

    def test_lost_answer_is_unknown_and_took_effect(self) -> None:
        async def script(client, app):
            app.faults.lose_answers = 1
            try:
                await client.transact({"a": 0}, {"a": b"1"})
            except errors.OutcomeUnknownError:
                return await client.read(["a"])

        self.assertEqual(1, self.run_with_server(script, 0.3)["a"].version)

    def test_objects(self) -> None:
        async def script(client, _):
            missing = await client.get_object("blocks")
            await client.put_object("blocks", b"data")
            return missing, await client.get_object("blocks")

        self.assertEqual((None, b"data"), self.run_with_server(script))

    def test_instance_list(self) -> None:
        item = platform_client.ListedInstance(
            "b1", "backend", "leaving", "d", "127.0.0.1:1", "s", 3
        )

        async def script(client, app):
            body = {"instances": [platform_client.dataclasses.asdict(item)]}
            await client._call("PUT", "/standin/instances", json.dumps(body).encode())
            return await client.list_instances()

        self.assertEqual([item], self.run_with_server(script))
