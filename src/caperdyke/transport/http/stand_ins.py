"""Stand-ins for a connection, through which its requests respond side by side."""

import asyncio
import collections.abc
import dataclasses

import uvicorn.protocols.http.flow_control as flow_control

from caperdyke.transport.http import disconnects, ordered_writer


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


@dataclasses.dataclass(eq=False, slots=True)
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


@dataclasses.dataclass(eq=False, slots=True)
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
