"""Sends a request to backend servers until one answers or no further attempt is allowed."""

import asyncio
import dataclasses
import math
import random

from caperdyke.coordination.placement import attempts, prewarming, selection
from caperdyke.coordination.registry import fleet
from caperdyke.state import ids, routes
from caperdyke.transport.gateway import admissions, context, local_reply, relay, sender

# Longest Retry-After as a ratio of the time that the caller has left. It does not apply where the
# servers themselves specify when they accept requests again.
RETRY_AFTER_RATIO_MAX = 0.3
SERVER_ERROR_STATUS = 500
# Retry-After while neither this instance nor another one has a path to the servers.
NO_PATH_RETRY_AFTER_SECONDS = 0.5
# Ratio of the retry budget that copies which warm a near home must leave to retries.
WARMING_RESERVE_RATIO = 0.5


class Dispatcher:
    """Selects servers, records their results, and decides when to stop retrying."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self._sender = sender.Sender(node)
        self.relay = relay.Relay(node)
        self._rng = random.Random()
        self._copies: set[asyncio.Task] = set()

    async def serve(
        self, request: sender.CallerRequest, route: routes.Route, trace: local_reply.RequestTrace
    ) -> sender.ServerAnswer | local_reply.LocalReply:
        """Sends a request until a server answers or no further attempt is allowed.

        :returns: the answer of a server, the last one with an error status if all failed, or a
            local reply if there was none.
        """
        node, relayed = self._node, request.relayed
        if not node.path.can_use_kept(node.now()):
            attempt_state = attempts.Attempts(route.attempts_max, route.kind.is_repeatable)
            return await self._serve_by_relay(request, route, None, attempt_state, trace)
        service = trace.service = node.splits.choose(route)
        if relayed is None or not relayed.is_counted:
            node.retries.record_request(node.now(), service)
        attempt_state = attempts.Attempts(
            route.attempts_max,
            route.kind.is_repeatable,
            reached=0 if relayed is None else relayed.reached,
        )
        tried_servers: set[ids.BackendId] = set()
        failed: sender.ServerAnswer | None = None
        while True:
            if node.routes is not request.table:
                admitted = _admit_again(request, node.routes)
                if isinstance(admitted, local_reply.LocalReply):
                    return failed or _make_no_longer_allowed_reply(admitted, attempt_state)
                request = dataclasses.replace(
                    request, table=node.routes, identity=admitted.identity
                )
                route = admitted.route
                service = self._find_changed_service(route, service, trace)
            if not node.path.can_use_kept(node.now()) and failed is None:
                return await self._serve_by_relay(request, route, service, attempt_state, trace)
            selected = self._select_server(request, route, service, tried_servers, trace)
            if isinstance(selected, selection.NoCapacity):
                if node.path.is_lost and failed is None:
                    return await self._serve_by_relay(request, route, service, attempt_state, trace)
                trace.sends.append(_describe_no_capacity(selected))
                return failed or self._make_final_reply(request, attempt_state, selected)
            if attempt_state.sent and not self._try_acquire_retry(route, service):
                return failed or self._make_refused_reply(request, route, service, attempt_state)
            tried_servers.add(selected.view.server.backend)
            sent_at = node.now()
            result = await self._sender.send(request, selected)
            self._record_result(request, route, selected, sent_at, result)
            trace.sends.append(self._describe(selected, sent_at, result))
            match result:
                case sender.ServerAnswer() if result.status < SERVER_ERROR_STATUS:
                    self._warm_near_home(request, route, service, selected, attempt_state, trace)
                    return result
                case sender.ServerAnswer():
                    attempt_state.record_reached()
                    attempt_state.record_may_have_run()
                    if failed is not None and failed.remaining_body is not None:
                        await failed.remaining_body.aclose()
                    failed = result
                case sender.Failure(kind=sender.FailureKind.NO_PATH) if failed is None:
                    return await self._serve_by_relay(request, route, service, attempt_state, trace)
                case sender.Failure(kind=sender.FailureKind.NOT_SENT):
                    tried_servers.discard(selected.view.server.backend)
                case sender.Failure():
                    _record_failure(attempt_state, result)
            if not attempt_state.allows_retry() or node.now() >= request.deadline:
                return failed or self._make_refused_reply(request, route, service, attempt_state)

    async def _serve_by_relay(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName | None,
        attempt_state: attempts.Attempts,
        trace: local_reply.RequestTrace,
    ) -> sender.ServerAnswer | local_reply.LocalReply:
        """Sends a request to other instances until one serves it.

        Pattern: this instance has no path to any server, and callers still reach it. A request
        that another instance relayed here is declined, so that it cannot go in a circle.

        :param service: service for which the request counts already; None if it does not count.
        """
        node = self._node
        if request.relayed is not None and not attempt_state.sent:
            return local_reply.LocalReply(503, local_reply.LocalReplyReason.DECLINED)
        tried: set[ids.InstanceId] = set()
        refused: sender.ServerAnswer | None = None
        while request.relayed is None and node.now() < request.deadline:
            if node.routes is not request.table:
                admitted = _admit_again(request, node.routes)
                if isinstance(admitted, local_reply.LocalReply):
                    return _make_no_longer_allowed_reply(admitted, attempt_state)
                route = admitted.route
                request = dataclasses.replace(
                    request, table=node.routes, identity=admitted.identity
                )
            peer = self.relay.choose(route, tried)
            if peer is None:
                break
            if attempt_state.sent and not self._try_acquire_retry(
                route, service or node.splits.choose(route)
            ):
                return self._make_final_reply(request, attempt_state, None)
            tried.add(peer.record.instance)
            sent_at = node.now()
            reached, is_counted = attempt_state.reached, service is not None
            result = await self.relay.send(request, peer, reached, is_counted)
            trace.sends.append(_describe_relay(peer, node.now() - sent_at, result))
            match result:
                case sender.ServerAnswer():
                    return result
                case relay.NotRun():
                    refused = result.answer
                    if not result.has_no_capacity:
                        break
                case sender.Failure(may_have_run=True):
                    attempt_state.record_reached()
                    attempt_state.record_may_have_run()
                    if not attempt_state.allows_retry():
                        break
        if refused is not None and attempt_state.is_known_not_run:
            return refused
        if not attempt_state.is_known_not_run:
            return self._make_final_reply(request, attempt_state, None)
        retry_after = NO_PATH_RETRY_AFTER_SECONDS * self._rng.uniform(1.0, 1.5)
        time_left = request.deadline - node.now()
        return local_reply.LocalReply(
            503,
            local_reply.LocalReplyReason.NO_PATH,
            max(0.0, min(retry_after, time_left * RETRY_AFTER_RATIO_MAX)),
        )

    def abandon_waiting(self) -> None:
        """Ends the sends of repeatable requests that wait on connections which hang."""
        self._sender.abandon_waiting()

    def _find_changed_service(
        self, route: routes.Route, service: ids.ServiceName, trace: local_reply.RequestTrace
    ) -> ids.ServiceName:
        """Returns the service of a route that changed while a request was in flight.

        Pattern: a connection takes half a second to fail, and a change takes effect meanwhile.
        """
        node = self._node
        if any(weighted.service == service for weighted in route.parts):
            return service
        new_service = trace.service = node.splits.choose(route)
        node.retries.record_request(node.now(), new_service)
        trace.sends.append(f"configuration {node.routes.version} sends the route to {new_service}")
        return new_service

    def _try_acquire_retry(self, route: routes.Route, service: ids.ServiceName) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        node = self._node
        now = node.now()
        if not node.retries.try_acquire(now, service, node.fleet.compute_limit_fraction(now)):
            return False
        node.metrics.count_retry(route.host, service)
        return True

    def _warm_near_home(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        answered: selection.Placement,
        attempt_state: attempts.Attempts,
        trace: local_reply.RequestTrace,
    ) -> None:
        """Sends a copy of an answered request to the object's near home if that pays off.

        Downloads are excluded: they have homes in each failure domain, and a second download would
        cost more than it saves.
        """
        node = self._node
        now = node.now()
        is_near = answered.view.server.domain == node.settings.domain
        is_download = route.kind is routes.RouteKind.DOWNLOAD
        if is_near or is_download or not attempt_state.allows_copy or node.is_stopping:
            return
        requirements = self._make_requirements(request, route, service, frozenset(), trace)
        times = node.times.find(route.name, route.objective_ms / 1000)
        candidates = node.list_candidates(service, requirements.key, route)
        placement = prewarming.select_near_home(now, requirements, candidates, times)
        fraction = node.fleet.compute_limit_fraction(now)
        if placement is None or not node.retries.try_acquire(
            now, service, fraction, WARMING_RESERVE_RATIO
        ):
            return
        node.metrics.count_retry(route.host, service)
        trace.sends.append(f"copy to {placement.view.server.backend}, the object's near home")
        copy = asyncio.create_task(self._send_copy(request, route, placement))
        self._copies.add(copy)
        copy.add_done_callback(self._copies.discard)

    async def _send_copy(
        self, request: sender.CallerRequest, route: routes.Route, placement: selection.Placement
    ) -> None:
        sent_at = self._node.now()
        copy = dataclasses.replace(request, deadline=placement.due_at)
        result = await self._sender.send(copy, placement)
        if isinstance(result, sender.ServerAnswer) and result.remaining_body is not None:
            await result.remaining_body.aclose()
        self._record_result(copy, route, placement, sent_at, result)

    def _make_requirements(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        tried_servers: frozenset[ids.BackendId],
        trace: local_reply.RequestTrace,
    ) -> selection.Requirements:
        node = self._node
        objective = route.objective_ms / 1000
        size = node.times.find(route.name, objective).answer_bytes
        return selection.Requirements(
            service,
            request.caller_headers.object_key if route.has_affinity else ids.ObjectKey(""),
            request.deadline,
            trace.received_at + objective,
            selection.compute_cross_domain_penalty(
                size, node.settings.cross_domain_seconds_per_megabyte
            ),
            tried_servers,
            route.kind.is_repeatable,
            route.timeout_ms / 1000,
        )

    def _select_server(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        tried_servers: set[ids.BackendId],
        trace: local_reply.RequestTrace,
    ) -> selection.Selection:
        requirements = self._make_requirements(
            request, route, service, frozenset(tried_servers), trace
        )
        selected = self._select_among_candidates(requirements, route)
        is_large = route.kind is routes.RouteKind.DOWNLOAD
        is_full = isinstance(selected, selection.NoCapacity) and not selected.is_empty
        if is_full and is_large and self._node.record_no_capacity(service):
            selected = self._select_among_candidates(requirements, route)
        if isinstance(selected, selection.NoCapacity):
            return self._node.adjust_retry_after(selected, route, service)
        return selected

    def _select_among_candidates(
        self, requirements: selection.Requirements, route: routes.Route
    ) -> selection.Selection:
        """Selects among the top servers of the ranking, or all if none of these has capacity."""
        node = self._node
        times = node.times.find(route.name, route.objective_ms / 1000)
        candidates = node.list_candidates(requirements.service, requirements.key, route)
        selected = selection.select_server(node.now(), requirements, candidates, times, self._rng)
        if isinstance(selected, selection.Placement) or len(candidates) < selection.CANDIDATES_MAX:
            return selected
        candidates = node.list_candidates(requirements.service, requirements.key, route, math.inf)
        return selection.select_server(node.now(), requirements, candidates, times, self._rng)

    def _record_result(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        placement: selection.Placement,
        sent_at: float,
        result: sender.Result,
    ) -> None:
        node, view, now = self._node, placement.view, self._node.now()
        objective = route.objective_ms / 1000
        if isinstance(result, sender.ServerAnswer):
            if result.status >= SERVER_ERROR_STATUS:
                return
            duration = now - sent_at
            if result.status < sender.SUCCESS_STATUS_END:
                node.times.find(route.name, objective).record_size(
                    result.length or len(result.body)
                )
            ratio = None
            is_queue_seen = result.load is not None and result.load.waiting > 0
            if not placement.is_queued and not is_queue_seen:
                key = request.caller_headers.object_key
                ratio = node.times.record(
                    route.name,
                    objective,
                    view.is_warm(now, key),
                    duration,
                    view.pace.find_run_pace(sent_at, now),
                    now,
                    not placement.is_warm,
                )
            view.record_answer(now, request.caller_headers.object_key, ratio)
            return
        if node.path.is_lost:
            # The failure is due to the path of this instance, not to the server.
            return
        match result.kind:
            case sender.FailureKind.NOT_SENT | sender.FailureKind.NO_PATH:
                return
            case sender.FailureKind.UNREACHABLE:
                view.record_unreachable(now)
                node.log_server_avoided(view, result.detail)
            case sender.FailureKind.MISDIRECTED:
                node.servers.mark_misdirected(view.server.backend)
                node.refresh_servers()
                node.log_server_avoided(view, "another server has its address")
            case _:
                if view.record_failure(now, node.compute_service_failure_ratio(view)):
                    node.log_server_avoided(view, result.detail)

    def _make_refused_reply(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        attempt_state: attempts.Attempts,
    ) -> local_reply.LocalReply:
        """Returns the reply to a request that servers refused and that is not retried."""
        backoff_end = self._node.find_service_backoff_end(route, service)
        return self._make_final_reply(request, attempt_state, None, backoff_end)

    def _make_final_reply(
        self,
        request: sender.CallerRequest,
        attempt_state: attempts.Attempts,
        no_capacity: selection.NoCapacity | None,
        backoff_end: float = -math.inf,
    ) -> local_reply.LocalReply:
        """Returns the final reply to a request that no server answered.

        :param no_capacity: why no server was selected; None if servers refused the request.
        :param backoff_end: end of the first backoff if all servers asked for one, otherwise minus
            infinity.
        """
        time_left = request.deadline - self._node.now()
        if not attempt_state.is_known_not_run:
            if time_left <= 0:
                return local_reply.LocalReply(504, local_reply.LocalReplyReason.TIMED_OUT)
            return local_reply.LocalReply(502, local_reply.LocalReplyReason.FAILED)
        if no_capacity is None:
            reason = local_reply.LocalReplyReason.REFUSED
            backoff = backoff_end - self._node.now()
            is_from_servers, retry_after = backoff > 0, max(selection.RETRY_AFTER_MIN_S, backoff)
        else:
            reason = (
                local_reply.LocalReplyReason.NO_SERVER
                if no_capacity.is_empty
                else local_reply.LocalReplyReason.NO_CAPACITY
            )
            is_from_servers, retry_after = no_capacity.is_advertised, no_capacity.retry_after
        # Jitter, so that callers that were refused together do not retry together.
        jittered = retry_after * self._rng.uniform(1.0, 1.5)
        if is_from_servers:
            # A retry before the servers accept requests again would certainly be refused.
            return local_reply.LocalReply(503, reason, jittered)
        return local_reply.LocalReply(
            503, reason, max(0.0, min(jittered, time_left * RETRY_AFTER_RATIO_MAX))
        )

    def _describe(
        self, placement: selection.Placement, sent_at: float, result: sender.Result
    ) -> str:
        took_ms = round((self._node.now() - sent_at) * 1000)
        is_failed = isinstance(result, sender.Failure)
        outcome = f"{result.kind.value} ({result.detail})" if is_failed else str(result.status)
        view = placement.view
        return (
            f"{view.server.backend} in {view.server.domain}: {outcome} after {took_ms} ms, expected"
            f" {round(placement.expected_s * 1000)}, busy {view.outstanding}/{view.server.slots},"
            f" warm {placement.is_warm}"
        )


def _admit_again(
    request: sender.CallerRequest, table: routes.RouteTable
) -> admissions.AdmittedRequest | local_reply.LocalReply:
    """Decides by a changed configuration whether a request in flight may still be sent."""
    return admissions.admit(
        table,
        request.host,
        request.path,
        request.caller_headers.credential,
        request.relayed.team if request.relayed is not None else None,
    )


def _make_no_longer_allowed_reply(
    refusal: local_reply.LocalReply, attempt_state: attempts.Attempts
) -> local_reply.LocalReply:
    """Returns the reply to a request whose route or key was removed while it was in flight."""
    if attempt_state.is_known_not_run:
        return refusal
    return local_reply.LocalReply(502, local_reply.LocalReplyReason.FAILED)


def _describe_relay(peer: fleet.PeerInstance, took_s: float, result: relay.RelayResult) -> str:
    match result:
        case sender.Failure():
            outcome = f"{result.kind.value} ({result.detail})"
        case relay.NotRun():
            outcome = f"{result.answer.status}, not run"
        case sender.ServerAnswer():
            outcome = str(result.status)
    return f"relayed through {peer.record.instance}: {outcome} after {round(took_s * 1000)} ms"


def _record_failure(attempt_state: attempts.Attempts, failure: sender.Failure) -> None:
    match failure.kind:
        case sender.FailureKind.UNREACHABLE:
            attempt_state.record_unreached()
        case sender.FailureKind.MISDIRECTED:
            attempt_state.record_misdirected()
        case sender.FailureKind.REFUSED:
            attempt_state.record_reached()
            attempt_state.record_not_run()
        case sender.FailureKind.BROKEN | sender.FailureKind.LATE:
            attempt_state.record_reached()
            attempt_state.record_may_have_run()


def _describe_no_capacity(result: selection.NoCapacity) -> str:
    return (
        f"no server chosen: {result.open_servers} open, {result.utilization:.2f} requests per slot,"
        f" room expected in {round(result.retry_after * 1000)} ms"
    )
