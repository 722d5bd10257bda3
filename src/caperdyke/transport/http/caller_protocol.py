"""Protocol of callers' connections: pipelining, timeouts and the raw request target."""

import asyncio
import http

from caperdyke.state import clock
from caperdyke.transport import events
from caperdyke.transport.http import (
    disconnects,
    pipeline,
    pipelining,
    server_protocol,
    stand_ins,
)

# ASGI scope key of the request target exactly as received; uvicorn drops the question mark of an
# empty query.
TARGET_KEY = "caperdyke.target"
# ASGI scope key of what the process holds for the connection.
HOLDING_KEY = "caperdyke.holding"
# ASGI scope key of the time at which the request's head was read.
READ_AT_KEY = "caperdyke.read_at"


def measure_age(scope: dict) -> float:
    """Returns the time since the head of a request was read, in seconds."""
    return max(0.0, clock.read_clock() - scope[READ_AT_KEY]) if READ_AT_KEY in scope else 0.0


MALFORMED_STATUS = 400


class CallerProtocol(server_protocol.ServerProtocol):
    """One connection of a caller; its pipeline runs the requests.

    :param policy: rules for requests that are sent ahead.
    """

    def __init__(
        self,
        *arguments,
        policy: pipelining.Policy | None = None,
        **named,
    ) -> None:
        super().__init__(*arguments, **named)
        self._policy = policy or pipelining.SequentialPolicy()
        self._header_timer: asyncio.TimerHandle | None = None
        self._is_reading_head = False
        self._is_reading_body = False
        self._ignores_message = False
        self._closes_when_idle = False
        # Response to a message that is not read on, until it can be sent.
        self._refusal: bytes | None = None

    # Events of the connection.

    def connection_made(self, transport) -> None:
        """Prepares the pipeline of the new connection."""
        self._pipeline = pipeline.Pipeline(self, self._policy)
        super().connection_made(transport)
        self._disconnect_watch = disconnects.DisconnectWatch(self.loop, transport)
        self.flow = stand_ins.ConnectionFlow(self.transport, self._disconnect_watch)

    def on_closing(self) -> None:
        """Ends all requests in progress and cancels the timers."""
        self._end_requests()
        super().on_closing()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends all requests in progress and cancels the timers."""
        self._end_requests()
        super().connection_lost(error)

    def _end_requests(self) -> None:
        self._cancel_header_timer()
        self._disconnect_watch.stop()
        self._pipeline.disconnect()

    def resume_writing(self) -> None:
        """Sends what is buffered, as far as the caller reads it."""
        super().resume_writing()
        self._pipeline.advance()

    def shutdown(self) -> None:
        """Closes the connection, after the last response in progress if there is one."""
        self._closes_when_idle = True
        if self._pipeline.is_idle:
            self.transport.close()
        else:
            self._pipeline.shut_down()

    def close_after_responses(self) -> None:
        """Reads no further requests, and closes the connection after the responses in progress."""
        self._ignores_message = True
        self._is_reading_body = False
        self._pipeline.end_input()
        if self._pipeline.is_idle:
            self.transport.close()
        else:
            self._closes_when_idle = True

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Starts the header timer."""
        super().on_message_begin()
        self._ignores_message = self._pipeline.is_input_ended
        self._is_reading_head = not self._ignores_message
        self._restart_header_timer()

    def on_headers_complete(self) -> None:
        """Cancels the header timer, completes the scope and starts or queues the request."""
        self._is_reading_head = False
        self._cancel_header_timer()
        if self._ignores_message:
            return
        self.scope[TARGET_KEY] = self.url
        self.scope[READ_AT_KEY] = clock.read_clock()
        self.scope[HOLDING_KEY] = self.holding
        # Without an earlier cycle, uvicorn passes each new one to _start_asgi_task at once.
        self.cycle = None
        super().on_headers_complete()
        self._is_reading_body = True

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body, unless the request is ignored."""
        if not self._ignores_message:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Marks the body as complete, unless the request is ignored."""
        if not self._ignores_message and not self.is_body_ahead():
            self._is_reading_body = False
            super().on_message_complete()

    def send_400_response(self, message: str) -> None:
        """Responds to a malformed request, after the responses to all earlier requests."""
        self.refuse_message(MALFORMED_STATUS, message)

    def refuse_message(self, status: int, text: str) -> None:
        """Responds to a message that is not read on, after the responses to earlier requests."""
        is_reading_body, self._is_reading_body = self._is_reading_body, False
        self._is_reading_head = False
        self._cancel_header_timer()
        self._pipeline.end_input()
        if is_reading_body:
            self._pipeline.drop_waiting(self.cycle)
        refusal = _make_refusal(status, text)
        if is_reading_body and self.cycle.response_started:
            # The request has its response, or a part of it.
            self.transport.close()
        elif self._pipeline.is_idle:
            self._send_refusal(refusal)
        elif is_reading_body and self._pipeline.is_running_last(self.cycle):
            # The request itself is in progress: a request with a body starts behind no other.
            self._send_refusal(refusal)
        else:
            self._refusal = refusal

    def _send_refusal(self, refusal: bytes) -> None:
        self.transport.write(refusal)
        self.transport.close()

    # Events of the pipeline.

    def _start_asgi_task(self, cycle, app) -> None:
        self._pipeline.add(cycle, app, self.meter.head_cost)

    def run_cycle(self, cycle, app) -> None:
        """Starts the task of a request."""
        super()._start_asgi_task(cycle, app)

    def on_responses_sent(self, count: int) -> None:
        """Counts responses that have been sent completely."""
        self.server_state.total_requests += count
        self._has_answered = self._has_answered or count > 0

    def on_full_changed(self, is_full: bool) -> None:
        """Stops the header timer while reading is paused: a head that is not read is not late."""
        if is_full:
            self._cancel_header_timer()
        else:
            self._restart_header_timer()

    def on_idle(self) -> None:
        """Closes the connection if it has ended, or starts the keep-alive timer."""
        self.holding.restart()
        if self._refusal is not None:
            self._send_refusal(self._refusal)
        elif self._closes_when_idle:
            self.transport.close()
        else:
            self.start_idle_timer()

    def on_usage_changed(self) -> None:
        """Records what the connection holds and does now."""
        self.update_usage()

    # What the connection uses.

    @property
    def is_idle(self) -> bool:
        """Whether the responses to all requests have been sent."""
        return self._pipeline.is_idle

    @property
    def is_running(self) -> bool:
        """Whether a request is in progress whose response has not been completed."""
        return self._pipeline.is_running

    def measure_requests(self) -> int:
        """Returns the memory of the requests and their responses, in bytes."""
        body_bytes = 0 if self.cycle is None else len(self.cycle.body)
        return self._pipeline.held_bytes + self.meter.held_bytes + body_bytes

    # Timers and states.

    def is_input_over(self) -> bool:
        """Returns whether everything that will be served has been read."""
        if super().is_input_over():
            return True
        return self._pipeline.is_input_ended and not self._is_reading_body

    def _restart_header_timer(self) -> None:
        self._cancel_header_timer()
        if self._is_reading_head and not self.flow.is_pipeline_full:
            self._header_timer = self.loop.call_later(
                self.header_timeout_s, self._close_slow_connection
            )

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_slow_connection(self) -> None:
        """Ignores a head that is late, and closes the connection."""
        if self.transport.is_closing():
            return
        events.log(events.Event.SLOW_HEAD, caller=str(self.client), seconds=self.header_timeout_s)
        self.close_after_responses()


def _make_refusal(status: int, text: str) -> bytes:
    """Returns a response that closes the connection."""
    phrase = http.HTTPStatus(status).phrase
    return (
        f"HTTP/1.1 {status} {phrase}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n{text}"
    ).encode("ascii")
