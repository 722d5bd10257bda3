"""Protocol of callers' connections: pipelining, timeouts and the raw request target."""

import asyncio

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
# ASGI scope key of the time at which the request's head was read.
READ_AT_KEY = "caperdyke.read_at"
# Applies until a configuration is loaded.
DEFAULT_HEADER_TIMEOUT_S = 10.0


def measure_age(scope: dict) -> float:
    """Returns the time since the head of a request was read, in seconds."""
    return max(0.0, clock.read_clock() - scope[READ_AT_KEY]) if READ_AT_KEY in scope else 0.0


class CallerProtocol(server_protocol.ServerProtocol):
    """One connection of a caller; its pipeline runs the requests.

    :param policy: rules for requests that are sent ahead.
    """

    # Longest time to receive a request head, in seconds; replaced by the configured value.
    header_timeout_s = DEFAULT_HEADER_TIMEOUT_S

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
        self._malformed_message: str | None = None

    # Events of the connection.

    def connection_made(self, transport) -> None:
        """Prepares the pipeline of the new connection."""
        super().connection_made(transport)
        self._disconnect_watch = disconnects.DisconnectWatch(self.loop, transport)
        self.flow = stand_ins.ConnectionFlow(self.transport, self._disconnect_watch)
        self._pipeline = pipeline.Pipeline(self, self._policy)

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
        self._pipeline.end_input()
        if self._is_reading_body:
            self._pipeline.drop_waiting(self.cycle)
        if self._pipeline.is_idle:
            super().send_400_response(message)
        elif self._is_reading_body and self._pipeline.is_running_last(self.cycle):
            # The request itself is in progress: a request with a body starts behind no other.
            if self.cycle.response_started:
                self.transport.close()
            else:
                super().send_400_response(message)
        else:
            self._malformed_message = message

    # Events of the pipeline.

    def _start_asgi_task(self, cycle, app) -> None:
        self._pipeline.add(cycle, app)

    def run_cycle(self, cycle, app) -> None:
        """Starts the task of a request."""
        super()._start_asgi_task(cycle, app)

    def on_responses_sent(self, count: int) -> None:
        """Counts responses that have been sent completely."""
        self.server_state.total_requests += count

    def on_full_changed(self, is_full: bool) -> None:
        """Stops the header timer while reading is paused: a head that is not read is not late."""
        if is_full:
            self._cancel_header_timer()
        else:
            self._restart_header_timer()

    def on_idle(self) -> None:
        """Closes the connection if it has ended, or starts the keep-alive timer."""
        self._unset_keepalive_if_required()
        if self._malformed_message is not None:
            super().send_400_response(self._malformed_message)
        elif self._closes_when_idle:
            self.transport.close()
        else:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

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
