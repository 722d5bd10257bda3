"""Requests of one connection that are waiting, running, or have buffered responses."""

import asyncio
import collections
import functools
import typing

import uvicorn.protocols.http.httptools_impl as httptools_impl

from caperdyke.transport.http import exchanges, ordered_writer, pipelining, stand_ins


class Connection(typing.Protocol):
    """The connection whose requests a pipeline runs.

    :ivar cycle: the request that was read last.
    """

    transport: asyncio.Transport
    flow: stand_ins.ConnectionFlow
    cycle: httptools_impl.RequestResponseCycle | None

    def run_cycle(self, cycle: httptools_impl.RequestResponseCycle, app) -> None:
        """Starts the task of a request."""

    def on_responses_sent(self, count: int) -> None:
        """Called when so many responses have been sent completely."""

    def on_full_changed(self, is_full: bool) -> None:
        """Called when reading pauses or resumes because of the pipeline."""

    def on_usage_changed(self) -> None:
        """Called when requests or responses take more or less memory."""

    def on_idle(self) -> None:
        """Called when the responses to all requests have been sent."""


class Pipeline:
    """Starts requests as the policy allows and sends their responses in order.

    Each request gets stand-ins for transport and flow control, so that uvicorn's cycles of several
    requests run side by side.

    Pattern: a caller sends look-ups ahead, some of them slow, and a purchase behind them.
    """

    def __init__(self, connection: Connection, policy: pipelining.Policy) -> None:
        self._connection = connection
        self._policy = policy
        # Requests that have started and whose responses have not been sent completely.
        self._started: collections.deque[exchanges.Exchange] = collections.deque()
        # Requests that have been read and have not started.
        self._waiting: collections.deque[exchanges.Exchange] = collections.deque()
        self._writer = ordered_writer.OrderedWriter(self._write, self._is_writable)
        self._running = 0
        # Responses that wait for room in the buffer, and the event that wakes them.
        self._blocked = 0
        self._blocked_bytes = 0
        self._room = asyncio.Event()
        self._is_input_ended = False
        self._is_shutting_down = False

    @property
    def is_input_ended(self) -> bool:
        """Whether nothing behind the requests already read will be served."""
        return self._is_input_ended

    @property
    def is_idle(self) -> bool:
        """Whether the responses to all requests have been sent."""
        return not self._started and not self._waiting

    @property
    def is_running(self) -> bool:
        """Whether a request has started whose response is not complete."""
        return self._running > 0

    @property
    def buffered_bytes(self) -> int:
        """Size of the buffered responses."""
        return self._writer.buffered_bytes

    @property
    def held_bytes(self) -> int:
        """Memory of the requests and of responses that wait for earlier ones."""
        requests = sum(item.cost for item in self._started)
        requests += sum(item.cost for item in self._waiting)
        requests += self._running * self._policy.request_bytes
        return requests + self._writer.buffered_bytes + self._blocked_bytes

    def count_waiting(self) -> int:
        """Returns the number of requests that have been read and have not started."""
        return len(self._waiting)

    def is_running_last(self, cycle: httptools_impl.RequestResponseCycle) -> bool:
        """Returns whether a request is the last one that has started, and none waits."""
        return not self._waiting and bool(self._started) and self._started[-1].cycle is cycle

    def add(self, cycle: httptools_impl.RequestResponseCycle, app, cost: int = 0) -> None:
        """Adds a request whose head has been read, and starts it if it may start now.

        :param cost: memory of the request beside its body, in bytes.
        """
        self._is_input_ended = self._is_input_ended or not cycle.keep_alive
        self._waiting.append(exchanges.Exchange(cycle, app, cost))
        self._start_waiting()
        self._update_reading()

    def drop_waiting(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        """Drops the last waiting request if it is this one."""
        if self._waiting and self._waiting[-1].cycle is cycle:
            self._waiting.pop()

    def end_input(self) -> None:
        """Ignores everything behind the requests already read."""
        self._is_input_ended = True

    def shut_down(self) -> None:
        """Ends the connection with the last response in progress; nothing more starts ahead."""
        self._is_shutting_down = True
        last = self._started[-1].cycle
        # If the last response has started without the announcement, a waiting request carries it.
        if not last.response_started or not self._waiting:
            last.keep_alive = False

    def disconnect(self) -> None:
        """Ends all requests after the connection was lost."""
        self._is_input_ended = True
        self._waiting.clear()
        self._writer.discard_all()
        for exchange in self._started:
            exchange.disconnect()
        self._wake_blocked()

    def advance(self) -> None:
        """Sends what may be sent, then starts requests that waited for it."""
        sent = self._writer.release()
        for _ in sent:
            exchange = self._started.popleft()
            request_id = exchange.cycle.scope.get(exchanges.REQUEST_ID_KEY)
            self._connection.transport.record_response(request_id)
            if exchange.ends_connection:
                self._connection.transport.close()
        self._connection.on_responses_sent(len(sent))
        self._wake_blocked()
        if self._connection.transport.is_closing():
            return
        self._start_waiting()
        self._update_reading()
        if sent and self.is_idle:
            self._connection.on_idle()
        self._connection.on_usage_changed()

    # Requests.

    def _start_waiting(self) -> None:
        while self._waiting and not self._connection.transport.is_closing():
            if self._started and not self._may_start_ahead(self._waiting[0]):
                return
            self._start(self._waiting.popleft())

    def _may_start_ahead(self, exchange: exchanges.Exchange) -> bool:
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

    def _is_safe(self, exchange: exchanges.Exchange) -> bool:
        if exchange.is_safe is None:
            exchange.is_safe = pipelining.is_safe(exchange.cycle.scope, self._policy)
        return exchange.is_safe

    def _start(self, exchange: exchanges.Exchange) -> None:
        connection, cycle = self._connection, exchange.cycle
        response = exchange.response = self._writer.add_response()
        cycle.transport = stand_ins.ResponseTransport(
            connection.transport,
            self._writer,
            response,
            functools.partial(self._end_after, exchange),
        )
        cycle.flow = stand_ins.ResponseFlow(
            connection.flow, self._writer, response, lambda: connection.cycle is cycle
        )
        cycle.on_response = functools.partial(self._finish, exchange)
        if self._is_shutting_down:
            cycle.keep_alive = False
        self._started.append(exchange)
        exchange.is_running = True
        self._running += 1
        connection.run_cycle(cycle, functools.partial(self._run_application, exchange))

    async def _run_application(self, exchange: exchanges.Exchange, scope, receive, send) -> None:
        return await exchange.app(scope, receive, functools.partial(self._send, exchange, send))

    # Responses.

    async def _send(self, exchange: exchanges.Exchange, send, message) -> None:
        is_last = bool(self._started) and self._started[-1] is exchange
        if message["type"] == "http.response.start" and self._policy.is_stopping and not is_last:
            # Only the last response in progress announces that the connection closes.
            headers = pipelining.drop_close(message.get("headers", ()))
            message = {**message, "headers": headers}
        if not self._writer.is_first(exchange.response):
            await self._wait_for_room(exchange, pipelining.measure(message))
        await send(message)
        self._connection.on_usage_changed()

    async def _wait_for_room(self, exchange: exchanges.Exchange, size: int) -> None:
        """Waits until a part of a response may be buffered, or the response is the first."""
        if not self._lacks_room(exchange, size):
            return
        while self._lacks_room(exchange, size):
            self._blocked += 1
            self._blocked_bytes += size
            self._update_reading()
            self._connection.on_usage_changed()
            try:
                await self._room.wait()
            finally:
                self._blocked -= 1
                self._blocked_bytes -= size
        self._start_waiting()
        self._update_reading()

    def _lacks_room(self, exchange: exchanges.Exchange, size: int) -> bool:
        return (
            not exchange.response.is_finished
            and not self._writer.is_first(exchange.response)
            and self._writer.buffered_bytes + size > self._policy.bytes_max
        )

    def _wake_blocked(self) -> None:
        if self._blocked:
            self._room.set()
            self._room = asyncio.Event()

    def _finish(self, exchange: exchanges.Exchange) -> None:
        """Marks a response as complete, or as ended without its end."""
        if exchange.is_running:
            exchange.is_running = False
            self._running -= 1
            self._writer.finish(exchange.response)
        if exchange.cycle is self._connection.cycle:
            # The rest of the body is no longer stored.
            self._connection.flow.resume_reading()
        self.advance()

    def _end_after(self, exchange: exchanges.Exchange) -> None:
        """Closes the connection after a response; requests behind it count as not read."""
        if not exchange.is_running:
            # The application failed after the response was complete.
            if self.is_idle:
                self._connection.transport.close()
            return
        exchange.ends_connection = True
        self._is_input_ended = True
        self._waiting.clear()
        self._writer.discard_after(exchange.response)
        while self._started[-1] is not exchange:
            dropped = self._started.pop()
            self._running -= dropped.is_running
            dropped.is_running = False
            dropped.disconnect()
        self._finish(exchange)

    def _write(self, data: bytes) -> None:
        self._connection.transport.write(data)

    def _is_writable(self) -> bool:
        connection = self._connection
        return not connection.flow.write_paused and not connection.transport.is_closing()

    def _update_reading(self) -> None:
        """Pauses reading while requests or responses exceed the limits."""
        is_full = not self._is_input_ended and (
            self._running + len(self._waiting) > self._policy.requests_max
            or self._writer.buffered_bytes >= self._policy.bytes_max
            or self._blocked > 0
        )
        if is_full != self._connection.flow.is_pipeline_full:
            self._connection.flow.set_pipeline_full(is_full)
            self._connection.on_full_changed(is_full)
