"""Keeps one table of the store known."""

import asyncio
import dataclasses
import enum
import random

from caperdyke import errors
from caperdyke.coordination.registry import intervals, provenance, table_replica
from caperdyke.protocol import platform_interfaces
from caperdyke.state import store_rows
from caperdyke.transport import events

# Time without an answer after which a second call is made beside the first, in seconds: a new
# connection and an answer from the farthest region take half of it.
SECOND_CALL_SECONDS = 0.6


class CallOutcome(enum.Enum):
    """How a call of the store ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    GIVEN_UP = "given up"


@dataclasses.dataclass(frozen=True, slots=True)
class CallReport:
    """One call of the store that ended.

    :param wait_ms: how long the store was asked to wait for a change, in milliseconds.
    :param detail: what was answered, or the error.
    """

    table: store_rows.StoreTable
    wait_ms: int
    began: float
    outcome: CallOutcome
    detail: str


class TableFollower:
    """Keeps one table in step with the store.

    :param apply: gets the rows of each reading that are news.
    :param chance: spreads calls of many instances.
    :param on_call_ended: gets a report of each call.
    :param on_failure: called when the store stops to answer.
    :param on_return: called when it answers again.
    """

    def __init__(
        self,
        store: platform_interfaces.Store,
        table: store_rows.StoreTable,
        apply,
        now,
        chance: random.Random,
        on_call_ended,
        on_failure,
        on_return=None,
    ) -> None:
        self._store = store
        self.table = table
        self.replica = table_replica.TableReplica(table)
        self._apply = apply
        self._now = now
        self._chance = chance
        self._on_return = on_return
        self._on_call_ended = on_call_ended
        self._on_failure = on_failure
        self.away_since: float | None = None
        # Whose reading was taken over last.
        self.source = provenance.STORE
        # Start of each call that is under way.
        self.calls: list[float] = []
        self._failures = 0

    @property
    def position(self) -> store_rows.Position | None:
        """Position up to which the table is known."""
        return self.replica.position

    async def follow_once(self, wait_ms: int) -> bool:
        """Reads what changed; tells whether the store answered with something that holds."""
        began, known = self._now(), self.position
        self.calls.append(began)
        outcome, detail = CallOutcome.GIVEN_UP, ""
        try:
            changes = await self._read(wait_ms)
            detail = f"{len(changes.rows)} rows up to {changes.position}"
            outcome = CallOutcome.ANSWERED
        except errors.PlatformUnavailableError as error:
            outcome, detail = CallOutcome.FAILED, str(error)
            self._record_failure(detail)
            return False
        finally:
            self.calls.remove(began)
            self._on_call_ended(CallReport(self.table, wait_ms, began, outcome, detail))
        is_held = self.apply_changes(changes, is_return=self.away_since is not None)
        if not is_held and self.position == known:
            # Nothing was faster: the store answers with a state from before a change that it has
            # told of.
            events.log(
                events.Event.READING_STALE,
                table=self.table.value,
                position=str(changes.position),
                known=str(known),
            )
            self._record_failure(f"reading at {changes.position}, expected one after {known}")
            return False
        self._failures = 0
        if self.away_since is not None:
            away = round(self._now() - self.away_since, 2)
            self.away_since = None
            events.log(events.Event.STORE_BACK, table=self.table.value, away_s=away)
        return True

    async def read_now(self) -> bool:
        """Reads what changed without waiting for a change; tells whether the store answered.

        Pattern: the connection of a call is silent, or its packets are lost. A second call is
        made beside one that has no answer yet, and the first answer counts.
        """
        calls = {asyncio.create_task(self.follow_once(0))}
        try:
            done, _ = await asyncio.wait(calls, timeout=SECOND_CALL_SECONDS)
            if not done:
                calls.add(asyncio.create_task(self.follow_once(0)))
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
        is_return: bool = False,
        source: str = provenance.STORE,
    ) -> bool:
        """Takes over a reading, from the store or another instance; tells whether it holds.

        :param source: whose reading it is.
        :param is_return: whether the store answers again with it after it was away. What others
            tell in the meantime is no return: removals that they saw hold at once.
        """
        known = self.position
        rows = self.replica.apply_changes(changes)
        if rows is None:
            return False
        is_new_era = known is not None and changes.position.era > known.era
        if is_new_era:
            events.log(events.Event.ERA_CHANGED, table=self.table.value, era=changes.position.era)
        if self._on_return is not None and (is_new_era or is_return):
            self._on_return()
        self.source = source
        self._apply(rows)
        return True

    def compute_retry_delay(self) -> float:
        """Returns the seconds until the next try after one without an answer."""
        return intervals.compute_retry_delay(self._failures, self._chance.random())

    def _record_failure(self, error: str) -> None:
        self._failures += 1
        if self.away_since is None:
            self.away_since = self._now()
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
