"""Datagram by which an instance says that it supports teams.

Instances of builds before teams reject it and log that.
"""

import dataclasses

from caperdyke import errors
from caperdyke.protocol import instance_messages
from caperdyke.state import ids

KIND = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
    """The sender supports teams.

    :param name_hash: hash of the sender's name.
    :param incarnation: start of the sender for which this holds.
    """

    name_hash: int
    incarnation: ids.Incarnation


def encode_greeting(greeting: Greeting) -> bytes:
    """Returns the bytes of a datagram."""
    return instance_messages.encode_message(KIND, greeting.name_hash, greeting.incarnation)


def decode_greeting(items: list) -> Greeting:
    """Returns the greeting in the items of a message; further items are ignored.

    :raises errors.ProtocolError: if an item is missing or has another type.
    """
    if len(items) < 2 or not all(type(item) is int for item in items[:2]):
        raise errors.ProtocolError(f"greeting with {len(items)} items, expected two numbers")
    return Greeting(items[0], ids.Incarnation(items[1]))
