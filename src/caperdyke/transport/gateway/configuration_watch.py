"""Keeps the configuration in step with the store: one call waits, others check beside it."""

import asyncio
import collections.abc
import math

from caperdyke.coordination.registry import check_schedule
from caperdyke.state import store_rows
from caperdyke.transport.gateway import table_follower

# A call that waited for this long and failed is made again at once, in seconds: its connection was
# lost. One that failed sooner was refused, and the store is left alone for a while.
LOST_AFTER_SECONDS = 1.0


class ConfigurationWatch:
    """The calls for the configuration that are under way.

    :param find_wait_ms: returns how long a call may wait for a change now, in milliseconds.
    :param is_doubted: tells whether another instance knows a newer change.
    """

    def __init__(
        self,
        table: table_follower.TableFollower,
        now: collections.abc.Callable[[], float],
        find_wait_ms: collections.abc.Callable[[], int],
        is_doubted: collections.abc.Callable[[], bool],
    ) -> None:
        self._table = table
        self._now = now
        self._find_wait_ms = find_wait_ms
        self._is_doubted = is_doubted
        self._checks = check_schedule.CheckSchedule()
        self._waiting: asyncio.Task | None = None
        self._began_at = 0.0
        self._wait_at = 0.0
        self._check: asyncio.Task | None = None
        # Position up to which the table was known when the check began.
        self._known: store_rows.Position | None = None
        self._wake = asyncio.Event()

    def record_peer_ahead(self) -> None:
        """Learns that another instance knows a newer change."""
        self._checks.record_peer_ahead(self._now())
        self._wake.set()

    def check(self) -> None:
        """Asks the store at once, since the connection of the waiting call may be silent."""
        self._checks.record_possible_stall(self._now())
        self._wake.set()

    async def follow(self) -> None:
        """Keeps the configuration known, for ever."""
        try:
            while True:
                self._start_calls()
                await self._wait()
                self._take_check()
                self._take_waiting()
        finally:
            calls = [task for task in (self._waiting, self._check) if task is not None]
            self._waiting = self._check = None
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    def _start_calls(self) -> None:
        now = self._now()
        if self._waiting is None and now >= self._wait_at:
            self._began_at = now
            self._waiting = asyncio.create_task(self._read())
        if self._check is None and now >= self._checks.next_at:
            if not (self._checks.is_needed or self._is_doubted()):
                # The change arrived meanwhile.
                self._checks.record_answer()
                return
            self._checks.record_start(now)
            self._known = self._table.position
            self._check = asyncio.create_task(self._table.read_now())

    async def _read(self) -> bool:
        """Reads the table, or waits for a change where it is known."""
        if self._table.position is None:
            return await self._table.read_now()
        return await self._table.follow_once(self._find_wait_ms())

    async def _wait(self) -> None:
        """Waits until a call ends, word comes, or a call is due."""
        wait_at = self._wait_at if self._waiting is None else math.inf
        check_at = self._checks.next_at if self._check is None else math.inf
        next_at = min(wait_at, check_at)
        timeout = None if next_at == math.inf else max(0.0, next_at - self._now())
        self._wake.clear()
        waking = asyncio.create_task(self._wake.wait())
        calls = [task for task in (self._waiting, self._check) if task is not None]
        try:
            await asyncio.wait(
                [waking, *calls], timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            waking.cancel()

    def _take_check(self) -> None:
        if self._check is None or not self._check.done():
            return
        is_answered, self._check = self._check.result(), None
        now = self._now()
        if not is_answered:
            self._checks.record_failure(now + self._table.compute_retry_delay())
            return
        is_suspect = self._checks.is_needed or self._table.position != self._known
        self._checks.record_answer()
        if self._is_doubted():
            self._checks.record_peer_ahead(now)
        if is_suspect and self._waiting is not None and not self._waiting.done():
            # The check has a connection that works; whether the call that waits has one is open.
            self._waiting.cancel()
            self._waiting, self._wait_at = None, now

    def _take_waiting(self) -> None:
        if self._waiting is None or not self._waiting.done():
            return
        is_answered, self._waiting = self._waiting.result(), None
        now = self._now()
        is_lost = now >= self._began_at + LOST_AFTER_SECONDS
        self._wait_at = now if is_answered or is_lost else now + self._table.compute_retry_delay()
