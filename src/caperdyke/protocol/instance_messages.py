"""Datagrams between instances other than announcements: arrays whose first item is their kind.

An instance of an older build passes over kinds that it does not know, and so does this one.
"""

import msgpack

from caperdyke import errors

# Kinds of messages. Announcements start with their layout version, which is below these numbers.
KIND_MIN = 100
KIND_MAX = 127
# First byte of a msgpack array with up to 15 items, without the number of items.
_SHORT_ARRAY = 0x90


def encode_message(kind: int, *items: object) -> bytes:
    """Returns the bytes of a datagram."""
    return msgpack.packb([kind, *items])


def decode_message(data: bytes) -> tuple[int, list] | None:
    """Returns the kind and the items of a message, or None if the datagram is no such message.

    :raises errors.ProtocolError: if the datagram cannot be decoded.
    """
    # Announcements arrive far more often, so they are told apart by their first two bytes.
    if len(data) < 2 or data[0] & 0xF0 != _SHORT_ARRAY or not KIND_MIN <= data[1] <= KIND_MAX:
        return None
    try:
        content = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise errors.ProtocolError(f"invalid datagram: {error!r}") from error
    kind, *items = content
    return kind, items
