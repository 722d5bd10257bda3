"""Rules for requests that a caller sends ahead, and the stand-ins through which they respond."""

import asyncio
import collections.abc
import dataclasses
import typing

import uvicorn.protocols.http.flow_control as flow_control

from caperdyke.state import gateway_settings
from caperdyke.transport.http import disconnects, ordered_writer

# Methods whose requests may start before the responses to earlier ones have been sent.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
# Bound on the status line and the headers that uvicorn adds, or on the framing of a chunk.
FRAMING_BYTES_MAX = 256


class Policy(typing.Protocol):
    """What the instance decides about requests that are sent ahead.

    :ivar requests_max: most requests of a connection in progress at once; 1 serves them in turn.
    :ivar bytes_max: most bytes of buffered responses of a connection.
    :ivar is_stopping: whether the instance has begun to stop.
    """

    requests_max: int
    bytes_max: int
    is_stopping: bool

    def is_repeatable(self, scope: dict) -> bool:
        """Returns whether a request may run more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class SequentialPolicy:
    """Requests of a connection are served in turn."""

    requests_max: int = 1
    bytes_max: int = gateway_settings.PIPELINED_BYTES
    is_stopping: bool = False

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
        and not _has_body(scope["headers"])
        and policy.is_repeatable(scope)
    )


def _has_body(headers: collections.abc.Iterable[tuple[bytes, bytes]]) -> bool:
    return any(
        name == b"transfer-encoding" or (name == b"content-length" and value.strip(b"0 ") != b"")
        for name, value in headers
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


class ConnectionFlow(flow_control.FlowControl):
    """Flow control of a connection whose reading pauses for a large body or a full pipeline.

    :param watch: checks for a disconnect while reading is paused.
    """

    def __init__(self, transport: asyncio.Transport, watch: disconnects.DisconnectWatch) -> None:
        super().__init__(transport)
        self._watch = watch
        self._is_body_large = False
        self.is_pipeline_full = False

    def pause_reading(self) -> None:
        """Pauses reading because the buffered part of a request's body is large."""
        self._is_body_large = True
        self._update()

    def resume_reading(self) -> None:
        """Resumes reading, unless the pipeline is full."""
        self._is_body_large = False
        self._update()

    def set_pipeline_full(self, is_full: bool) -> None:
        """Pauses reading while the pipeline is full."""
        self.is_pipeline_full = is_full
        self._update()

    def _update(self) -> None:
        if self._is_body_large or self.is_pipeline_full:
            super().pause_reading()
            self._watch.start()
        else:
            super().resume_reading()
            self._watch.stop()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseTransport:
    """Stands in for the transport of a connection towards one request.

    :param connection: transport of the connection.
    :param end_connection: called when the connection must be closed after this response.
    """

    connection: asyncio.Transport
    writer: ordered_writer.OrderedWriter
    response: ordered_writer.Response
    end_connection: collections.abc.Callable[[], None]

    def write(self, data: bytes) -> None:
        """Sends bytes of the response as soon as all earlier responses have been sent."""
        self.writer.append(self.response, data)

    def close(self) -> None:
        """Closes the connection after this response and all earlier ones."""
        self.end_connection()

    def is_closing(self) -> bool:
        """Returns whether the connection is closed or no more of the response can be sent."""
        return self.response.is_finished or self.connection.is_closing()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFlow:
    """Stands in for the flow control of a connection towards one request.

    :param connection: flow control of the connection.
    :param is_reading_body: returns whether the body of this request is being received.
    """

    connection: ConnectionFlow
    writer: ordered_writer.OrderedWriter
    response: ordered_writer.Response
    is_reading_body: collections.abc.Callable[[], bool]

    @property
    def write_paused(self) -> bool:
        """Whether the response must wait until the caller has read what was sent."""
        return self.writer.is_first(self.response) and self.connection.write_paused

    async def drain(self) -> None:
        """Waits until the caller has read what was sent."""
        await self.connection.drain()

    def resume_reading(self) -> None:
        """Resumes reading if that delivers the body of this request."""
        if self.is_reading_body():
            self.connection.resume_reading()
