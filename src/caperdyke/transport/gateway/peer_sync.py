"""Asks other instances for rows that the store does not tell this one."""

import asyncio
import collections.abc

from caperdyke import errors
from caperdyke.coordination.registry import fleet, row_sources
from caperdyke.state import ids, store_rows
from caperdyke.transport import events
from caperdyke.transport.gateway import context, row_exchange, table_follower

# Time without an answer of the store after which any instance is asked, and interval between two
# of them, in seconds.
ANY_AFTER_SECONDS = 1.0
# Interval between two looks at whether another instance knows more, in seconds.
COMPARE_SECONDS = 0.1


class PeerSync:
    """The requests for rows that are under way.

    :param is_behind: tells whether another instance knows a newer change of a table.
    :param find_patience: returns for each table how long another instance may know a newer change
        before it is asked, in seconds.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        tables: dict[store_rows.StoreTable, table_follower.TableFollower],
        is_behind: collections.abc.Callable[[fleet.PeerInstance, store_rows.StoreTable], bool],
        find_patience: collections.abc.Callable[[], dict[store_rows.StoreTable, float]],
    ) -> None:
        self._node = node
        self._tables = tables
        self._is_behind = is_behind
        self._find_patience = find_patience
        self._sources = row_sources.RowSources()
        # Since when another instance knows a newer change of a table.
        self._behind_since: dict[store_rows.StoreTable, float] = {}
        self._asks: set[asyncio.Task] = set()
        self._any_at = 0.0
        self._turn = 0
        self._has_news = True

    def record_news(self) -> None:
        """Learns that another instance told of a position that it had not told before."""
        self._has_news = True

    async def follow(self) -> None:
        """Asks whoever knows more, for ever."""
        while True:
            await asyncio.sleep(COMPARE_SECONDS)
            now = self._node.now()
            # Own positions only grow: without news nobody is ahead who was not before.
            is_ahead_possible = self._has_news or bool(self._behind_since)
            if not is_ahead_possible and not self._is_cut_off(now):
                continue
            self._has_news = False
            live = self._node.fleet.list_live(now)
            address = self._find_ahead(now, live) or self._find_any(now, live)
            if address is not None and self._sources.may_request(now):
                self._sources.record_request_start(now, address)
                ask = asyncio.create_task(self._ask(address))
                self._asks.add(ask)
                ask.add_done_callback(self._asks.discard)

    def _find_ahead(self, now: float, live: list[fleet.PeerInstance]) -> ids.Address | None:
        """Returns an instance to ask, as this one has been behind it for too long, or None.

        Pattern: the store forgets its history and hands out states that are seconds old to some
        instances, while others have read what is newer.
        """
        chosen = None
        domain = self._node.settings.domain
        for table, seconds in self._find_patience().items():
            ahead = [other for other in live if self._is_behind(other, table)]
            if not ahead:
                self._behind_since.pop(table, None)
                continue
            since = self._behind_since.setdefault(table, now)
            # Within the failure domain one reads for all.
            mates = [other for other in ahead if other.record.domain == domain]
            is_shared = bool(mates) and table is store_rows.StoreTable.SERVERS
            if now >= since + seconds:
                chosen = self._sources.choose(now, ahead, domain, table) or chosen
            elif is_shared:
                chosen = self._sources.choose(now, mates, domain, table) or chosen
        return chosen

    def _find_any(self, now: float, live: list[fleet.PeerInstance]) -> ids.Address | None:
        """Returns the next instance to ask while the store is away, or None."""
        if now < self._any_at or not self._is_cut_off(now):
            return None
        self._any_at = now + ANY_AFTER_SECONDS
        addresses = [other.record.peer_address for other in live]
        addresses = addresses or list(self._node.settings.seeds)
        self._turn += 1
        return addresses[self._turn % len(addresses)] if addresses else None

    def _is_cut_off(self, now: float) -> bool:
        return any(
            item.away_since is not None and now > item.away_since + ANY_AFTER_SECONDS
            for item in self._tables.values()
        )

    async def _ask(self, address: ids.Address) -> None:
        after = {
            table: item.position or store_rows.FIRST_POSITION
            for table, item in self._tables.items()
        }
        try:
            readings = await row_exchange.fetch(address, after)
        except (errors.LinkClosedError, errors.ProtocolError) as error:
            self._sources.record_failed(self._node.now(), address)
            events.log(events.Event.LINK_CLOSED, peer=address, cause=str(error))
            return
        self._sources.record_answered(address)
        try:
            self._take(address, readings)
        except Exception as error:
            # Nobody awaits this task.
            events.log(events.Event.TASK_FAILED, task=f"rows of {address}", error=repr(error))

    def _take(self, address: ids.Address, readings: list[store_rows.StoreChanges]) -> None:
        for reading in readings:
            store_sync = self._tables.get(reading.table)
            if store_sync is None:
                continue
            if store_sync.apply_changes(reading, source=address) and reading.rows:
                events.log(
                    events.Event.ROWS_HEARD,
                    peer=address,
                    table=reading.table.value,
                    count=len(reading.rows),
                    position=str(reading.position),
                )
