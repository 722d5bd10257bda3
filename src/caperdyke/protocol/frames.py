"""Encodes messages as length-prefixed msgpack frames, and decodes and validates received ones.

A frame is a 4-byte big-endian length and a msgpack array: the number of the message type, then the
fields in the order of the data class. Nested data classes are arrays of their fields.
"""

import dataclasses
import enum
import functools
import struct
import types
import typing

import msgpack

from caperdyke import errors
from caperdyke.protocol import messages

FRAME_MAX_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size
_TYPES: tuple[type, ...] = typing.get_args(messages.Message)
_TYPE_NUMBERS = {message_type: number for number, message_type in enumerate(_TYPES)}


def encode_frame(message: messages.Message) -> bytes:
    """Returns the frame of a message: its length and its payload."""
    payload = msgpack.packb([_TYPE_NUMBERS[type(message)], *_list_fields(message)])
    return _LENGTH.pack(len(payload)) + payload


def decode_length(prefix: bytes, bytes_max: int = FRAME_MAX_BYTES) -> int:
    """Returns the length of the frame that follows.

    :param bytes_max: size of the largest frame.
    :raises errors.ProtocolError: if the frame would be empty or too large.
    """
    (length,) = _LENGTH.unpack(prefix)
    if not 0 < length <= bytes_max:
        raise errors.ProtocolError(f"frame of {length} bytes, expected 1 to {bytes_max}")
    return length


def decode_payload(payload: bytes) -> messages.Message:
    """Returns the message in a frame.

    :raises errors.ProtocolError: if the bytes are not a well-formed message.
    """
    try:
        fields = msgpack.unpackb(payload, use_list=False, strict_map_key=True)
    except Exception as error:
        raise errors.ProtocolError(f"frame is not msgpack: {error}") from error
    if not isinstance(fields, tuple) or not fields or not isinstance(fields[0], int):
        raise errors.ProtocolError("frame is not an array that starts with a message type")
    if not 0 <= fields[0] < len(_TYPES):
        raise errors.ProtocolError(f"message type {fields[0]}, expected 0 to {len(_TYPES) - 1}")
    return _build(_TYPES[fields[0]], fields[1:])


def encode_record(record) -> bytes:
    """Returns the fields of a data class as msgpack, without its type."""
    return msgpack.packb(_list_fields(record))


def decode_record(record_type: type, data: bytes):
    """Returns a data class that was encoded with ``encode_record``.

    :raises errors.ProtocolError: if the bytes do not match the type.
    """
    try:
        fields = msgpack.unpackb(data, use_list=False)
    except Exception as error:
        raise errors.ProtocolError(f"record is not msgpack: {error}") from error
    return _build(record_type, fields)


def _list_fields(record) -> list:
    return [_flatten(getattr(record, name)) for name, _ in _read_hints(type(record))]


def _flatten(value):
    if dataclasses.is_dataclass(value):
        return _list_fields(value)
    if isinstance(value, tuple):
        return [_flatten(item) for item in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value


@functools.cache
def _read_hints(record_type: type) -> tuple[tuple[str, typing.Any], ...]:
    hints = typing.get_type_hints(record_type)
    return tuple((field.name, hints[field.name]) for field in dataclasses.fields(record_type))


def _build(record_type: type, values):
    hints = _read_hints(record_type)
    if not isinstance(values, tuple) or len(values) != len(hints):
        raise errors.ProtocolError(f"{record_type.__name__}: wrong number of fields in {values!r}")
    arguments = [
        _convert(record_type, name, hint, value)
        for (name, hint), value in zip(hints, values, strict=True)
    ]
    return record_type(*arguments)


def _convert(record_type: type, name: str, hint, value):
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    if hint is float and type(value) is int:
        return float(value)
    if hint in (str, int, float, bytes, bool):
        if type(value) is not hint:
            raise _make_type_error(record_type, name, hint, value)
        return value
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        return _convert_optional(record_type, name, hint, value)
    if origin is tuple:
        return _convert_tuple(record_type, name, hint, value)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        try:
            return hint(value)
        except ValueError as error:
            raise _make_type_error(record_type, name, hint, value) from error
    return _build(hint, value)


def _convert_optional(record_type: type, name: str, hint, value):
    if value is None:
        return None
    inner = next(item for item in typing.get_args(hint) if item is not types.NoneType)
    return _convert(record_type, name, inner, value)


def _convert_tuple(record_type: type, name: str, hint, value):
    if not isinstance(value, tuple):
        raise _make_type_error(record_type, name, hint, value)
    arguments = typing.get_args(hint)
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        return tuple(_convert(record_type, name, arguments[0], item) for item in value)
    if len(arguments) != len(value):
        raise _make_type_error(record_type, name, hint, value)
    pairs = zip(arguments, value, strict=True)
    return tuple(_convert(record_type, name, argument, item) for argument, item in pairs)


def _make_type_error(record_type: type, name: str, hint, value) -> errors.ProtocolError:
    return errors.ProtocolError(f"{record_type.__name__}.{name}: got {value!r}, expected {hint}")
