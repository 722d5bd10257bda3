"""Who uses each service through this instance, and what a request leaves to others."""

import collections
import collections.abc
import dataclasses

from caperdyke.coordination.placement import admission, selection, team_shares
from caperdyke.state import header_fields, ids, routes
from caperdyke.transport.gateway import context, local_reply, sender


class ServiceCapacities:
    """Applies ranks and fair shares where the configuration in force has them.

    :param on_end: called with a service when a request to it has ended.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        on_end: collections.abc.Callable[[ids.ServiceName], None],
    ) -> None:
        self._node = node
        self._on_end = on_end
        self._services: dict[ids.ServiceName, admission.ServiceCapacity] = collections.defaultdict(
            admission.ServiceCapacity
        )
        self._table: routes.RouteTable | None = None
        self._policy = admission.CompetitionPolicy()

    def find(self, service: ids.ServiceName) -> admission.ServiceCapacity:
        """Returns the use of a service."""
        return self._services[service]

    def is_competing(self, service: ids.ServiceName) -> bool:
        """Returns whether ranks, teams or waiting requests compete for a service."""
        policy = self._find_policy()
        is_queue_used = self._node.settings.waiting_max > 0
        return is_queue_used or policy.has_teams or service in policy.ranked_services

    def must_yield(self, service: ids.ServiceName, claim: team_shares.Claim) -> bool:
        """Returns whether a request's team is above its fair share of a service."""
        has_teams = self._find_policy().has_teams
        return has_teams and self.find(service).shares.must_yield(self._node.now(), claim)

    def restrict(self, service: ids.ServiceName, claim: team_shares.Claim) -> admission.Restriction:
        """Returns what a request leaves to more urgent ones and to teams below their share."""
        policy = self._find_policy()
        is_ranked = service in policy.ranked_services
        if not is_ranked and not policy.has_teams:
            return admission.NO_RESTRICTION
        return self.find(service).restrict(self._node.now(), claim, is_ranked, policy.has_teams)

    async def track(
        self,
        service: ids.ServiceName,
        claim: team_shares.Claim,
        sending: collections.abc.Awaitable[sender.Result],
    ) -> sender.Result:
        """Counts a request in progress while it is sent, and returns its result."""
        node, capacity = self._node, self.find(service)
        sent_at = node.now()
        capacity.record_start(sent_at, claim)
        response_s = None
        try:
            result = await sending
            if isinstance(result, sender.ServerAnswer):
                response_s = node.now() - sent_at
            elif result.kind is sender.FailureKind.REFUSED:
                capacity.record_shortage(node.now(), claim)
            return result
        finally:
            capacity.record_end(node.now(), claim, response_s)
            self._on_end(service)

    def record_rejection(
        self,
        service: ids.ServiceName,
        claim: team_shares.Claim,
        no_capacity: selection.NoCapacity,
        ahead: int,
        trace: local_reply.RequestTrace,
    ) -> selection.NoCapacity:
        """Records that a request is rejected; returns the result with its retry delay.

        :param ahead: waiting requests that get capacity first.
        """
        if no_capacity.is_empty or not self.is_competing(service):
            return no_capacity
        now, capacity = self._node.now(), self.find(service)
        trace.competition = capacity.describe(now, claim) | {
            "waiting_ahead": ahead,
            "restriction": self.restrict(service, claim).cause,
        }
        capacity.record_shortage(now, claim)
        if no_capacity.is_advertised:
            return no_capacity
        delay = capacity.plan_return(now, no_capacity.retry_after, claim, ahead)
        return dataclasses.replace(no_capacity, retry_after=delay.seconds, spread_s=delay.spread_s)

    def _find_policy(self) -> admission.CompetitionPolicy:
        table = self._node.routes
        if table is not self._table and table is not None:
            self._table, self._policy = table, admission.derive_policy(table)
        settings = self._node.settings
        return admission.CompetitionPolicy(
            self._policy.ranked_services if settings.has_ranks else frozenset(),
            self._policy.has_teams and settings.has_team_shares,
        )


def make_claim(request: sender.CallerRequest, route: routes.Route) -> team_shares.Claim:
    """Returns whose request it is; the route's rank is that of the team, where it has one."""
    team = None
    if isinstance(request.identity, header_fields.TeamIdentity):
        team = request.identity.team
    return team_shares.Claim(route.priority, team)
