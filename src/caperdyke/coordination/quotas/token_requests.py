"""Decides when an instance asks which holder for how many tokens of one team."""

import dataclasses
import math

from caperdyke.coordination.quotas import stock, token_bucket
from caperdyke.state import ids, teams

# Time of expected demand for which tokens are requested.
DEMAND_SECONDS = 0.5
# Expected demand in that time from which tokens are requested ahead. Of fewer, too many would
# expire: with 8 requests a second and requests for 4 tokens it is 1.6 %, with 4 and 2 5.5 %.
AHEAD_MIN = 4
# More tokens are requested ahead when the stock covers less than this time.
REFILL_SECONDS = 0.2
# Shortest interval between token requests that no request waits for.
AHEAD_INTERVAL_S = 0.05
# Time for a holder to reply beyond the round trip.
REPLY_SECONDS = 0.06
# Time for which a holder that did not reply is not asked, doubled each time up to a limit.
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 4.0
# Requests that may wait for tokens at once, in seconds of the team's rate, and in addition.
WAITING_SECONDS = 0.3
WAITING_EXTRA = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A token request to one holder.

    :param expires_at: time by which the holder must have replied.
    """

    holder: ids.InstanceId
    demand: token_bucket.Demand
    sent_at: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Holder:
    """What is known of one holder."""

    last_ask: Ask | None = None
    is_answered: bool = True
    next_token_at: float = -math.inf
    backoff_s: float = BACKOFF_MIN_S
    silent_until: float = -math.inf


class TokenRequests:
    """The tokens of one team at this instance, and its requests for more.

    Pattern: 82 teams and 68 to 750 instances, some teams at three instances only, others with a
    request every two seconds at each. Frequent ones are served from stock; rare ones ask when they
    come. A team far over its quota is rejected without a datagram until a token is expected.

    :ivar ask: the request under way, or None.
    """

    def __init__(self, team: ids.TeamName) -> None:
        self.team = team
        self._stock = stock.Stock()
        self._demand = stock.DemandEstimate()
        self._holders: dict[ids.InstanceId, _Holder] = {}
        self._tried: set[ids.InstanceId] = set()
        self._rejected_until = -math.inf
        self._ahead_at = -math.inf
        self.ask: Ask | None = None

    def record_demand(self, now: float) -> None:
        """Counts a request of the team."""
        self._demand.record(now)

    def take(self, now: float) -> stock.Token | None:
        """Takes a token from the stock, or returns None."""
        taken = self._stock.take(now)
        if taken is None:
            return None
        holder, expires_at = taken
        return stock.Token(self.team, expires_at, holder, self._find_last_number(holder))

    def put_back(self, now: float, token: stock.Token) -> None:
        """Returns a token that was not used.

        It is dropped if the holder was asked since: the request said that it is not in stock.
        """
        if token.holder is None or token.expires_at <= now:
            return
        if self._find_last_number(token.holder) == token.request_number:
            self._stock.add(token.holder, 1, token.expires_at)

    def find_rejected_until(self, now: float) -> float | None:
        """Returns the end of the time in which requests are rejected at once, or None."""
        return self._rejected_until if now < self._rejected_until else None

    def needs_more(self, now: float, team: teams.Team) -> bool:
        """Returns whether tokens should be requested ahead."""
        if self.ask is not None or now < self._ahead_at or now < self._rejected_until:
            return False
        rate = min(self._demand.compute(now), team.rate_per_second)
        if rate * DEMAND_SECONDS < AHEAD_MIN:
            return False
        return self._stock.count(now) < rate * REFILL_SECONDS

    def start(self, now: float) -> None:
        """Starts a round of requests, in which each holder is asked once at most."""
        self._tried.clear()
        self._ahead_at = now + AHEAD_INTERVAL_S

    def choose(
        self,
        now: float,
        team: teams.Team,
        waiting: int,
        ranked: list[tuple[ids.InstanceId, float]],
        number: int,
    ) -> Ask | None:
        """Returns the next request of a round, or None if there is no holder left to ask.

        :param waiting: requests that wait for tokens.
        :param ranked: holders and round trips to them in seconds, the nearest first.
        :param number: number of the request.
        """
        self.ask = None
        for name, round_trip in ranked:
            holder = self._holders.setdefault(name, _Holder())
            if name in self._tried or now < holder.silent_until or now < holder.next_token_at:
                continue
            self._tried.add(name)
            wanted = self._compute_wanted(now, team, waiting)
            if wanted == 0:
                return None
            in_stock = self._stock.count(now, name)
            timeout = min(token_bucket.GRANT_DELAY_MAX_S, REPLY_SECONDS + round_trip)
            demand = token_bucket.Demand(number, wanted, waiting, in_stock)
            self.ask = holder.last_ask = Ask(name, demand, now, now + timeout)
            holder.is_answered = False
            return self.ask
        return None

    def apply_grant(
        self, now: float, name: ids.InstanceId, number: int, grant: token_bucket.Grant
    ) -> bool:
        """Adds the tokens of a grant; returns whether it answers the request under way.

        Grants that are repeated, late, or overtaken by a later request are dropped, since the
        holder counts their tokens as used or expired.
        """
        holder = self._holders.get(name)
        if holder is None or holder.is_answered or holder.last_ask.demand.number != number:
            return False
        ask = holder.last_ask
        if now >= ask.sent_at + token_bucket.GRANT_DELAY_MAX_S:
            return False
        holder.is_answered = True
        holder.silent_until, holder.backoff_s = -math.inf, BACKOFF_MIN_S
        holder.next_token_at = now + min(grant.next_token_s, token_bucket.NEXT_TOKEN_MAX_S)
        if grant.count >= ask.demand.waiting > 0:
            # It may have tokens for the requests that came meanwhile.
            self._tried.discard(name)
        for_waiting = min(ask.demand.waiting, grant.count)
        self._stock.add(name, for_waiting, ask.sent_at + token_bucket.GRANT_DELAY_MAX_S)
        self._stock.add(name, grant.count - for_waiting, now + token_bucket.TOKEN_LIFETIME_S)
        return ask is self.ask

    def record_not_holding(self, now: float, name: ids.InstanceId, number: int) -> bool:
        """Records that an instance holds no tokens; returns whether it was asked just now."""
        holder = self._holders.get(name)
        if holder is None or holder.is_answered or holder.last_ask.demand.number != number:
            return False
        holder.is_answered = True
        holder.silent_until = now + BACKOFF_MIN_S
        return holder.last_ask is self.ask

    def record_timeout(self, now: float) -> None:
        """Records that the holder that was asked last has not replied."""
        holder = self._holders[self.ask.holder]
        holder.silent_until = now + holder.backoff_s
        holder.backoff_s = min(BACKOFF_MAX_S, 2 * holder.backoff_s)

    def count_stock(self, now: float) -> int:
        """Returns the number of tokens in stock."""
        return self._stock.count(now)

    def find_next_token(self, now: float, ranked: list[tuple[ids.InstanceId, float]]) -> float:
        """Returns when one of the holders that reply expects a token.

        :returns: infinity if none of them replies.
        """
        known = [self._holders[name] for name, _ in ranked if name in self._holders]
        replying = [item.next_token_at for item in known if now >= item.silent_until]
        return max(now, min(replying, default=math.inf))

    def reject_until(self, until: float) -> None:
        """Rejects the team's requests at once until a time."""
        self._rejected_until = until

    def compute_waiting_max(self, team: teams.Team) -> int:
        """Returns how many requests may wait for tokens."""
        return WAITING_EXTRA + math.ceil(team.rate_per_second * WAITING_SECONDS + team.burst)

    def _find_last_number(self, name: ids.InstanceId) -> int:
        holder = self._holders.get(name)
        return holder.last_ask.demand.number if holder and holder.last_ask else 0

    def _compute_wanted(self, now: float, team: teams.Team, waiting: int) -> int:
        rate = min(self._demand.compute(now), team.rate_per_second)
        target = math.floor(rate * DEMAND_SECONDS)
        in_stock = self._stock.count(now)
        if target < AHEAD_MIN or (waiting == 0 and in_stock >= rate * REFILL_SECONDS):
            return waiting
        return waiting + max(0, target - in_stock)
