"""Local replica of one table of the store, updated from reads of the store and of peers."""

import dataclasses

from caperdyke.state import store_rows

# Number of removed rows kept, without their values, for other instances; an instance that is
# farther behind gets the whole table.
REMOVED_ROWS_MAX = 1000


class TableReplica:
    """The rows of one table as of one position in the store's order of changes.

    Pattern: the store drops its history, returns states that are seconds old, or is restored from
    an older copy, while other instances read it too, restart and exchange rows. The replica only
    moves forward in the order of eras and positions. A snapshot that is no newer is rejected, and a
    row that a newer snapshot lacks was removed at the snapshot's position at the latest.

    A snapshot does not name the rows that were removed before it. So the replica remembers from
    which position on it has every change, and only an instance that has reached that position takes
    changes or the position over from it.

    :ivar position: position of the replica; None before the first snapshot.
    :ivar changed: position of the newest change that was applied.
    :ivar history_start: position after which the replica has every change, removals included.
    """

    def __init__(self, table: store_rows.StoreTable) -> None:
        self._table = table
        self.position: store_rows.Position | None = None
        self.changed = store_rows.FIRST_POSITION
        self.history_start = store_rows.FIRST_POSITION
        # Present rows, and those that were removed after the start of the history.
        self._rows: dict[str, store_rows.StoreRow] = {}

    def apply_changes(self, changes: store_rows.StoreChanges) -> list[store_rows.StoreRow] | None:
        """Applies a snapshot or changes and returns the rows that are newer, removed ones included.

        :param changes: a snapshot, or the changes after a position that this replica had.
        :returns: None if a snapshot is not newer than the replica, or if changes belong to another
            era or arrive before any snapshot.
        """
        if changes.is_whole:
            if self.position is not None and changes.position <= self.position:
                return None
            rows = [*changes.rows, *self._make_removed_rows(changes)]
        elif self.position is None or changes.position.era != self.position.era:
            # Changes cannot be applied without the rows that they change.
            return None
        else:
            rows = changes.rows
        newer_rows = []
        for row in rows:
            if self._is_newer(row, changes.is_whole):
                self._rows[row.key] = row
                self.changed = max(self.changed, row.changed)
                newer_rows.append(row)
        if self.position is None or changes.position > self.position:
            self.position = changes.position
        if changes.is_whole:
            self._start_history(changes.position)
        else:
            self._prune_removed_rows()
        return newer_rows

    @property
    def quiet_since(self) -> store_rows.Position:
        """Position from which on this replica has every change and knows of none.

        The start of the history counts, as the replica cannot tell what was removed before it.
        """
        return max(self.changed, self.history_start)

    def advance(self, quiet_since: store_rows.Position, position: store_rows.Position) -> bool:
        """Advances the position where the table has not changed between two positions.

        Keeps the position within the store's history while another instance does the reads. Both
        positions are of one moment of the other instance. What they say holds for good within an
        era, so it may arrive late, in any order, and after a restart of that instance.

        :param quiet_since: position from which on the other instance knows of no change.
        :param position: position up to which the other instance has the table.
        :returns: whether the position advanced.
        """
        current = self.position
        if current is None or position.era != current.era:
            return False
        if not quiet_since <= current < position:
            return False
        self.position = position
        return True

    def is_behind(self, position: store_rows.Position) -> bool:
        """Returns whether the replica has not reached a position yet."""
        return self.position is None or self.position < position

    def list_changes(self, after: store_rows.Position) -> store_rows.StoreChanges | None:
        """Returns the changes that another instance lacks, or the whole table.

        :param after: position up to which the other instance has the table.
        :returns: None if this replica is empty, before its first snapshot.
        """
        if self.position is None:
            return None
        is_whole = after.era != self.position.era or after < self.history_start
        rows = tuple(
            row
            for row in self._rows.values()
            if (row.value is not None if is_whole else row.changed > after)
        )
        return store_rows.StoreChanges(self._table, rows, self.position, is_whole)

    def _make_removed_rows(self, changes: store_rows.StoreChanges) -> list[store_rows.StoreRow]:
        """Returns the rows that a snapshot lacks, marked as removed at its position."""
        keys = {row.key for row in changes.rows}
        return [
            dataclasses.replace(row, changed=changes.position, value=None)
            for row in self._rows.values()
            if row.key not in keys and row.value is not None and row.changed <= changes.position
        ]

    def _is_newer(self, row: store_rows.StoreRow, is_of_snapshot: bool) -> bool:
        """Returns whether a row replaces the state that the replica has of its key.

        A key without a row has not changed since the start of the history, or has no row at the
        replica's position, so changes up to there are outdated.
        """
        current = self._rows.get(row.key)
        if current is not None:
            return row.changed > current.changed
        return is_of_snapshot or row.changed > self.position

    def _start_history(self, position: store_rows.Position) -> None:
        """Starts the history at the position of a snapshot, which names no earlier removal."""
        self.history_start = position
        self._rows = {
            row.key: row
            for row in self._rows.values()
            if row.value is not None or row.changed > position
        }

    def _prune_removed_rows(self) -> None:
        removed_rows = [row for row in self._rows.values() if row.value is None]
        if len(removed_rows) <= REMOVED_ROWS_MAX:
            return
        removed_rows.sort(key=lambda row: row.changed)
        for row in removed_rows[: -REMOVED_ROWS_MAX // 2]:
            self.history_start = row.changed
            del self._rows[row.key]
