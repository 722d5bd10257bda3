"""HTTP application for callers' requests."""

import asyncio
import dataclasses
import enum
import random

from caperdyke import errors
from caperdyke.coordination.placement import attempts, choice
from caperdyke.protocol import dialect
from caperdyke.state import ids, request_heads, routes
from caperdyke.transport import events
from caperdyke.transport.gateway import context, sender
from caperdyke.transport.http import caller_protocol

# How long a caller may take where it does not say it, in milliseconds; the route's time-out ends
# most requests earlier.
WAIT_DEFAULT_MS = 60_000.0
# A caller returns no later than this part of the time that it has left.
RETRY_PART_MAX = 0.3
RETRY_NOT_READY_SECONDS = 0.5
# Time before the caller's deadline at which the last answer leaves, in seconds, so that it arrives.
ANSWER_MARGIN_SECONDS = 0.03
# Sends of one request that may fail before a server is reached.
UNREACHED_MAX = 3
SERVER_ERROR_STATUS = 500
# Failures of sends that did not arrive at a server of the route.
NOT_AT_SERVER = (sender.FailureKind.UNREACHABLE, sender.FailureKind.MISDIRECTED)


class Verdict(enum.Enum):
    """Why a request gets an answer of the system's own, for logs."""

    NO_CONFIGURATION = "no configuration yet"
    NO_ROUTE = "no route"
    TOO_LARGE = "body too large"
    HEADERS_TOO_LARGE = "headers too large"
    NO_SERVER = "no server"
    NO_ROOM = "no room in time"
    REFUSED = "servers refused"
    FAILED = "server failed"
    TIMED_OUT = "timed out"
    CALLER_LEFT = "caller left"


@dataclasses.dataclass(slots=True)
class _Trace:
    """What decided about one request, for its log line."""

    request_id: str
    received_at: float
    object_key: str = ""
    route: str = ""
    service: str = ""
    kind: str = ""
    host: str = ""
    sends: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _OwnAnswer:
    """An answer of the system's own.

    :param retry_seconds: when the caller may come back; None where that would not help.
    """

    status: int
    verdict: Verdict
    retry_seconds: float | None = None


class _CallerLeftError(errors.CaperdykeError):
    """The caller closed its connection."""


class RequestApp:
    """Serves callers' requests."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self._sender = sender.Sender(node)
        self._random = random.Random()

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request; an ASGI application."""
        if scope["type"] != "http":
            return
        node = self._node
        received_at = node.now()
        about = node.headers.read_caller(scope["headers"])
        trace = _Trace(about.request_id, received_at, about.object_key)
        node.active_requests += 1
        try:
            await self._handle(scope, receive, send, about, trace)
        except _CallerLeftError:
            self._log(trace, 0, Verdict.CALLER_LEFT.value)
        except Exception as error:
            events.log(events.Event.REQUEST_FAILED, request=trace.request_id, error=repr(error))
            raise
        finally:
            node.active_requests -= 1

    async def _handle(self, scope, receive, send, about, trace: _Trace) -> None:
        refusal, route = self._check(scope, trace)
        if refusal is None:
            body = await self._read_body(receive)
            if body is None:
                refusal = _OwnAnswer(413, Verdict.TOO_LARGE)
        if refusal is not None:
            await self._answer(send, refusal, about, trace)
            return
        request = self._make_request(scope, about, body, route, trace)
        serving = asyncio.ensure_future(self._serve(request, route, trace))
        leaving = asyncio.ensure_future(_wait_for_leave(receive))
        try:
            await asyncio.wait({serving, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                raise _CallerLeftError
            result = serving.result()
            match result:
                case _OwnAnswer():
                    await self._answer(send, result, about, trace)
                case sender.ServerAnswer():
                    await self._pass_on(send, result, leaving, request, trace)
        finally:
            serving.cancel()
            leaving.cancel()
            await asyncio.gather(serving, leaving, return_exceptions=True)

    def _check(self, scope, trace: _Trace) -> tuple[_OwnAnswer | None, routes.Route | None]:
        table = self._node.routes
        if table is None:
            return _OwnAnswer(503, Verdict.NO_CONFIGURATION, RETRY_NOT_READY_SECONDS), None
        size = sum(len(name) + len(value) + 4 for name, value in scope["headers"])
        if size > table.limits.header_bytes:
            return _OwnAnswer(431, Verdict.HEADERS_TOO_LARGE), None
        host = dict(scope["headers"]).get(b"host", b"").decode("latin-1")
        route = table.find_route(_strip_port(host), scope["raw_path"].decode("latin-1"))
        if route is None:
            return _OwnAnswer(404, Verdict.NO_ROUTE), None
        trace.route, trace.kind, trace.host = route.name, route.kind.value, route.host
        return None, route

    async def _read_body(self, receive) -> bytes | None:
        """Returns the whole body, or None where it is too large."""
        limit = self._node.routes.limits.body_bytes
        parts = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerLeftError
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > limit:
                return None
            if not message.get("more_body"):
                return b"".join(parts)

    def _make_request(
        self,
        scope,
        about: request_heads.CallerHeaders,
        body: bytes,
        route: routes.Route,
        trace: _Trace,
    ) -> sender.CallerRequest:
        wait_ms = WAIT_DEFAULT_MS if about.wait_ms is None else about.wait_ms
        wait_ms = min(wait_ms, route.timeout_ms)
        return sender.CallerRequest(
            about,
            scope["method"],
            scope[caller_protocol.TARGET_KEY],
            _drop_hop_headers(scope["headers"]),
            body,
            trace.received_at + wait_ms / 1000 - ANSWER_MARGIN_SECONDS,
        )

    async def _serve(
        self, request: sender.CallerRequest, route: routes.Route, trace: _Trace
    ) -> sender.ServerAnswer | _OwnAnswer:
        """Sends a request until a server answers or nothing more can be done."""
        node = self._node
        service = node.splits.choose(route)
        trace.service = service
        node.retries.note_first(node.now(), service)
        tries = attempts.Attempts(route.attempts_max, route.kind.is_repeatable)
        tried: set[ids.BackendId] = set()
        unreached = 0
        last: sender.ServerAnswer | None = None
        while True:
            chosen = self._choose(request, route, service, tried, trace)
            if isinstance(chosen, choice.NoRoom):
                trace.sends.append(_describe_no_room(chosen))
                return last or self._give_up(request, tries, chosen)
            if tries.sent and not node.retries.take(node.now(), service, self._count_fleet()):
                return last or self._give_up(request, tries, None)
            tried.add(chosen.view.server.backend)
            sent_at = node.now()
            result = await self._sender.send(request, chosen)
            self._learn(request, route, chosen, sent_at, result)
            if tries.sent:
                node.metrics.count_retry(route.host, service)
            trace.sends.append(self._describe(chosen, sent_at, result))
            if isinstance(result, sender.Failure):
                if result.kind in NOT_AT_SERVER:
                    if result.kind is sender.FailureKind.MISDIRECTED:
                        tries.note_misdirected()
                    unreached += 1
                    if unreached > UNREACHED_MAX:
                        return last or self._give_up(request, tries, None)
                    continue
                tries.note_reached()
                if result.may_have_run:
                    tries.note_may_have_run()
                else:
                    tries.note_not_run()
            else:
                tries.note_reached()
                if result.status < SERVER_ERROR_STATUS:
                    return result
                tries.note_may_have_run()
                if last is not None and last.rest is not None:
                    await last.rest.aclose()
                last = result
            if not tries.allows_another() or node.now() >= request.deadline:
                return last or self._give_up(request, tries, None)

    def _choose(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        tried: set[ids.BackendId],
        trace: _Trace,
    ) -> choice.Choice:
        node = self._node
        objective = route.objective_ms / 1000
        demand = choice.Demand(
            service,
            request.about.object_key if route.has_affinity else ids.ObjectKey(""),
            request.deadline,
            trace.received_at + objective,
            route.kind is routes.RouteKind.DOWNLOAD,
            frozenset(tried),
        )
        candidates = node.list_candidates(service, demand.key, route)
        return choice.choose(node.now(), demand, candidates, node.times.find(route.name, objective))

    def _learn(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        placed: choice.Placed,
        sent_at: float,
        result: sender.Result,
    ) -> None:
        node, view, now = self._node, placed.view, self._node.now()
        objective = route.objective_ms / 1000
        if isinstance(result, sender.ServerAnswer):
            if result.status >= SERVER_ERROR_STATUS:
                return
            took = now - sent_at
            ratio = None
            is_queue_seen = result.load is not None and result.load.waiting > 0
            if not placed.waits and not is_queue_seen:
                key = request.about.object_key
                ratio = node.times.note(route.name, objective, view.is_warm(now, key), took)
            view.note_answer(now, request.about.object_key, ratio)
            return
        match result.kind:
            case sender.FailureKind.UNREACHABLE:
                view.note_unreachable(now)
                node.note_unusable(view, result.detail)
            case sender.FailureKind.MISDIRECTED:
                node.servers.mark_misdirected(view.server.backend)
                node.refresh_servers()
                node.note_unusable(view, "another server has its address")
            case _:
                if view.note_failure(now, node.measure_failing(view)):
                    node.note_unusable(view, result.detail)

    def _give_up(
        self,
        request: sender.CallerRequest,
        tries: attempts.Attempts,
        no_room: choice.NoRoom | None,
    ) -> _OwnAnswer:
        left = request.deadline - self._node.now()
        if not tries.is_known_not_run:
            if left <= 0:
                return _OwnAnswer(504, Verdict.TIMED_OUT)
            return _OwnAnswer(502, Verdict.FAILED)
        if no_room is None:
            verdict, wanted = Verdict.REFUSED, choice.RETRY_MIN_SECONDS
        else:
            verdict = Verdict.NO_SERVER if no_room.is_empty else Verdict.NO_ROOM
            wanted = no_room.retry_after
        # Spread over time, so that callers who were refused together do not return together.
        spread = wanted * self._random.uniform(1.0, 1.5)
        return _OwnAnswer(503, verdict, max(0.0, min(spread, left * RETRY_PART_MAX)))

    async def _answer(
        self, send, answer: _OwnAnswer, about: request_heads.CallerHeaders, trace: _Trace
    ) -> None:
        headers = self._node.headers.make_refusal_headers(about.request_id, answer.retry_seconds)
        body = answer.verdict.value.encode()
        headers += [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
        await self._start(send, answer.status, headers)
        await send({"type": "http.response.body", "body": body})
        self._log(trace, answer.status, answer.verdict.value)

    async def _pass_on(
        self,
        send,
        answer: sender.ServerAnswer,
        leaving: asyncio.Future,
        request: sender.CallerRequest,
        trace: _Trace,
    ) -> None:
        headers = list(answer.headers)
        if answer.length is not None and request.method != "HEAD":
            headers.append((b"content-length", b"%d" % answer.length))
        await self._start(send, answer.status, headers)
        if answer.rest is None:
            await send({"type": "http.response.body", "body": answer.body})
            self._log(trace, answer.status, "answered")
            return
        pumping = asyncio.ensure_future(_pump(send, answer))
        try:
            await asyncio.wait({pumping, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if not pumping.done():
                raise _CallerLeftError
            pumping.result()
        except errors.BackendFailedError as error:
            events.log(events.Event.ANSWER_CUT, request=trace.request_id, error=str(error))
            # The exception ends the connection without the mark of a complete answer.
            raise
        finally:
            pumping.cancel()
            await asyncio.gather(pumping, return_exceptions=True)
            await answer.rest.aclose()
        self._log(trace, answer.status, "answered in parts")

    async def _start(self, send, status: int, headers: dialect.RawHeaders) -> None:
        if self._node.is_stopping:
            headers = [*headers, (b"connection", b"close")]
        await send({"type": "http.response.start", "status": status, "headers": headers})

    def _count_fleet(self) -> int:
        return self._node.fleet.count_recent(self._node.now())

    def _describe(self, placed: choice.Placed, sent_at: float, result: sender.Result) -> str:
        took = round((self._node.now() - sent_at) * 1000)
        is_failed = isinstance(result, sender.Failure)
        what = f"{result.kind.value} ({result.detail})" if is_failed else str(result.status)
        view = placed.view
        return (
            f"{view.server.backend} in {view.server.domain}: {what} after {took} ms, expected"
            f" {round(placed.expected * 1000)}, busy {view.busy}/{view.server.slots},"
            f" warm {placed.is_warm}"
        )

    def _log(self, trace: _Trace, status: int, outcome: str) -> None:
        node = self._node
        took = node.now() - trace.received_at
        if status and status < SERVER_ERROR_STATUS:
            node.metrics.count_answer(trace.host, trace.service, trace.kind, took)
        else:
            node.metrics.count_refusal(trace.host, trace.service, str(status), outcome)
        events.log(
            events.Event.REQUEST_ENDED,
            request=trace.request_id,
            status=status,
            took_ms=round(took * 1000),
            outcome=outcome,
            object=trace.object_key,
            route=trace.route,
            service=trace.service,
            configuration=node.routes.version if node.routes else 0,
            registrations_age_ms=node.find_registrations_age_ms(),
            sends=trace.sends,
        )


def _describe_no_room(chosen: choice.NoRoom) -> str:
    return (
        f"no server chosen: {chosen.open_servers} open, {chosen.pressure:.2f} requests per slot,"
        f" room expected in {round(chosen.retry_after * 1000)} ms"
    )


async def _pump(send, answer: sender.ServerAnswer) -> None:
    """Passes a long body on, part by part, as fast as the caller reads."""
    await send({"type": "http.response.body", "body": answer.body, "more_body": True})
    async for chunk in answer.rest:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


async def _wait_for_leave(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue


def _drop_hop_headers(headers: dialect.RawHeaders) -> dialect.RawHeaders:
    """Returns the headers without those that concern the caller's connection."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = sender.HOP_HEADERS | named
    return [item for item in headers if item[0] not in dropped]


def _strip_port(host: str) -> str:
    name, _, port = host.rpartition(":")
    return name if name and port.isdecimal() else host
