"""Tells other instances of this one by datagrams, and hears of them."""

import asyncio
import collections.abc
import dataclasses
import random

from caperdyke import errors
from caperdyke.coordination import overlay
from caperdyke.coordination.registry import fleet, intervals, load_sums
from caperdyke.protocol import announcements
from caperdyke.state import ids, member, name_hashes, store_rows
from caperdyke.transport import events
from caperdyke.transport.gateway import context, store_sync

# Headers of one datagram on the wire, in bytes.
DATAGRAM_HEADER_BYTES = 42
TICK_SECONDS = 0.05
# Interval between two tries to write the own row, and two looks at the era, in seconds.
ENROL_SECONDS = 0.5
# Longest wait before the own row is looked for in a later era of the store, in seconds: the calls
# of 750 instances, three each, stay under what the store serves.
ENROL_SPREAD_SECONDS = 2.0
# Interval between two looks at whether an instance was silent for so long that it is forgotten, in
# seconds.
FORGET_LOOK_SECONDS = 1.0
# Instances that are told of a change at once.
TELL_MAX = 12


class Announcer(asyncio.DatagramProtocol):
    """Sends and receives announcements."""

    def __init__(
        self,
        node: context.GatewayContext,
        tables: store_sync.StoreSync,
        chance: random.Random | None = None,
    ) -> None:
        self._node = node
        self._tables = tables
        self._transport: asyncio.DatagramTransport | None = None
        self._size = 150
        self._live: set[ids.InstanceId] = set()
        self._load_sums = load_sums.LoadSums()
        self._forget_at = 0.0
        # Position of the last change of each instance's row when it was read.
        self._row_changes: dict[ids.InstanceId, store_rows.Position] = {}
        self._removals: set[asyncio.Task] = set()
        self._random = chance or random.Random()

    async def listen(self) -> None:
        """Opens the socket."""
        host, _, port = self._node.settings.peer_address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    def connection_made(self, transport) -> None:
        """Starts."""
        self._transport = transport

    def error_received(self, error: OSError) -> None:
        """Takes an error of an earlier datagram; its receiver is not there."""
        events.log(events.Event.LINK_CLOSED, peer="datagram", cause=repr(error))

    def datagram_received(self, data: bytes, address) -> None:
        """Takes an announcement."""
        try:
            item = announcements.decode_announcement(data)
        except errors.ProtocolError as error:
            events.log(events.Event.FRAME_REJECTED, peer=address[0], error=str(error))
            return
        node, now = self._node, self._node.now()
        if item.record is not None:
            node.fleet.merge(now, item.record)
        interval = item.interval_ms / 1000
        heard_before = node.fleet.is_alive(now, item.mark)
        known = node.fleet.record_announcement(
            now, item.mark, item.incarnation, item.is_ready, interval
        )
        if known is None:
            if item.record is None:
                # The sender started before this instance heard of it; asks for its record.
                self._introduce(ids.Address(f"{address[0]}:{address[1]}"))
            return
        node.provenance.announcement_received_at = now
        if known.record.state is member.MemberState.LIVE:
            self._load_sums.replace(known.record.instance, item.load)
        if not heard_before or known.changed != item.changed:
            known.changed = item.changed
            self._tables.peer_sync.record_news()
        node.words.merge_announced(now, item.limits, item.backoffs, item.leaving)
        if item.read_age_ms >= 0:
            known.read_at = now - item.read_age_ms / 1000
            self._tables.record_reading(known, item.read_position)
        if item.is_reply_requested:
            self._send(now, known, False, True)
        if self._tables.is_behind(known, store_rows.StoreTable.CONFIGURATION):
            self._tables.record_peer_ahead(known)

    async def announce(self) -> None:
        """Announces this instance, for ever."""
        while True:
            now = self._node.now()
            for other in self._node.fleet.list_others():
                if now >= other.announce_at:
                    is_stranger = now >= other.alive_until
                    self._send(now, other, is_stranger, is_stranger)
            self.update_fleet_view(now)
            await asyncio.sleep(TICK_SECONDS)

    def update_fleet_view(self, now: float) -> None:
        """Brings what is known of the others, and of their load, up to date."""
        self._node.fleet.record_tick(now)
        self._log_changes(now)
        self._spread_load(now)

    def announce_to_domain(self) -> None:
        """Announces this instance to those of its failure domain at once."""
        for other in self._node.fleet.list_domain_peers(self._node.now()):
            other.announce_at = 0.0

    def announce_change(self) -> None:
        """Announces this instance to some of its failure domain, as the configuration changed.

        Pattern: the calls of some instances are silent. All that know of the change tell it, so
        that everybody hears of it though each tells a bounded number.
        """
        mates = self._node.fleet.list_domain_peers(self._node.now())
        for other in self._random.sample(mates, min(len(mates), TELL_MAX)):
            other.announce_at = 0.0

    def tell_server_word(self) -> None:
        """Announces this instance to some others at once, as a backend server spoke of itself.

        Pattern: all send to a server in need until they hear of its limit or its rest, and most get
        their own first answer only when they have sent it more than it takes.
        """
        live = self._node.fleet.list_live(self._node.now())
        for other in self._random.sample(live, min(len(live), TELL_MAX)):
            other.announce_at = 0.0

    async def enrol(self) -> None:
        """Keeps this instance's row in the store and learns of the others, for ever.

        Every instance writes before it reads, so of any two at least one knows the other. A store
        that comes back from an older copy may have lost the row.
        """
        self._greet_seeds()
        era = await self._call_until_done(self._write_and_read)
        while True:
            await asyncio.sleep(ENROL_SECONDS)
            if self._tables.find_era() > era:
                await asyncio.sleep(self._random.uniform(0.0, ENROL_SPREAD_SECONDS))
                era = await self._call_until_done(self._read_and_restore)

    async def withdraw(self, name: ids.InstanceId) -> None:
        """Removes the row of an instance that left, if it has not been written again."""
        changed = self._row_changes.pop(name, None)
        if changed is None:
            return
        table = store_rows.StoreTable.INSTANCES
        try:
            if changed.era < self._tables.find_era():
                raise errors.PlatformUnavailableError(f"{name}: known from era {changed.era} only")
            await self._node.store.remove_row(table, name, changed)
        except errors.PlatformError as error:
            # The next start of an instance under this name replaces the row.
            events.log(events.Event.ROW_LEFT, table=table.value, key=name, error=str(error))

    async def _call_until_done(
        self, call: collections.abc.Callable[[], collections.abc.Awaitable[int]]
    ) -> int:
        """Repeats calls of the store until they succeed."""
        is_reported = False
        while True:
            try:
                return await call()
            except errors.PlatformError as error:
                if not is_reported:
                    table = store_rows.StoreTable.INSTANCES.value
                    events.log(events.Event.STORE_AWAY, table=table, error=str(error))
                    is_reported = True
                self._greet_seeds()
                await asyncio.sleep(ENROL_SECONDS)

    async def _write_and_read(self) -> int:
        await self._write_own_row()
        return (await self._read_instances()).position.era

    async def _read_and_restore(self) -> int:
        """Reads the rows of a later era and writes the own one where it is gone."""
        node = self._node
        changes = await self._read_instances()
        is_lost = all(row.key != node.settings.instance for row in changes.rows)
        if is_lost and not node.is_stopping:
            await self._write_own_row()
        return changes.position.era

    async def _write_own_row(self) -> None:
        node = self._node
        value = announcements.encode_member(node.fleet.own)
        table = store_rows.StoreTable.INSTANCES
        await node.store.write_row(table, node.settings.instance, value)

    async def _read_instances(self) -> store_rows.StoreChanges:
        changes = await self._node.store.read_table(store_rows.StoreTable.INSTANCES)
        self._row_changes.clear()
        for row in changes.rows:
            self._learn_row(row)
        self._node.fleet.record_members_read(self._node.now())
        return changes

    def say_goodbye(self) -> None:
        """Tells every instance that this one leaves."""
        node = self._node
        node.fleet.own = dataclasses.replace(node.fleet.own, state=member.MemberState.LEAVING)
        for other in node.fleet.list_others():
            self._send(node.now(), other, False, True)

    def _learn_row(self, row: store_rows.StoreRow) -> None:
        if row.value is None:
            return
        try:
            record = announcements.decode_member(row.value)
        except errors.ProtocolError as error:
            events.log(
                events.Event.ROW_UNREADABLE, table="instances", key=row.key, error=str(error)
            )
            return
        self._row_changes[ids.InstanceId(row.key)] = row.changed
        self._node.fleet.merge(self._node.now(), record)

    def _greet_seeds(self) -> None:
        for seed in self._node.settings.seeds:
            if seed != self._node.settings.peer_address:
                self._introduce(seed)

    def _introduce(self, address: ids.Address) -> None:
        """Tells an instance that may not know this one, and asks for its record."""
        item = self._make(int(intervals.NEAR_INTERVAL_SECONDS * 1000), True, True)
        self._send_to(address, announcements.encode_announcement(item))

    def _send(
        self, now: float, other: fleet.PeerInstance, is_reply_requested: bool, has_record: bool
    ) -> None:
        interval = self._find_interval(now, other)
        other.announce_at = now + interval
        item = self._make(int(interval * 1000), is_reply_requested, has_record)
        data = announcements.encode_announcement(item)
        if not has_record:
            self._size = len(data) + DATAGRAM_HEADER_BYTES
        self._send_to(other.record.peer_address, data)

    def _send_to(self, address: ids.Address, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

    def _find_interval(self, now: float, other: fleet.PeerInstance) -> float:
        """Returns the time until the next announcement to an instance, in seconds."""
        if now >= other.alive_until and now > other.first_seen_at + fleet.SILENT_PEER_RETRY_SECONDS:
            return fleet.SILENT_PEER_RETRY_SECONDS
        others = self._node.fleet.list_others()
        near = sum(self._is_near(item) for item in others)
        is_near = self._is_near(other)
        count = near if is_near else len(others) - near
        return intervals.compute_interval(is_near, count, self._size)

    def _is_near(self, other: fleet.PeerInstance) -> bool:
        settings = self._node.settings
        return settings.domains.get(other.record.domain) == settings.region

    def _make(
        self, interval_ms: int, is_reply_requested: bool, has_record: bool
    ) -> announcements.Announcement:
        node, own = self._node, self._node.fleet.own
        # An instance that leaves says so until it is gone.
        is_told = has_record or own.state is not member.MemberState.LIVE
        load = {view.mark: view.in_flight for view in node.views.values() if view.in_flight}
        return announcements.Announcement(
            name_hashes.hash_name(own.instance),
            own.incarnation,
            own if is_told else None,
            node.fleet.is_ready,
            interval_ms,
            self._tables.find_changed(),
            self._tables.find_read_age_ms(),
            self._tables.servers.position or store_rows.FIRST_POSITION,
            load,
            node.bounds.limits.select_for_announcement(node.now()),
            node.bounds.backoffs.select_for_announcement(node.now()),
            node.bounds.leaving.select_for_announcement(node.now()),
            is_reply_requested,
        )

    def _spread_load(self, now: float) -> None:
        find = self._load_sums.find
        for view in self._node.views.values():
            others = find(view.mark)
            if others != view.others:
                view.record_remote_load(now, others)

    def _log_changes(self, now: float) -> None:
        live = {other.record.instance: other for other in self._node.fleet.list_live(now)}
        for name in live.keys() - self._live:
            domain = live[name].record.domain
            events.log(
                events.Event.INSTANCE_CHANGED, instance=name, domain=domain, change="is alive"
            )
        for name in self._live - live.keys():
            events.log(
                events.Event.INSTANCE_CHANGED, instance=name, domain="", change="is silent or left"
            )
        if self._live != live.keys():
            self._load_sums.keep_only(live)
            self._live = set(live)
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_LOOK_SECONDS
        for record in self._node.fleet.remove_silent(now):
            events.log(
                events.Event.INSTANCE_CHANGED,
                instance=record.instance,
                domain=record.domain,
                change="is forgotten",
            )
            self._withdraw_if_first(now, record.instance)

    def _withdraw_if_first(self, now: float, name: ids.InstanceId) -> None:
        """Removes a row if this instance is the one of all live ones to do it."""
        node = self._node
        if overlay.rank_instances(name, node.fleet.list_names(now))[0] == node.settings.instance:
            removal = asyncio.create_task(self.withdraw(name))
            self._removals.add(removal)
            removal.add_done_callback(self._removals.discard)
