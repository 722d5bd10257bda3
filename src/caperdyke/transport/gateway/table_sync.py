"""Keeps the local replica of one table in step with the store."""

import asyncio
import dataclasses
import enum
import math
import random

from caperdyke import errors
from caperdyke.coordination.registry import intervals, provenance, table_replica
from caperdyke.protocol import platform_interfaces
from caperdyke.state import store_rows
from caperdyke.transport import events

# Time without an answer after which a call is hedged by a second one. A new connection and an
# answer from the farthest region take half of it.
HEDGE_DELAY_SECONDS = 0.6


class CallOutcome(enum.Enum):
    """How a call of the store ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    GIVEN_UP = "given up"


@dataclasses.dataclass(frozen=True, slots=True)
class CallReport:
    """A finished call of the store.

    :param wait_ms: wait of the long poll in milliseconds; 0 for a call that does not wait.
    :param detail: summary of the answer, or the error.
    """

    table: store_rows.StoreTable
    wait_ms: int
    started_at: float
    outcome: CallOutcome
    detail: str


def _do_nothing(_started_at: float) -> None:
    """Default callback."""


def _find_no_pause(_now: float) -> float:
    """Default callback."""
    return -math.inf


class TableSync:
    """Keeps the replica of one table in step with the store.

    :param apply: called with the changed rows of each read.
    :param rng: spreads the retries of many instances.
    :param on_call_ended: called with a report of each call.
    :param on_failure: called when the store stops answering.
    :param on_recovery: called before changes are applied that end an outage for this instance, with
        the start of the first call that the store did not answer, minus infinity for a new era, and
        whether the store answered itself.
    :param on_confirmed: called with the start of each call whose answer was applied.
    :param find_running_since: returns the end of the latest pause of this instance as of a time.
    :ivar away_since: time since which the store has not answered; None while it answers.
    :ivar source: origin of the last applied changes, ``store`` or the address of an instance.
    :ivar calls: start of each call in progress.
    """

    def __init__(
        self,
        store: platform_interfaces.Store,
        table: store_rows.StoreTable,
        apply,
        now,
        rng: random.Random,
        on_call_ended,
        on_failure,
        on_recovery=None,
        on_confirmed=_do_nothing,
        find_running_since=_find_no_pause,
    ) -> None:
        self._store = store
        self.table = table
        self.replica = table_replica.TableReplica(table)
        self._apply = apply
        self._now = now
        self._rng = rng
        self._on_recovery = on_recovery
        self._on_confirmed = on_confirmed
        self._on_call_ended = on_call_ended
        self._on_failure = on_failure
        self._find_running_since = find_running_since
        self.away_since: float | None = None
        self.source = provenance.STORE
        self.calls: list[float] = []
        self._failures = 0
        # Start of the first of the consecutive calls that failed.
        self._unanswered_since = 0.0

    @property
    def position(self) -> store_rows.Position | None:
        """Position of the replica; None before the first read."""
        return self.replica.position

    async def sync_once(self, wait_ms: int) -> bool:
        """Reads changes once; returns whether the store answered with a usable state.

        :param wait_ms: how long the store may wait for a change, in milliseconds.
        """
        started_at, previous = self._now(), self.position
        self.calls.append(started_at)
        outcome, detail = CallOutcome.GIVEN_UP, ""
        try:
            changes = await self._read(wait_ms)
            detail = f"{len(changes.rows)} rows up to {changes.position}"
            outcome = CallOutcome.ANSWERED
        except errors.PlatformUnavailableError as error:
            outcome, detail = CallOutcome.FAILED, str(error)
            # A call during which this instance did not run says nothing about the store.
            if started_at >= self._find_running_since(self._now()):
                self._record_failure(started_at, detail)
            return False
        finally:
            self.calls.remove(started_at)
            self._on_call_ended(CallReport(self.table, wait_ms, started_at, outcome, detail))
        is_stale = _is_stale(changes, previous)
        is_applied = not is_stale and self.apply_changes(
            changes, is_recovery=self.away_since is not None
        )
        if is_stale or (not is_applied and self.position == previous):
            # No other call advanced the replica meanwhile, so the store returned a state from
            # before a change that it had already reported.
            events.log(
                events.Event.READING_STALE,
                table=self.table.value,
                position=str(changes.position),
                known=str(previous),
            )
            error = f"reading at {changes.position}, expected one after {previous}"
            self._record_failure(started_at, error)
            return False
        if is_applied:
            self._on_confirmed(started_at)
        self._failures = 0
        if self.away_since is not None:
            away_seconds = round(self._now() - self.away_since, 2)
            self.away_since = None
            events.log(events.Event.STORE_BACK, table=self.table.value, away_s=away_seconds)
        return True

    async def read_now(self) -> bool:
        """Reads changes without waiting for one; returns whether the store answered.

        Pattern: the connection of a call has stalled, or its packets are lost. A call without an
        answer is hedged by a second one, and the first answer counts.
        """
        calls = {asyncio.create_task(self.sync_once(0))}
        try:
            done, _ = await asyncio.wait(calls, timeout=HEDGE_DELAY_SECONDS)
            if not done:
                calls.add(asyncio.create_task(self.sync_once(0)))
            while calls:
                done, calls = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
                if any([task.result() for task in done]):
                    return True
            return False
        finally:
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    def apply_changes(
        self,
        changes: store_rows.StoreChanges,
        is_recovery: bool = False,
        source: str = provenance.STORE,
    ) -> bool:
        """Applies changes from the store or another instance; returns whether they were accepted.

        :param is_recovery: whether this is the first answer of the store after an outage.
        :param source: ``store`` or the address of the instance.
        """
        previous = self.position
        rows = self.replica.apply_changes(changes)
        if rows is None:
            return False
        is_new_era = previous is not None and changes.position.era > previous.era
        if is_new_era:
            events.log(events.Event.ERA_CHANGED, table=self.table.value, era=changes.position.era)
        # Another instance may have been answered first, and pass on what the outage has removed.
        is_news_of_others = source != provenance.STORE and self.away_since is not None
        has_removals = any(row.value is None for row in rows)
        is_recovery = is_recovery or (is_news_of_others and has_removals)
        if self._on_recovery is not None and (is_new_era or is_recovery):
            unanswered_since = -math.inf if is_new_era else self._unanswered_since
            self._on_recovery(unanswered_since, source == provenance.STORE)
        self.source = source
        self._apply(rows)
        return True

    def compute_retry_delay(self) -> float:
        """Returns the delay before the next call after a failed one, in seconds."""
        return intervals.compute_retry_delay(self._failures, self._rng.random())

    def _record_failure(self, started_at: float, error: str) -> None:
        self._failures += 1
        if self.away_since is None:
            self.away_since = self._now()
            self._unanswered_since = started_at
            events.log(events.Event.STORE_AWAY, table=self.table.value, error=error)
            self._on_failure()

    async def _read(self, wait_ms: int) -> store_rows.StoreChanges:
        if self.position is None:
            return await self._store.read_table(self.table)
        position = self.position
        changes = await self._store.read_changes(self.table, position, wait_ms)
        if changes is None:
            events.log(events.Event.HISTORY_LOST, table=self.table.value, position=str(position))
            return await self._store.read_table(self.table)
        return changes


def _is_stale(changes: store_rows.StoreChanges, previous: store_rows.Position | None) -> bool:
    """Returns whether the store listed changes up to a state that it had gone beyond already.

    :param previous: position of the replica when the call started.
    """
    if previous is None or changes.is_whole or changes.position.era != previous.era:
        return False
    return changes.position < previous
