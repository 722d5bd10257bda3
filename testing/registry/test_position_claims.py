"""Replicas that take over positions from each other, for any order of what may happen to them."""

import dataclasses
import random
import unittest.mock

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import table_replica
from caperdyke.state import store_rows

TABLE = store_rows.StoreTable.SERVERS
KEYS = "abcdef"
REPLICAS = 4
STEPS = 400
SEEDS = 12
# Messages under way at a time; any of them may arrive next, or never.
MESSAGES_MAX = 6
# Reads in progress at a time; any of them may go on next.
READS_MAX = 4
# Number of removed rows that a replica keeps in some orders, so that it prunes often.
FEW_REMOVED_ROWS = 4


@dataclasses.dataclass
class _Era:
    """Rows of a store at its start or restoring, and the changes since.

    :ivar first_number: number at which the era starts.
    :ivar number: number of the newest change of any table.
    """

    era: int
    first_number: int
    number: int
    rows: dict[str, store_rows.StoreRow]
    changes: list[store_rows.StoreRow] = dataclasses.field(default_factory=list)

    def make_position(self, number: int | None = None) -> store_rows.Position:
        """Returns a position, by default the newest one."""
        return store_rows.Position(self.era, self.number if number is None else number)

    def find_rows(self, number: int) -> dict[str, store_rows.StoreRow]:
        """Returns the present rows as of a position."""
        rows = dict(self.rows)
        for row in self.changes:
            if row.changed.number <= number:
                rows[row.key] = row
        return {key: row for key, row in rows.items() if row.value is not None}

    def list_states(self, key: str, number: int) -> list[store_rows.StoreRow | None]:
        """Returns the states of a row from a position on; None where it is not present."""
        states = [self.find_rows(number).get(key)]
        for row in self.changes:
            if row.key == key and row.changed.number > number:
                states.append(row if row.value is not None else None)
        return states


class _Store:
    """A store that numbers the changes of all its tables, with everything that it ever showed."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.eras = [_Era(0, 0, 0, {})]
        self.history_from = 0

    @property
    def now(self) -> _Era:
        """The present era."""
        return self.eras[-1]

    def change(self) -> None:
        """Writes or removes a row; where there is none to remove, another table changes."""
        era, key = self.now, self._rng.choice(KEYS)
        era.number += 1
        value = self._rng.choice((None, b"x"))
        if value is not None or key in era.find_rows(era.number):
            era.changes.append(store_rows.StoreRow(TABLE, key, era.make_position(), value))

    def restore(self) -> None:
        """Restores an older copy of the store."""
        old = self.now
        number = self._rng.randint(old.first_number, old.number)
        era = _Era(old.era + 1, number, number, {})
        era.rows = {
            key: dataclasses.replace(row, changed=era.make_position(row.changed.number))
            for key, row in old.find_rows(number).items()
        }
        self.eras.append(era)
        self.history_from = number

    def read_page(self, keys: str) -> "_Page":
        """Returns the present rows of some keys."""
        rows = self.now.find_rows(self.now.number)
        present = tuple(rows[key] for key in keys if key in rows)
        return _Page(self.now.make_position(), present)

    def read_table(self) -> store_rows.StoreChanges:
        """Returns all rows in two pages, of which the second may show later changes."""
        first, half = self.now, len(KEYS) // 2
        position, rows = first.make_position(), first.find_rows(first.number)
        if self._rng.random() < 0.3:
            self.change()
        later_rows = first.find_rows(first.number)
        pages = [rows[key] for key in KEYS[:half] if key in rows]
        pages += [later_rows[key] for key in KEYS[half:] if key in later_rows]
        return store_rows.StoreChanges(TABLE, tuple(pages), position, True)

    def read_changes_or_table(self, after: store_rows.Position | None) -> store_rows.StoreChanges:
        """Returns the changes after a position, or all rows without such a history."""
        changes = None if after is None else self.read_changes(after)
        return self.read_table() if changes is None else changes

    def read_changes(self, after: store_rows.Position) -> store_rows.StoreChanges | None:
        """Returns the changes after a position; None without such a history."""
        era = self.now
        if after.era != era.era or after.number < self.history_from:
            return None
        rows = {row.key: row for row in era.changes if row.changed > after}
        return store_rows.StoreChanges(TABLE, tuple(rows.values()), era.make_position(), False)


@dataclasses.dataclass(frozen=True)
class _Page:
    """A part of a table, and the position at which the store showed it."""

    position: store_rows.Position
    rows: tuple[store_rows.StoreRow, ...]


@dataclasses.dataclass
class _Read:
    """A read of a replica in progress.

    :param start: start of the replica that began it.
    :param after: position of the replica at that time.
    :param page: first page of the whole table; None before that.
    """

    replica: int
    start: int
    after: store_rows.Position | None
    page: _Page | None = None


@dataclasses.dataclass(frozen=True)
class _Announcement:
    """What a replica says of itself."""

    quiet_since: store_rows.Position
    position: store_rows.Position


@dataclasses.dataclass(frozen=True)
class _Message:
    """Something on its way to a replica.

    :param start: start of the receiver for which it is meant; None if it may arrive after a
        restart, as an announcement may.
    """

    receiver: int
    start: int | None
    content: store_rows.StoreChanges | _Announcement


class _Walk:
    """One seeded order of events, after each of which every replica is compared with the store.

    :param events: names of the methods that may be called, in the order of their weight.
    :param are_reads_apart: whether reads begin and end apart, so that they overlap, and the store
        and the replica change between their steps.
    """

    def __init__(
        self, seed: int, events: tuple[str, ...], starts_late: bool, are_reads_apart: bool
    ) -> None:
        self._rng = random.Random(seed)
        self._events = events
        self._are_reads_apart = are_reads_apart
        self.store = _Store(self._rng)
        self.replicas = [table_replica.TableReplica(TABLE) for _ in range(REPLICAS)]
        self._starts = [0] * REPLICAS
        self._messages: list[_Message] = []
        self._reads: list[_Read] = []
        if not starts_late:
            for replica in self.replicas:
                replica.apply_changes(self.store.read_table())

    def play(self) -> list[str]:
        """Plays all steps; returns what is wrong after the first step that breaks a claim."""
        for step in range(STEPS):
            event = self._rng.choice(self._events)
            getattr(self, event)()
            faults = self.list_faults()
            if faults:
                return [f"step {step}, {event}", *faults]
        return []

    def list_faults(self) -> list[str]:
        """Returns the rows that a replica holds or lacks wrongly at its position."""
        return [
            f"replica {number} at {replica.position}: {key} is {held}, expected one of {states}"
            for number, replica in enumerate(self.replicas)
            if replica.position is not None
            for key, held, states in self._compare(replica)
        ]

    def _compare(self, replica: table_replica.TableReplica):
        snapshot = replica.list_changes(store_rows.Position(-1, 0))
        rows = {row.key: row for row in snapshot.rows}
        era = self.store.eras[replica.position.era]
        for key in KEYS:
            states = era.list_states(key, replica.position.number)
            if rows.get(key) not in states:
                yield key, rows.get(key), states

    def change(self) -> None:
        """The store changes."""
        self.store.change()

    def read(self) -> None:
        """A replica reads the store, or begins to, and any of the reads in progress go on."""
        number = self._rng.randrange(REPLICAS)
        position, start = self.replicas[number].position, self._starts[number]
        if not self._are_reads_apart:
            self._send(number, self.store.read_changes_or_table(position), start)
            return
        self._reads.append(_Read(number, start, position))
        while self._reads and (len(self._reads) > READS_MAX or self._rng.random() < 0.7):
            self._go_on(self._rng.choice(self._reads))

    def _go_on(self, read: _Read) -> None:
        """Lets the store answer the next call of a read."""
        half = len(KEYS) // 2
        if read.page is not None:
            self._reads.remove(read)
            last = self.store.read_page(KEYS[half:])
            # The client of the store discards pages of different eras.
            if last.position.era == read.page.position.era:
                rows = read.page.rows + last.rows
                changes = store_rows.StoreChanges(TABLE, rows, read.page.position, True)
                self._send(read.replica, changes, read.start)
            return
        changes = None if read.after is None else self.store.read_changes(read.after)
        if changes is None:
            read.page = self.store.read_page(KEYS[:half])
        else:
            self._reads.remove(read)
            self._send(read.replica, changes, read.start)

    def exchange(self) -> None:
        """A replica requests the rows that it lacks from another one."""
        number, other = self._rng.sample(range(REPLICAS), 2)
        position = self.replicas[number].position or store_rows.FIRST_POSITION
        changes = self.replicas[other].list_changes(position)
        if changes is not None:
            self._send(number, changes, self._starts[number])

    def announce(self) -> None:
        """A replica announces to another one which changes it has."""
        number, other = self._rng.sample(range(REPLICAS), 2)
        sender = self.replicas[other]
        if sender.position is not None:
            self._send(number, _Announcement(sender.quiet_since, sender.position), None)

    def lose_history(self) -> None:
        """The store forgets its history."""
        self.store.history_from = self.store.now.number

    def restore(self) -> None:
        """The store is restored from an older copy, now and then."""
        if self._rng.random() < 0.1:
            self.store.restore()

    def restart(self) -> None:
        """A replica starts anew."""
        number = self._rng.randrange(REPLICAS)
        self.replicas[number] = table_replica.TableReplica(TABLE)
        self._starts[number] += 1
        self._reads = [read for read in self._reads if read.replica != number]

    def _send(
        self,
        receiver: int,
        content: store_rows.StoreChanges | _Announcement,
        start: int | None,
    ) -> None:
        """Sends a message, then lets any of those under way arrive.

        :param start: start of the receiver for which it is meant; None for any.
        """
        self._messages.append(_Message(receiver, start, content))
        if self._rng.random() < 0.3 and len(self._messages) < MESSAGES_MAX:
            return
        message = self._messages.pop(self._rng.randrange(len(self._messages)))
        if message.start is not None and message.start != self._starts[message.receiver]:
            return
        replica = self.replicas[message.receiver]
        match message.content:
            case store_rows.StoreChanges():
                replica.apply_changes(message.content)
            case _Announcement():
                replica.advance(message.content.quiet_since, message.content.position)


CALM = ("change", "change", "read", "exchange", "announce")
CASES = [
    ("calm", CALM, False, None),
    ("late starts", CALM, True, None),
    ("lost history", (*CALM, "lose_history"), False, None),
    ("restarts", (*CALM, "restart"), False, None),
    ("restarts, exchanges only", ("change", "change", "read", "exchange", "restart"), False, None),
    ("restarts, announcements only", ("change", "read", "announce", "restart"), False, None),
    ("pruned removals", CALM, False, FEW_REMOVED_ROWS),
    ("restored store", (*CALM, "restore"), False, None),
    (
        "everything",
        (*CALM, *CALM, "restart", "lose_history", "restore"),
        True,
        FEW_REMOVED_ROWS,
    ),
]


class PositionClaimTest(testtools.TestCase):
    """A replica at a position holds no row that was removed up to it, and lacks none."""

    @parameterized.expand(
        [
            (f"{name}{kind}, seed {seed}", seed, events, starts_late, removed_max, are_reads_apart)
            for name, events, starts_late, removed_max in CASES
            for kind, are_reads_apart in (("", False), (", reads apart", True))
            for seed in range(SEEDS)
        ]
    )
    def test_position_is_claimed_only_with_every_removal_up_to_it(
        self, _name, seed, events, starts_late, removed_max, are_reads_apart
    ) -> None:
        removed_max = removed_max or table_replica.REMOVED_ROWS_MAX
        with unittest.mock.patch.object(table_replica, "REMOVED_ROWS_MAX", removed_max):
            walk = _Walk(seed, events, starts_late, are_reads_apart)
            self.assertEqual([], walk.play())
        for replica in walk.replicas:
            replica.apply_changes(walk.store.read_table())
            while replica.position != walk.store.now.make_position():
                replica.apply_changes(walk.store.read_changes_or_table(replica.position))
        self.assertEqual([], walk.list_faults())
