"""Replies to requests that no server answered, and when their callers may retry."""

import math
import random

from caperdyke.coordination.placement import attempts, selection
from caperdyke.state import ids, routes
from caperdyke.transport.gateway import context, local_reply, sender, team_quotas

# Longest Retry-After as a ratio of the time that the caller has left. It does not apply where the
# servers themselves specify when they accept requests again.
RETRY_AFTER_RATIO_MAX = 0.3
# Retry-After while neither this instance nor another one has a path to the servers.
NO_PATH_RETRY_AFTER_SECONDS = 0.5
# Retry-After of an instance that stops: others serve the request at once.
STOPPING_RETRY_AFTER_SECONDS = 0.0
# Shortest Retry-After of a team that is over its quota.
OVER_QUOTA_RETRY_AFTER_MIN_SECONDS = 0.1


class Refusals:
    """Makes the final replies of a gateway.

    :param rng: spreads the retries of callers that were refused together.
    """

    def __init__(self, node: context.GatewayContext, rng: random.Random) -> None:
        self._node = node
        self._rng = rng

    def make_refused_reply(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        attempt_state: attempts.Attempts,
    ) -> local_reply.LocalReply:
        """Returns the reply to a request that servers refused and that is not retried."""
        backoff_end = self._node.find_service_backoff_end(route, service)
        return self.make_final_reply(request, attempt_state, None, backoff_end)

    def make_final_reply(
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
        if no_capacity is not None:
            jittered += no_capacity.spread_s * self._rng.random()
        if is_from_servers:
            # A retry before the servers accept requests again would certainly be refused.
            return local_reply.LocalReply(503, reason, jittered)
        return local_reply.LocalReply(
            503, reason, max(0.0, min(jittered, time_left * RETRY_AFTER_RATIO_MAX))
        )

    def make_over_quota_reply(
        self,
        request: sender.CallerRequest,
        attempt_state: attempts.Attempts,
        exceeded: team_quotas.Exceeded,
    ) -> local_reply.LocalReply:
        """Returns the reply to a request whose team is over its quota."""
        if not attempt_state.is_known_not_run:
            return self.make_final_reply(request, attempt_state, None)
        retry_after = max(OVER_QUOTA_RETRY_AFTER_MIN_SECONDS, exceeded.retry_after_s)
        jittered = retry_after * self._rng.uniform(1.0, 1.5)
        time_left = request.deadline - self._node.now()
        return local_reply.LocalReply(
            429,
            local_reply.LocalReplyReason.OVER_QUOTA,
            max(0.0, min(jittered, time_left * RETRY_AFTER_RATIO_MAX)),
        )

    def make_blocked_reply(
        self,
        request: sender.CallerRequest,
        attempt_state: attempts.Attempts,
        block_end: float,
    ) -> local_reply.LocalReply:
        """Returns the reply to a request that ends the servers that run it.

        :param block_end: time until which the request is rejected.
        """
        if not attempt_state.is_known_not_run:
            return self.make_final_reply(request, attempt_state, None)
        # An earlier retry would certainly be rejected.
        return local_reply.LocalReply(
            503,
            local_reply.LocalReplyReason.CRASHES_SERVERS,
            max(0.0, block_end - self._node.now()),
        )

    def make_stopping_reply(
        self, request: sender.CallerRequest, attempt_state: attempts.Attempts
    ) -> local_reply.LocalReply:
        """Returns the reply to a request that this instance cannot finish before it stops."""
        if not attempt_state.is_known_not_run:
            return self.make_final_reply(request, attempt_state, None)
        return make_stopping_reply()

    def make_no_path_reply(self, request: sender.CallerRequest) -> local_reply.LocalReply:
        """Returns the reply to a request that no instance has a path for."""
        retry_after = NO_PATH_RETRY_AFTER_SECONDS * self._rng.uniform(1.0, 1.5)
        time_left = request.deadline - self._node.now()
        return local_reply.LocalReply(
            503,
            local_reply.LocalReplyReason.NO_PATH,
            max(0.0, min(retry_after, time_left * RETRY_AFTER_RATIO_MAX)),
        )


def make_stopping_reply() -> local_reply.LocalReply:
    """Returns the reply to a request that has not run when it is too late to send it."""
    return local_reply.LocalReply(
        503, local_reply.LocalReplyReason.STOPPING, STOPPING_RETRY_AFTER_SECONDS
    )


def make_no_longer_allowed_reply(
    refusal: local_reply.LocalReply, attempt_state: attempts.Attempts
) -> local_reply.LocalReply:
    """Returns the reply to a request whose route or key was removed while it was in flight."""
    if attempt_state.is_known_not_run:
        return refusal
    return local_reply.LocalReply(502, local_reply.LocalReplyReason.FAILED)
