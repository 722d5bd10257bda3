"""Follows the store: configuration, registrations, and where other instances are."""

import asyncio
import random

from caperdyke import errors
from caperdyke.coordination.registry import first_reads, intervals
from caperdyke.protocol import announcements, dialect
from caperdyke.state import ids, routes, store_rows
from caperdyke.transport import events
from caperdyke.transport.gateway import context, peer_snapshots

# Longest time that one call waits for a change of the configuration, in milliseconds. A connection
# that went silent is noticed after this and the call's own allowance.
CONFIGURATION_WAIT_MS = 3000
# Least time between two reads because of what other instances know, in seconds; most of them learn
# of a change by themselves within a part of it.
HURRY_SECONDS = 0.6
# Interval between two reads of registrations: part of the time after which a server that leaves
# must get nothing new, and at most, in seconds.
SERVERS_PART = 0.45
SERVERS_SECONDS_MAX = 1.2
# Time without an answer after which other instances are asked instead, in seconds.
PEERS_AFTER_SECONDS = 1.0


class TableFollower:
    """Keeps one table in step with the store.

    :param apply: gets each set of changes.
    :param on_failure: called when the store stops to answer.
    :param on_return: called when it answers again.
    """

    def __init__(
        self,
        store: dialect.Store,
        table: store_rows.StoreTable,
        apply,
        now,
        on_failure,
        on_return=None,
    ) -> None:
        self._store = store
        self.table = table
        self._apply = apply
        self._now = now
        self._on_return = on_return
        self._on_failure = on_failure
        self.position: int | None = None
        self.away_since: float | None = None
        self._failures = 0

    async def follow_once(self, wait_ms: int) -> bool:
        """Reads what changed; tells whether the store answered."""
        try:
            changes = await self._read(wait_ms)
        except errors.PlatformUnavailableError as error:
            self._failures += 1
            if self.away_since is None:
                self.away_since = self._now()
                events.log(events.Event.STORE_AWAY, table=self.table.value, error=str(error))
                self._on_failure()
            return False
        self._failures = 0
        if self.away_since is not None:
            away = round(self._now() - self.away_since, 2)
            self.away_since = None
            events.log(events.Event.STORE_BACK, table=self.table.value, away_s=away)
            if self._on_return is not None:
                self._on_return()
        self._apply(changes)
        self.position = changes.position
        return True

    def find_away_delay(self) -> float:
        """Returns the seconds until the next try after one without an answer."""
        return intervals.find_away_delay(self._failures, random.random())

    async def _read(self, wait_ms: int) -> store_rows.StoreChanges:
        if self.position is None:
            return await self._store.read_table(self.table)
        changes = await self._store.read_changes(self.table, self.position, wait_ms)
        if changes is None:
            events.log(events.Event.HISTORY_LOST, table=self.table.value, position=self.position)
            return await self._store.read_table(self.table)
        return changes


class Follower:
    """Applies what the store holds to the gateway's state."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        tables = store_rows.StoreTable
        self.configuration = TableFollower(
            node.store,
            tables.CONFIGURATION,
            self.apply_configuration,
            node.now,
            node.note_first_failure,
        )
        self.servers = TableFollower(
            node.store,
            tables.SERVERS,
            self.apply_servers,
            node.now,
            node.note_first_failure,
            self._note_return,
        )
        self._evacuations: dict[ids.DomainName, int] = {}
        self._evacuation_changes: dict[ids.DomainName, int] = {}
        self._rows: dict[tuple[store_rows.StoreTable, str], store_rows.StoreRow] = {}
        self._wake = asyncio.Event()
        self._hurried_at = 0.0

    async def follow_configuration(self) -> None:
        """Keeps the configuration in force, for ever."""
        while True:
            # A call that waits is given up when another instance knows a newer configuration: its
            # connection may have gone silent.
            self._wake.clear()
            reading = asyncio.ensure_future(self.configuration.follow_once(CONFIGURATION_WAIT_MS))
            waking = asyncio.ensure_future(self._wake.wait())
            try:
                await asyncio.wait({reading, waking}, return_when=asyncio.FIRST_COMPLETED)
                is_answered = reading.done() and reading.result()
            finally:
                reading.cancel()
                waking.cancel()
                await asyncio.gather(reading, waking, return_exceptions=True)
            if not is_answered:
                await asyncio.sleep(self.configuration.find_away_delay())

    def hurry(self) -> None:
        """Reads the configuration at once, since another instance knows a newer one."""
        now = self._node.now()
        if now >= self._hurried_at + HURRY_SECONDS:
            self._hurried_at = now
            self._wake.set()

    async def follow_servers(self) -> None:
        """Keeps registrations known, for ever."""
        while True:
            is_answered = await self.servers.follow_once(0)
            bound = self._node.settings.bounds.leaving_seconds
            interval = min(SERVERS_SECONDS_MAX, SERVERS_PART * bound)
            await asyncio.sleep(interval if is_answered else self.servers.find_away_delay())

    async def follow_peers(self) -> None:
        """Asks other instances for what the store does not tell, for ever."""
        turn = 0
        while True:
            await asyncio.sleep(PEERS_AFTER_SECONDS)
            if not self._is_cut_off():
                continue
            others = self._node.fleet.list_live(self._node.now())
            addresses = [other.record.peer_address for other in others]
            if not others:
                addresses = list(self._node.settings.seeds)
            if not addresses:
                continue
            turn += 1
            await self._learn_from(addresses[turn % len(addresses)])

    def make_snapshot(self) -> bytes:
        """Returns every row that is known, for another instance."""
        return announcements.encode_rows(list(self._rows.values()))

    def apply_configuration(self, changes: store_rows.StoreChanges) -> None:
        """Takes over changes of the configuration and of evacuations."""
        seen = set()
        for row in changes.rows:
            self._remember(row)
            domain = self._apply_evacuation(row)
            if domain is not None:
                seen.add(domain)
                continue
            self._apply_route_table(row)
        if changes.is_whole:
            for domain in set(self._evacuations) - seen:
                self._end_evacuation(domain, changes.position)
        self._node.note_first_read(first_reads.FirstRead.CONFIGURATION)

    def apply_servers(self, changes: store_rows.StoreChanges) -> None:
        """Takes over changes of registrations."""
        node, now = self._node, self._node.now()
        names = set()
        for row in changes.rows:
            self._remember(row)
            name = ids.BackendId(row.key)
            if row.value is None:
                if node.servers.remove(now, name, row.version):
                    self._log_server(name, "removed")
                continue
            names.add(name)
            self._apply_registration(now, row)
        if changes.is_whole:
            node.servers.keep_only(now, names, changes.position)
        if node.registrations_at is None:
            # Servers in the first reading, from the store or another instance, served before.
            node.servers.mark_all_from_start()
        node.registrations_at = now
        node.refresh_servers()
        node.note_first_read(first_reads.FirstRead.SERVERS)

    def _apply_registration(self, now: float, row: store_rows.StoreRow) -> None:
        node = self._node
        try:
            entry = node.documents.read_registration(row)
        except errors.ProtocolError as error:
            events.log(events.Event.ROW_UNREADABLE, table="servers", key=row.key, error=str(error))
            # A row that cannot be read names no server to use.
            node.servers.remove(now, ids.BackendId(row.key), row.version)
            return
        known = node.servers.find(entry.server.backend)
        before = known.registration.state if known else None
        if node.servers.merge(now, entry, row.version):
            node.restart_view(entry.server.backend)
            self._log_server(entry.server.backend, f"started, cold for {entry.cold_ms} ms")
        elif before is not entry.state:
            self._log_server(entry.server.backend, entry.state.value)

    def _apply_route_table(self, row: store_rows.StoreRow) -> None:
        node = self._node
        try:
            table = node.documents.read_route_table(row)
        except errors.ProtocolError as error:
            events.log(
                events.Event.ROW_UNREADABLE, table="configuration", key=row.key, error=str(error)
            )
            return
        if table is not None and is_newer(node.routes, table):
            node.routes = table
            events.log(events.Event.ROUTES_ADOPTED, version=table.version, routes=len(table.routes))

    def _apply_evacuation(self, row: store_rows.StoreRow) -> ids.DomainName | None:
        evacuation = self._node.documents.read_evacuation(row)
        if evacuation is None:
            return None
        domain = evacuation.domain
        if row.version > self._evacuation_changes.get(domain, 0):
            if row.value is None:
                self._end_evacuation(domain, row.version)
            else:
                self._evacuation_changes[domain] = row.version
                self._evacuations[domain] = row.version
                self._publish_evacuations()
        return domain if row.value is not None else None

    def _end_evacuation(self, domain: ids.DomainName, version: int) -> None:
        self._evacuation_changes[domain] = version
        if self._evacuations.pop(domain, None) is None:
            return
        table = self._node.routes
        cold_ms = max((item.cold_ms for item in table.services.values()), default=0) if table else 0
        # Servers that stood idle are cold when their failure domain is taken back.
        self._node.cold_domains[domain] = self._node.now() + cold_ms / 1000
        self._publish_evacuations()

    def _publish_evacuations(self) -> None:
        self._node.evacuate(frozenset(self._evacuations))
        events.log(events.Event.EVACUATION_CHANGED, domains=sorted(self._evacuations))

    def _remember(self, row: store_rows.StoreRow) -> None:
        place = (row.table, row.key)
        known = self._rows.get(place)
        if known is None or row.version > known.version:
            self._rows[place] = row

    def _note_return(self) -> None:
        self._node.servers.note_return(self._node.now())

    def _is_cut_off(self) -> bool:
        followers = (self.configuration, self.servers)
        now = self._node.now()
        return any(
            item.away_since is not None and now > item.away_since + PEERS_AFTER_SECONDS
            for item in followers
        )

    async def _learn_from(self, address: ids.Address) -> None:
        try:
            rows = announcements.decode_rows(await peer_snapshots.fetch(address))
        except (errors.LinkClosedError, errors.ProtocolError) as error:
            events.log(events.Event.LINK_CLOSED, peer=address, cause=str(error))
            return
        for apply, table in (
            (self.apply_configuration, store_rows.StoreTable.CONFIGURATION),
            (self.apply_servers, store_rows.StoreTable.SERVERS),
        ):
            part = tuple(row for row in rows if row.table is table)
            apply(store_rows.StoreChanges(table, part, 0, False))

    def _log_server(self, name: ids.BackendId, change: str) -> None:
        known = self._node.servers.find(name)
        service = known.registration.server.service if known else ""
        events.log(events.Event.SERVER_CHANGED, backend=name, service=service, change=change)


def is_newer(known: routes.RouteTable | None, table: routes.RouteTable) -> bool:
    """Tells whether a configuration replaces the one in force; an older one never does."""
    return known is None or table.version > known.version
