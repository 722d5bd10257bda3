"""Rows of the platform's store and changes to them."""

import dataclasses
import enum

from caperdyke.state import ids


class StoreTable(enum.Enum):
    """Tables that an instance follows; only the platform's client has the platform's names."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    INSTANCES = "instances"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Position in the order of all changes of the store.

    :param era: counts how often the store was restored from an older copy of itself. Positions of
        an earlier era come before all of a later one, whatever their numbers.
    :param number: counts changes within an era; a later era uses numbers again.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


FIRST_POSITION = Position(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRow:
    """One row.

    :param changed: position of the row's last change.
    :param value: None where the row was removed.
    """

    table: StoreTable
    key: str
    changed: Position
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanges:
    """Rows of a table that changed after a position, or all its rows.

    :param position: position up to which these rows bring the table.
    :param is_whole: whether these are all rows of the table, so that any other was removed.
    """

    table: StoreTable
    rows: tuple[StoreRow, ...]
    position: Position
    is_whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """A failure domain whose backend servers are to get no requests."""

    domain: ids.DomainName
