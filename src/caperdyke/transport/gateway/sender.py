"""One exchange with one backend server."""

import asyncio
import collections.abc
import dataclasses
import enum
import math

from caperdyke import errors
from caperdyke.coordination.placement import selection
from caperdyke.protocol import platform_interfaces
from caperdyke.state import backend, header_fields, routes
from caperdyke.transport.backends import connection
from caperdyke.transport.gateway import context, header_log

# Largest answer that is read whole before its first byte is passed on; only such an answer can be
# fetched again from another server when it breaks off.
WHOLE_MAX_BYTES = 1024 * 1024
SUCCESS_STATUS_END = 300
# Largest body that is read to its end only so that the connection can be kept, in bytes, and the
# longest time for it, in seconds.
UNUSED_MAX_BYTES = 64 * 1024
UNUSED_SECONDS = 0.2
# Longest time for an answer of unknown length to a caller that did not say how long it waits, in
# seconds.
STREAM_SECONDS = 600.0
# Answers to other requests that are skipped on one connection before it is given up.
SKIPPED_MAX = 2
# Headers that concern one connection only.
HOP_HEADERS = frozenset(
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
    """A request as it is passed on.

    :param path: the decoded target without its query, by which a route is found.
    :param headers: without those that concern the caller's connection only.
    :param deadline: time after which an answer is of no use.
    :param leaves_at: time at which the caller leaves, by its own word; None where it did not say.
    :param table: the configuration by which it is sent.
    """

    about: header_fields.CallerHeaders
    method: str
    host: str
    path: str
    target: bytes
    headers: platform_interfaces.RawHeaders
    body: bytes
    deadline: float
    table: routes.RouteTable
    leaves_at: float | None = None


class FailureKind(enum.Enum):
    """What is known of a request that got no answer to pass on."""

    # Nothing was sent, for a reason of this instance's own.
    NOT_SENT = "not sent"
    # Nothing was sent, as no connection opened.
    UNREACHABLE = "unreachable"
    # The server says that it did not run the request.
    REFUSED = "refused"
    # Another server has the address; it did not run the request.
    MISDIRECTED = "misdirected"
    # The connection or the answer broke off.
    BROKEN = "broken"
    # No answer came in time.
    LATE = "late"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A request that got no answer to pass on."""

    kind: FailureKind
    detail: str

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have worked on the request."""
        return self.kind in (FailureKind.BROKEN, FailureKind.LATE)


@dataclasses.dataclass(slots=True)
class ServerAnswer:
    """An answer to pass on.

    :param body: the whole body, or its first part.
    :param rest: further parts of a long body; None where the body is whole.
    """

    status: int
    headers: platform_interfaces.RawHeaders
    body: bytes
    rest: collections.abc.AsyncGenerator[bytes, None] | None
    length: int | None
    load: header_fields.ServerLoad | None


Result = ServerAnswer | Failure


class Sender:
    """Sends requests to backend servers and judges what comes back."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self._headers = header_log.HeaderLog()

    async def send(self, request: CallerRequest, placed: selection.Placement) -> Result:
        """Sends a request to the chosen server and reads its answer."""
        node, view = self._node, placed.view
        sent_at = node.now()
        pending = view.record_send(sent_at, placed.due_at)
        try:
            return await self._exchange(request, placed)
        finally:
            view.record_end(pending)

    async def _exchange(self, request: CallerRequest, placed: selection.Placement) -> Result:
        node, server = self._node, placed.view.server
        left = request.deadline - node.now()
        if left <= 0:
            return Failure(FailureKind.NOT_SENT, "no time left")
        used = node.pool.acquire(server.backend)
        if used is None:
            opened_at = node.now()
            try:
                used = await node.pool.open(server.address, left)
            except errors.BackendFailedError as error:
                return Failure(FailureKind.UNREACHABLE, str(error))
            node.record_round_trip(server.domain, node.now() - opened_at)
        # Opening a connection takes up to half a second.
        reason = self._find_reason_to_stay(request, server)
        if reason is not None:
            node.pool.release(server.backend, used, None)
            return Failure(FailureKind.NOT_SENT, reason)
        is_done = False
        try:
            async with asyncio.timeout(max(0.0, request.deadline - node.now())):
                result = await self._run(request, placed, used)
            is_done = True
            return result
        except errors.BackendFailedError as error:
            return Failure(FailureKind.BROKEN, str(error))
        except TimeoutError:
            return Failure(FailureKind.LATE, "no answer by the deadline")
        finally:
            if not is_done:
                used.close()

    def _find_reason_to_stay(
        self, request: CallerRequest, server: backend.BackendServer
    ) -> str | None:
        """Returns why a request is not sent at this moment, or None and counts it as sent."""
        if self._node.now() >= request.deadline:
            return "no time left"
        if self._node.routes is not request.table:
            return "the configuration changed"
        if not self._node.admit(server.backend):
            return "the server's part for this instance is used up"
        return None

    async def _run(
        self, request: CallerRequest, placed: selection.Placement, used: connection.ServerConnection
    ) -> Result:
        node, server = self._node, placed.view.server
        wait_ms = (request.deadline - node.now()) * 1000
        headers = node.headers.make_server_headers(request.headers, wait_ms, server.backend)
        if request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        sent_at = node.now()
        used.send(request.method, request.target, headers, request.body)
        for _ in range(SKIPPED_MAX + 1):
            head = await used.read_head()
            placed.view.record_activity(node.now())
            raw = [(bytes(name), bytes(value)) for name, value in head.headers]
            self._headers.note(server.backend, raw)
            about = node.headers.parse_server_headers(head.status_code, raw)
            # A refusal may lack the id; an answer that is vouched for belongs to the one it names.
            is_unnamed = not about.request_id and not about.is_signed
            is_own = is_unnamed or about.request_id == request.about.request_id
            is_success = head.status_code < SUCCESS_STATUS_END
            node.words.record_answer(node.now(), server, about, sent_at, is_own, is_success)
            if is_own:
                break
            # An answer to an earlier request; it belongs to nobody.
            await _skip_body(used)
            if not used.expect_next_answer():
                raise errors.BackendFailedError("answer to another request", True)
        else:
            raise errors.BackendFailedError("only answers to other requests", True)
        return await self._judge(request, placed, used, head.status_code, raw, about)

    async def _judge(
        self,
        request: CallerRequest,
        placed: selection.Placement,
        used: connection.ServerConnection,
        status: int,
        raw: platform_interfaces.RawHeaders,
        about: header_fields.ServerHeaders,
    ) -> Result:
        node, found = self._node, dict(raw)
        length = _read_length(found)
        is_wanted = about.is_signed and not about.is_refused
        body, is_whole = await _read_start(used) if is_wanted else await _try_to_skip(used)
        if is_whole:
            self._finish(placed, used, found)
        if about.load is not None:
            placed.view.record_reported_load(node.now(), about.load.running + about.load.waiting)
        if about.is_refused:
            kind = FailureKind.MISDIRECTED if about.is_misdirected else FailureKind.REFUSED
            if not is_whole:
                used.close()
            return Failure(kind, f"status {status}")
        if not about.is_signed:
            used.close()
            return Failure(FailureKind.BROKEN, f"status {status} without the server's signature")
        kept = [item for item in raw if item[0] not in HOP_HEADERS]
        if is_whole:
            return ServerAnswer(status, kept, body, None, len(body), about.load)
        rest = self._iterate(request, placed, used, found)
        return ServerAnswer(status, kept, body, rest, length, about.load)

    async def _iterate(
        self,
        request: CallerRequest,
        placed: selection.Placement,
        used: connection.ServerConnection,
        found: dict[bytes, bytes],
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yields the rest of a long body.

        :raises errors.BackendFailedError: where it broke off, or has no length and no end.
        """
        node, view = self._node, placed.view
        ends_at = math.inf
        if _read_length(found) is None:
            ends_at = request.leaves_at or node.now() + STREAM_SECONDS
        is_whole = False
        try:
            while (chunk := await _read_chunk_until(used, ends_at, node.now)) is not None:
                yield chunk
            is_whole = True
            self._finish(placed, used, found)
        except errors.BackendFailedError as error:
            if view.record_failure(node.now(), node.measure_failing(view)):
                node.record_unusable(view, str(error))
            raise
        finally:
            if not is_whole:
                used.close()

    def _finish(
        self,
        placed: selection.Placement,
        used: connection.ServerConnection,
        found: dict[bytes, bytes],
    ) -> None:
        server = placed.view.server.backend
        known = self._node.servers.find(server)
        if known is not None and self._node.words.is_leaving(known):
            used.close()
        elif used.finish():
            idle = _read_idle(found.get(b"keep-alive", b""))
            self._node.pool.release(server, used, idle)


async def _read_chunk_until(
    used: connection.ServerConnection, ends_at: float, now: collections.abc.Callable[[], float]
) -> bytes | None:
    """Returns the next part of a body of unknown length, or None at its end."""
    if ends_at == math.inf:
        return await used.read_chunk()
    try:
        async with asyncio.timeout(max(0.0, ends_at - now())):
            # Parts that have arrived are returned without a pause in which the time could run out.
            await asyncio.sleep(0)
            return await used.read_chunk()
    except TimeoutError as error:
        raise errors.BackendFailedError("an answer without length and end", True) from error


async def _skip_body(used: connection.ServerConnection) -> None:
    """Reads a body that belongs to nobody.

    :raises errors.BackendFailedError: where it is too large to be worth the connection.
    """
    size = 0
    while (chunk := await used.read_chunk()) is not None:
        size += len(chunk)
        if size > UNUSED_MAX_BYTES:
            raise errors.BackendFailedError(f"unused body over {UNUSED_MAX_BYTES} bytes", True)


async def _try_to_skip(used: connection.ServerConnection) -> tuple[bytes, bool]:
    """Returns no body, and whether the whole of it was read.

    Pattern: the head says that nothing can be passed on, and the body does not end.
    """
    try:
        async with asyncio.timeout(UNUSED_SECONDS):
            await _skip_body(used)
    except (TimeoutError, errors.BackendFailedError):
        # The connection is closed by the caller of this function; the head has said enough.
        return b"", False
    return b"", True


async def _read_start(used: connection.ServerConnection) -> tuple[bytes, bool]:
    """Returns the body, or its first part, and whether it is whole."""
    parts = []
    size = 0
    while size <= WHOLE_MAX_BYTES:
        chunk = await used.read_chunk()
        if chunk is None:
            return b"".join(parts), True
        parts.append(chunk)
        size += len(chunk)
    return b"".join(parts), False


def _read_length(found: dict[bytes, bytes]) -> int | None:
    text = found.get(b"content-length", b"")
    return int(text) if text.isdigit() else None


def _read_idle(text: bytes) -> float | None:
    """Returns the idle time in a Keep-Alive header, in seconds."""
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None
