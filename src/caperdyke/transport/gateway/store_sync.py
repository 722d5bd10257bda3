"""Keeps the gateway's configuration and server registrations in step with the store."""

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
    store_outage,
)
from caperdyke.state import ids, routes, store_rows
from caperdyke.transport import events
from caperdyke.transport.gateway import (
    configuration_watch,
    context,
    peer_sync,
    row_exchange,
    table_sync,
)

# Longest wait of a long poll for the configuration: per instance of the failure domain that would
# announce a change, this one included, and at most.
CONFIGURATION_WAIT_MS = 3000
CONFIGURATION_WAIT_MAX_MS = 12_000
# With strict revocation, the longest wait of a long poll as a ratio of the time after which the
# configuration counts as not confirmed, and the age at which a stalled long poll is replaced. An
# answer confirms the state at the start of its call, so two waits and the replacement must fit in.
CONFIRM_WAIT_RATIO = 0.25
CONFIRM_CHECK_RATIO = 0.6
# Longest interval between reads of the registrations by any instance of the failure domain: as a
# ratio of the time after which a leaving server must get no new requests, and at most.
SERVERS_READ_RATIO = 0.45
SERVERS_READ_MAX_SECONDS = 1.2
# Longest time for which requests wait for the read that follows a pause of this instance. It covers
# a second call, and a processor that is busy with the requests of the time of the pause.
PAUSE_READ_SECONDS_MAX = 1.0
# Time for which another instance may have a newer configuration before its rows are requested. The
# store is called earlier than that.
CONFIGURATION_LAG_SECONDS = 0.5
# The same for registrations that no instance of the own failure domain has either, in addition to
# the read interval.
SERVERS_LAG_MARGIN_SECONDS = 0.1


class StoreSync:
    """Applies changes in the store's tables to the gateway's state.

    :param rng: spreads calls of the store over time.
    :ivar on_servers_read: called after each successful read of the registrations.
    :ivar on_configuration_changed: called after each change of the configuration.
    """

    def __init__(self, node: context.GatewayContext, rng: random.Random | None = None) -> None:
        self._node = node
        rng = rng or random.Random()
        tables = store_rows.StoreTable
        self.configuration = table_sync.TableSync(
            node.store,
            tables.CONFIGURATION,
            self.apply_configuration,
            node.now,
            rng,
            self._record_call,
            node.record_initial_failure,
            on_confirmed=node.provenance.record_confirmation,
            find_running_since=node.pauses.find_running_since,
        )
        self.servers = table_sync.TableSync(
            node.store,
            tables.SERVERS,
            self.apply_servers,
            node.now,
            rng,
            self._record_call,
            node.record_initial_failure,
            self._record_recovery,
            self._record_servers_read,
            node.pauses.find_running_since,
        )
        node.provenance.calls = self.configuration.calls
        self._tables = {item.table: item for item in (self.configuration, self.servers)}
        self._evacuations = evacuations.Evacuations()
        self.watch = configuration_watch.ConfigurationWatch(
            self.configuration, node.now, self._find_configuration_wait, self._is_peer_ahead
        )
        # Whether it is already logged that another instance has a newer configuration.
        self._is_ahead_logged = False
        self.peer_sync = peer_sync.PeerSync(node, self._tables, self.is_behind, self._find_max_lags)
        self._own_read_at = -math.inf
        self._confirmed_at = -math.inf
        self._read_schedule = read_schedule.ReadSchedule(rng)
        node.find_registrations_confirmed_at = self._find_confirmed_at
        node.is_read_awaited = self.is_read_awaited
        self.on_servers_read: collections.abc.Callable[[], None] = _do_nothing
        self.on_configuration_changed: collections.abc.Callable[[], None] = _do_nothing

    def record_peer_ahead(self, other: fleet.PeerInstance) -> None:
        """Schedules a check of the store, as another instance has a newer configuration."""
        table = store_rows.StoreTable.CONFIGURATION
        if self.configuration.position is None:
            # The first read is still in progress.
            return
        if not self._is_ahead_logged:
            self._is_ahead_logged = True
            events.log(
                events.Event.INSTANCE_AHEAD,
                instance=other.record.instance,
                table=table.value,
                theirs=str(other.changed[table]),
                own=str(self.configuration.position),
            )
        self.watch.record_peer_ahead()

    async def sync_servers(self) -> None:
        """Reads the registrations whenever a read is due, forever."""
        while True:
            started_at, was_away = self._node.now(), self.servers.away_since is not None
            if not await self.servers.read_now():
                if not was_away:
                    # The connection of the long poll for the configuration may have stalled too.
                    self.watch.check()
                await self._wait_until_retry_due(started_at)
                continue
            self.on_servers_read()
            await self._wait_until_read_due()

    async def _wait_until_retry_due(self, started_at: float) -> None:
        """Waits before the read that follows a failed one.

        Pattern: the store is silent for some seconds, without refusing calls. A call is always in
        progress then, so that its answer arrives as soon as the store goes on.

        :param started_at: start of the failed read.
        """
        if self._node.now() < started_at + configuration_watch.LOST_CALL_MIN_SECONDS:
            await asyncio.sleep(self.servers.compute_retry_delay())

    async def _wait_until_read_due(self) -> None:
        """Waits until no instance of the failure domain has read the registrations recently."""
        while True:
            now = self._node.now()
            peer_reads_at = self._list_peer_reads(now)
            self._confirmed_at = max((self._own_read_at, *peer_reads_at))
            next_read_at = self._read_schedule.compute_read_time(
                self._own_read_at, peer_reads_at, self._find_servers_interval()
            )
            is_outdated = self._confirmed_at < self._node.pauses.find_running_since(now)
            if now >= next_read_at or is_outdated:
                return
            await asyncio.sleep(min(peer_sync.COMPARE_INTERVAL_SECONDS, next_read_at - now))

    def list_changes_since(self, after: row_exchange.Positions) -> list[store_rows.StoreChanges]:
        """Returns the changes of each table that an instance at these positions lacks."""
        table_changes = [
            item.replica.list_changes(after.get(table, store_rows.FIRST_POSITION))
            for table, item in self._tables.items()
        ]
        return [changes for changes in table_changes if changes is not None]

    def find_changed(self) -> row_exchange.Positions:
        """Returns the position of the newest known change of each table, for the other instances.

        They take over the position of the registrations, so for these the result is no lower than
        the position from which on this instance has every change.
        """
        return {
            self.configuration.table: self.configuration.replica.changed,
            self.servers.table: self.servers.replica.quiet_since,
        }

    def find_era(self) -> int:
        """Returns the newest known era of the store; 0 before the first read."""
        positions = [item.position for item in self._tables.values() if item.position]
        return max((position.era for position in positions), default=0)

    def record_peer_reading(self, other: fleet.PeerInstance, position: store_rows.Position) -> None:
        """Records that another instance found no change of registrations up to a position."""
        table = store_rows.StoreTable.SERVERS
        previous = self.servers.position
        if self.servers.replica.advance(other.changed[table], position):
            events.log(
                events.Event.POSITION_ADVANCED,
                instance=other.record.instance,
                table=table.value,
                previous=str(previous),
                position=str(position),
                changed=str(other.changed[table]),
            )

    def is_behind(self, other: fleet.PeerInstance, table: store_rows.StoreTable) -> bool:
        """Returns whether another instance has a newer change of a table."""
        changed = other.changed.get(table, store_rows.FIRST_POSITION)
        return changed > store_rows.FIRST_POSITION and self._tables[table].replica.is_behind(
            changed
        )

    def apply_configuration(self, rows: list[store_rows.StoreRow]) -> None:
        """Applies changed rows of the configuration, including evacuations."""
        now = self._node.now()
        self._is_ahead_logged = False
        for row in rows:
            evacuation = self._node.documents.read_evacuation(row)
            if evacuation is not None:
                is_ordered = row.value is not None
                self._evacuations.apply_change(now, evacuation.domain, row.changed, is_ordered)
                continue
            self._apply_route_table(row)
        self.update_evacuations()
        self._node.record_initial_read(initial_sync.SyncStep.CONFIGURATION)
        if rows:
            self.on_configuration_changed()

    def update_evacuations(self) -> None:
        """Applies the evacuations that are active now; some of them end at a set time."""
        node, now = self._node, self._node.now()
        active, ended = self._evacuations.update(now)
        table = node.routes
        cold_ms = max((item.cold_ms for item in table.services.values()), default=0) if table else 0
        for domain in ended:
            # Servers that were idle during the evacuation are cold when it ends.
            node.cold_domains[domain] = now + cold_ms / 1000
        if active != node.evacuated:
            node.evacuate(active)
            events.log(events.Event.EVACUATION_CHANGED, domains=sorted(active))

    def apply_servers(self, rows: list[store_rows.StoreRow]) -> None:
        """Applies changed rows of the registrations."""
        node, now = self._node, self._node.now()
        removed = []
        for row in rows:
            name = ids.BackendId(row.key)
            if row.value is None:
                if node.servers.remove(now, name, row.changed):
                    removed.append(row)
                continue
            try:
                self._apply_registration(now, row)
            except Exception as error:
                # The replica has the rows already, so the others would never be applied.
                self._reject_registration(now, row, repr(error))
        if node.registrations_at is None:
            # Servers in the first read, from the store or another instance, were in service before.
            node.servers.mark_all_preexisting()
        node.registrations_at = now
        for row in removed:
            registered = node.servers.find(ids.BackendId(row.key))
            node.log_server_removed(
                registered, row.changed, self.servers.source, self._find_confirmed_at()
            )
        node.refresh_servers()
        node.record_initial_read(initial_sync.SyncStep.SERVERS)

    def _list_peer_reads(self, now: float) -> list[float]:
        """Returns the times as of which instances of the failure domain confirm the registrations.

        The read of a peer counts only once this instance has the changes that it returned.
        """
        table = store_rows.StoreTable.SERVERS
        return [
            -math.inf if self.is_behind(peer, table) else peer.read_at
            for peer in self._node.fleet.list_domain_peers(now)
        ]

    def _record_servers_read(self, started_at: float) -> None:
        # The answer shows a state of the store that is no older than the start of the call.
        self._own_read_at = max(self._own_read_at, started_at)

    def _find_confirmed_at(self) -> float:
        """Returns the time as of which the registrations are known; minus infinity if never."""
        return max(self._own_read_at, self._confirmed_at)

    def is_read_awaited(self) -> bool:
        """Returns whether requests wait for a read, as this instance was paused after the last one.

        Pattern: servers left during the pause, and requests that arrived meanwhile are handled
        before anything has been read again.
        """
        now = self._node.now()
        running_since = self._node.pauses.find_running_since(now)
        is_confirmed = self._find_confirmed_at() >= running_since
        is_waiting_over = now >= running_since + PAUSE_READ_SECONDS_MAX
        return not is_confirmed and not is_waiting_over and self.servers.away_since is None

    def find_read_age_ms(self) -> int:
        """Returns the time since this instance read the registrations; -1 before the first read."""
        if self._own_read_at == -math.inf:
            return -1
        return round((self._node.now() - self._own_read_at) * 1000)

    def _find_configuration_wait(self) -> int:
        """Returns how long a long poll for the configuration may wait, in milliseconds.

        Pattern: the fleet grows, and the rate of store calls must not grow with it. The more
        instances of the failure domain would announce a change, the longer a stalled connection
        may go unnoticed.
        """
        count = 1 + len(self._node.fleet.list_domain_peers(self._node.now()))
        wait_ms = min(CONFIGURATION_WAIT_MAX_MS, CONFIGURATION_WAIT_MS * count)
        teams = self._node.settings.teams
        if teams.is_revocation_strict:
            wait_ms = min(wait_ms, round(teams.revoke_seconds * CONFIRM_WAIT_RATIO * 1000))
        return wait_ms

    def confirm_configuration(self) -> None:
        """Calls the store if strict revocation needs a confirmation of the configuration soon.

        Pattern: the connection of the long poll has stalled. It is replaced before the requests
        that need a key are refused.
        """
        node, teams = self._node, self._node.settings.teams
        if not teams.is_revocation_strict or self.configuration.position is None:
            return
        seconds = teams.revoke_seconds * CONFIRM_CHECK_RATIO
        if not node.provenance.is_confirmed(node.now(), seconds):
            self.watch.check()

    def _find_servers_interval(self) -> float:
        """Returns the longest time between two reads of the registrations, in seconds."""
        bound = self._node.settings.bounds.leaving_seconds
        return min(SERVERS_READ_MAX_SECONDS, SERVERS_READ_RATIO * bound)

    def _find_max_lags(self) -> dict[store_rows.StoreTable, float]:
        """Returns how long a peer may be ahead before its rows are requested, in seconds."""
        return {
            store_rows.StoreTable.CONFIGURATION: CONFIGURATION_LAG_SECONDS,
            store_rows.StoreTable.SERVERS: self._find_servers_interval()
            + SERVERS_LAG_MARGIN_SECONDS,
        }

    def _apply_registration(self, now: float, row: store_rows.StoreRow) -> None:
        node = self._node
        try:
            entry = node.documents.read_registration(row)
        except errors.ProtocolError as error:
            self._reject_registration(now, row, str(error))
            return
        current = node.servers.find(entry.server.backend)
        previous_state = current.registration.state if current else None
        if node.servers.merge(now, entry, row.changed):
            if current is not None:
                node.reset_view(entry.server.backend)
            self._log_server(entry.server.backend, f"started, cold for {entry.cold_ms} ms")
        elif previous_state is not entry.state:
            self._log_server(entry.server.backend, entry.state.value)

    def _reject_registration(self, now: float, row: store_rows.StoreRow, error: str) -> None:
        events.log(events.Event.ROW_UNREADABLE, table="servers", key=row.key, error=error)
        # A server whose row cannot be decoded must not be used.
        self._node.servers.remove(now, ids.BackendId(row.key), row.changed)

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
            for fault in table.teams.faults if table.teams is not None else ():
                events.log(events.Event.TEAM_INVALID, version=table.version, fault=fault)

    def _record_call(self, report: table_sync.CallReport) -> None:
        node, outcome = self._node, report.outcome
        node.metrics.count_store_call(report.table.value, outcome.value)
        if report.table is not store_rows.StoreTable.CONFIGURATION:
            return
        if outcome is table_sync.CallOutcome.ANSWERED:
            node.provenance.store_answered_at = node.now()
        events.log(
            events.Event.STORE_CALL_ENDED,
            table=report.table.value,
            wait_ms=report.wait_ms,
            took_ms=round((node.now() - report.started_at) * 1000),
            outcome=outcome.value,
            detail=report.detail,
        )

    def _record_recovery(self, unanswered_since: float, is_answered: bool) -> None:
        node, now = self._node, self._node.now()
        outage_seconds = store_outage.compute_outage(
            unanswered_since,
            now,
            [
                self._own_read_at,
                node.provenance.store_answered_at,
                *(peer.read_at for peer in node.fleet.list_live(now)),
            ],
            self._find_servers_interval(),
            node.pauses.find_running_since(now),
        )
        may_have_lapsed = store_outage.may_have_lapsed(
            outage_seconds, node.settings.heartbeat_seconds
        )
        is_new_era = unanswered_since == -math.inf
        if not is_new_era:
            events.log(
                events.Event.STORE_OUTAGE_ENDED,
                seconds=round(outage_seconds, 2),
                may_have_lapsed=may_have_lapsed,
            )
        if may_have_lapsed:
            node.servers.record_store_recovery(now, self.servers.position if is_new_era else None)
        if is_answered:
            self.watch.check()

    def _is_peer_ahead(self) -> bool:
        table = store_rows.StoreTable.CONFIGURATION
        live = self._node.fleet.list_live(self._node.now())
        return any(self.is_behind(other, table) for other in live)

    def _log_server(self, name: ids.BackendId, change: str) -> None:
        current = self._node.servers.find(name)
        service = current.registration.server.service if current else ""
        events.log(events.Event.SERVER_CHANGED, backend=name, service=service, change=change)


def _do_nothing() -> None:
    """Default callback."""


def is_newer(current: routes.RouteTable | None, table: routes.RouteTable) -> bool:
    """Returns whether a configuration replaces the one in force; an older one never does."""
    return current is None or table.version > current.version
