"""Serves requests through other instances while this one has no path to the servers."""

import collections.abc
import dataclasses

from caperdyke.coordination.placement import attempts
from caperdyke.coordination.registry import fleet
from caperdyke.state import ids, routes
from caperdyke.transport.gateway import (
    admissions,
    context,
    local_reply,
    refusals,
    relay,
    request_tokens,
    sender,
)

TryAcquireRetry = collections.abc.Callable[[routes.Route, ids.ServiceName], bool]


class Relaying:
    """Sends requests to other instances until one serves them.

    :param try_acquire_retry: counts a retry if the budget allows it; returns whether it does.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        request_relay: relay.Relay,
        final_replies: refusals.Refusals,
        try_acquire_retry: TryAcquireRetry,
    ) -> None:
        self._node = node
        self._relay = request_relay
        self._refusals = final_replies
        self._try_acquire_retry = try_acquire_retry

    async def serve(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName | None,
        attempt_state: attempts.Attempts,
        trace: local_reply.RequestTrace,
        tokens: request_tokens.RequestTokens,
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
            if node.routes is not request.table or not node.may_check_keys():
                admitted = admissions.admit_again(request, node, trace)
                if isinstance(admitted, local_reply.LocalReply):
                    return refusals.make_no_longer_allowed_reply(admitted, attempt_state)
                route = admitted.route
                request = dataclasses.replace(
                    request, table=node.routes, identity=admitted.identity
                )
            latest_send = node.find_latest_send(route, request.deadline)
            if node.now() > latest_send:
                return self._refusals.make_stopping_reply(request, attempt_state)
            objective_end = trace.find_objective_end(route)
            exceeded = await tokens.acquire(request, min(objective_end, latest_send))
            if node.routes is not request.table:
                continue
            if exceeded is not None:
                return self._refusals.make_over_quota_reply(request, attempt_state, exceeded)
            peer = self._relay.choose(
                route, tried, request_tokens.find_team_name(request) is not None
            )
            if peer is None:
                break
            if attempt_state.sent and not self._try_acquire_retry(
                route, service or node.splits.choose(route)
            ):
                return self._refusals.make_final_reply(request, attempt_state, None)
            tried.add(peer.record.instance)
            sent_at = node.now()
            reached, is_counted = attempt_state.reached, service is not None
            tokens.start_send()
            trace.may_have_run = True
            result = await self._relay.send(request, route, peer, reached, is_counted)
            tokens.end_send(may_have_run(result))
            trace.may_have_run = may_have_run(result) or not attempt_state.is_known_not_run
            trace.sends.append(_describe_relay(peer, node.now() - sent_at, result))
            match result:
                case sender.ServerAnswer():
                    return result
                case relay.NotRun():
                    refused = result.answer
                    if not result.has_no_capacity:
                        break
                case sender.Failure(kind=sender.FailureKind.STOPPING):
                    return self._refusals.make_stopping_reply(request, attempt_state)
                case sender.Failure(kind=sender.FailureKind.NOT_SENT):
                    tried.discard(peer.record.instance)
                case sender.Failure(may_have_run=True):
                    attempt_state.record_reached()
                    attempt_state.record_may_have_run()
                    if not attempt_state.allows_retry():
                        break
        if refused is not None and attempt_state.is_known_not_run:
            return refused
        if not attempt_state.is_known_not_run:
            return self._refusals.make_final_reply(request, attempt_state, None)
        return self._refusals.make_no_path_reply(request)


def may_have_run(result: relay.RelayResult) -> bool:
    """Returns whether a server may have run a request with this result."""
    match result:
        case sender.ServerAnswer():
            return True
        case sender.Failure():
            return result.may_have_run
        case relay.NotRun():
            return False


def _describe_relay(peer: fleet.PeerInstance, took_s: float, result: relay.RelayResult) -> str:
    match result:
        case sender.Failure():
            outcome = f"{result.kind.value} ({result.detail})"
        case relay.NotRun():
            outcome = f"{result.answer.status}, not run"
        case sender.ServerAnswer():
            outcome = str(result.status)
    return f"relayed through {peer.record.instance}: {outcome} after {round(took_s * 1000)} ms"
