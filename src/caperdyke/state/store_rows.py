"""Rows of the platform's store and changes to them."""

import dataclasses
import enum

from caperdyke.state import ids


class StoreTable(enum.Enum):
    """Tables that an instance follows; the platform's own names stay with its client."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    INSTANCES = "instances"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in the order of all changes of the store.

    :param era: counts how often the store came back from an older copy of itself. Positions of an
        earlier era come before all of a later one, whatever their numbers.
    :param number: counts changes within an era; a later era gives out numbers again.
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
    """Rows of a table that changed after a position, or all of them.

    :param position: position up to which the table is known with these rows.
    :param is_whole: whether the rows are all rows of the table, so that others are gone.
    """

    table: StoreTable
    rows: tuple[StoreRow, ...]
    position: Position
    is_whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """A failure domain whose backend servers are to get nothing."""

    domain: ids.DomainName
