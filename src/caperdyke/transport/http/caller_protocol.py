"""Protocol of callers' connections: pipelining, timeouts and the raw request target."""

import asyncio
import collections
import dataclasses
import functools

import httptools
import uvicorn.protocols.http.httptools_impl as httptools_impl

from caperdyke.state import clock
from caperdyke.transport import events
from caperdyke.transport.http import disconnects, ordered_writer, pipelining, tcp_keepalive

# ASGI scope key of the request target exactly as received; uvicorn drops the question mark of an
# empty query.
TARGET_KEY = "caperdyke.target"
# ASGI scope key of the time at which the request's head was read.
READ_AT_KEY = "caperdyke.read_at"
# Applies until a configuration is loaded.
DEFAULT_HEADER_TIMEOUT_S = 10.0


@dataclasses.dataclass(eq=False, slots=True)
class _Exchange:
    """A request that has been read, and its response.

    :param is_safe: whether it may start, and others behind it, before earlier ones are answered.
        None until that matters, so that a caller that waits for each answer pays nothing for it.
    :ivar response: place of the response in the order; None until the request starts.
    :ivar is_running: whether it has started and its response is not complete.
    :ivar ends_connection: whether the connection closes after the response.
    """

    cycle: httptools_impl.RequestResponseCycle
    app: object
    is_safe: bool | None = None
    response: ordered_writer.Response | None = None
    is_running: bool = False
    ends_connection: bool = False

    def disconnect(self) -> None:
        """Tells the application that the caller no longer waits."""
        if not self.cycle.response_complete:
            self.cycle.disconnected = True
        self.cycle.message_event.set()


def measure_age(scope: dict) -> float:
    """Returns the time since the head of a request was read, in seconds."""
    return max(0.0, clock.read_clock() - scope[READ_AT_KEY]) if READ_AT_KEY in scope else 0.0


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """One connection of a caller.

    Each request gets a stand-in for the transport, so that uvicorn's cycles of several requests
    run side by side and their responses are sent in order.

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
        # Requests that have started and whose responses have not been sent completely.
        self._started: collections.deque[_Exchange] = collections.deque()
        # Requests that have been read and have not started.
        self._waiting: collections.deque[_Exchange] = collections.deque()
        self._writer = ordered_writer.OrderedWriter(self._write, self._is_writable)
        self._running = 0
        # Responses that wait for room in the buffer, and the event that wakes them.
        self._blocked = 0
        self._room = asyncio.Event()
        self._is_reading_head = False
        self._is_reading_body = False
        # Set when no request behind those already read will be served.
        self._is_input_ended = False
        self._ignores_message = False
        self._is_shutting_down = False
        self._malformed_message: str | None = None

    # Events of the connection.

    def connection_made(self, transport) -> None:
        """Enables TCP keepalive on the new connection."""
        super().connection_made(transport)
        self._disconnect_watch = disconnects.DisconnectWatch(self.loop, transport)
        self.flow = pipelining.ConnectionFlow(transport, self._disconnect_watch)
        tcp_keepalive.enable_keepalive(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Ends all requests in progress and cancels the timers."""
        self._cancel_header_timer()
        self._disconnect_watch.stop()
        self._is_input_ended = True
        self._waiting.clear()
        self._writer.discard_all()
        for exchange in self._started:
            exchange.disconnect()
        self._wake_blocked()
        super().connection_lost(error)

    def data_received(self, data: bytes) -> None:
        """Parses requests; uvicorn drops what follows a request to upgrade in the same read."""
        self._unset_keepalive_if_required()
        while data and not self._is_input_over():
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                self._unsupported_upgrade_warning()
                data = data[upgrade.args[0] :]
            except httptools.HttpParserError:
                self.logger.warning("Invalid HTTP request received.")
                self.send_400_response("Invalid HTTP request received.")
                return
            else:
                return

    def resume_writing(self) -> None:
        """Sends what is buffered, as far as the caller reads it."""
        super().resume_writing()
        self._advance()

    def shutdown(self) -> None:
        """Closes the connection, after the last response in progress if there is one."""
        self._is_shutting_down = True
        if not self._started and not self._waiting:
            self.transport.close()
            return
        last = self._started[-1].cycle
        # If the last response has started without the announcement, a waiting request carries it.
        if not last.response_started or not self._waiting:
            last.keep_alive = False

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Starts the header timer."""
        super().on_message_begin()
        self._ignores_message = self._is_input_ended
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
        if not self._ignores_message:
            self._is_reading_body = False
            super().on_message_complete()

    def send_400_response(self, message: str) -> None:
        """Responds to a malformed request, after the responses to all earlier requests."""
        self._is_input_ended = True
        if self._is_reading_body and self._waiting:
            self._waiting.pop()
        if not self._started and not self._waiting:
            super().send_400_response(message)
        elif self._is_reading_body and self._started[-1].cycle is self.cycle:
            # The request itself is in progress: a request with a body starts behind no other.
            if self.cycle.response_started:
                self.transport.close()
            else:
                super().send_400_response(message)
        else:
            self._malformed_message = message

    # Requests.

    def _start_asgi_task(self, cycle, app) -> None:
        self._is_input_ended = self._is_input_ended or not cycle.keep_alive
        self._waiting.append(_Exchange(cycle, app))
        self._start_waiting()
        self._update_reading()

    def _start_waiting(self) -> None:
        while self._waiting and not self.transport.is_closing():
            if self._started and not self._may_start_ahead(self._waiting[0]):
                return
            self._start(self._waiting.popleft())

    def _may_start_ahead(self, exchange: _Exchange) -> bool:
        first, last = self._started[0], self._started[-1]
        progress = pipelining.Progress(
            self._running,
            self._writer.buffered_bytes,
            self._is_safe(first),
            self._is_shutting_down or not last.cycle.keep_alive,
        )
        return not self._blocked and pipelining.may_start_ahead(
            progress, self._is_safe(exchange), self._policy
        )

    def _is_safe(self, exchange: _Exchange) -> bool:
        if exchange.is_safe is None:
            exchange.is_safe = pipelining.is_safe(exchange.cycle.scope, self._policy)
        return exchange.is_safe

    def _start(self, exchange: _Exchange) -> None:
        response = exchange.response = self._writer.add_response()
        cycle = exchange.cycle
        cycle.transport = pipelining.ResponseTransport(
            self.transport, self._writer, response, functools.partial(self._end_after, exchange)
        )
        cycle.flow = pipelining.ResponseFlow(
            self.flow, self._writer, response, lambda: self.cycle is cycle
        )
        cycle.on_response = functools.partial(self._finish, exchange)
        if self._is_shutting_down:
            cycle.keep_alive = False
        self._started.append(exchange)
        exchange.is_running = True
        self._running += 1
        app = functools.partial(self._run_application, exchange)
        super()._start_asgi_task(cycle, app)

    async def _run_application(self, exchange: _Exchange, scope, receive, send) -> None:
        return await exchange.app(scope, receive, functools.partial(self._send, exchange, send))

    async def _send(self, exchange: _Exchange, send, message) -> None:
        if message["type"] == "http.response.start":
            is_last = self._started and self._started[-1] is exchange
            if self._policy.is_stopping and not is_last:
                headers = pipelining.drop_close(message.get("headers", ()))
                message = {**message, "headers": headers}
        await self._wait_for_room(exchange, pipelining.measure(message))
        await send(message)

    async def _wait_for_room(self, exchange: _Exchange, size: int) -> None:
        """Waits until a part of a response may be buffered, or the response is the first."""
        if not self._lacks_room(exchange, size):
            return
        while self._lacks_room(exchange, size):
            self._blocked += 1
            self._update_reading()
            try:
                await self._room.wait()
            finally:
                self._blocked -= 1
        self._start_waiting()
        self._update_reading()

    def _lacks_room(self, exchange: _Exchange, size: int) -> bool:
        return (
            not exchange.response.is_finished
            and not self._writer.is_first(exchange.response)
            and self._writer.buffered_bytes + size > self._policy.bytes_max
        )

    # Responses.

    def _finish(self, exchange: _Exchange) -> None:
        """Marks a response as complete, or as ended without its end."""
        if exchange.is_running:
            exchange.is_running = False
            self._running -= 1
            self._writer.finish(exchange.response)
        if exchange.cycle is self.cycle:
            # The rest of the body is no longer stored.
            self.flow.resume_reading()
        self._advance()

    def _end_after(self, exchange: _Exchange) -> None:
        """Closes the connection after a response; requests behind it count as not read."""
        if not exchange.is_running:
            # The application failed after the response was complete.
            if not self._started and not self._waiting:
                self.transport.close()
            return
        exchange.ends_connection = True
        self._is_input_ended = True
        self._malformed_message = None
        self._waiting.clear()
        self._writer.discard_after(exchange.response)
        while self._started[-1] is not exchange:
            dropped = self._started.pop()
            self._running -= dropped.is_running
            dropped.is_running = False
            dropped.disconnect()
        self._finish(exchange)

    def _advance(self) -> None:
        """Sends what may be sent, then starts requests that waited for it."""
        released = self._writer.release()
        for _ in released:
            self.server_state.total_requests += 1
            if self._started.popleft().ends_connection:
                self.transport.close()
        self._wake_blocked()
        if self.transport.is_closing():
            return
        self._start_waiting()
        self._update_reading()
        if released and not self._started and not self._waiting:
            self._on_idle()

    def _on_idle(self) -> None:
        self._unset_keepalive_if_required()
        if self._malformed_message is not None:
            super().send_400_response(self._malformed_message)
        elif self._is_shutting_down:
            self.transport.close()
        else:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _write(self, data: bytes) -> None:
        self.transport.write(data)

    def _is_writable(self) -> bool:
        return not self.flow.write_paused and not self.transport.is_closing()

    def _wake_blocked(self) -> None:
        self._room.set()
        self._room = asyncio.Event()

    # Reading.

    def _is_input_over(self) -> bool:
        """Returns whether everything that will be served has been read."""
        if self.transport.is_closing():
            return True
        return self._is_input_ended and not self._is_reading_body

    def _update_reading(self) -> None:
        """Pauses reading while requests or responses exceed the limits of the pipeline."""
        was_full = self.flow.is_pipeline_full
        is_full = not self._is_input_ended and (
            self._running + len(self._waiting) > self._policy.requests_max
            or self._writer.buffered_bytes >= self._policy.bytes_max
            or self._blocked > 0
        )
        if is_full == was_full:
            return
        self.flow.set_pipeline_full(is_full)
        # A head that cannot arrive is not late.
        if is_full:
            self._cancel_header_timer()
        else:
            self._restart_header_timer()

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
        if not self.transport.is_closing():
            events.log(
                events.Event.SLOW_HEAD, caller=str(self.client), seconds=self.header_timeout_s
            )
            self.transport.close()
