"""Reads of changes that show a state which the store had gone beyond before."""

import asyncio
import random

import loguru
import testtools

from caperdyke.state import store_rows
from caperdyke.transport.gateway import table_sync

SERVERS = store_rows.StoreTable.SERVERS


class _Store:
    """Answers reads with positions in order."""

    def __init__(self, *numbers: int) -> None:
        self._changes = [
            store_rows.StoreChanges(SERVERS, (), store_rows.Position(1, number), index == 0)
            for index, number in enumerate(numbers)
        ]

    async def read_table(self, _table) -> store_rows.StoreChanges:
        """Returns the next state as a whole table."""
        return self._changes.pop(0)

    async def read_changes(self, _table, _position, _wait_ms) -> store_rows.StoreChanges:
        """Returns the next state as changes."""
        return self._changes.pop(0)


class StaleReadTest(testtools.TestCase):
    """An old state confirms nothing."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("caperdyke")
        self.addCleanup(loguru.logger.enable, "caperdyke")
        self.confirmed: list[float] = []

    def read_all(self, *numbers: int) -> list[bool]:
        """Reads once for each position and returns which reads succeeded."""
        now = iter(range(1000))
        table = table_sync.TableSync(
            _Store(*numbers),
            SERVERS,
            lambda rows: None,
            lambda: next(now),
            random.Random(1),
            lambda report: None,
            lambda: None,
            on_confirmed=self.confirmed.append,
        )

        async def read() -> list[bool]:
            return [await table.sync_once(0) for _ in numbers]

        return asyncio.run(read())

    def test_changes_of_an_older_state_are_no_answer(self) -> None:
        """Guards against an old state that postpones the next read of the registrations."""
        self.assertEqual([True, False, True], self.read_all(10, 7, 12))
        self.assertEqual(2, len(self.confirmed))

    def test_unchanged_state_is_an_answer(self) -> None:
        self.assertEqual([True, True], self.read_all(10, 10))
