"""Rows of the platform's store and changes to them."""

import dataclasses
import enum

from caperdyke.state import ids


class StoreTable(enum.Enum):
    """Tables that an instance follows; the platform's own names stay with its client."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    INSTANCES = "instances"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRow:
    """One row.

    :param version: position of the row's last change in the order of all changes of the store.
    :param value: None where the row was removed.
    """

    table: StoreTable
    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanges:
    """Rows of a table that changed after a position, or all of them.

    :param position: position in the order of changes up to which the table is now known.
    :param is_whole: whether the rows are all rows of the table, so that others are gone.
    """

    table: StoreTable
    rows: tuple[StoreRow, ...]
    position: int
    is_whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """A failure domain whose backend servers are to get nothing."""

    domain: ids.DomainName
