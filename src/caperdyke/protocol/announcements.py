"""Datagrams and snapshots between gateways, in msgpack."""

import dataclasses

import msgpack

from caperdyke import errors
from caperdyke.state import ids, member, store_rows

# Raised with every change of the layout; others are left unread.
LAYOUT = 5
# Tables that every instance follows, in the order in which an announcement names their positions.
FOLLOWED_TABLES = (store_rows.StoreTable.CONFIGURATION, store_rows.StoreTable.SERVERS)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an instance tells others of itself.

    Most of them go to instances that know the sender's record, which is the larger part; these
    carry the mark of its name alone.

    :param mark: mark of the sender's name.
    :param record: the sender's record; None for a receiver that knows it.
    :param interval_ms: time until the next announcement to the same receiver, in milliseconds.
    :param changed: position of the newest change that the sender knows of each table it follows.
    :param read_age_ms: time since the sender read the registrations from the store, in
        milliseconds; -1 where it has not.
    :param read_position: position up to which it knows the registrations.
    :param load: requests under way, by mark of the backend server's name.
    :param limits: limits that backend servers name, by mark of the server's name: requests a
        second, None where a limit ended, and how long ago that was learnt, in seconds.
    :param backoffs: time for which backend servers want nothing from the sender, by mark of the
        server's name, in seconds.
    :param leaving: backend servers that leave, by mark of their start, and how long ago that was
        learnt, in seconds.
    :param is_reply_requested: whether the receiver should announce itself at once.
    """

    mark: int
    incarnation: ids.Incarnation
    record: member.Member | None
    is_ready: bool
    interval_ms: int
    changed: dict[store_rows.StoreTable, store_rows.Position]
    read_age_ms: int
    read_position: store_rows.Position
    load: dict[int, int]
    limits: dict[int, tuple[float | None, float]]
    backoffs: dict[int, float]
    leaving: dict[int, float]
    is_reply_requested: bool


def encode_announcement(item: Announcement) -> bytes:
    """Returns the bytes of a datagram."""
    return msgpack.packb(
        [
            LAYOUT,
            item.mark,
            item.incarnation,
            _list_member(item.record) if item.record else None,
            item.is_ready,
            item.interval_ms,
            [_list_position(item.changed[table]) for table in FOLLOWED_TABLES],
            item.read_age_ms,
            _list_position(item.read_position),
            item.load,
            {mark: _list_limit(*limit) for mark, limit in item.limits.items()},
            _list_milliseconds(item.backoffs),
            _list_milliseconds(item.leaving),
            item.is_reply_requested,
        ]
    )


def decode_announcement(data: bytes) -> Announcement:
    """Returns the announcement in a datagram.

    :raises errors.ProtocolError: where it holds none.
    """
    try:
        layout, *fields = msgpack.unpackb(data, strict_map_key=False)
        if layout != LAYOUT:
            raise ValueError(f"layout {layout}, expected {LAYOUT}")
        mark, incarnation, record, is_ready, interval_ms, changed, read_age_ms = fields[:7]
        read_position, load, limits, backoffs, leaving, is_reply_requested = fields[7:]
        return Announcement(
            int(mark),
            ids.Incarnation(int(incarnation)),
            _read_member(record) if record is not None else None,
            bool(is_ready),
            int(interval_ms),
            {
                table: _read_position(item)
                for table, item in zip(FOLLOWED_TABLES, changed, strict=True)
            },
            int(read_age_ms),
            _read_position(read_position),
            {int(mark): int(count) for mark, count in load.items()},
            {int(mark): _read_limit(*limit) for mark, limit in limits.items()},
            _read_milliseconds(backoffs),
            _read_milliseconds(leaving),
            bool(is_reply_requested),
        )
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as error:
        raise errors.ProtocolError(f"announcement: {error!r}") from error


def encode_member(record: member.Member) -> bytes:
    """Returns the bytes of a record for the store."""
    return msgpack.packb([LAYOUT, _list_member(record)])


def decode_member(data: bytes) -> member.Member:
    """Returns the record in a row of the store.

    :raises errors.ProtocolError: where it holds none.
    """
    try:
        layout, record = msgpack.unpackb(data)
        if layout != LAYOUT:
            raise ValueError(f"layout {layout}, expected {LAYOUT}")
        return _read_member(record)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise errors.ProtocolError(f"instance: {error!r}") from error


def encode_table_changes(readings: list[store_rows.StoreChanges]) -> bytes:
    """Returns the bytes of what an instance tells another one of its tables."""
    items = [
        [
            item.table.value,
            _list_position(item.position),
            item.is_whole,
            [[row.key, _list_position(row.changed), row.value] for row in item.rows],
        ]
        for item in readings
    ]
    return msgpack.packb([LAYOUT, items])


def decode_table_changes(data: bytes) -> list[store_rows.StoreChanges]:
    """Returns what another instance told of its tables.

    :raises errors.ProtocolError: where the bytes hold something else.
    """
    try:
        layout, items = msgpack.unpackb(data)
        if layout != LAYOUT:
            raise ValueError(f"layout {layout}, expected {LAYOUT}")
        return [_read_changes(*item) for item in items]
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise errors.ProtocolError(f"rows of another instance: {error!r}") from error


def _read_changes(
    table: str, position: list, is_whole: bool, rows: list
) -> store_rows.StoreChanges:
    kind = store_rows.StoreTable(table)
    return store_rows.StoreChanges(
        kind,
        tuple(
            store_rows.StoreRow(kind, str(key), _read_position(changed), value)
            for key, changed, value in rows
        ),
        _read_position(position),
        bool(is_whole),
    )


def _list_position(position: store_rows.Position) -> list[int]:
    return [position.era, position.number]


def _read_position(item: list) -> store_rows.Position:
    era, number = item
    return store_rows.Position(int(era), int(number))


def _list_limit(per_second: float | None, age: float) -> list[int]:
    """Returns thousandths of a request a second, or -1, and an age in milliseconds."""
    return [-1 if per_second is None else round(per_second * 1000), round(age * 1000)]


def _list_milliseconds(seconds: dict[int, float]) -> dict[int, int]:
    return {mark: round(value * 1000) for mark, value in seconds.items()}


def _read_milliseconds(items: dict) -> dict[int, float]:
    return {int(mark): max(0, int(value)) / 1000 for mark, value in items.items()}


def _read_limit(thousandths: int, age_ms: int) -> tuple[float | None, float]:
    per_second = None if int(thousandths) < 0 else int(thousandths) / 1000
    return per_second, max(0, int(age_ms)) / 1000


def _list_member(record: member.Member) -> list:
    return [
        record.instance,
        record.incarnation,
        record.domain,
        record.peer_address,
        record.caller_address,
        record.state.value,
    ]


def _read_member(fields: list) -> member.Member:
    instance, incarnation, domain, peer_address, caller_address, state = fields
    return member.Member(
        ids.InstanceId(str(instance)),
        ids.Incarnation(int(incarnation)),
        ids.DomainName(str(domain)),
        ids.Address(str(peer_address)),
        ids.Address(str(caller_address)),
        member.MemberState(state),
    )
