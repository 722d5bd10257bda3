"""HTTP application for callers' requests."""

import asyncio
import contextlib

from caperdyke import errors
from caperdyke.protocol import platform_interfaces
from caperdyke.state import header_fields, routes
from caperdyke.transport import events
from caperdyke.transport.gateway import context, dispatcher, sender, verdicts
from caperdyke.transport.http import caller_protocol

# How long a caller may take where it does not say it, in milliseconds; the route's time-out ends
# most requests earlier.
WAIT_DEFAULT_MS = 60_000.0
# When a caller may return to an instance that knows no configuration yet, in seconds.
RETRY_NOT_READY_SECONDS = 0.5
# From this status on an answer is a failure or a refusal.
CALLER_ERROR_STATUS = 400
# Time before the caller's deadline at which the last answer leaves, in seconds, so that it arrives.
ANSWER_MARGIN_SECONDS = 0.03


class _CallerLeftError(errors.CaperdykeError):
    """The caller closed its connection."""


class RequestApp:
    """Serves callers' requests."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self._dispatcher = dispatcher.Dispatcher(node)

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request; an ASGI application."""
        if scope["type"] != "http":
            return
        node = self._node
        received_at = node.now()
        about = node.headers.parse_caller_headers(scope["headers"])
        trace = verdicts.RequestTrace(about.request_id, received_at, about.object_key)
        node.active_requests += 1
        try:
            await self._handle(scope, receive, send, about, trace)
        except _CallerLeftError:
            self._log(trace, 0, verdicts.Verdict.CALLER_LEFT.value)
        except errors.ProtocolError as error:
            trace.sends.append(str(error))
            refusal = verdicts.OwnAnswer(400, verdicts.Verdict.MALFORMED)
            await self._answer(send, refusal, about, trace)
        except Exception as error:
            events.log(events.Event.REQUEST_FAILED, request=trace.request_id, error=repr(error))
            raise
        finally:
            node.active_requests -= 1

    async def _handle(self, scope, receive, send, about, trace: verdicts.RequestTrace) -> None:
        await self._wait_for_initial_sync(about)
        table = self._node.routes
        refusal, route = self._check(scope, table, trace)
        if refusal is None:
            body = await self._read_body(receive)
            if body is None:
                refusal = verdicts.OwnAnswer(413, verdicts.Verdict.TOO_LARGE)
        if refusal is not None:
            await self._answer(send, refusal, about, trace)
            return
        request = self._make_request(scope, about, body, table, route, trace)
        serving = asyncio.ensure_future(self._dispatcher.serve(request, route, trace))
        leaving = asyncio.ensure_future(_wait_for_leave(receive))
        try:
            await asyncio.wait({serving, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                raise _CallerLeftError
            result = serving.result()
            match result:
                case verdicts.OwnAnswer():
                    await self._answer(send, result, about, trace)
                case sender.ServerAnswer():
                    await self._pass_on(send, result, leaving, request, trace)
        finally:
            serving.cancel()
            leaving.cancel()
            await asyncio.gather(serving, leaving, return_exceptions=True)

    async def _wait_for_initial_sync(self, about: header_fields.CallerHeaders) -> None:
        """Waits, for a bounded time, while the instance has just started."""
        node, now = self._node, self._node.now()
        wait_ms = WAIT_DEFAULT_MS if about.wait_ms is None else about.wait_ms
        hold_until = node.initial_sync.compute_wait_deadline(now, now + wait_ms / 1000)
        if hold_until > now:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(hold_until - now):
                    await node.initial_sync_finished.wait()

    def _check(
        self, scope, table: routes.RouteTable | None, trace: verdicts.RequestTrace
    ) -> tuple[verdicts.OwnAnswer | None, routes.Route | None]:
        if table is None:
            return (
                verdicts.OwnAnswer(503, verdicts.Verdict.NO_CONFIGURATION, RETRY_NOT_READY_SECONDS),
                None,
            )
        size = sum(len(name) + len(value) + 4 for name, value in scope["headers"])
        if size > table.limits.header_bytes:
            return verdicts.OwnAnswer(431, verdicts.Verdict.HEADERS_TOO_LARGE), None
        hosts = [value.decode("latin-1") for name, value in scope["headers"] if name == b"host"]
        if len(hosts) != 1:
            return verdicts.OwnAnswer(400, verdicts.Verdict.MALFORMED), None
        route = table.find_route(_strip_port(hosts[0]), scope["raw_path"].decode("latin-1"))
        if route is None:
            return verdicts.OwnAnswer(404, verdicts.Verdict.NO_ROUTE), None
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
        about: header_fields.CallerHeaders,
        body: bytes,
        table: routes.RouteTable,
        route: routes.Route,
        trace: verdicts.RequestTrace,
    ) -> sender.CallerRequest:
        wait_ms = WAIT_DEFAULT_MS if about.wait_ms is None else about.wait_ms
        leaves_at = None
        if about.wait_ms is not None:
            leaves_at = trace.received_at + about.wait_ms / 1000
        wait_ms = min(wait_ms, route.timeout_ms)
        host = next(value for name, value in scope["headers"] if name == b"host")
        return sender.CallerRequest(
            about,
            scope["method"],
            _strip_port(host.decode("latin-1")),
            scope["raw_path"].decode("latin-1"),
            scope[caller_protocol.TARGET_KEY],
            _drop_hop_headers(scope["headers"]),
            body,
            trace.received_at + wait_ms / 1000 - ANSWER_MARGIN_SECONDS,
            table,
            leaves_at,
        )

    async def _answer(
        self,
        send,
        answer: verdicts.OwnAnswer,
        about: header_fields.CallerHeaders,
        trace: verdicts.RequestTrace,
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
        trace: verdicts.RequestTrace,
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

    async def _start(self, send, status: int, headers: platform_interfaces.RawHeaders) -> None:
        if self._node.is_stopping:
            headers = [*headers, (b"connection", b"close")]
        await send({"type": "http.response.start", "status": status, "headers": headers})

    def _log(self, trace: verdicts.RequestTrace, status: int, outcome: str) -> None:
        node = self._node
        took = node.now() - trace.received_at
        if status and status < dispatcher.SERVER_ERROR_STATUS:
            node.metrics.count_answer(trace.host, trace.service, trace.kind, took)
        else:
            node.metrics.count_refusal(trace.host, trace.service, str(status), outcome)
        known = {}
        if status >= CALLER_ERROR_STATUS:
            known["knowledge"] = node.provenance.describe(node.now())
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
            **known,
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


def _drop_hop_headers(headers: platform_interfaces.RawHeaders) -> platform_interfaces.RawHeaders:
    """Returns the headers without those that concern the caller's connection."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    # The host belongs to the request, whatever a caller names.
    dropped = (sender.HOP_HEADERS | named) - {b"host"}
    return [item for item in headers if item[0] not in dropped]


def _strip_port(host: str) -> str:
    name, _, port = host.rpartition(":")
    return name if name and port.isdecimal() else host
