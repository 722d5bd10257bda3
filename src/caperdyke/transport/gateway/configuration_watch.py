"""Watches the configuration in the store by a long poll, and by checks when it may have stalled."""

import asyncio
import collections.abc
import math

from caperdyke.coordination.registry import check_schedule
from caperdyke.state import store_rows
from caperdyke.transport.gateway import table_sync

# A long poll that fails after at least this time lost its connection and is repeated at once. One
# that fails sooner was refused and is repeated after a backoff.
LOST_CALL_MIN_SECONDS = 1.0


class ConfigurationWatch:
    """Runs the long poll and the checks of the configuration table.

    :param find_wait_ms: returns how long a long poll may wait now, in milliseconds.
    :param is_peer_ahead: returns whether another instance has a newer change.
    """

    def __init__(
        self,
        table: table_sync.TableSync,
        now: collections.abc.Callable[[], float],
        find_wait_ms: collections.abc.Callable[[], int],
        is_peer_ahead: collections.abc.Callable[[], bool],
    ) -> None:
        self._table = table
        self._now = now
        self._find_wait_ms = find_wait_ms
        self._is_peer_ahead = is_peer_ahead
        self._check_schedule = check_schedule.CheckSchedule()
        self._long_poll: asyncio.Task | None = None
        self._long_poll_started_at = 0.0
        self._next_long_poll_at = 0.0
        self._check: asyncio.Task | None = None
        # Position of the table when the check started.
        self._check_start_position: store_rows.Position | None = None
        self._wake = asyncio.Event()

    def record_peer_ahead(self) -> None:
        """Schedules a check, as another instance has a newer change."""
        self._check_schedule.record_peer_ahead(self._now())
        self._wake.set()

    def check(self) -> None:
        """Requests a check now, as the connection of the long poll may have stalled."""
        self._check_schedule.record_possible_stall(self._now())
        self._wake.set()

    async def follow(self) -> None:
        """Runs the calls, forever."""
        try:
            while True:
                self._start_calls()
                await self._wait_for_event()
                self._handle_finished_check()
                self._handle_finished_long_poll()
        finally:
            calls = [task for task in (self._long_poll, self._check) if task is not None]
            self._long_poll = self._check = None
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    def _start_calls(self) -> None:
        now = self._now()
        if self._long_poll is None and now >= self._next_long_poll_at:
            self._long_poll_started_at = now
            self._long_poll = asyncio.create_task(self._read())
        if self._check is None and now >= self._check_schedule.next_at:
            if not (self._check_schedule.is_needed or self._is_peer_ahead()):
                # The change has arrived in the meantime.
                self._check_schedule.record_answer()
                return
            self._check_schedule.record_start(now)
            self._check_start_position = self._table.position
            self._check = asyncio.create_task(self._table.read_now())

    async def _read(self) -> bool:
        """Reads the table the first time, and waits for a change after that."""
        if self._table.position is None:
            return await self._table.read_now()
        return await self._table.sync_once(self._find_wait_ms())

    async def _wait_for_event(self) -> None:
        """Waits until a call ends, a check is requested, or a call is due."""
        wait_at = self._next_long_poll_at if self._long_poll is None else math.inf
        check_at = self._check_schedule.next_at if self._check is None else math.inf
        next_at = min(wait_at, check_at)
        timeout = None if next_at == math.inf else max(0.0, next_at - self._now())
        self._wake.clear()
        wake_task = asyncio.create_task(self._wake.wait())
        calls = [task for task in (self._long_poll, self._check) if task is not None]
        try:
            await asyncio.wait(
                [wake_task, *calls], timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            wake_task.cancel()

    def _handle_finished_check(self) -> None:
        if self._check is None or not self._check.done():
            return
        is_answered, self._check = self._check.result(), None
        now = self._now()
        if not is_answered:
            self._check_schedule.record_failure(now + self._table.compute_retry_delay())
            return
        may_be_stalled = (
            self._check_schedule.is_needed or self._table.position != self._check_start_position
        )
        self._check_schedule.record_answer()
        if self._is_peer_ahead():
            self._check_schedule.record_peer_ahead(now)
        if may_be_stalled and self._long_poll is not None and not self._long_poll.done():
            # The connection of the check works; that of the long poll may not.
            self._long_poll.cancel()
            self._long_poll, self._next_long_poll_at = None, now

    def _handle_finished_long_poll(self) -> None:
        if self._long_poll is None or not self._long_poll.done():
            return
        is_answered, self._long_poll = self._long_poll.result(), None
        now = self._now()
        is_lost = now >= self._long_poll_started_at + LOST_CALL_MIN_SECONDS
        self._next_long_poll_at = (
            now if is_answered or is_lost else now + self._table.compute_retry_delay()
        )
