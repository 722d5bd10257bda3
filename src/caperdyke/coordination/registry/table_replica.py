"""What an instance believes of one table of the store, and which readings it goes by."""

import dataclasses

from caperdyke.state import store_rows

# Removed rows that are remembered for other instances; who is farther behind gets the whole table.
REMOVED_MAX = 1000


class TableReplica:
    """The rows of one table as they were at one position of the store's order of changes.

    Pattern: the store forgets its history, hands out states that are seconds old, or comes back
    from an older copy of itself, while other instances read it too and tell what they know. The
    image only moves forward in the order of eras and positions. A whole reading that is no newer
    is no answer, and what a newer one lacks was removed by its position at the latest.
    """

    def __init__(self, table: store_rows.StoreTable) -> None:
        self._table = table
        self.position: store_rows.Position | None = None
        # Position of the newest change that is known.
        self.changed = store_rows.FIRST_POSITION
        self._rows: dict[str, store_rows.StoreRow] = {}
        # Position up to which removed rows are not remembered any more.
        self._removed_floor = store_rows.FIRST_POSITION

    def apply_changes(self, changes: store_rows.StoreChanges) -> list[store_rows.StoreRow] | None:
        """Takes over a reading and returns the rows that are news, removed ones included.

        :returns: None where the reading does not pass what is known already.
        """
        if changes.is_whole:
            if self.position is not None and changes.position <= self.position:
                return None
            rows = [*changes.rows, *self._find_missing(changes)]
        elif self.position is None or changes.position.era != self.position.era:
            # Changes mean nothing without the rows that they change.
            return None
        else:
            rows = list(changes.rows)
        if self.position is None or changes.position > self.position:
            self.position = changes.position
        news = [row for row in rows if self._is_news(row)]
        for row in news:
            self._rows[row.key] = row
            self.changed = max(self.changed, row.changed)
        self._forget_removed()
        return news

    def advance(self, changed: store_rows.Position, position: store_rows.Position) -> None:
        """Learns that the table has not changed between two positions.

        Keeps the position within the store's history though another instance does the reading.
        """
        known = self.position
        if known is not None and position.era == known.era and changed <= known < position:
            self.position = position

    def is_behind(self, position: store_rows.Position) -> bool:
        """Tells whether the table changed at a position that this image has not reached."""
        return self.position is None or self.position < position

    def list_changes(self, after: store_rows.Position) -> store_rows.StoreChanges | None:
        """Returns what another instance lacks that knows the table up to a position.

        :returns: None where this instance knows nothing itself.
        """
        if self.position is None:
            return None
        is_whole = after.era != self.position.era or after < self._removed_floor
        rows = tuple(
            row
            for row in self._rows.values()
            if (row.value is not None if is_whole else row.changed > after)
        )
        return store_rows.StoreChanges(self._table, rows, self.position, is_whole)

    def _find_missing(self, changes: store_rows.StoreChanges) -> list[store_rows.StoreRow]:
        """Returns the removals that a whole reading implies."""
        names = {row.key for row in changes.rows}
        return [
            dataclasses.replace(row, changed=changes.position, value=None)
            for row in self._rows.values()
            if row.key not in names and row.value is not None and row.changed <= changes.position
        ]

    def _is_news(self, row: store_rows.StoreRow) -> bool:
        known = self._rows.get(row.key)
        return known is None or row.changed > known.changed

    def _forget_removed(self) -> None:
        removed = [row for row in self._rows.values() if row.value is None]
        if len(removed) <= REMOVED_MAX:
            return
        removed.sort(key=lambda row: row.changed)
        for row in removed[: -REMOVED_MAX // 2]:
            self._removed_floor = row.changed
            del self._rows[row.key]
