"""What an instance believes of a table, whatever order readings arrive in."""

import dataclasses
import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import table_replica
from caperdyke.state import store_rows

TABLE = store_rows.StoreTable.SERVERS


def at(number: int, era: int = 0) -> store_rows.Position:
    """Returns a position in the order of the store's changes."""
    return store_rows.Position(era, number)


def make_row(key: str, changed: store_rows.Position, value: bytes | None = b"x"):
    """Returns a row of the table."""
    return store_rows.StoreRow(TABLE, key, changed, value)


def make_reading(position: store_rows.Position, *rows, is_whole: bool = True):
    """Returns a reading of the table."""
    return store_rows.StoreChanges(TABLE, rows, position, is_whole)


class TableImageTest(testtools.TestCase):
    """Single readings."""

    def setUp(self) -> None:
        super().setUp()
        self.image = table_replica.TableReplica(TABLE)
        self.image.apply_changes(make_reading(at(10), make_row("a", at(4)), make_row("b", at(6))))

    def find_keys(self) -> set[str]:
        """Returns the keys of the rows that are there."""
        found = self.image.list_changes(at(0, -1))
        return {row.key for row in found.rows}

    @parameterized.expand(
        [
            ("before what was lost", at(8)),
            ("at what was lost", at(10)),
            ("of an earlier era", at(99, -1)),
        ]
    )
    def test_whole_reading_that_is_no_newer_is_no_answer(self, _name, position) -> None:
        self.assertIsNone(self.image.apply_changes(make_reading(position, make_row("a", at(4)))))
        self.assertEqual({"a", "b"}, self.find_keys())

    def test_whole_reading_removes_what_it_lacks(self) -> None:
        news = self.image.apply_changes(make_reading(at(12), make_row("a", at(4))))
        self.assertEqual([make_row("b", at(12), None)], news)
        self.assertEqual({"a"}, self.find_keys())

    def test_changes_before_any_whole_reading_mean_nothing(self) -> None:
        image = table_replica.TableReplica(TABLE)
        self.assertIsNone(
            image.apply_changes(make_reading(at(3), make_row("a", at(3)), is_whole=False))
        )

    def test_changes_of_another_era_mean_nothing(self) -> None:
        changes = make_reading(at(11, 1), make_row("c", at(11, 1)), is_whole=False)
        self.assertIsNone(self.image.apply_changes(changes))

    def test_later_era_replaces_all(self) -> None:
        news = self.image.apply_changes(make_reading(at(5, 1), make_row("a", at(4, 1))))
        self.assertEqual({"a", "b"}, {row.key for row in news})
        self.assertEqual({"a"}, self.find_keys())

    def test_overtaken_changes_are_an_answer(self) -> None:
        """Pattern: another instance told of newer rows while the store was asked."""
        late = make_reading(at(9), make_row("a", at(4)), is_whole=False)
        self.assertEqual([], self.image.apply_changes(late))
        self.assertEqual(at(10), self.image.position)

    @parameterized.expand(
        [
            ("nothing changed since", at(10), at(15), at(15)),
            ("something changed since", at(11), at(15), at(10)),
            ("of another era", at(10), at(15, 1), at(10)),
        ]
    )
    def test_reading_of_another_instance(self, _name, changed, position, expected) -> None:
        self.image.advance(changed, position)
        self.assertEqual(expected, self.image.position)

    def test_who_is_far_behind_gets_the_whole_table(self) -> None:
        for number in range(table_replica.REMOVED_MAX + 1):
            row = make_row(f"gone-{number}", at(20 + number), None)
            self.image.apply_changes(make_reading(at(20 + number), row, is_whole=False))
        self.assertTrue(self.image.list_changes(at(11)).is_whole)
        self.assertFalse(self.image.list_changes(self.image.position).is_whole)


@dataclasses.dataclass
class _Truth:
    """A store whose whole history is known."""

    era: int = 1
    number: int = 0
    rows: dict[str, store_rows.StoreRow] = dataclasses.field(default_factory=dict)
    history: list[store_rows.StoreRow] = dataclasses.field(default_factory=list)
    copies: list[tuple[int, dict]] = dataclasses.field(default_factory=list)

    def change(self, chance: random.Random) -> None:
        """Writes or removes one row."""
        self.number += 1
        key = chance.choice("abcdef")
        value = chance.choice((None, b"1", b"2"))
        row = make_row(key, at(self.number, self.era), value)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self.history.append(row)

    def keep_copy(self) -> None:
        """Keeps the present state, to be read late or to come back to."""
        self.copies.append((self.number, dict(self.rows)))

    def come_back(self, chance: random.Random) -> None:
        """Starts a new era from a copy."""
        self.number, rows = chance.choice(self.copies)
        self.era += 1
        self.rows = {
            key: dataclasses.replace(row, changed=at(row.changed.number, self.era))
            for key, row in rows.items()
        }
        self.history.clear()
        self.copies.clear()
        self.keep_copy()

    def read(self, copy: tuple[int, dict] | None = None) -> store_rows.StoreChanges:
        """Returns a whole reading, of now or of a copy."""
        number, rows = copy or (self.number, self.rows)
        return make_reading(at(number, self.era), *rows.values())

    def read_after(self, position: store_rows.Position) -> store_rows.StoreChanges | None:
        """Returns the changes after a position, or None where there is no such history."""
        start = self.copies[0][0]
        if position.era != self.era or not start <= position.number <= self.number:
            return None
        rows = tuple(row for row in self.history if row.changed > position)
        return make_reading(at(self.number, self.era), *rows, is_whole=False)


class RandomOrderTest(testtools.TestCase):
    """Several instances that read, hear and are told stale states in any order."""

    @parameterized.expand([(f"seed {seed}", seed) for seed in range(200)])
    def test_images_move_forward_and_agree(self, _name, seed) -> None:
        chance = random.Random(seed)
        truth = _Truth()
        truth.keep_copy()
        images = [table_replica.TableReplica(TABLE) for _ in range(3)]
        late: list[store_rows.StoreChanges] = []
        for _ in range(60):
            image = chance.choice(images)
            before = image.position
            match chance.choice(
                ("change", "change", "read", "feed", "hear", "stale", "late", "era")
            ):
                case "change":
                    truth.change(chance)
                    truth.keep_copy()
                case "read":
                    reading = truth.read()
                    late.append(reading)
                    image.apply_changes(reading)
                case "feed" if before is not None:
                    reading = truth.read_after(before)
                    if reading is not None:
                        image.apply_changes(reading)
                case "hear":
                    reading = chance.choice(images).list_changes(before or at(0))
                    if reading is not None:
                        image.apply_changes(reading)
                case "stale":
                    image.apply_changes(truth.read(chance.choice(truth.copies)))
                case "late" if late:
                    image.apply_changes(chance.choice(late))
                case "era" if chance.random() < 0.2:
                    truth.come_back(chance)
            if before is not None:
                self.assertTrue(image.position >= before, f"{image.position} after {before}")
        truth.change(chance)
        for image in images:
            image.apply_changes(truth.read())
            whole = image.list_changes(at(0, -1))
            self.assertEqual(truth.rows, {row.key: row for row in whole.rows})
