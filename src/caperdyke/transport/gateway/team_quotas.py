"""Supplies requests of teams with tokens of the team's quota."""

import asyncio
import dataclasses
import math

from caperdyke.coordination.quotas import (
    fallback,
    fleet_reports,
    stock,
    token_bucket,
)
from caperdyke.state import ids, teams
from caperdyke.transport.gateway import (
    announcer,
    context,
    over_quota_log,
    token_exchange,
    token_waiters,
)

# Interval between updates of the fleet and the roles of its holders.
UPDATE_SECONDS = 0.2
# Longest time that a request waits for a token, and the part of its route's objective that it waits
# for beyond the token request under way.
WAIT_MAX_SECONDS = 0.3
WAIT_OBJECTIVE_RATIO = 0.25
# Longest time for which the requests of a team are rejected without asking again.
REJECTION_MAX_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent once."""

    token: stock.Token


@dataclasses.dataclass(frozen=True, slots=True)
class Exceeded:
    """The team is over its quota.

    :param retry_after_s: time until a token is expected, in seconds.
    """

    retry_after_s: float


class TeamQuotas:
    """Takes and returns tokens of teams; all waiting requests of a team share a token request."""

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self._exchange = token_exchange.TokenExchange(node, self._apply_grant, self._apply_table)
        self._fallback = fallback.FallbackShares()
        self._view = node.fleet.build_fleet_view(node.now())
        self._states: dict[ids.TeamName, token_waiters.TokenWaiters] = {}
        self._log = over_quota_log.OverQuotaLog(node.metrics)

    def connect(self, messages: announcer.Announcer) -> None:
        """Exchanges tokens with other instances over the socket of the announcements."""
        self._exchange.connect(messages)

    async def run(self) -> None:
        """Follows changes of the fleet, the settings and the configuration, forever."""
        while True:
            self.update()
            await asyncio.sleep(UPDATE_SECONDS)

    def update(self) -> None:
        """Applies changes of the fleet, the settings and the configuration."""
        now = self._node.now()
        if not self._apply_table(now):
            self._apply_fleet(now)
        self._log.write(now)

    def _apply_fleet(self, now: float) -> None:
        if not self._exchange.has_teams:
            return
        view = self._node.fleet.build_fleet_view(now)
        self._exchange.update(now, view)
        self._view = fleet_reports.make_fallback_view(view, self._exchange.directory)

    async def acquire(
        self, team: teams.Team, deadline: float, objective_at: float
    ) -> Granted | Exceeded:
        """Takes a token for a request, and waits a bounded time if there is none in stock.

        :param deadline: time by which the caller must have an answer.
        :param objective_at: time at which the route's objective for the request ends.
        """
        token = self._take(team)
        if token is not None:
            return self._grant(team, token)
        now = self._node.now()
        state = self._states[team.name]
        rejected_until = state.requests.find_rejected_until(now)
        if rejected_until is None and self._has_room(team, state):
            token = await self._wait(now, team, state, deadline, objective_at)
            if token is not None:
                return self._grant(team, token)
            now = self._node.now()
            rejected_until = state.requests.find_rejected_until(now)
        self._log.record(team)
        return Exceeded(max(0.0, (rejected_until or now) - now))

    def try_acquire(self, team: teams.Team) -> Granted | None:
        """Takes a token without waiting, or returns None."""
        token = self._take(team)
        if token is None:
            self._node.metrics.count_quota_decision(team.name, "skipped")
            return None
        return self._grant(team, token)

    def _grant(self, team: teams.Team, token: stock.Token) -> Granted:
        self._node.metrics.count_quota_decision(team.name, "granted")
        return Granted(token)

    def _take(self, team: teams.Team) -> stock.Token | None:
        """Takes a token from the stock, and requests more ahead where the stock is low."""
        now = self._node.now()
        self._apply_table(now)
        state = self._states.get(team.name)
        if state is None:
            state = self._states[team.name] = token_waiters.TokenWaiters(team.name)
        state.requests.record_demand(now)
        token = state.requests.take(now)
        if state.requests.needs_more(now, team):
            state.requests.start(now)
            self._proceed(team, state)
        return token

    def release(self, token: stock.Token) -> None:
        """Returns a token with which no request was executed."""
        state = self._states.get(token.team)
        if token.holder is None:
            self._fallback.put_back(token.team)
        elif state is not None:
            state.requests.put_back(self._node.now(), token)
            state.serve(self._node.now())

    def count_in_stock(self, team: teams.Team) -> int:
        """Returns the tokens in stock at this instance."""
        state = self._states.get(team.name)
        return state.requests.count_stock(self._node.now()) if state is not None else 0

    def _has_room(self, team: teams.Team, state: token_waiters.TokenWaiters) -> bool:
        waiting_max = state.requests.compute_waiting_max(team)
        return len(state) < waiting_max or state.count() < waiting_max

    async def _wait(
        self,
        now: float,
        team: teams.Team,
        state: token_waiters.TokenWaiters,
        deadline: float,
        objective_at: float,
    ) -> stock.Token | None:
        """Waits until a token arrives, the team is rejected, or the request gives up."""
        future = state.add()
        if state.requests.ask is None:
            state.requests.start(now)
            self._proceed(team, state)
        if future.done():
            return future.result()
        ask = state.requests.ask
        wait_until = max(0.0, objective_at - now) * WAIT_OBJECTIVE_RATIO
        wait_until += ask.expires_at if ask is not None else now
        wait_until = min(wait_until, now + WAIT_MAX_SECONDS, deadline)
        try:
            async with asyncio.timeout(max(0.0, wait_until - now)):
                return await asyncio.shield(future)
        except TimeoutError:
            return future.result() if future.done() else None
        except asyncio.CancelledError:
            if future.done() and future.result() is not None:
                self.release(future.result())
            raise
        finally:
            future.cancel()

    def _apply_table(self, now: float) -> bool:
        """Applies a changed configuration; requests that wait are decided again by it.

        :returns: whether it has changed.
        """
        if not self._exchange.apply_table(now):
            return False
        # The first request after the change finds the holders.
        self._apply_fleet(now)
        for name, state in list(self._states.items()):
            if not self._exchange.is_limited(name):
                del self._states[name]
                self._fallback.remove(name)
                state.stop_timer()
                state.finish_all()
        return True

    def _proceed(self, team: teams.Team, state: token_waiters.TokenWaiters) -> None:
        """Asks the next holder, or ends the round of requests if there is none left."""
        state.stop_timer()
        state.serve(self._node.now())
        now, waiting = self._node.now(), state.count()
        ranked = self._exchange.list_holders(team)
        ask = state.requests.choose(now, team, waiting, ranked, self._exchange.make_number())
        if ask is None:
            if waiting:
                self._end_round(now, team, state, ranked)
            return
        loop = asyncio.get_running_loop()
        state.timer = loop.call_later(ask.expires_at - now, self._time_out, team, state)
        self._exchange.send(now, team, ask)

    def _time_out(self, team: teams.Team, state: token_waiters.TokenWaiters) -> None:
        state.requests.record_timeout(self._node.now())
        self._proceed(team, state)

    def _apply_grant(
        self,
        team: teams.Team,
        holder: ids.InstanceId,
        number: int,
        grant: token_bucket.Grant | None,
    ) -> None:
        """Hands the tokens of a holder to the requests that wait, and asks the next if need be."""
        state, now = self._states.get(team.name), self._node.now()
        if state is None:
            return
        if grant is None:
            is_current = state.requests.record_not_holding(now, holder, number)
        else:
            is_current = state.requests.apply_grant(now, holder, number, grant)
        if is_current:
            self._proceed(team, state)
        else:
            state.serve(self._node.now())

    def _end_round(
        self,
        now: float,
        team: teams.Team,
        state: token_waiters.TokenWaiters,
        ranked: list[tuple[ids.InstanceId, float]],
    ) -> None:
        """Rejects the requests that wait, or sends some from the own share if no holder replies."""
        next_token_at = state.requests.find_next_token(now, ranked)
        tolerance = self._node.settings.quota_tolerance
        if next_token_at < math.inf:
            state.requests.reject_until(min(next_token_at, now + REJECTION_MAX_SECONDS))
        while next_token_at == math.inf and state.count():
            if not self._fallback.try_send(now, team, tolerance, self._view):
                break
            state.finish_first(stock.Token(team.name, now + token_bucket.TOKEN_LIFETIME_S))
        state.finish_all()
