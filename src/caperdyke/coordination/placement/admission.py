"""Decides which requests leave capacity to others while a service is short of it.

Requests compete by rank first, and teams of one rank share what their rank gets.
"""

import collections
import dataclasses
import math

from caperdyke.coordination.placement import selection, team_shares
from caperdyke.state import ids, routes

# Time for which a request that was rejected or had to wait shows that its rank lacks capacity. It
# spans two to three requests of usual length.
PRESSURE_S = 0.5
# Part of the slots that a request leaves free for each rank by which it is less urgent than one
# that lacks capacity, and the largest part.
RESERVE_PER_RANK = 0.25
RESERVE_MAX = 0.75
# Part of the slots that a team above its fair share leaves free for teams below theirs.
TEAM_RESERVE = 0.25
# Weight of the newest response in the moving average of response times.
EWMA_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class CompetitionPolicy:
    """Which requests compete, by one version of the configuration.

    :param ranked_services: services that requests of different ranks use.
    :param has_teams: whether several teams share the services.
    """

    ranked_services: frozenset[ids.ServiceName] = frozenset()
    has_teams: bool = False


def derive_policy(table: routes.RouteTable) -> CompetitionPolicy:
    """Returns the policy of a configuration; computed once for each version."""
    teams = tuple(table.teams.by_name.values()) if table.teams is not None else ()
    team_ranks = {team.priority for team in teams}
    ranks: dict[ids.ServiceName, set[int]] = collections.defaultdict(set)
    for route in table.routes:
        route_ranks = {route.priority if rank is None else rank for rank in team_ranks}
        if route.is_public or not teams:
            route_ranks.add(route.priority)
        for part in route.parts:
            ranks[part.service] |= route_ranks
    ranked = frozenset(service for service, found in ranks.items() if len(found) > 1)
    return CompetitionPolicy(ranked, len(teams) > 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Restriction:
    """What a request leaves to others.

    :param reserved_ratio: part of the slots that it leaves free.
    :param may_be_queued: whether it may wait at a server.
    :param cause: for the log; empty if there is no restriction.
    """

    reserved_ratio: float = 0.0
    may_be_queued: bool = True
    cause: str = ""


NO_RESTRICTION = Restriction()


class RankPressure:
    """Ranks that lack capacity of one service, from what happened at this instance."""

    def __init__(self) -> None:
        self._pressed_at: dict[int, float] = {}
        self._waited_at: dict[int, float] = {}

    def record(self, now: float, rank: int) -> None:
        """Records that a request of a rank was rejected."""
        self._pressed_at[rank] = now

    def record_wait(self, now: float, rank: int) -> None:
        """Records that a request of a rank has to wait at this instance."""
        self._waited_at[rank] = now

    def has_more_urgent_wait(self, now: float, rank: int) -> bool:
        """Returns whether a more urgent request had to wait; it will be tried first."""
        return any(now < at + PRESSURE_S for r, at in self._waited_at.items() if r < rank)

    def list_pressed(self, now: float) -> list[int]:
        """Returns the ranks that lack capacity, the most urgent first."""
        return sorted(rank for rank, at in self._pressed_at.items() if now < at + PRESSURE_S)

    def find_end(self, now: float, rank: int) -> float:
        """Returns until when a rank has to yield, as far as is known; at least ``now``."""
        return max((at + PRESSURE_S for r, at in self._pressed_at.items() if r < rank), default=now)

    def compute_reserve(self, now: float, rank: int) -> float:
        """Returns the part of the slots that a request of a rank leaves free.

        Pattern: two kinds of requests share a service that lacks capacity. The more urgent kind has
        the shorter objective, so it is rejected while the other kind still waits at the servers and
        fills each slot that comes free.
        """
        pressed = self.list_pressed(now)
        if not pressed or pressed[0] >= rank:
            return 0.0
        return min(RESERVE_MAX, RESERVE_PER_RANK * (rank - pressed[0]))


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnDelay:
    """When a rejected caller is asked to come back.

    :param seconds: shortest delay.
    :param spread_s: time after that over which callers are spread.
    """

    seconds: float
    spread_s: float


class ServiceCapacity:
    """Who uses one service through this instance, and who lacks capacity there."""

    def __init__(self) -> None:
        self.pressure = RankPressure()
        self.shares = team_shares.TeamShares()
        self._in_progress = 0
        self._mean_response_s: float | None = None
        # Times at which rejected callers are expected back.
        self._returns: collections.deque[float] = collections.deque()

    def record_start(self, now: float, claim: team_shares.Claim) -> None:
        """Counts a request that is about to be sent to a server."""
        self._in_progress += 1
        self.shares.record_start(now, claim)

    def record_end(self, now: float, claim: team_shares.Claim, response_s: float | None) -> None:
        """Counts the end of a request.

        :param response_s: seconds until a server's response; None if there was none.
        """
        self._in_progress -= 1
        self.shares.record_end(now, claim)
        if response_s is None:
            return
        if self._mean_response_s is None:
            self._mean_response_s = response_s
        self._mean_response_s += EWMA_WEIGHT * (response_s - self._mean_response_s)

    def record_shortage(self, now: float, claim: team_shares.Claim) -> None:
        """Records that a request was rejected."""
        self.pressure.record(now, claim.rank)
        self.shares.record_shortage(now, claim)

    def record_wait(self, now: float, claim: team_shares.Claim) -> None:
        """Records that a request has to wait."""
        self.pressure.record_wait(now, claim.rank)
        self.shares.record_shortage(now, claim)

    def restrict(
        self, now: float, claim: team_shares.Claim, is_ranked: bool, has_teams: bool
    ) -> Restriction:
        """Returns what a request leaves to more urgent ones and to teams below their share."""
        reserve = self.pressure.compute_reserve(now, claim.rank) if is_ranked else 0.0
        if reserve:
            return Restriction(reserve, False, f"leaves {reserve:.2f} of the slots to other ranks")
        if has_teams and self.shares.must_yield(now, claim):
            return Restriction(TEAM_RESERVE, False, "the team is above its fair share")
        if is_ranked and self.pressure.has_more_urgent_wait(now, claim.rank):
            return Restriction(0.0, False, "a more urgent request waits")
        return NO_RESTRICTION

    def find_response_interval(self) -> float | None:
        """Returns the expected seconds between two responses of the service to this instance.

        Pattern: load information is old or lost. The responses to this instance show the capacity
        that it gets without any report: their rate is the number of requests in progress divided by
        the time of one.

        :returns: None if no request is in progress or none had a response yet.
        """
        if not self._in_progress or self._mean_response_s is None:
            return None
        return self._mean_response_s / self._in_progress

    def plan_return(
        self, now: float, retry_after: float, claim: team_shares.Claim, ahead: int
    ) -> ReturnDelay:
        """Returns when a rejected caller should come back, and counts it as expected then.

        Pattern: many callers are rejected in the same second, and each comes back once. Those sent
        back to one moment would meet each other there, and be rejected for good.

        :param retry_after: seconds after which any capacity is expected.
        :param ahead: waiting requests that get capacity first.
        """
        while self._returns and self._returns[0] <= now:
            self._returns.popleft()
        interval = self.find_response_interval() or 0.0
        rank_wait = self.pressure.find_end(now, claim.rank) - now
        expected = max(retry_after, rank_wait, ahead * interval)
        seconds = min(selection.RETRY_AFTER_MAX_S, expected)
        spread_s = min(selection.RETRY_AFTER_MAX_S - seconds, len(self._returns) * interval)
        # In order, so that the oldest can be dropped from the front.
        last = self._returns[-1] if self._returns else -math.inf
        self._returns.append(max(last, now + seconds + spread_s / 2))
        return ReturnDelay(seconds, spread_s)

    def describe(self, now: float, claim: team_shares.Claim) -> dict[str, object]:
        """Returns who has the capacity, for the log line of a rejected request."""
        return {
            "rank": claim.rank,
            "ranks_short": self.pressure.list_pressed(now),
            "in_progress": self.shares.describe(now),
        }
