"""Sends a request to one backend server, and reads and classifies its answer."""

import asyncio
import collections.abc
import dataclasses
import enum
import math

from caperdyke import errors
from caperdyke.coordination import memory_account
from caperdyke.coordination.placement import selection
from caperdyke.protocol import platform_interfaces, relay_headers
from caperdyke.state import header_fields, routes
from caperdyke.transport.gateway import context, header_log
from caperdyke.transport.http import client_connection

# Answers up to this size are buffered before they are forwarded. Only such an answer can be
# requested again from another server if its connection breaks.
BUFFERED_ANSWER_MAX_BYTES = 1024 * 1024
SUCCESS_STATUS_END = 300
# Limits on reading a body only in order to reuse the connection.
DISCARD_MAX_BYTES = 64 * 1024
DISCARD_TIMEOUT_SECONDS = 0.2
# Longest time for an answer of unknown length to a caller without a deadline header.
UNSIZED_ANSWER_MAX_SECONDS = 600.0
# Answers to other requests that are skipped on a connection before it is closed.
SKIPPED_ANSWERS_MAX = 2
# Headers that apply to one connection only, and so are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"expect",
        b"content-length",
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request to forward.

    :param path: decoded target without its query, by which the route is found.
    :param headers: without the hop-by-hop headers.
    :param deadline: time by which an answer must be sent to the caller.
    :param table: route table by which the request is sent.
    :param caller_timeout_at: time at which the caller stops waiting; None if it sent no deadline.
    :param is_repeatable: whether the request may run more than once.
    :param relayed: set if another instance relayed the request.
    :param identity: what a server learns of the caller, by ``table``.
    :param reservation: memory of the request, in which its answer counts; None if nobody waits for
        it.
    """

    caller_headers: header_fields.CallerHeaders
    method: str
    host: str
    path: str
    target: bytes
    headers: platform_interfaces.RawHeaders
    body: bytes | bytearray
    deadline: float
    table: routes.RouteTable
    caller_timeout_at: float | None = None
    is_repeatable: bool = False
    relayed: relay_headers.RelayedRequest | None = None
    identity: header_fields.Identity = header_fields.UnmanagedIdentity()
    reservation: memory_account.Reservation | None = None


class FailureKind(enum.Enum):
    """Why a request got no answer to forward."""

    # Nothing was sent, for a reason within this instance.
    NOT_SENT = "not sent"
    # Nothing was sent, as this instance has no path to any server.
    NO_PATH = "no path"
    # Nothing was sent, as this instance ends before the answer is expected.
    STOPPING = "stopping"
    # Nothing was sent, as no connection could be opened.
    UNREACHABLE = "unreachable"
    # The server reports that it did not run the request.
    REFUSED = "refused"
    # Another server has the address, and did not run the request.
    MISDIRECTED = "misdirected"
    # The connection broke, or the answer was invalid.
    BROKEN = "broken"
    # No answer arrived before the deadline.
    LATE = "late"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A request that got no answer to forward.

    :param has_connection_ended: whether the connection ended without being closed here.
    """

    kind: FailureKind
    detail: str
    has_connection_ended: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self.kind in (FailureKind.BROKEN, FailureKind.LATE)


@dataclasses.dataclass(slots=True)
class ServerAnswer:
    """An answer to forward.

    :param body: the complete body, or the beginning of a long one.
    :param remaining_body: remaining chunks of a long body; None if the body is complete.
    :param length: length of the complete body in bytes; None if the server did not send it.
    """

    status: int
    headers: platform_interfaces.RawHeaders
    body: bytes
    remaining_body: collections.abc.AsyncGenerator[bytes, None] | None
    length: int | None
    load: header_fields.ServerLoad | None


Result = ServerAnswer | Failure


class Sender:
    """Sends requests to backend servers and classifies their answers."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self._header_log = header_log.HeaderLog()
        # Connections on which a repeatable request waits for the head of its answer.
        self._waiting: set[client_connection.ServerConnection] = set()

    async def send(
        self, request: CallerRequest, route: routes.Route, placed: selection.Placement
    ) -> Result:
        """Sends a request to the selected server and reads its answer."""
        node, view = self._node, placed.view
        sent_at = node.now()
        pending = view.record_send(sent_at, placed.due_at)
        try:
            return await self._exchange(request, route, placed)
        finally:
            view.record_end(pending)

    def abandon_waiting(self) -> None:
        """Closes the connections on which only repeatable requests wait.

        Pattern: connections hang while another instance could answer. Requests that are not
        repeatable may be running, and keep waiting.
        """
        for conn in list(self._waiting):
            conn.close()

    async def _exchange(
        self, request: CallerRequest, route: routes.Route, placed: selection.Placement
    ) -> Result:
        node, server = self._node, placed.view.server
        time_left = request.deadline - node.now()
        if time_left <= 0:
            return Failure(FailureKind.NOT_SENT, "no time left")
        if node.now() > node.find_latest_send(route, request.deadline, placed.expected_s):
            return make_stopping_failure()
        conn = node.pool.acquire(server.backend)
        is_kept = conn is not None
        if conn is None and node.path.is_lost:
            return Failure(FailureKind.NO_PATH, "no connection to any server opens")
        if conn is None:
            opened_at = node.now()
            try:
                conn = await node.pool.open(server.address, time_left)
            except errors.BackendFailedError as error:
                is_refused = not isinstance(error, errors.ConnectTimeoutError)
                node.path.record_open_failed(node.now(), server, opened_at, is_refused)
                return Failure(FailureKind.UNREACHABLE, str(error))
            node.path.record_opened(node.now())
            node.record_round_trip(server.domain, node.now() - opened_at)
        # Conditions may have changed meanwhile: opening a connection takes up to half a second.
        obstacle = self._find_obstacle(request, route, placed)
        if obstacle is not None:
            node.pool.release(server.backend, conn, None)
            return obstacle
        is_done = False
        try:
            async with asyncio.timeout(max(0.0, request.deadline - node.now())):
                result = await self._exchange_on_connection(request, placed, conn)
            is_done = True
            return result
        except errors.BackendFailedError as error:
            detail = f"{error}, on {_describe_connection(is_kept)}"
            return Failure(FailureKind.BROKEN, detail, conn.is_ended)
        except TimeoutError:
            detail = f"no answer by the deadline, on {_describe_connection(is_kept)}"
            return Failure(FailureKind.LATE, detail)
        finally:
            if not is_done:
                conn.close()

    def _find_obstacle(
        self, request: CallerRequest, route: routes.Route, placed: selection.Placement
    ) -> Failure | None:
        """Returns why a request must not be sent now; otherwise counts it and returns None."""
        node = self._node
        if node.now() >= request.deadline:
            return Failure(FailureKind.NOT_SENT, "no time left")
        if node.routes is not request.table:
            return Failure(FailureKind.NOT_SENT, "the configuration changed")
        if node.now() > node.find_latest_send(route, request.deadline, placed.expected_s):
            return make_stopping_failure()
        if node.is_read_awaited():
            return Failure(FailureKind.NOT_SENT, "the registrations are read again after a pause")
        if not node.try_record_send(placed.view.server):
            detail = "the server left service, or this instance's quota of it is used up"
            return Failure(FailureKind.NOT_SENT, detail)
        return None

    async def _exchange_on_connection(
        self,
        request: CallerRequest,
        placed: selection.Placement,
        conn: client_connection.ServerConnection,
    ) -> Result:
        node, server = self._node, placed.view.server
        wait_ms = (request.deadline - node.now()) * 1000
        headers = node.headers.make_server_headers(
            request.headers, wait_ms, server.backend, request.identity
        )
        if request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        sent_at = node.now()
        conn.send(request.method, request.target, headers, request.body)
        node.path.record_sent(sent_at, server.backend)
        for _ in range(SKIPPED_ANSWERS_MAX + 1):
            head = await self._read_head(request, conn)
            placed.view.record_activity(node.now())
            node.path.record_received(node.now())
            raw_headers = [(bytes(name), bytes(value)) for name, value in head.headers]
            self._header_log.log_new_names(server.backend, raw_headers)
            fields = node.headers.parse_server_headers(head.status_code, raw_headers)
            # A refusal may lack the request id; a signed answer always belongs to the id it names.
            lacks_id = not fields.request_id and not fields.is_signed
            is_for_request = lacks_id or fields.request_id == request.caller_headers.request_id
            is_success = head.status_code < SUCCESS_STATUS_END
            node.header_handler.record_answer(
                node.now(), server, fields, sent_at, is_for_request, is_success
            )
            if is_for_request:
                break
            # A late answer to an earlier request, which nothing waits for.
            await _discard_body(conn)
            if not conn.expect_next_answer():
                raise errors.BackendFailedError("answer to another request", True)
        else:
            raise errors.BackendFailedError("only answers to other requests", True)
        return await self._classify(request, placed, conn, head.status_code, raw_headers, fields)

    async def _read_head(self, request: CallerRequest, conn: client_connection.ServerConnection):
        if not request.is_repeatable:
            return await conn.read_head()
        self._waiting.add(conn)
        try:
            return await conn.read_head()
        finally:
            self._waiting.discard(conn)

    async def _classify(
        self,
        request: CallerRequest,
        placed: selection.Placement,
        conn: client_connection.ServerConnection,
        status: int,
        raw_headers: platform_interfaces.RawHeaders,
        fields: header_fields.ServerHeaders,
    ) -> Result:
        node, header_map = self._node, dict(raw_headers)
        length = parse_content_length(header_map)
        is_forwardable = fields.is_signed and not fields.is_refused
        if is_forwardable:
            body, is_whole = await buffer_body(conn, request.reservation)
        else:
            body, is_whole = await _try_discard(conn)
        if is_whole and fields.request_id:
            self._release_connection(placed, conn, header_map)
        elif is_whole:
            # If the server repeated an answer without a request id, it could not be told from the
            # answer to the next request.
            conn.close()
        if fields.load is not None:
            placed.view.record_load_report(node.now(), fields.load)
        if fields.is_refused:
            kind = FailureKind.MISDIRECTED if fields.is_misdirected else FailureKind.REFUSED
            if not is_whole:
                conn.close()
            return Failure(kind, f"status {status}")
        if not fields.is_signed:
            conn.close()
            return Failure(FailureKind.BROKEN, f"status {status} without the server's signature")
        forwarded_headers = [item for item in raw_headers if item[0] not in HOP_BY_HOP_HEADERS]
        if is_whole:
            return ServerAnswer(status, forwarded_headers, body, None, len(body), fields.load)
        remaining_body = self._stream_remaining_body(request, placed, conn, header_map)
        return ServerAnswer(status, forwarded_headers, body, remaining_body, length, fields.load)

    async def _stream_remaining_body(
        self,
        request: CallerRequest,
        placed: selection.Placement,
        conn: client_connection.ServerConnection,
        header_map: dict[bytes, bytes],
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yields the remaining chunks of a long body.

        :raises errors.BackendFailedError: if the body breaks off, or lacks a length and an end.
        """
        node, view = self._node, placed.view
        ends_at = math.inf
        if parse_content_length(header_map) is None:
            ends_at = request.caller_timeout_at or node.now() + UNSIZED_ANSWER_MAX_SECONDS
        is_whole = False
        try:
            while (chunk := await read_chunk_until(conn, ends_at, node.now)) is not None:
                yield chunk
            is_whole = True
            self._release_connection(placed, conn, header_map)
        except errors.BackendFailedError as error:
            if view.record_failure(node.now(), node.compute_service_failure_ratio(view)):
                node.log_server_avoided(view, str(error))
            raise
        finally:
            if not is_whole:
                conn.close()

    def _release_connection(
        self,
        placed: selection.Placement,
        conn: client_connection.ServerConnection,
        header_map: dict[bytes, bytes],
    ) -> None:
        server = placed.view.server.backend
        registered = self._node.servers.find(server)
        if registered is not None and self._node.header_handler.is_leaving(registered):
            conn.close()
        elif conn.finish():
            idle = parse_idle_timeout(header_map.get(b"keep-alive", b""))
            self._node.pool.release(server, conn, idle)


def make_stopping_failure() -> Failure:
    """Returns the result of a request that is too late for a planned stop."""
    return Failure(FailureKind.STOPPING, "this instance ends before the answer is expected")


def _describe_connection(is_kept: bool) -> str:
    return "a kept connection" if is_kept else "a new connection"


async def read_chunk_until(
    conn: client_connection.ServerConnection,
    ends_at: float,
    now: collections.abc.Callable[[], float],
) -> bytes | None:
    """Returns the next chunk of a body, or None at its end, and fails at the time ``ends_at``."""
    if ends_at == math.inf:
        return await conn.read_chunk()
    try:
        async with asyncio.timeout(max(0.0, ends_at - now())):
            # Lets the timeout expire: chunks that have arrived are returned without suspending.
            await asyncio.sleep(0)
            return await conn.read_chunk()
    except TimeoutError as error:
        raise errors.BackendFailedError("body without Content-Length did not end", True) from error


async def _discard_body(conn: client_connection.ServerConnection) -> None:
    """Reads and drops a body, so that the connection can be reused.

    :raises errors.BackendFailedError: if the body is too large for that.
    """
    size = 0
    while (chunk := await conn.read_chunk()) is not None:
        size += len(chunk)
        if size > DISCARD_MAX_BYTES:
            raise errors.BackendFailedError(f"discarded body over {DISCARD_MAX_BYTES} bytes", True)


async def _try_discard(conn: client_connection.ServerConnection) -> tuple[bytes, bool]:
    """Returns an empty body, and whether the whole body was read and dropped.

    Pattern: the head shows that the answer cannot be forwarded, and the body never ends.
    """
    try:
        async with asyncio.timeout(DISCARD_TIMEOUT_SECONDS):
            await _discard_body(conn)
    except (TimeoutError, errors.BackendFailedError):
        # The head is sufficient to classify the answer. The calling function closes the connection.
        return b"", False
    return b"", True


async def buffer_body(
    conn: client_connection.ServerConnection, reservation: memory_account.Reservation | None
) -> tuple[bytes, bool]:
    """Returns the body, or the beginning of a long one, and whether it is complete.

    While memory is short, no more is buffered than has arrived.

    :param reservation: counts the memory of the answer until the request ends.
    """
    parts = []
    size = 0
    while size <= BUFFERED_ANSWER_MAX_BYTES:
        chunk = await conn.read_chunk()
        if chunk is None:
            return b"".join(parts), True
        parts.append(chunk)
        size += len(chunk)
        if reservation is not None:
            reservation.resize_answer(size)
            if reservation.is_short:
                break
    return b"".join(parts), False


def parse_content_length(header_map: dict[bytes, bytes]) -> int | None:
    text = header_map.get(b"content-length", b"")
    return int(text) if text.isdigit() else None


def parse_idle_timeout(text: bytes) -> float | None:
    """Returns the idle time in a Keep-Alive header, in seconds."""
    for option in text.split(b","):
        name, _, value = option.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None
