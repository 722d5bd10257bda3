"""Writes proposed configuration changes to the platform's table, each exactly once."""

import asyncio
import collections.abc
import dataclasses

from caperdyke import errors
from caperdyke.coordination import acceptance
from caperdyke.protocol import documents, frames, records
from caperdyke.state import configuration as configurations
from caperdyke.state import ids, timing
from caperdyke.transport.store import platform_client

RETRY_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedChange:
    """The result of an accepted change.

    :param in_force_by: time by which every reachable instance applies it, seconds since 1970.
    """

    revision: ids.Revision
    in_force_by: float


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """An edited document that an operator submits.

    :param base: revision of the document that was edited, or None for the accepted one.
    """

    change_id: ids.ChangeId
    operator: ids.OperatorName
    file: str
    text: str
    base: ids.Revision | None


class ChangeWriter:
    """Writes changes idempotently: a change id is never accepted twice."""

    def __init__(
        self,
        platform: platform_client.PlatformClient,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._platform = platform
        self._clock = clock

    async def read_current(self) -> tuple[configurations.Configuration, dict[str, int]]:
        """Returns the accepted configuration and the versions of its rows."""
        rows = await self._platform.read([records.HEAD_KEY, records.SNAPSHOT_KEY])
        versions = {key: row.version for key, row in rows.items()}
        data = rows[records.SNAPSHOT_KEY].value
        if not data:
            return configurations.EMPTY, versions
        snapshot = frames.decode_record(records.Snapshot, data)
        return records.restore_configuration(snapshot), versions

    async def read_history(self, count: int) -> list[records.Change]:
        """Returns the latest ``count`` accepted changes, the newest first."""
        current, _ = await self.read_current()
        first = max(1, current.revision - count + 1)
        change_keys = [
            records.make_change_key(ids.Revision(number))
            for number in range(current.revision, first - 1, -1)
        ]
        if not change_keys:
            return []
        rows = await self._platform.read(change_keys)
        return [frames.decode_record(records.Change, rows[key].value) for key in change_keys]

    async def apply(self, draft: Draft, deadline: float) -> AcceptedChange:
        """Writes a change, retrying after failures of the platform until the deadline.

        :param deadline: seconds since 1970.
        :raises errors.ProposalError: if the change is refused; nothing was written.
        :raises errors.OutcomeUnknownError: if the change may or may not have been accepted.
        :raises errors.PlatformUnavailableError: if the change was not accepted.
        """
        is_outcome_unknown = False
        base = draft.base
        while True:
            try:
                accepted = await self._find_accepted(draft.change_id)
                if accepted is not None:
                    return accepted
                current, versions = await self.read_current()
                if base is None:
                    base = self._find_base(draft, current)
                return await self._write(draft, base, current, versions)
            except errors.VersionConflictError:
                # Another change was written first; this one is checked against the new revision.
                continue
            except errors.OutcomeUnknownError as error:
                is_outcome_unknown = True
                failure: errors.PlatformError = error
            except errors.PlatformUnavailableError as error:
                failure = error
            if self._clock() >= deadline:
                raise _make_final_error(draft, is_outcome_unknown, failure) from failure
            await asyncio.sleep(RETRY_SECONDS)

    async def _find_accepted(self, change_id: ids.ChangeId) -> AcceptedChange | None:
        key = records.make_change_id_key(change_id)
        row = (await self._platform.read([key]))[key]
        if row.version == 0:
            return None
        change_key = records.make_change_key(ids.Revision(int(row.value)))
        data = (await self._platform.read([change_key]))[change_key].value
        change = frames.decode_record(records.Change, data)
        return self._make_accepted(change.revision, change.in_force_at)

    def _find_base(self, draft: Draft, current: configurations.Configuration) -> ids.Revision:
        name, _ = documents.parse_document(draft.file, draft.text)
        return current.text_revisions.get(name, ids.Revision(0))

    async def _write(
        self,
        draft: Draft,
        base: ids.Revision,
        current: configurations.Configuration,
        versions: dict[str, int],
    ) -> AcceptedChange:
        name, document = documents.parse_document(draft.file, draft.text)
        now = self._clock()
        proposal = acceptance.Proposal(
            draft.change_id, draft.operator, name, base, draft.text, document
        )
        changed = acceptance.accept(now, current, proposal)
        change = records.Change(
            changed.revision,
            draft.change_id,
            draft.operator,
            ids.Timestamp(now),
            changed.in_force_at,
            name.kind,
            name.subject,
            draft.text,
        )
        change_key = records.make_change_key(changed.revision)
        id_key = records.make_change_id_key(draft.change_id)
        head = records.Head(changed.revision, draft.change_id)
        await self._platform.transact(
            {**versions, change_key: 0, id_key: 0},
            {
                records.HEAD_KEY: frames.encode_record(head),
                records.SNAPSHOT_KEY: frames.encode_record(records.make_snapshot(changed)),
                change_key: frames.encode_record(change),
                id_key: str(changed.revision).encode(),
            },
        )
        return self._make_accepted(changed.revision, changed.in_force_at)

    def _make_accepted(self, revision: ids.Revision, in_force_at: float) -> AcceptedChange:
        # ``in_force_at`` is computed before the write; after a slow write, instances apply the
        # change later than that.
        visible_by = self._clock() + timing.IN_FORCE_DELAY_SECONDS
        return AcceptedChange(revision, max(in_force_at, visible_by))


def _make_final_error(
    draft: Draft, is_outcome_unknown: bool, failure: errors.PlatformError
) -> errors.PlatformError:
    if not is_outcome_unknown:
        return errors.PlatformUnavailableError(f"not accepted: {failure}")
    return errors.OutcomeUnknownError(
        f"the change may or may not be accepted ({failure});"
        f" repeat it with --change-id {draft.change_id}, it is never accepted twice"
    )
