"""ASGI application that serves callers' requests."""

import asyncio
import contextlib

from caperdyke import errors
from caperdyke.coordination import memory_account
from caperdyke.protocol import platform_interfaces, relay_headers
from caperdyke.state import header_fields, routes
from caperdyke.transport import events
from caperdyke.transport.gateway import (
    admissions,
    body_reader,
    context,
    dispatcher,
    local_reply,
    refusals,
    sender,
)
from caperdyke.transport.http import caller_protocol, exchanges, framing, response_rules

# Time for which a caller without a deadline header is assumed to wait. The route's timeout ends
# most requests earlier.
CALLER_WAIT_DEFAULT_MS = 60_000.0
# Retry-After of an instance that has no configuration yet.
NOT_READY_RETRY_AFTER_SECONDS = 0.5
UNAUTHORIZED_STATUS = 401
# Lowest status that counts as an error or a refusal.
ERROR_STATUS_MIN = 400
# The last answer is sent this long before the caller's deadline, so that it arrives in time.
ANSWER_MARGIN_SECONDS = 0.03
# Retry-After of an instance whose memory is taken by bodies or by answers.
NO_MEMORY_RETRY_AFTER_SECONDS = 0.5
_UNREAD_BODY_REASONS = (
    local_reply.LocalReplyReason.BODY_TOO_LARGE,
    local_reply.LocalReplyReason.BODY_LATE,
    local_reply.LocalReplyReason.NO_MEMORY,
)
# What local replies tell an instance that relayed the request.
_RELAY_OUTCOMES = {
    local_reply.LocalReplyReason.REFUSED: relay_headers.RelayOutcome.NOT_RUN,
    local_reply.LocalReplyReason.NO_PATH: relay_headers.RelayOutcome.NOT_RUN,
    local_reply.LocalReplyReason.NO_TEAM: relay_headers.RelayOutcome.NOT_RUN,
    local_reply.LocalReplyReason.TEAM_UNKNOWN: relay_headers.RelayOutcome.NOT_RUN,
    local_reply.LocalReplyReason.UNCONFIRMED: relay_headers.RelayOutcome.NOT_RUN,
    local_reply.LocalReplyReason.CRASHES_SERVERS: relay_headers.RelayOutcome.NOT_RUN,
    local_reply.LocalReplyReason.NO_MEMORY: relay_headers.RelayOutcome.DECLINED,
    local_reply.LocalReplyReason.UNREAD_RESPONSES: relay_headers.RelayOutcome.DECLINED,
    local_reply.LocalReplyReason.STOPPING: relay_headers.RelayOutcome.DECLINED,
    local_reply.LocalReplyReason.DECLINED: relay_headers.RelayOutcome.DECLINED,
    local_reply.LocalReplyReason.NO_CAPACITY: relay_headers.RelayOutcome.NO_CAPACITY,
    local_reply.LocalReplyReason.NO_SERVER: relay_headers.RelayOutcome.NO_CAPACITY,
}


class _StoppedError(errors.CaperdykeError):
    """An answer was not complete when the instance stopped."""


class RequestApp:
    """Routes callers' requests and returns the answers of backend servers, or local replies.

    :param is_for_peers: whether the requests come from other instances, which relay them.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        request_dispatcher: dispatcher.Dispatcher,
        is_for_peers: bool = False,
    ) -> None:
        self._node = node
        self._dispatcher = request_dispatcher
        self._is_for_peers = is_for_peers

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request; an ASGI application."""
        if scope["type"] != "http":
            return
        node = self._node
        # A request that was sent ahead may have waited for its turn on the connection.
        received_at = node.now() - caller_protocol.measure_age(scope)
        caller_headers = node.headers.parse_caller_headers(scope["headers"])
        trace = local_reply.RequestTrace(
            caller_headers.request_id, received_at, caller_headers.object_key
        )
        scope[exchanges.REQUEST_ID_KEY] = caller_headers.request_id
        node.active_requests += 1
        limit = node.stop_limits.limit(node.find_stop_deadline)
        try:
            async with limit as timeout:
                await self._handle(scope, receive, send, caller_headers, trace)
        except TimeoutError as error:
            if not timeout.expired():
                events.log(events.Event.REQUEST_FAILED, request=trace.request_id, error=repr(error))
                raise
            await self._end_at_stop(send, caller_headers, trace)
        except body_reader.CallerDisconnectedError:
            self._log_request_end(trace, 0, local_reply.LocalReplyReason.CALLER_DISCONNECTED.value)
        except errors.ProtocolError as error:
            trace.sends.append(str(error))
            refusal = local_reply.LocalReply(400, local_reply.LocalReplyReason.MALFORMED)
            await self._send_local_reply(send, refusal, caller_headers, trace)
        except Exception as error:
            events.log(events.Event.REQUEST_FAILED, request=trace.request_id, error=repr(error))
            raise
        finally:
            node.active_requests -= 1

    async def _handle(
        self, scope, receive, send, caller_headers, trace: local_reply.RequestTrace
    ) -> None:
        relayed, node = None, self._node
        if self._is_for_peers:
            relayed = relay_headers.decode_request(scope["headers"])
            trace.relayed_by = relayed.instance
        else:
            await self._wait_for_initial_sync(caller_headers)
        table = node.routes
        if relayed is not None and (table is None or table.version < relayed.version):
            declined = local_reply.LocalReply(503, local_reply.LocalReplyReason.DECLINED)
            await self._send_local_reply(send, declined, caller_headers, trace)
            return
        refusal, admitted = self._admit(scope, table, caller_headers, relayed, trace)
        if refusal is not None:
            await self._send_local_reply(send, refusal, caller_headers, trace)
            return
        node.resources.unread.make_room()
        if node.resources.unread.is_full:
            refusal = local_reply.LocalReply(
                503,
                local_reply.LocalReplyReason.UNREAD_RESPONSES,
                NO_MEMORY_RETRY_AFTER_SECONDS,
                f"callers have not read {node.resources.unread.bytes_held} bytes",
            )
            await self._send_local_reply(send, refusal, caller_headers, trace)
            return
        deadline = _find_deadline(caller_headers, admitted.route, trace, relayed)
        reservation = memory_account.Reservation(scope[caller_protocol.HOLDING_KEY])
        reader = body_reader.BodyReader(
            reservation, framing.find_length(scope["headers"]), table.limits.body_bytes
        )
        try:
            if framing.has_body(scope["headers"]):
                refusal = await self._read_body(scope, receive, reader, admitted.route, deadline)
            else:
                await reader.read_part(receive)
            if refusal is not None:
                await self._send_local_reply(send, refusal, caller_headers, trace)
                return
            request = self._make_request(
                scope, caller_headers, reader, table, admitted, trace, relayed, deadline
            )
            await self._serve(receive, send, request, admitted, caller_headers, trace)
        finally:
            reservation.release()

    async def _serve(
        self,
        receive,
        send,
        request: sender.CallerRequest,
        admitted: admissions.AdmittedRequest,
        caller_headers: header_fields.CallerHeaders,
        trace: local_reply.RequestTrace,
    ) -> None:
        serving = asyncio.ensure_future(self._dispatcher.serve(request, admitted.route, trace))
        disconnecting = asyncio.ensure_future(_wait_for_disconnect(receive))
        try:
            await asyncio.wait({serving, disconnecting}, return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                raise body_reader.CallerDisconnectedError
            result = serving.result()
            match result:
                case local_reply.LocalReply():
                    await self._send_local_reply(send, result, caller_headers, trace)
                case sender.ServerAnswer():
                    await self._forward_answer(send, result, disconnecting, request, trace)
        finally:
            serving.cancel()
            disconnecting.cancel()
            await asyncio.gather(serving, disconnecting, return_exceptions=True)

    async def _wait_for_initial_sync(self, caller_headers: header_fields.CallerHeaders) -> None:
        """Waits a bounded time for the initial reads of an instance that has just started."""
        node, now = self._node, self._node.now()
        wait_ms = (
            CALLER_WAIT_DEFAULT_MS if caller_headers.wait_ms is None else caller_headers.wait_ms
        )
        hold_until = node.initial_sync.compute_wait_deadline(now, now + wait_ms / 1000)
        if hold_until > now:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(hold_until - now):
                    await node.initial_sync_finished.wait()

    def _admit(
        self,
        scope,
        table: routes.RouteTable | None,
        caller_headers: header_fields.CallerHeaders,
        relayed: relay_headers.RelayedRequest | None,
        trace: local_reply.RequestTrace,
    ) -> tuple[local_reply.LocalReply | None, admissions.AdmittedRequest | None]:
        if table is None:
            return (
                local_reply.LocalReply(
                    503,
                    local_reply.LocalReplyReason.NO_CONFIGURATION,
                    NOT_READY_RETRY_AFTER_SECONDS,
                ),
                None,
            )
        # What another instance has added to a relayed request does not count.
        headers = relay_headers.strip(scope["headers"]) if relayed else scope["headers"]
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size > table.limits.header_bytes:
            return local_reply.LocalReply(431, local_reply.LocalReplyReason.HEADERS_TOO_LARGE), None
        hosts = [value.decode("latin-1") for name, value in scope["headers"] if name == b"host"]
        if len(hosts) != 1:
            return local_reply.LocalReply(400, local_reply.LocalReplyReason.MALFORMED), None
        admitted = admissions.admit(
            table,
            strip_port(hosts[0]),
            scope["raw_path"].decode("latin-1"),
            caller_headers.credential,
            relayed.team if relayed is not None else None,
            self._node.may_check_keys(),
        )
        if isinstance(admitted, local_reply.LocalReply):
            return admitted, None
        route = admitted.route
        trace.route, trace.kind, trace.host = route.name, route.kind.value, route.host
        trace.team = admitted.team.name if admitted.team is not None else ""
        return None, admitted

    async def _read_body(
        self, scope, receive, reader: body_reader.BodyReader, route: routes.Route, deadline: float
    ) -> local_reply.LocalReply | None:
        """Reads the whole body, and returns why the request is refused, or None.

        A request whose body is still being received when it is too late to send it is refused then.

        :param deadline: time by which an answer must be sent to the caller.
        """
        node = self._node

        def find_end() -> float:
            return min(deadline, node.find_latest_send(route, deadline))

        try:
            reader.start()
            async with node.stop_limits.limit(find_end) as timeout:
                with scope[caller_protocol.HOLDING_KEY].ended_by(reader.make_revoke(timeout)):
                    while not reader.is_complete:
                        await reader.read_part(receive)
        except body_reader.BodyTooLargeError:
            return local_reply.LocalReply(413, local_reply.LocalReplyReason.BODY_TOO_LARGE)
        except body_reader.NoMemoryError as error:
            reason = local_reply.LocalReplyReason.NO_MEMORY
            return local_reply.LocalReply(503, reason, NO_MEMORY_RETRY_AFTER_SECONDS, str(error))
        except TimeoutError:
            if not timeout.expired():
                raise
            if reader.is_revoked:
                reason = local_reply.LocalReplyReason.NO_MEMORY
                return local_reply.LocalReply(503, reason, NO_MEMORY_RETRY_AFTER_SECONDS, "slow")
            if node.now() < deadline:
                return refusals.make_stopping_reply()
            return local_reply.LocalReply(408, local_reply.LocalReplyReason.BODY_LATE)
        return None

    async def _end_at_stop(
        self,
        send,
        caller_headers: header_fields.CallerHeaders,
        trace: local_reply.RequestTrace,
    ) -> None:
        """Ends a request that has no complete answer when this instance ends."""
        if trace.is_answer_started:
            error = "the instance stopped"
            events.log(events.Event.ANSWER_CUT, request=trace.request_id, error=error)
            raise _StoppedError(error)
        if trace.may_have_run:
            reply = local_reply.LocalReply(504, local_reply.LocalReplyReason.STOPPED)
        else:
            reply = refusals.make_stopping_reply()
        await self._send_local_reply(send, reply, caller_headers, trace)

    def _make_request(
        self,
        scope,
        caller_headers: header_fields.CallerHeaders,
        reader: body_reader.BodyReader,
        table: routes.RouteTable,
        admitted: admissions.AdmittedRequest,
        trace: local_reply.RequestTrace,
        relayed: relay_headers.RelayedRequest | None,
        deadline: float,
    ) -> sender.CallerRequest:
        route = admitted.route
        caller_timeout_at = None
        if caller_headers.wait_ms is not None:
            caller_timeout_at = trace.received_at + caller_headers.wait_ms / 1000
        host = next(value for name, value in scope["headers"] if name == b"host")
        return sender.CallerRequest(
            caller_headers,
            scope["method"],
            strip_port(host.decode("latin-1")),
            scope["raw_path"].decode("latin-1"),
            scope[caller_protocol.TARGET_KEY],
            relay_headers.strip(_drop_hop_by_hop_headers(scope["headers"])),
            reader.body,
            deadline,
            table,
            caller_timeout_at,
            route.kind.is_repeatable,
            relayed,
            admitted.identity,
            reader.reservation,
        )

    async def _send_local_reply(
        self,
        send,
        answer: local_reply.LocalReply,
        caller_headers: header_fields.CallerHeaders,
        trace: local_reply.RequestTrace,
    ) -> None:
        headers = self._node.headers.make_refusal_headers(
            caller_headers.request_id, answer.retry_seconds
        )
        body = answer.reason.value.encode()
        if answer.status == UNAUTHORIZED_STATUS:
            headers.append((b"www-authenticate", b"Bearer"))
        headers += [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
        headers += self._make_relay_headers(_RELAY_OUTCOMES.get(answer.reason))
        if answer.reason in _UNREAD_BODY_REASONS:
            # The rest of the body is not read.
            headers.append((b"connection", b"close"))
        await self._send_head(send, answer.status, headers, trace)
        await send({"type": "http.response.body", "body": body})
        trace.cause = answer.cause
        self._log_request_end(trace, answer.status, answer.reason.value)

    async def _forward_answer(
        self,
        send,
        answer: sender.ServerAnswer,
        disconnecting: asyncio.Future,
        request: sender.CallerRequest,
        trace: local_reply.RequestTrace,
    ) -> None:
        headers = [*answer.headers, *self._make_relay_headers()]
        has_body = (
            request.method != "HEAD" and answer.status not in response_rules.BODILESS_STATUSES
        )
        if answer.length is not None and has_body:
            headers.append((b"content-length", b"%d" % answer.length))
        await self._send_head(send, answer.status, headers, trace)
        if answer.remaining_body is None:
            await send({"type": "http.response.body", "body": answer.body})
            self._log_request_end(trace, answer.status, "answered")
            return
        streaming = asyncio.ensure_future(_send_streamed_body(send, answer, request.reservation))
        try:
            await asyncio.wait({streaming, disconnecting}, return_when=asyncio.FIRST_COMPLETED)
            if not streaming.done():
                raise body_reader.CallerDisconnectedError
            streaming.result()
        except errors.BackendFailedError as error:
            events.log(events.Event.ANSWER_CUT, request=trace.request_id, error=str(error))
            # The exception closes the connection without marking the answer as complete.
            raise
        finally:
            streaming.cancel()
            await asyncio.gather(streaming, return_exceptions=True)
            await answer.remaining_body.aclose()
        self._log_request_end(trace, answer.status, "answered in parts")

    def _make_relay_headers(
        self, outcome: relay_headers.RelayOutcome | None = None
    ) -> platform_interfaces.RawHeaders:
        """Returns the headers that an answer to another instance carries in addition.

        :param outcome: final if None.
        """
        if not self._is_for_peers:
            return []
        version = self._node.routes.version if self._node.routes else 0
        outcome = outcome or relay_headers.RelayOutcome.FINAL
        return relay_headers.encode_answer(relay_headers.RelayedAnswer(outcome, version))

    async def _send_head(
        self,
        send,
        status: int,
        headers: platform_interfaces.RawHeaders,
        trace: local_reply.RequestTrace,
    ) -> None:
        if self._node.is_stopping:
            headers = [*headers, (b"connection", b"close")]
        trace.is_answer_started = True
        await send({"type": "http.response.start", "status": status, "headers": headers})

    def _log_request_end(self, trace: local_reply.RequestTrace, status: int, outcome: str) -> None:
        node = self._node
        duration = node.now() - trace.received_at
        if trace.relayed_by:
            node.metrics.count_relayed(trace.service, str(status))
        elif status and status < dispatcher.SERVER_ERROR_STATUS:
            node.metrics.count_answer(trace.host, trace.service, trace.kind, duration)
        else:
            node.metrics.count_refusal(trace.host, trace.service, str(status), outcome)
        extra_fields = {"relayed_by": trace.relayed_by} if trace.relayed_by else {}
        if trace.team:
            extra_fields["team"] = trace.team
        if trace.cause:
            extra_fields["cause"] = trace.cause
        if node.routes is not None and node.routes.teams is not None and not trace.relayed_by:
            # Requests are counted where the caller sent them.
            node.metrics.count_team_request(trace.team, trace.cause or outcome)
        if trace.waited_s:
            extra_fields["waited_ms"] = round(trace.waited_s * 1000)
        if trace.competition and status >= ERROR_STATUS_MIN:
            extra_fields["competition"] = trace.competition
        if status >= ERROR_STATUS_MIN:
            extra_fields["knowledge"] = node.provenance.describe(node.now())
            extra_fields["path"] = node.describe_path(trace.service)
        events.log(
            events.Event.REQUEST_ENDED,
            request=trace.request_id,
            status=status,
            took_ms=round(duration * 1000),
            outcome=outcome,
            object=trace.object_key,
            route=trace.route,
            service=trace.service,
            configuration=node.routes.version if node.routes else 0,
            registrations_age_ms=node.find_registrations_age_ms(),
            sends=trace.sends,
            **extra_fields,
        )


def _find_deadline(
    caller_headers: header_fields.CallerHeaders,
    route: routes.Route,
    trace: local_reply.RequestTrace,
    relayed: relay_headers.RelayedRequest | None,
) -> float:
    """Returns the time by which an answer must be sent to the caller."""
    wait_ms = CALLER_WAIT_DEFAULT_MS if caller_headers.wait_ms is None else caller_headers.wait_ms
    wait_ms = min(wait_ms, route.timeout_ms, relayed.wait_ms if relayed else wait_ms)
    return trace.received_at + wait_ms / 1000 - ANSWER_MARGIN_SECONDS


async def _send_streamed_body(
    send, answer: sender.ServerAnswer, reservation: memory_account.Reservation
) -> None:
    """Streams a long body at the rate at which the caller reads it."""
    await send({"type": "http.response.body", "body": answer.body, "more_body": True})
    reservation.resize_answer(0)
    async for chunk in answer.remaining_body:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


async def _wait_for_disconnect(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue


def _drop_hop_by_hop_headers(
    headers: platform_interfaces.RawHeaders,
) -> platform_interfaces.RawHeaders:
    """Returns the headers without the hop-by-hop ones, listed in Connection or by default."""
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            connection_options.update(option.strip().lower() for option in value.split(b","))
    # Host is part of the request, even if a caller lists it in Connection.
    dropped = (sender.HOP_BY_HOP_HEADERS | connection_options) - {b"host"}
    return [item for item in headers if item[0] not in dropped]


def strip_port(host: str) -> str:
    """Returns the name in a Host header."""
    name, _, port = host.rpartition(":")
    return name if name and port.isdecimal() else host
