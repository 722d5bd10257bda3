"""Sends one request to backend servers until one answers or nothing more can be done."""

import asyncio
import dataclasses
import math
import random

from caperdyke.coordination.placement import attempts, selection
from caperdyke.state import ids, routes
from caperdyke.transport.gateway import context, sender, verdicts

# A caller returns no later than this part of the time that it has left.
RETRY_PART_MAX = 0.3
SERVER_ERROR_STATUS = 500
# Part of the budget for repeated sends that copies which warm a near home leave to failed requests.
WARMING_SPARE_PART = 0.5


class Dispatcher:
    """Chooses servers, learns from what they do, and decides when to give up."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self._sender = sender.Sender(node)
        self._random = random.Random()
        self._copies: set[asyncio.Task] = set()

    async def serve(
        self, request: sender.CallerRequest, route: routes.Route, trace: verdicts.RequestTrace
    ) -> sender.ServerAnswer | verdicts.OwnAnswer:
        """Sends a request until a server answers or nothing more can be done."""
        node = self._node
        service = trace.service = node.splits.choose(route)
        node.retries.record_request(node.now(), service)
        tries = attempts.Attempts(route.attempts_max, route.kind.is_repeatable)
        tried: set[ids.BackendId] = set()
        failed: sender.ServerAnswer | None = None
        while True:
            if node.routes is not request.table:
                request = dataclasses.replace(request, table=node.routes)
                found = node.routes.find_route(request.host, request.path)
                if found is None:
                    return failed or self._leave_route(tries)
                route, service = found, self._follow_route(found, service, trace)
            chosen = self._choose(request, route, service, tried, trace)
            if isinstance(chosen, selection.NoCapacity):
                trace.sends.append(_describe_no_room(chosen))
                return failed or self._give_up(request, tries, chosen)
            if tries.sent and not self._take_repeat(route, service):
                return failed or self._give_up_refused(request, route, service, tries)
            tried.add(chosen.view.server.backend)
            sent_at = node.now()
            result = await self._sender.send(request, chosen)
            self._learn(request, route, chosen, sent_at, result)
            trace.sends.append(self._describe(chosen, sent_at, result))
            match result:
                case sender.ServerAnswer() if result.status < SERVER_ERROR_STATUS:
                    self._bring_near(request, route, service, chosen, tries, trace)
                    return result
                case sender.ServerAnswer():
                    tries.record_reached()
                    tries.record_may_have_run()
                    if failed is not None and failed.rest is not None:
                        await failed.rest.aclose()
                    failed = result
                case sender.Failure(kind=sender.FailureKind.NOT_SENT):
                    tried.discard(chosen.view.server.backend)
                case sender.Failure():
                    _record_failure(tries, result)
            if not tries.allows_retry() or node.now() >= request.deadline:
                return failed or self._give_up_refused(request, route, service, tries)

    def _follow_route(
        self, route: routes.Route, service: ids.ServiceName, trace: verdicts.RequestTrace
    ) -> ids.ServiceName:
        """Returns the service of a route that changed while a request was under way.

        Pattern: connections take half a second to fail, and a change comes into force meanwhile.
        """
        node = self._node
        if any(part.service == service for part in route.parts):
            return service
        chosen = trace.service = node.splits.choose(route)
        node.retries.record_request(node.now(), chosen)
        trace.sends.append(f"configuration {node.routes.version} sends the route to {chosen}")
        return chosen

    def _leave_route(self, tries: attempts.Attempts) -> verdicts.OwnAnswer:
        """Returns the answer to a request whose route was removed while it was under way."""
        if tries.is_known_not_run:
            return verdicts.OwnAnswer(404, verdicts.Verdict.NO_ROUTE)
        return verdicts.OwnAnswer(502, verdicts.Verdict.FAILED)

    def _take_repeat(self, route: routes.Route, service: ids.ServiceName) -> bool:
        """Counts a repeated send if the budget has room; tells whether it has."""
        node = self._node
        now = node.now()
        if not node.retries.try_acquire(now, service, node.fleet.compute_limit_fraction(now)):
            return False
        node.metrics.count_retry(route.host, service)
        return True

    def _bring_near(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        answered: selection.Placement,
        tries: attempts.Attempts,
        trace: verdicts.RequestTrace,
    ) -> None:
        """Sends a copy of an answered request to the object's near home where that is worth it.

        Downloads have homes by failure domain, and a second one would cost more than it spares.
        """
        node = self._node
        now = node.now()
        is_near = answered.view.server.domain == node.settings.domain
        is_download = route.kind is routes.RouteKind.DOWNLOAD
        if is_near or is_download or not tries.allows_copy or node.is_stopping:
            return
        demand = self._make_demand(request, route, service, frozenset(), trace)
        times = node.times.find(route.name, route.objective_ms / 1000)
        candidates = node.list_candidates(service, demand.key, route)
        placed = selection.select_near_home(now, demand, candidates, times)
        part = node.fleet.compute_limit_fraction(now)
        if placed is None or not node.retries.try_acquire(now, service, part, WARMING_SPARE_PART):
            return
        node.metrics.count_retry(route.host, service)
        trace.sends.append(f"copy to {placed.view.server.backend}, the object's near home")
        copy = asyncio.create_task(self._send_copy(request, route, placed))
        self._copies.add(copy)
        copy.add_done_callback(self._copies.discard)

    async def _send_copy(
        self, request: sender.CallerRequest, route: routes.Route, placed: selection.Placement
    ) -> None:
        sent_at = self._node.now()
        copy = dataclasses.replace(request, deadline=placed.due_at)
        result = await self._sender.send(copy, placed)
        if isinstance(result, sender.ServerAnswer) and result.rest is not None:
            await result.rest.aclose()
        self._learn(copy, route, placed, sent_at, result)

    def _make_demand(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        tried: frozenset[ids.BackendId],
        trace: verdicts.RequestTrace,
    ) -> selection.Requirements:
        node = self._node
        objective = route.objective_ms / 1000
        size = node.times.find(route.name, objective).answer_bytes
        return selection.Requirements(
            service,
            request.about.object_key if route.has_affinity else ids.ObjectKey(""),
            request.deadline,
            trace.received_at + objective,
            selection.compute_cross_domain_penalty(
                size, node.settings.cross_domain_seconds_per_megabyte
            ),
            tried,
        )

    def _choose(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        tried: set[ids.BackendId],
        trace: verdicts.RequestTrace,
    ) -> selection.Selection:
        demand = self._make_demand(request, route, service, frozenset(tried), trace)
        chosen = self._choose_for(demand, route)
        is_large = route.kind is routes.RouteKind.DOWNLOAD
        is_full = isinstance(chosen, selection.NoCapacity) and not chosen.is_empty
        if is_full and is_large and self._node.record_no_capacity(service):
            chosen = self._choose_for(demand, route)
        if isinstance(chosen, selection.NoCapacity):
            return self._node.correct_room(chosen, route, service)
        return chosen

    def _choose_for(
        self, demand: selection.Requirements, route: routes.Route
    ) -> selection.Selection:
        """Weighs the first servers of the order, and all where none of these has room."""
        node = self._node
        times = node.times.find(route.name, route.objective_ms / 1000)
        candidates = node.list_candidates(demand.service, demand.key, route)
        chosen = selection.select_server(node.now(), demand, candidates, times)
        if isinstance(chosen, selection.Placement) or len(candidates) < selection.CANDIDATES_MAX:
            return chosen
        candidates = node.list_candidates(demand.service, demand.key, route, math.inf)
        return selection.select_server(node.now(), demand, candidates, times)

    def _learn(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        placed: selection.Placement,
        sent_at: float,
        result: sender.Result,
    ) -> None:
        node, view, now = self._node, placed.view, self._node.now()
        objective = route.objective_ms / 1000
        if isinstance(result, sender.ServerAnswer):
            if result.status >= SERVER_ERROR_STATUS:
                return
            took = now - sent_at
            if result.status < sender.SUCCESS_STATUS_END:
                node.times.find(route.name, objective).record_size(
                    result.length or len(result.body)
                )
            ratio = None
            is_queue_seen = result.load is not None and result.load.waiting > 0
            if not placed.is_queued and not is_queue_seen:
                key = request.about.object_key
                ratio = node.times.record(route.name, objective, view.is_warm(now, key), took)
            view.record_answer(now, request.about.object_key, ratio)
            return
        match result.kind:
            case sender.FailureKind.NOT_SENT:
                return
            case sender.FailureKind.UNREACHABLE:
                view.record_unreachable(now)
                node.record_unusable(view, result.detail)
            case sender.FailureKind.MISDIRECTED:
                node.servers.mark_misdirected(view.server.backend)
                node.refresh_servers()
                node.record_unusable(view, "another server has its address")
            case _:
                if view.record_failure(now, node.measure_failing(view)):
                    node.record_unusable(view, result.detail)

    def _give_up_refused(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        tries: attempts.Attempts,
    ) -> verdicts.OwnAnswer:
        """Returns the answer to a request that servers turned away and that is not sent again."""
        rest_end = self._node.find_rest_end(route, service)
        return self._give_up(request, tries, None, rest_end)

    def _give_up(
        self,
        request: sender.CallerRequest,
        tries: attempts.Attempts,
        no_room: selection.NoCapacity | None,
        rest_end: float = -math.inf,
    ) -> verdicts.OwnAnswer:
        """Returns the final answer to a request.

        :param no_room: why no server was chosen; None where servers turned the request away.
        :param rest_end: time until which all servers rest by their own word.
        """
        left = request.deadline - self._node.now()
        if not tries.is_known_not_run:
            if left <= 0:
                return verdicts.OwnAnswer(504, verdicts.Verdict.TIMED_OUT)
            return verdicts.OwnAnswer(502, verdicts.Verdict.FAILED)
        if no_room is None:
            verdict = verdicts.Verdict.REFUSED
            rest = rest_end - self._node.now()
            is_named, wanted = rest > 0, max(selection.RETRY_AFTER_MIN_S, rest)
        else:
            verdict = verdicts.Verdict.NO_SERVER if no_room.is_empty else verdicts.Verdict.NO_ROOM
            is_named, wanted = no_room.is_named, no_room.retry_after
        # Spread over time, so that callers who were refused together do not return together.
        spread = wanted * self._random.uniform(1.0, 1.5)
        if is_named:
            # Whoever returns before the servers take anything is turned away again for certain.
            return verdicts.OwnAnswer(503, verdict, spread)
        return verdicts.OwnAnswer(503, verdict, max(0.0, min(spread, left * RETRY_PART_MAX)))

    def _describe(self, placed: selection.Placement, sent_at: float, result: sender.Result) -> str:
        took = round((self._node.now() - sent_at) * 1000)
        is_failed = isinstance(result, sender.Failure)
        what = f"{result.kind.value} ({result.detail})" if is_failed else str(result.status)
        view = placed.view
        return (
            f"{view.server.backend} in {view.server.domain}: {what} after {took} ms, expected"
            f" {round(placed.expected_s * 1000)}, busy {view.outstanding}/{view.server.slots},"
            f" warm {placed.is_warm}"
        )


def _record_failure(tries: attempts.Attempts, failure: sender.Failure) -> None:
    match failure.kind:
        case sender.FailureKind.UNREACHABLE:
            tries.record_unreached()
        case sender.FailureKind.MISDIRECTED:
            tries.record_misdirected()
        case sender.FailureKind.REFUSED:
            tries.record_reached()
            tries.record_not_run()
        case sender.FailureKind.BROKEN | sender.FailureKind.LATE:
            tries.record_reached()
            tries.record_may_have_run()


def _describe_no_room(chosen: selection.NoCapacity) -> str:
    return (
        f"no server chosen: {chosen.open_servers} open, {chosen.utilization:.2f} requests per slot,"
        f" room expected in {round(chosen.retry_after * 1000)} ms"
    )
