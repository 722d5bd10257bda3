"""Announces this instance to the others by datagram, and receives their announcements."""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import os
import random
import socket

from caperdyke import errors
from caperdyke.coordination import overlay
from caperdyke.coordination.registry import fleet, intervals, load_sums
from caperdyke.protocol import announcements, instance_messages
from caperdyke.state import ids, member, name_hashes, store_rows
from caperdyke.transport import events
from caperdyke.transport.gateway import context, store_sync

# Size of the network headers of one datagram.
DATAGRAM_HEADER_BYTES = 42
TICK_SECONDS = 0.05
# Datagrams that are read before everything else has its turn, and the size of the largest.
DATAGRAMS_PER_TURN = 64
DATAGRAM_MAX_BYTES = 64 * 1024
# Interval between attempts to write the own row, and between checks of the store's era.
ENROL_INTERVAL_SECONDS = 0.5
# Longest random delay before the own row is checked in a new era of the store. Spread over this
# time, the calls of 750 instances, three each, stay below the store's capacity.
ENROL_SPREAD_SECONDS = 2.0
# Interval between removals of instances that have been silent for too long.
REMOVAL_INTERVAL_SECONDS = 1.0
# Most instances to which one change is announced at once.
URGENT_RECEIVERS_MAX = 12


class Announcer(asyncio.DatagramProtocol):
    """Sends and receives announcements, and keeps this instance's row in the store.

    :param sync: supplies the positions to announce, and receives those that others announce.
    :param rng: selects the receivers of urgent announcements and spreads calls of the store.
    :ivar message_handlers: handlers of other datagrams than announcements, by the kind of message;
        each gets the message's items and the sender's address.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        sync: store_sync.StoreSync,
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._store_sync = sync
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        # Time at which no datagram waited in the socket; those that are read later arrived later.
        self._empty_at = math.inf
        self._announcement_bytes = 150
        self._logged_live: set[ids.InstanceId] = set()
        self._load_sums = load_sums.LoadSums()
        self._next_removal_at = 0.0
        # Position of the last change of each instance's row, as of the last read.
        self._row_changes: dict[ids.InstanceId, store_rows.Position] = {}
        self._removals: set[asyncio.Task] = set()
        self._rng = rng or random.Random()
        self.message_handlers: dict[int, collections.abc.Callable[[list, ids.Address], None]] = {}

    async def listen(self) -> None:
        """Opens the UDP socket on the peer address."""
        host, _, port = self._node.settings.peer_address.rpartition(":")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        self._socket = socket.socket(fileno=descriptor)
        self._empty_at = self._node.now()

    def close(self) -> None:
        """Closes the socket; no announcement can be sent after that."""
        self._transport.close()

    def connection_made(self, transport) -> None:
        """Stores the transport on which announcements are sent."""
        self._transport = transport

    def error_received(self, error: OSError) -> None:
        """Logs the error of an earlier datagram, whose receiver is unreachable."""
        events.log(events.Event.LINK_CLOSED, peer="datagram", cause=repr(error))

    def connection_lost(self, _error: Exception | None) -> None:
        """Closes the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def datagram_received(self, data: bytes, address) -> None:
        """Handles a datagram and those that wait behind it."""
        self._handle(data, address)
        self._read_waiting()

    def _read_waiting(self) -> None:
        """Handles the datagrams that wait in the socket.

        Pattern: the event loop is slow, and asyncio reads one datagram a turn. They would wait for
        seconds, while each makes what it says look as if it had just been said.
        """
        if self._socket is None:
            return
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, address = self._socket.recvfrom(DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                self._empty_at = self._node.now()
                return
            except OSError as error:
                self.error_received(error)
                return
            self._handle(data, address)

    def _handle(self, data: bytes, address) -> None:
        """Applies an announcement of another instance, or passes another message on."""
        try:
            message = instance_messages.decode_message(data)
            if message is not None:
                self._pass_message(*message, ids.Address(f"{address[0]}:{address[1]}"))
                return
            announcement = announcements.decode_announcement(data)
        except errors.ProtocolError as error:
            events.log(events.Event.FRAME_REJECTED, peer=address[0], error=str(error))
            return
        node, now = self._node, self._node.now()
        if announcement.record is not None:
            node.fleet.merge(now, announcement.record)
        interval = announcement.interval_ms / 1000
        was_alive = node.fleet.is_alive(now, announcement.name_hash)
        sender = node.fleet.record_announcement(
            now,
            announcement.name_hash,
            announcement.incarnation,
            announcement.is_ready,
            interval,
            announcement.has_path,
        )
        if sender is None:
            if announcement.record is None:
                # This incarnation of the sender is unknown here; requests its record.
                self._send_record(ids.Address(f"{address[0]}:{address[1]}"))
            return
        node.provenance.announcement_received_at = now
        if sender.record.state is member.MemberState.LIVE:
            self._load_sums.replace(sender.record.instance, announcement.load)
        if not was_alive or sender.changed != announcement.changed:
            sender.changed = announcement.changed
            self._store_sync.peer_sync.record_new_position()
        node.header_handler.merge_announced(
            now, announcement.limits, announcement.backoffs, announcement.leaving
        )
        if announcement.read_age_ms >= 0:
            # A read must not count as later than it was, however long its datagram has waited.
            arrived_at = min(node.pauses.find_earliest_arrival(now), self._empty_at)
            sender.read_at = arrived_at - announcement.read_age_ms / 1000
            self._store_sync.record_peer_reading(sender, announcement.read_position)
        if announcement.is_reply_requested:
            self._send(now, sender, False, True)
        if self._store_sync.is_behind(sender, store_rows.StoreTable.CONFIGURATION):
            self._store_sync.record_peer_ahead(sender)

    def send_message(self, address: ids.Address, data: bytes) -> None:
        """Sends a datagram other than an announcement to the peer address of an instance."""
        self._send_to(address, data)

    def _pass_message(self, kind: int, items: list, address: ids.Address) -> None:
        handler = self.message_handlers.get(kind)
        if handler is None:
            self._node.metrics.count_unknown_message(kind)
            return
        handler(items, address)

    async def announce(self) -> None:
        """Announces this instance to each other instance when it is due, forever."""
        while True:
            self._read_waiting()
            now = self._node.now()
            for other in self._node.fleet.list_others():
                if now >= other.announce_at:
                    is_silent = now >= other.alive_until
                    self._send(now, other, is_silent, is_silent)
            self.update_fleet_view(now)
            await asyncio.sleep(TICK_SECONDS)

    def update_fleet_view(self, now: float) -> None:
        """Updates the set of live instances and the load that they announce."""
        self._node.fleet.record_tick(now)
        paused_seconds = self._node.pauses.record_tick(now)
        if paused_seconds > 0:
            events.log(events.Event.PAUSE_ENDED, seconds=round(paused_seconds, 2))
        self._update_members(now)
        self._update_remote_load(now)

    def announce_to_domain(self) -> None:
        """Announces this instance to the others of its failure domain at once."""
        for other in self._node.fleet.list_domain_peers(self._node.now()):
            other.announce_at = 0.0

    def announce_change(self) -> None:
        """Announces a change of the configuration to some instances of the failure domain.

        Pattern: the calls of some instances to the store have stalled. Every instance that has the
        change announces it, so that all receive it although each sends to a bounded number.
        """
        domain_peers = self._node.fleet.list_domain_peers(self._node.now())
        for other in self._rng.sample(domain_peers, min(len(domain_peers), URGENT_RECEIVERS_MAX)):
            other.announce_at = 0.0

    def announce_path(self) -> None:
        """Announces at once whether this instance has a path to the backend servers.

        Pattern: look-ups name an instance, others relay requests to it, and its quota of limits is
        unused, until they learn that it has lost its path. All are informed, since limits are
        divided among all.
        """
        for other in self._node.fleet.list_live(self._node.now()):
            other.announce_at = 0.0

    def announce_server_state(self) -> None:
        """Announces a limit, a backoff or the drain of a backend server to some instances at once.

        Pattern: all instances send to an overloaded server until they receive its limit or its
        backoff, and most get their own first answer only after sending it more than it accepts.
        """
        live = self._node.fleet.list_live(self._node.now())
        for other in self._rng.sample(live, min(len(live), URGENT_RECEIVERS_MAX)):
            other.announce_at = 0.0

    async def enrol(self) -> None:
        """Keeps this instance's row in the store and reads those of the others, forever.

        Every instance writes before it reads, so of any two at least one finds the other. A store
        that was restored from an older copy may have lost the row.
        """
        self._contact_seeds()
        era = await self._retry_until_done(self._write_and_read)
        while True:
            await asyncio.sleep(ENROL_INTERVAL_SECONDS)
            if self._store_sync.find_era() > era:
                await asyncio.sleep(self._rng.uniform(0.0, ENROL_SPREAD_SECONDS))
                era = await self._retry_until_done(self._read_and_restore)

    async def withdraw(self, name: ids.InstanceId) -> None:
        """Removes the row of an instance that left, unless it was written again since."""
        changed = self._row_changes.pop(name, None)
        if changed is None:
            return
        table = store_rows.StoreTable.INSTANCES
        try:
            if changed.era < self._store_sync.find_era():
                raise errors.PlatformUnavailableError(f"{name}: row was read in era {changed.era}")
            await self._node.store.remove_row(table, name, changed)
        except errors.PlatformError as error:
            # The next incarnation of the instance replaces the row.
            events.log(events.Event.ROW_LEFT, table=table.value, key=name, error=str(error))

    async def _retry_until_done(
        self, call: collections.abc.Callable[[], collections.abc.Awaitable[int]]
    ) -> int:
        """Repeats a call of the store until it succeeds, and logs only the first failure.

        :returns: the era of the store that the call returned.
        """
        is_logged = False
        while True:
            try:
                return await call()
            except errors.PlatformError as error:
                if not is_logged:
                    table = store_rows.StoreTable.INSTANCES.value
                    events.log(events.Event.STORE_AWAY, table=table, error=str(error))
                    is_logged = True
                self._contact_seeds()
                await asyncio.sleep(ENROL_INTERVAL_SECONDS)

    async def _write_and_read(self) -> int:
        await self._write_own_row()
        return (await self._read_instances()).position.era

    async def _read_and_restore(self) -> int:
        """Reads the rows of a new era and writes the own row again if it is missing."""
        node = self._node
        changes = await self._read_instances()
        is_missing = all(row.key != node.settings.instance for row in changes.rows)
        if is_missing and not node.is_stopping:
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
            self._merge_row(row)
        self._node.fleet.record_members_read(self._node.now())
        return changes

    def announce_leaving(self) -> None:
        """Announces to every other instance that this one leaves."""
        node = self._node
        node.fleet.own = dataclasses.replace(node.fleet.own, state=member.MemberState.LEAVING)
        for other in node.fleet.list_others():
            self._send(node.now(), other, False, True)

    def _merge_row(self, row: store_rows.StoreRow) -> None:
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

    def _contact_seeds(self) -> None:
        for seed in self._node.settings.seeds:
            if seed != self._node.settings.peer_address:
                self._send_record(seed)

    def _send_record(self, address: ids.Address) -> None:
        """Sends the own record to an address and requests the record of the instance there."""
        announcement = self._make(int(intervals.NEAR_INTERVAL_SECONDS * 1000), True, True)
        self._send_to(address, announcements.encode_announcement(announcement))

    def _send(
        self, now: float, other: fleet.PeerInstance, is_reply_requested: bool, includes_record: bool
    ) -> None:
        interval = self._find_interval(now, other)
        other.announce_at = now + interval
        announcement = self._make(int(interval * 1000), is_reply_requested, includes_record)
        data = announcements.encode_announcement(announcement)
        if not includes_record:
            self._announcement_bytes = len(data) + DATAGRAM_HEADER_BYTES
        self._send_to(other.record.peer_address, data)

    def _send_to(self, address: ids.Address, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

    def _find_interval(self, now: float, other: fleet.PeerInstance) -> float:
        """Returns the time until the next announcement to an instance, in seconds."""
        if now >= other.alive_until and now > other.first_seen_at + fleet.SILENT_PEER_RETRY_SECONDS:
            return fleet.SILENT_PEER_RETRY_SECONDS
        others = self._node.fleet.list_others()
        in_region_count = sum(self._is_in_region(peer) for peer in others)
        is_in_region = self._is_in_region(other)
        count = in_region_count if is_in_region else len(others) - in_region_count
        return intervals.compute_interval(is_in_region, count, self._announcement_bytes)

    def _is_in_region(self, other: fleet.PeerInstance) -> bool:
        settings = self._node.settings
        return settings.domains.get(other.record.domain) == settings.region

    def _make(
        self, interval_ms: int, is_reply_requested: bool, includes_record: bool
    ) -> announcements.Announcement:
        node, own = self._node, self._node.fleet.own
        # Only the record carries the state, so a leaving instance includes it in each announcement.
        includes_own_record = includes_record or own.state is not member.MemberState.LIVE
        load = {}
        if node.path.can_use_kept(node.now()):
            load = {
                view.name_hash: view.in_flight for view in node.views.values() if view.in_flight
            }
        return announcements.Announcement(
            name_hashes.hash_name(own.instance),
            own.incarnation,
            own if includes_own_record else None,
            node.fleet.is_ready,
            node.fleet.has_path,
            interval_ms,
            self._store_sync.find_changed(),
            self._store_sync.find_read_age_ms(),
            self._store_sync.servers.position or store_rows.FIRST_POSITION,
            load,
            node.bounds.limits.select_for_announcement(node.now()),
            node.bounds.backoffs.select_for_announcement(node.now()),
            node.bounds.leaving.select_for_announcement(node.now()),
            is_reply_requested,
        )

    def _update_remote_load(self, now: float) -> None:
        find_announced_load = self._load_sums.find
        for view in self._node.views.values():
            others = find_announced_load(view.name_hash)
            if others != view.others:
                view.record_remote_load(now, others)
        service_loads = self._node.service_loads
        if not service_loads.is_announcement_due(now):
            return
        announced = collections.defaultdict(list)
        for view in self._node.views.values():
            others = find_announced_load(view.name_hash)
            announced[view.server.service].append((view.server, others))
        service_loads.apply_announced(now, announced)

    def _update_members(self, now: float) -> None:
        live = {other.record.instance: other for other in self._node.fleet.list_live(now)}
        for name in live.keys() - self._logged_live:
            domain = live[name].record.domain
            events.log(
                events.Event.INSTANCE_CHANGED, instance=name, domain=domain, change="is alive"
            )
        for name in self._logged_live - live.keys():
            events.log(
                events.Event.INSTANCE_CHANGED, instance=name, domain="", change="is silent or left"
            )
        if self._logged_live != live.keys():
            self._load_sums.keep_only(live)
            self._logged_live = set(live)
        if now < self._next_removal_at:
            return
        self._next_removal_at = now + REMOVAL_INTERVAL_SECONDS
        for record in self._node.fleet.remove_silent(now):
            events.log(
                events.Event.INSTANCE_CHANGED,
                instance=record.instance,
                domain=record.domain,
                change="is forgotten",
            )
            self._withdraw_if_responsible(now, record.instance)

    def _withdraw_if_responsible(self, now: float, name: ids.InstanceId) -> None:
        """Removes a row if this instance ranks first for it among all live instances."""
        node = self._node
        if overlay.rank_instances(name, node.fleet.list_names(now))[0] == node.settings.instance:
            removal = asyncio.create_task(self.withdraw(name))
            self._removals.add(removal)
            removal.add_done_callback(self._removals.discard)
