"""Replicas of a table, for reads that arrive in any order."""

import dataclasses
import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import table_replica
from caperdyke.state import store_rows

TABLE = store_rows.StoreTable.SERVERS


def make_position(number: int, era: int = 0) -> store_rows.Position:
    """Returns a position in the order of the store's changes."""
    return store_rows.Position(era, number)


def make_row(key: str, changed: store_rows.Position, value: bytes | None = b"x"):
    """Returns a row of the table."""
    return store_rows.StoreRow(TABLE, key, changed, value)


def make_read(position: store_rows.Position, *rows, is_whole: bool = True):
    """Returns a read of the table: a snapshot or the changes up to a position."""
    return store_rows.StoreChanges(TABLE, rows, position, is_whole)


class TableReplicaTest(testtools.TestCase):
    """Single reads applied to a replica."""

    def setUp(self) -> None:
        super().setUp()
        self.replica = table_replica.TableReplica(TABLE)
        self.replica.apply_changes(
            make_read(
                make_position(10), make_row("a", make_position(4)), make_row("b", make_position(6))
            )
        )

    def find_keys(self) -> set[str]:
        """Returns the keys of the present rows."""
        changes = self.replica.list_changes(make_position(0, -1))
        return {row.key for row in changes.rows}

    @parameterized.expand(
        [
            ("before what was lost", make_position(8)),
            ("at what was lost", make_position(10)),
            ("of an earlier era", make_position(99, -1)),
        ]
    )
    def test_snapshot_that_is_no_newer_is_rejected(self, _name, position) -> None:
        self.assertIsNone(
            self.replica.apply_changes(make_read(position, make_row("a", make_position(4))))
        )
        self.assertEqual({"a", "b"}, self.find_keys())

    def test_snapshot_removes_rows_that_it_lacks(self) -> None:
        newer_rows = self.replica.apply_changes(
            make_read(make_position(12), make_row("a", make_position(4)))
        )
        self.assertEqual([make_row("b", make_position(12), None)], newer_rows)
        self.assertEqual({"a"}, self.find_keys())

    def test_changes_before_any_snapshot_are_rejected(self) -> None:
        replica = table_replica.TableReplica(TABLE)
        self.assertIsNone(
            replica.apply_changes(
                make_read(make_position(3), make_row("a", make_position(3)), is_whole=False)
            )
        )

    def test_changes_of_another_era_are_rejected(self) -> None:
        changes = make_read(
            make_position(11, 1), make_row("c", make_position(11, 1)), is_whole=False
        )
        self.assertIsNone(self.replica.apply_changes(changes))

    def test_snapshot_of_a_later_era_replaces_all_rows(self) -> None:
        newer_rows = self.replica.apply_changes(
            make_read(make_position(5, 1), make_row("a", make_position(4, 1)))
        )
        self.assertEqual({"a", "b"}, {row.key for row in newer_rows})
        self.assertEqual({"a"}, self.find_keys())

    def test_changes_that_arrive_late_are_accepted(self) -> None:
        """Pattern: another instance sent newer rows while a read of the store was pending."""
        late_read = make_read(make_position(9), make_row("a", make_position(4)), is_whole=False)
        self.assertEqual([], self.replica.apply_changes(late_read))
        self.assertEqual(make_position(10), self.replica.position)

    @parameterized.expand(
        [
            ("nothing changed since", make_position(10), make_position(15), make_position(15)),
            ("something changed since", make_position(11), make_position(15), make_position(10)),
            ("of another era", make_position(10), make_position(15, 1), make_position(10)),
        ]
    )
    def test_advance_to_the_position_of_another_instance(
        self, _name, changed, position, expected
    ) -> None:
        self.replica.advance(changed, position)
        self.assertEqual(expected, self.replica.position)

    def test_instance_that_is_far_behind_gets_the_whole_table(self) -> None:
        for number in range(table_replica.REMOVED_ROWS_MAX + 1):
            row = make_row(f"gone-{number}", make_position(20 + number), None)
            self.replica.apply_changes(make_read(make_position(20 + number), row, is_whole=False))
        self.assertTrue(self.replica.list_changes(make_position(11)).is_whole)
        self.assertFalse(self.replica.list_changes(self.replica.position).is_whole)


@dataclasses.dataclass
class _StoreModel:
    """Model of a store with its complete history."""

    era: int = 1
    number: int = 0
    rows: dict[str, store_rows.StoreRow] = dataclasses.field(default_factory=dict)
    history: list[store_rows.StoreRow] = dataclasses.field(default_factory=list)
    copies: list[tuple[int, dict]] = dataclasses.field(default_factory=list)

    def change(self, rng: random.Random) -> None:
        """Writes or removes one row."""
        self.number += 1
        key = rng.choice("abcdef")
        value = rng.choice((None, b"1", b"2"))
        row = make_row(key, make_position(self.number, self.era), value)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self.history.append(row)

    def keep_copy(self) -> None:
        """Keeps the present state, for stale reads and for restoring."""
        self.copies.append((self.number, dict(self.rows)))

    def restore(self, rng: random.Random) -> None:
        """Restores the store from a copy, which starts a new era."""
        self.number, rows = rng.choice(self.copies)
        self.era += 1
        self.rows = {
            key: dataclasses.replace(row, changed=make_position(row.changed.number, self.era))
            for key, row in rows.items()
        }
        self.history.clear()
        self.copies.clear()
        self.keep_copy()

    def read(self, copy: tuple[int, dict] | None = None) -> store_rows.StoreChanges:
        """Returns a snapshot of the present state or of a copy."""
        number, rows = copy or (self.number, self.rows)
        return make_read(make_position(number, self.era), *rows.values())

    def read_after(self, position: store_rows.Position) -> store_rows.StoreChanges | None:
        """Returns the changes after a position, or None without such a history."""
        start = self.copies[0][0]
        if position.era != self.era or not start <= position.number <= self.number:
            return None
        rows = tuple(row for row in self.history if row.changed > position)
        return make_read(make_position(self.number, self.era), *rows, is_whole=False)


class RandomOrderTest(testtools.TestCase):
    """Several instances that get fresh, stale, late and exchanged reads in any order."""

    @parameterized.expand([(f"seed {seed}", seed) for seed in range(200)])
    def test_replicas_move_forward_and_converge(self, _name, seed) -> None:
        rng = random.Random(seed)
        store = _StoreModel()
        store.keep_copy()
        replicas = [table_replica.TableReplica(TABLE) for _ in range(3)]
        late_reads: list[store_rows.StoreChanges] = []
        for _ in range(60):
            replica = rng.choice(replicas)
            before = replica.position
            match rng.choice(("change", "change", "read", "feed", "hear", "stale", "late", "era")):
                case "change":
                    store.change(rng)
                    store.keep_copy()
                case "read":
                    read_result = store.read()
                    late_reads.append(read_result)
                    replica.apply_changes(read_result)
                case "feed" if before is not None:
                    read_result = store.read_after(before)
                    if read_result is not None:
                        replica.apply_changes(read_result)
                case "hear":
                    read_result = rng.choice(replicas).list_changes(before or make_position(0))
                    if read_result is not None:
                        replica.apply_changes(read_result)
                case "stale":
                    replica.apply_changes(store.read(rng.choice(store.copies)))
                case "late" if late_reads:
                    replica.apply_changes(rng.choice(late_reads))
                case "era" if rng.random() < 0.2:
                    store.restore(rng)
            if before is not None:
                self.assertTrue(replica.position >= before, f"{replica.position} after {before}")
        store.change(rng)
        for replica in replicas:
            replica.apply_changes(store.read())
            snapshot = replica.list_changes(make_position(0, -1))
            self.assertEqual(store.rows, {row.key: row for row in snapshot.rows})
