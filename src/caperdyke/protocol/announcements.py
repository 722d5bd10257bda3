"""Encodes announcements, instance records and table changes between gateways as msgpack."""

import dataclasses

import msgpack

from caperdyke import errors
from caperdyke.protocol import addresses
from caperdyke.state import ids, member, store_rows

# Increased with every change of the encoding; messages of any other version are rejected.
LAYOUT_VERSION = 6
# What msgpack and the constructors raise for bytes that they cannot decode.
DECODING_ERRORS = (ValueError, TypeError, AttributeError, OverflowError, msgpack.UnpackException)
# Tables that every instance follows, in the order of their positions in an announcement.
FOLLOWED_TABLES = (store_rows.StoreTable.CONFIGURATION, store_rows.StoreTable.SERVERS)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """State that an instance announces to the others.

    Most announcements go to instances that already have the sender's record, which takes most of
    the bytes; these announcements carry only the hash of the sender's name.

    :param name_hash: 32-bit hash of the sender's name.
    :param record: the sender's record; None for a receiver that has it.
    :param has_path: whether the sender can open connections to backend servers.
    :param interval_ms: time until the next announcement to the same receiver, in milliseconds.
    :param changed: position of the newest change that the sender has of each table it follows.
    :param read_age_ms: time since the sender read the registrations from the store, in
        milliseconds; -1 where it has not.
    :param read_position: position up to which the sender has the registrations.
    :param load: requests in flight, by hash of the backend server's name.
    :param limits: advertised limits of backend servers, by hash of the server's name: requests per
        second, None where a limit ended, and the age of this information in seconds.
    :param backoffs: remaining time for which a backend server asked the sender to send no requests,
        by hash of the server's name, in seconds.
    :param leaving: age of the information that a backend server is leaving, by hash of the server's
        start, in seconds.
    :param is_reply_requested: whether the receiver should announce itself at once.
    """

    name_hash: int
    incarnation: ids.Incarnation
    record: member.Member | None
    is_ready: bool
    has_path: bool
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
            LAYOUT_VERSION,
            item.name_hash,
            item.incarnation,
            _pack_member(item.record) if item.record else None,
            item.is_ready,
            item.has_path,
            item.interval_ms,
            [_pack_position(item.changed[table]) for table in FOLLOWED_TABLES],
            item.read_age_ms,
            _pack_position(item.read_position),
            item.load,
            {name_hash: _pack_limit(*limit) for name_hash, limit in item.limits.items()},
            _pack_durations(item.backoffs),
            _pack_durations(item.leaving),
            item.is_reply_requested,
        ]
    )


def decode_announcement(data: bytes) -> Announcement:
    """Returns the announcement in a datagram.

    :raises errors.ProtocolError: if the datagram is not a valid announcement.
    """
    try:
        layout, *fields = msgpack.unpackb(data, strict_map_key=False)
        if layout != LAYOUT_VERSION:
            raise ValueError(f"layout version {layout}, expected {LAYOUT_VERSION}")
        name_hash, incarnation, record, is_ready, has_path, interval_ms, changed = fields[:7]
        read_age_ms, read_position, load, limits, backoffs, leaving, is_reply_requested = fields[7:]
        return Announcement(
            int(name_hash),
            ids.Incarnation(int(incarnation)),
            _unpack_member(record) if record is not None else None,
            bool(is_ready),
            bool(has_path),
            int(interval_ms),
            {
                table: _unpack_position(item)
                for table, item in zip(FOLLOWED_TABLES, changed, strict=True)
            },
            int(read_age_ms),
            _unpack_position(read_position),
            {int(name_hash): int(count) for name_hash, count in load.items()},
            {int(name_hash): _unpack_limit(*limit) for name_hash, limit in limits.items()},
            _unpack_durations(backoffs),
            _unpack_durations(leaving),
            bool(is_reply_requested),
        )
    except DECODING_ERRORS as error:
        raise errors.ProtocolError(f"invalid announcement: {error!r}") from error


def encode_member(record: member.Member) -> bytes:
    """Returns the bytes of an instance's record for the store."""
    return msgpack.packb([LAYOUT_VERSION, _pack_member(record)])


def decode_member(data: bytes) -> member.Member:
    """Returns the record in a row of the store.

    :raises errors.ProtocolError: if the row is not a valid record.
    """
    try:
        layout, record = msgpack.unpackb(data)
        if layout != LAYOUT_VERSION:
            raise ValueError(f"layout version {layout}, expected {LAYOUT_VERSION}")
        return _unpack_member(record)
    except DECODING_ERRORS as error:
        raise errors.ProtocolError(f"invalid instance record: {error!r}") from error


def encode_table_changes(table_changes: list[store_rows.StoreChanges]) -> bytes:
    """Returns the bytes of table changes that are sent to another instance."""
    items = [
        [
            item.table.value,
            _pack_position(item.position),
            item.is_whole,
            [[row.key, _pack_position(row.changed), row.value] for row in item.rows],
        ]
        for item in table_changes
    ]
    return msgpack.packb([LAYOUT_VERSION, items])


def decode_table_changes(data: bytes) -> list[store_rows.StoreChanges]:
    """Returns the table changes that another instance sent.

    :raises errors.ProtocolError: if the bytes are not valid table changes.
    """
    try:
        layout, items = msgpack.unpackb(data)
        if layout != LAYOUT_VERSION:
            raise ValueError(f"layout version {layout}, expected {LAYOUT_VERSION}")
        return [_unpack_changes(*item) for item in items]
    except DECODING_ERRORS as error:
        raise errors.ProtocolError(f"invalid table changes from a peer: {error!r}") from error


def _unpack_changes(
    table: str, position: list, is_whole: bool, rows: list
) -> store_rows.StoreChanges:
    store_table = store_rows.StoreTable(table)
    return store_rows.StoreChanges(
        store_table,
        tuple(
            store_rows.StoreRow(store_table, str(key), _unpack_position(changed), value)
            for key, changed, value in rows
        ),
        _unpack_position(position),
        bool(is_whole),
    )


def _pack_position(position: store_rows.Position) -> list[int]:
    return [position.era, position.number]


def _unpack_position(item: list) -> store_rows.Position:
    era, number = item
    return store_rows.Position(int(era), int(number))


def _pack_limit(per_second: float | None, age: float) -> list[int]:
    """Returns a limit in thousandths of a request per second, -1 for None, and its age in ms."""
    return [-1 if per_second is None else round(per_second * 1000), round(age * 1000)]


def _pack_durations(seconds: dict[int, float]) -> dict[int, int]:
    return {key: round(value * 1000) for key, value in seconds.items()}


def _unpack_durations(items: dict) -> dict[int, float]:
    return {int(key): max(0, int(value)) / 1000 for key, value in items.items()}


def _unpack_limit(thousandths: int, age_ms: int) -> tuple[float | None, float]:
    per_second = None if int(thousandths) < 0 else int(thousandths) / 1000
    return per_second, max(0, int(age_ms)) / 1000


def _pack_member(record: member.Member) -> list:
    return [
        record.instance,
        record.incarnation,
        record.domain,
        record.peer_address,
        record.caller_address,
        record.state.value,
    ]


def _unpack_member(fields: list) -> member.Member:
    instance, incarnation, domain, peer_address, caller_address, state = fields
    return member.Member(
        ids.InstanceId(str(instance)),
        ids.Incarnation(int(incarnation)),
        ids.DomainName(str(domain)),
        ids.Address(addresses.check_address(str(peer_address))),
        ids.Address(addresses.check_address(str(caller_address))),
        member.MemberState(state),
    )
