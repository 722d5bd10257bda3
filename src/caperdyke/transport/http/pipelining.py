"""Rules for requests that a caller sends ahead on a connection."""

import collections.abc
import dataclasses
import typing

from caperdyke.state import gateway_settings
from caperdyke.transport.http import framing

# Methods whose requests may start before the responses to earlier ones have been sent.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
# Bound on the status line and the headers that uvicorn adds, or on the framing of a chunk.
FRAMING_BYTES_MAX = 256


class Policy(typing.Protocol):
    """What the instance decides about requests that are sent ahead.

    :ivar requests_max: most requests of a connection in progress at once; 1 serves them in turn.
    :ivar bytes_max: most bytes of buffered responses of a connection.
    :ivar is_stopping: whether the instance has begun to stop.
    :ivar request_bytes: memory of a request in progress beside what it holds for its caller.
    """

    requests_max: int
    bytes_max: int
    is_stopping: bool
    request_bytes: int

    def is_repeatable(self, scope: dict) -> bool:
        """Returns whether a request may run more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class SequentialPolicy:
    """Requests of a connection are served in turn."""

    requests_max: int = 1
    bytes_max: int = gateway_settings.PIPELINED_BYTES
    is_stopping: bool = False
    request_bytes: int = 0

    def is_repeatable(self, _scope: dict) -> bool:
        """Returns False: no request starts before the responses to earlier ones have been sent."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """State of a connection with unanswered requests.

    :param running: requests that have started and whose responses are not complete.
    :param buffered_bytes: size of the buffered responses.
    :param runs_safe_only: whether every unanswered request may have others started behind it.
    :param is_closing: whether the last started request, or a stop, ends the connection.
    """

    running: int
    buffered_bytes: int
    runs_safe_only: bool
    is_closing: bool


def may_start_ahead(progress: Progress, is_safe: bool, policy: Policy) -> bool:
    """Returns whether a request may start while earlier ones are unanswered.

    Pattern: look-ups are sent ahead of slow ones, purchases follow them on the same connection,
    and the instance stops in between.
    """
    return (
        is_safe
        and progress.runs_safe_only
        and not progress.is_closing
        and not policy.is_stopping
        and policy.requests_max > 1
        and progress.running < policy.requests_max
        and progress.buffered_bytes < policy.bytes_max
    )


def is_safe(scope: dict, policy: Policy) -> bool:
    """Returns whether a request may start, and others behind it, before earlier ones are answered.

    The methods of repeatable requests are not enough: a route may forbid that GET is repeated.
    """
    return (
        scope["method"] in SAFE_METHODS
        and not framing.has_body(scope["headers"])
        and policy.is_repeatable(scope)
    )


def measure(message: dict) -> int:
    """Returns a bound on the bytes that an ASGI message adds to a response."""
    head = sum(len(name) + len(value) + 4 for name, value in message.get("headers", ()))
    return head + len(message.get("body", b"")) + FRAMING_BYTES_MAX


def drop_close(headers: collections.abc.Iterable[tuple[bytes, bytes]]) -> list:
    """Returns response headers without the announcement that the connection closes."""
    return [
        (name, value)
        for name, value in headers
        if not (name.lower() == b"connection" and value.strip().lower() == b"close")
    ]
