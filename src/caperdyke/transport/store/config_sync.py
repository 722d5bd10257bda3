"""Keeps the configuration of this instance up to date."""

import asyncio
import random

from caperdyke import errors
from caperdyke.protocol import frames, messages, records
from caperdyke.state import blockmap, ids, timing
from caperdyke.state import configuration as configurations
from caperdyke.transport import context, events
from caperdyke.transport.peers import links, peerlink

# Age of the latest confirmation beyond which any instance reads the platform itself.
CONFIRMATION_TIMEOUT_SECONDS = 1.2
# Number of accepted changes kept for peers that lag behind.
CHANGES_MAX = 1000
# Up to this number of missed changes, single rows are read instead of the snapshot.
CATCH_UP_CHANGES_MAX = 20


class ConfigSync:
    """Takes the configuration from the platform or from peers, whichever has it first."""

    def __init__(self, node: context.NodeContext, link_set: links.LinkSet) -> None:
        self._node = node
        self._links = link_set
        self._recent_changes: list[records.Change] = []
        self._was_current = False
        # Time of the latest confirmation that was forwarded to peers.
        self._forwarded_confirmation_at = 0.0
        # A random offset keeps instances that start together from reading at the same time.
        self._polled_at = node.clock() - random.uniform(0.0, CONFIRMATION_TIMEOUT_SECONDS)

    async def poll(self) -> None:
        """Polls the head of the configuration in a loop."""
        while True:
            interval = self._node.find_poll_interval(timing.POLL_INTERVAL_SECONDS)
            is_due = self._node.clock() >= self._polled_at + interval
            if interval == timing.POLL_INTERVAL_SECONDS or (
                is_due and self._is_confirmation_overdue()
            ):
                await self._poll_once()
            self._log_confirmation_state()
            await asyncio.sleep(timing.POLL_INTERVAL_SECONDS)

    def handle_heartbeat(self, link: peerlink.PeerLink, heartbeat: messages.Heartbeat) -> None:
        """Requests the changes that a peer is ahead by, or applies its confirmation."""
        configuration_table = self._node.configuration_table
        if heartbeat.revision > configuration_table.revision:
            link.send(messages.ChangesRequest(configuration_table.revision))
        else:
            configuration_table.confirm(heartbeat.revision, heartbeat.confirmed_at)
            self._forward_confirmation()

    def handle_changes_request(
        self, link: peerlink.PeerLink, request: messages.ChangesRequest
    ) -> None:
        """Sends a peer the changes that it lacks."""
        configuration_table = self._node.configuration_table
        if configuration_table.revision <= request.after:
            return
        missing = [change for change in self._recent_changes if change.revision > request.after]
        if missing and missing[0].revision == request.after + 1:
            encoded = tuple(frames.encode_record(change) for change in missing)
            link.send(messages.ChangesReply(encoded, b"", configuration_table.confirmed_at))
            return
        snapshot = frames.encode_record(records.make_snapshot(configuration_table.newest))
        link.send(messages.ChangesReply((), snapshot, configuration_table.confirmed_at))

    def handle_changes_reply(self, reply: messages.ChangesReply) -> None:
        """Applies the changes or the snapshot that a peer sent."""
        try:
            if reply.snapshot:
                snapshot = frames.decode_record(records.Snapshot, reply.snapshot)
                self._adopt(records.restore_configuration(snapshot))
            for data in reply.changes:
                self._apply(frames.decode_record(records.Change, data))
        except errors.CaperdykeError as error:
            events.log(events.Event.CONFIGURATION_BROKEN, error=error)
            return
        self._node.configuration_table.confirm(
            self._node.configuration_table.revision, reply.confirmed_at
        )

    def _is_confirmation_overdue(self) -> bool:
        return (
            self._node.clock() - self._node.configuration_table.confirmed_at
            > CONFIRMATION_TIMEOUT_SECONDS
        )

    async def _poll_once(self) -> None:
        node = self._node
        requested_at = node.clock()
        self._polled_at = requested_at
        try:
            rows = await node.platform.read([records.HEAD_KEY])
            head = _decode_head(rows[records.HEAD_KEY].value)
            if head is not None and head.revision > node.configuration_table.revision:
                await self._catch_up(head.revision)
        except errors.PlatformError as error:
            self._record_platform_state(False, error)
            return
        except errors.CaperdykeError as error:
            events.log(events.Event.CONFIGURATION_BROKEN, error=error)
            return
        self._record_platform_state(True, None)
        if head is not None:
            node.configuration_table.confirm(head.revision, requested_at)
            self._forward_confirmation()

    def _forward_confirmation(self) -> None:
        """Forwards a confirmation at once, so that its age does not grow with the hop count."""
        confirmed_at = self._node.configuration_table.confirmed_at
        if confirmed_at - self._forwarded_confirmation_at >= timing.CONFIRMATION_SPREAD_SECONDS:
            self._forwarded_confirmation_at = confirmed_at
            self._links.send_heartbeats()

    async def _catch_up(self, revision: ids.Revision) -> None:
        node = self._node
        first = node.configuration_table.revision + 1
        if node.configuration_table.revision == 0 or revision - first >= CATCH_UP_CHANGES_MAX:
            rows = await node.platform.read([records.SNAPSHOT_KEY])
            data = rows[records.SNAPSHOT_KEY].value
            self._adopt(records.restore_configuration(frames.decode_record(records.Snapshot, data)))
            return
        change_keys = [
            records.make_change_key(ids.Revision(number)) for number in range(first, revision + 1)
        ]
        rows = await node.platform.read(change_keys)
        for key in change_keys:
            self._apply(frames.decode_record(records.Change, rows[key].value))

    def _apply(self, change: records.Change) -> None:
        configuration_table = self._node.configuration_table
        if change.revision <= configuration_table.revision:
            return
        if self._adopt(records.apply_change(configuration_table.newest, change)):
            self._recent_changes.append(change)
            del self._recent_changes[:-CHANGES_MAX]

    def _adopt(self, configuration: configurations.Configuration) -> bool:
        node = self._node
        if not node.configuration_table.adopt(node.clock(), configuration):
            return False
        if self._recent_changes and self._recent_changes[-1].revision + 1 != configuration.revision:
            self._recent_changes.clear()
        self._load_blocks(configuration)
        events.log(
            events.Event.CONFIGURATION_ADOPTED,
            revision=configuration.revision,
            in_force_at=configuration.in_force_at,
        )
        # The heartbeat announces the revision; peers that lack it request it at once.
        self._links.send_heartbeats()
        return True

    def _load_blocks(self, configuration: configurations.Configuration) -> None:
        blocks = []
        for operator_places in configuration.places.values():
            for domain in operator_places.domains:
                for text in domain.blocks:
                    first, last = blockmap.parse_block(text)
                    blocks.append((first, last, domain.name))
        try:
            self._node.blocks.load(blocks)
        except ValueError as error:
            events.log(events.Event.CONFIGURATION_BROKEN, error=error)

    def _record_platform_state(self, is_available: bool, error: Exception | None) -> None:
        node = self._node
        was_unavailable = node.is_platform_unavailable
        node.is_platform_unavailable = not is_available
        if is_available and was_unavailable:
            events.log(events.Event.PLATFORM_BACK)
        elif not is_available and not was_unavailable:
            events.log(events.Event.PLATFORM_AWAY, error=error)

    def _log_confirmation_state(self) -> None:
        configuration_table = self._node.configuration_table
        is_current = configuration_table.is_current(self._node.clock())
        if is_current and not self._was_current:
            events.log(events.Event.CONFIGURATION_CURRENT, revision=configuration_table.revision)
        if self._was_current and not is_current:
            events.log(events.Event.CONFIGURATION_STALE)
        self._was_current = is_current


def _decode_head(data: bytes) -> records.Head | None:
    return frames.decode_record(records.Head, data) if data else None
