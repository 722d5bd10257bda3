"""Follows the store: configuration, registrations, and where other instances are."""

import asyncio
import collections.abc
import math
import random

from caperdyke import errors
from caperdyke.coordination.registry import (
    evacuations,
    fleet,
    initial_sync,
    read_schedule,
)
from caperdyke.state import ids, routes, store_rows
from caperdyke.transport import events
from caperdyke.transport.gateway import (
    configuration_watch,
    context,
    peer_sync,
    row_exchange,
    table_follower,
)

# Longest time that one call waits for a change of the configuration, in milliseconds, where nobody
# else in the failure domain would tell of one, and at most.
CONFIGURATION_WAIT_MS = 3000
CONFIGURATION_WAIT_MAX_MS = 12_000
# Longest age of a reading of the registrations, by this instance or another one of its failure
# domain: part of the time after which a server that leaves must get nothing new, and at most, in
# seconds.
SERVERS_PART = 0.45
SERVERS_SECONDS_MAX = 1.2
# Time for which another instance may know a newer change of the configuration before it is asked
# for the rows, in seconds; the store was asked at once.
CONFIGURATION_BEHIND_SECONDS = 0.5
# The same for registrations where no instance of the own failure domain knows more, beyond the
# interval at which they are read.
SERVERS_BEHIND_SECONDS = 0.1


class StoreSync:
    """Applies what the store holds to the gateway's state."""

    def __init__(self, node: context.GatewayContext, chance: random.Random | None = None) -> None:
        self._node = node
        chance = chance or random.Random()
        tables = store_rows.StoreTable
        self.configuration = table_follower.TableFollower(
            node.store,
            tables.CONFIGURATION,
            self.apply_configuration,
            node.now,
            chance,
            self._record_call,
            node.record_initial_failure,
        )
        self.servers = table_follower.TableFollower(
            node.store,
            tables.SERVERS,
            self.apply_servers,
            node.now,
            chance,
            self._record_call,
            node.record_initial_failure,
            self._record_return,
        )
        node.provenance.calls = self.configuration.calls
        self._tables = {item.table: item for item in (self.configuration, self.servers)}
        self._evacuations = evacuations.Evacuations()
        self.watch = configuration_watch.ConfigurationWatch(
            self.configuration, node.now, self._find_configuration_wait, self._is_doubted
        )
        # Whether a line tells already that another instance knows a newer configuration.
        self._is_ahead_noted = False
        self.peer_sync = peer_sync.PeerSync(node, self._tables, self.is_behind, self._find_patience)
        self._servers_read_at = -math.inf
        self._turns = read_schedule.ReadSchedule(chance)
        # Called after each reading of the registrations, and each change of the configuration.
        self.on_servers_read: collections.abc.Callable[[], None] = _do_nothing
        self.on_configuration_changed: collections.abc.Callable[[], None] = _do_nothing

    def record_peer_ahead(self, other: fleet.PeerInstance) -> None:
        """Learns that another instance knows a newer configuration."""
        table = store_rows.StoreTable.CONFIGURATION
        if self.configuration.position is None:
            # The first reading is under way.
            return
        if not self._is_ahead_noted:
            self._is_ahead_noted = True
            events.log(
                events.Event.INSTANCE_AHEAD,
                instance=other.record.instance,
                table=table.value,
                theirs=str(other.changed[table]),
                own=str(self.configuration.position),
            )
        self.watch.record_peer_ahead()

    async def sync_servers(self) -> None:
        """Keeps registrations known, for ever."""
        while True:
            was_away = self.servers.away_since is not None
            if not await self.servers.read_now():
                if not was_away:
                    # The connection on which changes of the configuration are awaited may be
                    # silent.
                    self.watch.check()
                await asyncio.sleep(self.servers.compute_retry_delay())
                continue
            self._servers_read_at = self._node.now()
            self.on_servers_read()
            await self._wait_for_turn()

    async def _wait_for_turn(self) -> None:
        """Waits until no instance of the failure domain has read the registrations lately."""
        while True:
            now = self._node.now()
            table = store_rows.StoreTable.SERVERS
            mates = self._node.fleet.list_domain_peers(now)
            # A reading counts once this instance has its news.
            heard = [-math.inf if self.is_behind(o, table) else o.read_at for o in mates]
            turn_at = self._turns.compute_read_time(
                self._servers_read_at, heard, self._find_servers_interval()
            )
            if now >= turn_at:
                return
            await asyncio.sleep(min(peer_sync.COMPARE_SECONDS, turn_at - now))

    def list_changes_since(self, after: row_exchange.Positions) -> list[store_rows.StoreChanges]:
        """Returns what another instance lacks that knows tables up to some positions."""
        readings = [
            item.replica.list_changes(after.get(table, store_rows.FIRST_POSITION))
            for table, item in self._tables.items()
        ]
        return [reading for reading in readings if reading is not None]

    def find_changed(self) -> row_exchange.Positions:
        """Returns the position of the newest change that is known of each table."""
        return {table: item.replica.changed for table, item in self._tables.items()}

    def find_era(self) -> int:
        """Returns the newest era of the store that is known."""
        positions = [item.position for item in self._tables.values() if item.position]
        return max((position.era for position in positions), default=0)

    def record_reading(self, other: fleet.PeerInstance, position: store_rows.Position) -> None:
        """Learns that another instance found no change of registrations up to a position."""
        table = store_rows.StoreTable.SERVERS
        self.servers.replica.advance(other.changed[table], position)

    def is_behind(self, other: fleet.PeerInstance, table: store_rows.StoreTable) -> bool:
        """Tells whether another instance knows a newer change of a table."""
        changed = other.changed.get(table, store_rows.FIRST_POSITION)
        return changed > store_rows.FIRST_POSITION and self._tables[table].replica.is_behind(
            changed
        )

    def apply_configuration(self, rows: list[store_rows.StoreRow]) -> None:
        """Takes over changes of the configuration and of evacuations."""
        now = self._node.now()
        self._is_ahead_noted = False
        for row in rows:
            evacuation = self._node.documents.read_evacuation(row)
            if evacuation is not None:
                is_ordered = row.value is not None
                self._evacuations.note(now, evacuation.domain, row.changed, is_ordered)
                continue
            self._apply_route_table(row)
        self.update_evacuations()
        self._node.record_initial_read(initial_sync.SyncStep.CONFIGURATION)
        if rows:
            self.on_configuration_changed()

    def update_evacuations(self) -> None:
        """Brings the servers in use in step with evacuations, of which some end at a set time."""
        node, now = self._node, self._node.now()
        active, ended = self._evacuations.update(now)
        table = node.routes
        cold_ms = max((item.cold_ms for item in table.services.values()), default=0) if table else 0
        for domain in ended:
            # Servers that stood idle are cold when their failure domain is taken back.
            node.cold_domains[domain] = now + cold_ms / 1000
        if active != node.evacuated:
            node.evacuate(active)
            events.log(events.Event.EVACUATION_CHANGED, domains=sorted(active))

    def apply_servers(self, rows: list[store_rows.StoreRow]) -> None:
        """Takes over changes of registrations."""
        node, now = self._node, self._node.now()
        for row in rows:
            name = ids.BackendId(row.key)
            if row.value is None:
                if node.servers.remove(now, name, row.changed):
                    self._log_server(name, "removed")
                continue
            self._apply_registration(now, row)
        if node.registrations_at is None:
            # Servers in the first reading, from the store or another instance, served before.
            node.servers.mark_all_preexisting()
        node.registrations_at = now
        node.refresh_servers()
        node.record_initial_read(initial_sync.SyncStep.SERVERS)

    def find_read_age_ms(self) -> int:
        """Returns how long ago this instance read the registrations; -1 where it has not."""
        if self._servers_read_at == -math.inf:
            return -1
        return round((self._node.now() - self._servers_read_at) * 1000)

    def _find_configuration_wait(self) -> int:
        """Returns how long a call may wait for a change of the configuration, in milliseconds.

        Pattern: the fleet grows, and calls of the store must not grow with it. The more instances
        of the failure domain would tell of a change, the longer a connection may be silent.
        """
        count = 1 + len(self._node.fleet.list_domain_peers(self._node.now()))
        return min(CONFIGURATION_WAIT_MAX_MS, CONFIGURATION_WAIT_MS * count)

    def _find_servers_interval(self) -> float:
        """Returns the seconds between two reads of registrations."""
        bound = self._node.settings.bounds.leaving_seconds
        return min(SERVERS_SECONDS_MAX, SERVERS_PART * bound)

    def _find_patience(self) -> dict[store_rows.StoreTable, float]:
        """Returns how long another instance may know a newer change before it is asked."""
        return {
            store_rows.StoreTable.CONFIGURATION: CONFIGURATION_BEHIND_SECONDS,
            store_rows.StoreTable.SERVERS: self._find_servers_interval() + SERVERS_BEHIND_SECONDS,
        }

    def _apply_registration(self, now: float, row: store_rows.StoreRow) -> None:
        node = self._node
        try:
            entry = node.documents.read_registration(row)
        except errors.ProtocolError as error:
            events.log(events.Event.ROW_UNREADABLE, table="servers", key=row.key, error=str(error))
            # A row that cannot be read names no server to use.
            node.servers.remove(now, ids.BackendId(row.key), row.changed)
            return
        known = node.servers.find(entry.server.backend)
        before = known.registration.state if known else None
        if node.servers.merge(now, entry, row.changed):
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
            source = self.configuration.source
            node.provenance.record_adoption(node.now(), source, row.changed)
            node.metrics.record_configuration(table.version)
            events.log(
                events.Event.ROUTES_ADOPTED,
                version=table.version,
                routes=len(table.routes),
                source=source,
                position=str(row.changed),
            )

    def _record_call(self, report: table_follower.CallReport) -> None:
        node, outcome = self._node, report.outcome
        node.metrics.count_store_call(report.table.value, outcome.value)
        if report.table is not store_rows.StoreTable.CONFIGURATION:
            return
        if outcome is table_follower.CallOutcome.ANSWERED:
            node.provenance.store_answered_at = node.now()
        events.log(
            events.Event.STORE_CALL_ENDED,
            table=report.table.value,
            wait_ms=report.wait_ms,
            took_ms=round((node.now() - report.began) * 1000),
            outcome=outcome.value,
            detail=report.detail,
        )

    def _record_return(self) -> None:
        self._node.servers.record_store_recovery(self._node.now())
        self.watch.check()

    def _is_doubted(self) -> bool:
        table = store_rows.StoreTable.CONFIGURATION
        live = self._node.fleet.list_live(self._node.now())
        return any(self.is_behind(other, table) for other in live)

    def _log_server(self, name: ids.BackendId, change: str) -> None:
        known = self._node.servers.find(name)
        service = known.registration.server.service if known else ""
        events.log(events.Event.SERVER_CHANGED, backend=name, service=service, change=change)


def _do_nothing() -> None:
    """Stands in until an instance has others to tell."""


def is_newer(known: routes.RouteTable | None, table: routes.RouteTable) -> bool:
    """Tells whether a configuration replaces the one in force; an older one never does."""
    return known is None or table.version > known.version
