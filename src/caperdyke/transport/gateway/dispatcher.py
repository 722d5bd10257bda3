"""Sends a request to backend servers until one answers or no further attempt is allowed."""

import asyncio
import dataclasses
import functools
import math
import random

from caperdyke.coordination.placement import attempts, prewarming, selection
from caperdyke.state import ids, routes
from caperdyke.transport.gateway import (
    admissions,
    context,
    crash_detector,
    local_reply,
    refusals,
    relay,
    relaying,
    request_tokens,
    sender,
    service_capacities,
    team_quotas,
    waiting_requests,
)

SERVER_ERROR_STATUS = 500
# Interval between checks whether a read of the registrations has ended.
READ_POLL_SECONDS = 0.005
# Ratio of the retry budget that copies which warm a near home must leave to retries.
WARMING_RESERVE_RATIO = 0.5


class Dispatcher:
    """Selects servers, records their results, and decides when to stop retrying."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self._sender = sender.Sender(node)
        self.relay = relay.Relay(node)
        self.quotas = team_quotas.TeamQuotas(node)
        self._rng = random.Random()
        final_replies = refusals.Refusals(node, self._rng)
        self._make_over_quota_reply = final_replies.make_over_quota_reply
        self._make_blocked_reply = final_replies.make_blocked_reply
        self._make_final_reply = final_replies.make_final_reply
        self._make_refused_reply = final_replies.make_refused_reply
        self._make_stopping_reply = final_replies.make_stopping_reply
        self._serve_by_relay = relaying.Relaying(
            node, self.relay, final_replies, self._try_acquire_retry
        ).serve
        self.waiting = waiting_requests.WaitingRequests(node)
        self._crashes = crash_detector.CrashDetector(node)
        self._copies: set[asyncio.Task] = set()

    async def serve(
        self, request: sender.CallerRequest, route: routes.Route, trace: local_reply.RequestTrace
    ) -> sender.ServerAnswer | local_reply.LocalReply:
        """Sends a request until a server answers or no further attempt is allowed.

        :returns: the answer of a server, the last one with an error status if all failed, or a
            local reply if there was none.
        """
        tokens = request_tokens.RequestTokens(self._node, self.quotas)
        try:
            return await self._serve(request, route, trace, tokens)
        finally:
            tokens.release()

    async def _serve(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        trace: local_reply.RequestTrace,
        tokens: request_tokens.RequestTokens,
    ) -> sender.ServerAnswer | local_reply.LocalReply:
        node, relayed = self._node, request.relayed
        if not node.path.can_use_kept(node.now()):
            attempt_state = attempts.Attempts(route.attempts_max, route.kind.is_repeatable)
            blocked = self._reject_deadly(request, attempt_state)
            if blocked is not None:
                return blocked
            return await self._serve_by_relay(request, route, None, attempt_state, trace, tokens)
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
            await self._wait_for_registrations()
            if node.routes is not request.table or not node.may_check_keys():
                admitted = admissions.admit_again(request, node, trace)
                if isinstance(admitted, local_reply.LocalReply):
                    return failed or refusals.make_no_longer_allowed_reply(admitted, attempt_state)
                request = dataclasses.replace(
                    request, table=node.routes, identity=admitted.identity
                )
                route = admitted.route
                service = self._find_changed_service(route, service, trace)
            blocked = self._reject_deadly(request, attempt_state)
            if blocked is not None:
                return failed or blocked
            if not node.path.can_use_kept(node.now()) and failed is None:
                return await self._serve_by_relay(
                    request, route, service, attempt_state, trace, tokens
                )
            latest_send = node.find_latest_send(route, request.deadline)
            if node.now() > latest_send:
                return failed or self._make_stopping_reply(request, attempt_state)
            objective_end = trace.find_objective_end(route)
            exceeded = await tokens.acquire(request, min(objective_end, latest_send))
            if node.routes is not request.table:
                continue
            if exceeded is not None:
                return failed or self._make_over_quota_reply(request, attempt_state, exceeded)
            selected = self._select_server(request, route, service, tried_servers, trace)
            if isinstance(selected, selection.NoCapacity) and failed is None:
                selected = await self._wait_for_capacity(
                    request, route, service, tried_servers, trace, selected
                )
                if selected is None:
                    continue
            if isinstance(selected, selection.NoCapacity):
                if node.path.is_lost and failed is None:
                    return await self._serve_by_relay(
                        request, route, service, attempt_state, trace, tokens
                    )
                trace.sends.append(_describe_no_capacity(selected))
                if node.now() > node.find_latest_send(route, request.deadline):
                    return failed or self._make_stopping_reply(request, attempt_state)
                return failed or self._make_final_reply(request, attempt_state, selected)
            if attempt_state.sent and not self._try_acquire_retry(route, service):
                return failed or self._make_refused_reply(request, route, service, attempt_state)
            tried_servers.add(selected.view.server.backend)
            sent_at = node.now()
            node.record_region(selected.view.server, selected.is_regional_home)
            tokens.start_send()
            claim = service_capacities.make_claim(request, route)
            sending = self._sender.send(request, route, selected)
            trace.may_have_run = True
            result = await self.waiting.capacities.track(service, claim, sending)
            tokens.end_send(relaying.may_have_run(result))
            was_run = not attempt_state.is_known_not_run
            trace.may_have_run = was_run or relaying.may_have_run(result)
            self._record_result(request, route, selected, sent_at, result)
            trace.sends.append(self._describe(selected, sent_at, result))
            match result:
                case sender.ServerAnswer() if result.status < SERVER_ERROR_STATUS:
                    self._crashes.record_answered(request)
                    self._warm_near_home(request, route, service, selected, attempt_state, trace)
                    return result
                case sender.ServerAnswer():
                    attempt_state.record_reached()
                    attempt_state.record_may_have_run()
                    if failed is not None and failed.remaining_body is not None:
                        await failed.remaining_body.aclose()
                    failed = result
                case sender.Failure(kind=sender.FailureKind.NO_PATH) if failed is None:
                    return await self._serve_by_relay(
                        request, route, service, attempt_state, trace, tokens
                    )
                case sender.Failure(kind=sender.FailureKind.STOPPING):
                    return failed or self._make_stopping_reply(request, attempt_state)
                case sender.Failure(kind=sender.FailureKind.NOT_SENT):
                    tried_servers.discard(selected.view.server.backend)
                case sender.Failure():
                    _record_failure(attempt_state, result)
                    if result.has_connection_ended:
                        await self._crashes.record_broken(request, selected)
            if not attempt_state.allows_retry() or node.now() >= request.deadline:
                return failed or self._make_refused_reply(request, route, service, attempt_state)

    async def _wait_for_registrations(self) -> None:
        """Waits for the read of the registrations that follows a pause, at most shortly."""
        while self._node.is_read_awaited():
            await asyncio.sleep(READ_POLL_SECONDS)

    def _reject_deadly(
        self, request: sender.CallerRequest, attempt_state: attempts.Attempts
    ) -> local_reply.LocalReply | None:
        """Returns the reply to a request that ends the servers that run it, or None for others."""
        if not self._crashes.is_blocked(request):
            return None
        block_end = self._crashes.find_block_end(request)
        return self._make_blocked_reply(request, attempt_state, block_end)

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
        if placement is None:
            return
        team = request_tokens.find_limited_team(request)
        granted = self.quotas.try_acquire(team) if team is not None else None
        if team is not None and granted is None:
            return
        if not node.retries.try_acquire(now, service, fraction, WARMING_RESERVE_RATIO):
            if granted is not None:
                self.quotas.release(granted.token)
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
        copy = dataclasses.replace(request, deadline=placement.due_at, reservation=None)
        result = await self._sender.send(copy, route, placement)
        if isinstance(result, sender.ServerAnswer) and result.remaining_body is not None:
            await result.remaining_body.aclose()
        self._record_result(copy, route, placement, sent_at, result)

    async def _wait_for_capacity(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        tried_servers: set[ids.BackendId],
        trace: local_reply.RequestTrace,
        no_capacity: selection.NoCapacity,
    ) -> selection.Selection | None:
        """Returns a server that has capacity after a wait, or why there is none.

        :returns: None if the request must be considered anew.
        """
        if self._node.path.is_lost:
            return no_capacity
        select = functools.partial(
            self._select_server, request, route, service, tried_servers, trace
        )
        return await self.waiting.wait(request, route, service, trace, no_capacity, select)

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
        claim = service_capacities.make_claim(request, route)
        restriction = self.waiting.capacities.restrict(service, claim)
        may_be_queued = restriction.may_be_queued and self.waiting.may_be_queued(
            service, route, claim, request.deadline, trace.received_at
        )
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
            node.find_last_server(service, request.caller_headers.object_key),
            node.settings.stay_margin_seconds,
            restriction.reserved_ratio,
            may_be_queued,
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
        selected = self._select_among_candidates(request, requirements, route)
        is_large = route.kind is routes.RouteKind.DOWNLOAD
        is_full = isinstance(selected, selection.NoCapacity) and not selected.is_empty
        if is_full and is_large and self._node.record_no_capacity(service):
            selected = self._select_among_candidates(request, requirements, route)
        if isinstance(selected, selection.NoCapacity):
            return self._node.adjust_retry_after(selected, route, service)
        return selected

    def _select_among_candidates(
        self,
        request: sender.CallerRequest,
        requirements: selection.Requirements,
        route: routes.Route,
    ) -> selection.Selection:
        """Selects among the top servers of the ranking, or all if none of these has capacity."""
        node = self._node
        times = node.times.find(route.name, route.objective_ms / 1000)
        candidates = node.list_candidates(requirements.service, requirements.key, route)
        restricted = self._crashes.restrict(request, candidates, requirements.tried)
        if restricted is not candidates:
            now = node.now()
            selected = selection.select_server(now, requirements, restricted, times, self._rng)
            if isinstance(selected, selection.Placement):
                return selected
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
            node.last_servers.record_answer(
                now, view.server.service, request.caller_headers.object_key, view.server.backend
            )
            return
        if node.path.is_lost:
            # The failure is due to the path of this instance, not to the server.
            return
        match result.kind:
            case (
                sender.FailureKind.NOT_SENT
                | sender.FailureKind.NO_PATH
                | sender.FailureKind.STOPPING
            ):
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
