"""One request of a connection and its response."""

import collections.abc
import dataclasses

import uvicorn.protocols.http.httptools_impl as httptools_impl

from caperdyke.transport.http import ordered_writer

# ASGI scope key under which the application stores the id of a request.
REQUEST_ID_KEY = "caperdyke.request_id"


@dataclasses.dataclass(eq=False, slots=True)
class Exchange:
    """A request that has been read, and its response.

    :param is_safe: whether it may start, and others behind it, before earlier ones are answered.
        None until that matters, so that a caller that waits for each answer pays nothing for it.
    :param cost: memory of the request beside its body, in bytes.
    :ivar response: place of the response in the order; None until the request starts.
    :ivar is_running: whether it has started and its response is not complete.
    :ivar ends_connection: whether the connection closes after the response.
    """

    cycle: httptools_impl.RequestResponseCycle
    app: collections.abc.Callable
    cost: int = 0
    is_safe: bool | None = None
    response: ordered_writer.Response | None = None
    is_running: bool = False
    ends_connection: bool = False

    def disconnect(self) -> None:
        """Tells the application that the caller no longer waits."""
        if not self.cycle.response_complete:
            self.cycle.disconnected = True
        self.cycle.message_event.set()
