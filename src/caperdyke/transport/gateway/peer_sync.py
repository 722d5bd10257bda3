"""Fetches rows from other instances that this one did not get from the store."""

import asyncio
import collections.abc
import dataclasses

from caperdyke import errors
from caperdyke.coordination.registry import fleet, row_sources
from caperdyke.state import ids, store_rows
from caperdyke.transport import events
from caperdyke.transport.gateway import context, row_exchange, table_sync

# Time without an answer of the store after which rows are fetched from any instance, and interval
# between two such fetches.
FALLBACK_AFTER_SECONDS = 1.0
# Interval between comparisons of the own positions with the announced ones.
COMPARE_INTERVAL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Lag:
    """A change of a table that others have and this instance lacks.

    :param changed: position of the newest change that any other had when the lag began.
    :param requested_from: time from which on the rows are requested from any instance.
    """

    changed: store_rows.Position
    requested_from: float


class PeerSync:
    """Fetches rows from instances that are ahead, or from any while the store is unavailable.

    :param is_behind: returns whether another instance has a newer change of a table.
    :param find_max_lags: returns for each table how long another instance may be ahead before its
        rows are fetched, in seconds.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        tables: dict[store_rows.StoreTable, table_sync.TableSync],
        is_behind: collections.abc.Callable[[fleet.PeerInstance, store_rows.StoreTable], bool],
        find_max_lags: collections.abc.Callable[[], dict[store_rows.StoreTable, float]],
    ) -> None:
        self._node = node
        self._tables = tables
        self._is_behind = is_behind
        self._find_max_lags = find_max_lags
        self._sources = row_sources.RowSources()
        self._lags: dict[store_rows.StoreTable, _Lag] = {}
        self._fetches: set[asyncio.Task] = set()
        self._next_fallback_at = 0.0
        self._fallback_index = 0
        self._has_new_position = True

    def record_new_position(self) -> None:
        """Records that another instance announced a position that it had not announced before."""
        self._has_new_position = True

    async def follow(self) -> None:
        """Fetches rows whenever another instance is ahead, forever."""
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_SECONDS)
            now = self._node.now()
            # The own positions only advance, so a peer can get ahead only by a new announcement.
            can_peer_be_ahead = self._has_new_position or bool(self._lags)
            if not can_peer_be_ahead and not self._is_store_unavailable(now):
                continue
            self._has_new_position = False
            live = self._node.fleet.list_live(now)
            address = self._select_peer_ahead(now, live) or self._select_fallback_peer(now, live)
            if address is not None and self._sources.may_request(now):
                self._sources.record_request_start(now, address)
                fetch_task = asyncio.create_task(self._fetch(address))
                self._fetches.add(fetch_task)
                fetch_task.add_done_callback(self._fetches.discard)

    def _select_peer_ahead(self, now: float, live: list[fleet.PeerInstance]) -> ids.Address | None:
        """Returns an instance that has been ahead for too long, or None.

        Pattern: the store loses its history and returns states that are seconds old to some
        instances, while others have read newer ones. Or the instances are replaced one after the
        other: one that has just started is ahead of all others without any change, and could only
        send them the whole table, until the next read in each failure domain.
        """
        selected = None
        domain = self._node.settings.domain
        for table, seconds in self._find_max_lags().items():
            ahead = [other for other in live if self._is_behind(other, table)]
            lag = self._update_lag(now, table, ahead, seconds)
            if lag is None:
                continue
            # One instance of a failure domain reads the registrations for all of them, so there is
            # no reason to wait for an own read.
            readers = [
                other
                for other in ahead
                if other.record.domain == domain and now >= other.first_seen_at + seconds
            ]
            is_one_reader_enough = bool(readers) and table is store_rows.StoreTable.SERVERS
            if now >= lag.requested_from:
                selected = self._sources.choose(now, ahead, domain, table) or selected
            elif is_one_reader_enough:
                selected = self._sources.choose(now, readers, domain, table) or selected
        return selected

    def _update_lag(
        self,
        now: float,
        table: store_rows.StoreTable,
        ahead: list[fleet.PeerInstance],
        seconds: float,
    ) -> _Lag | None:
        """Returns the present lag, or None if no instance is ahead.

        It begins anew once this instance has the change with which it began.
        """
        lag = self._lags.get(table)
        if not ahead:
            self._lags.pop(table, None)
            return None
        if lag is None or not self._tables[table].replica.is_behind(lag.changed):
            changed = max(other.changed[table] for other in ahead)
            lag = self._lags[table] = _Lag(changed, now + seconds)
        return lag

    def _select_fallback_peer(
        self, now: float, live: list[fleet.PeerInstance]
    ) -> ids.Address | None:
        """Returns the next instance in turn while the store is unavailable, or None."""
        if now < self._next_fallback_at or not self._is_store_unavailable(now):
            return None
        self._next_fallback_at = now + FALLBACK_AFTER_SECONDS
        addresses = [other.record.peer_address for other in live]
        addresses = addresses or list(self._node.settings.seeds)
        self._fallback_index += 1
        return addresses[self._fallback_index % len(addresses)] if addresses else None

    def _is_store_unavailable(self, now: float) -> bool:
        return any(
            item.away_since is not None and now > item.away_since + FALLBACK_AFTER_SECONDS
            for item in self._tables.values()
        )

    async def _fetch(self, address: ids.Address) -> None:
        after = {
            table: item.position or store_rows.FIRST_POSITION
            for table, item in self._tables.items()
        }
        try:
            table_changes = await row_exchange.fetch(address, after)
            self._sources.record_answered(address)
            self._apply_changes(address, table_changes)
        except (errors.LinkClosedError, errors.ProtocolError) as error:
            self._sources.record_failed(self._node.now(), address)
            events.log(events.Event.LINK_CLOSED, peer=address, cause=str(error))
        except Exception as error:
            # Nothing awaits this task, so the error would be lost, and the instance would count as
            # being asked for good.
            self._sources.record_failed(self._node.now(), address)
            events.log(events.Event.TASK_FAILED, task=f"rows of {address}", error=repr(error))

    def _apply_changes(
        self, address: ids.Address, table_changes: list[store_rows.StoreChanges]
    ) -> None:
        for changes in table_changes:
            local_table = self._tables.get(changes.table)
            if local_table is None:
                continue
            previous = local_table.position
            local_table.apply_changes(changes, source=address)
            if local_table.position != previous:
                events.log(
                    events.Event.ROWS_HEARD,
                    peer=address,
                    table=changes.table.value,
                    count=len(changes.rows),
                    previous=str(previous),
                    position=str(local_table.position),
                )
