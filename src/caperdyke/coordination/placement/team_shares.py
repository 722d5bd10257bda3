"""Decides which teams of one rank yield to others (max-min fair shares)."""

import collections.abc
import dataclasses
import math

from caperdyke.state import ids

# Time constant of the moving average of a team's requests in progress. An instance of a large fleet
# has few requests of a team in progress at any moment.
USAGE_TIME_CONSTANT_S = 1.0
# Time for which a rejected or waiting request shows that its team lacks capacity; as long as usage
# counts. With half of it, a team below its share that sends a few requests a second here lost it
# again between two of them.
SHORTAGE_S = 1.0
# How far a team may be above the fair share before it yields, as a multiple of the share.
SHARE_TOLERANCE = 1.1
# Average of requests in progress below which a team without requests is removed.
USAGE_MIN = 0.01
# How long a computed fair share is used; it keeps the cost of a request low with many teams.
LEVEL_VALID_S = 0.05
# Teams that are named in a log line, those with the most requests.
DESCRIBED_TEAMS_MAX = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Whose request it is.

    :param rank: priority; 0 is the most urgent.
    :param team: None for requests without a team, which share like one team.
    """

    rank: int
    team: ids.TeamName | None = None


@dataclasses.dataclass(slots=True)
class _Usage:
    """Requests of one team and rank.

    :param count: requests in progress.
    :param average: moving average of ``count`` at ``updated_at``.
    :param short_at: when a request was last rejected or had to wait.
    """

    count: int = 0
    average: float = 0.0
    updated_at: float = 0.0
    short_at: float = -math.inf

    def update(self, now: float) -> float:
        """Advances the average to the present and returns it."""
        kept = math.exp(-max(0.0, now - self.updated_at) / USAGE_TIME_CONSTANT_S)
        self.average = self.count + (self.average - self.count) * kept
        self.updated_at = now
        return self.average


class TeamShares:
    """Requests of the teams at one service, as far as this instance sends them."""

    def __init__(self) -> None:
        self._usages: dict[Claim, _Usage] = {}
        self._levels: dict[int, tuple[float, float]] = {}

    def record_start(self, now: float, claim: Claim) -> None:
        """Counts a request that is about to be sent."""
        usage = self._find(claim)
        usage.update(now)
        usage.count += 1

    def record_end(self, now: float, claim: Claim) -> None:
        """Counts the end of a request."""
        usage = self._find(claim)
        usage.update(now)
        usage.count -= 1

    def record_shortage(self, now: float, claim: Claim) -> None:
        """Records that a request was rejected or has to wait."""
        self._find(claim).short_at = now

    def must_yield(self, now: float, claim: Claim) -> bool:
        """Returns whether a team leaves capacity to others of its rank.

        Pattern: one team sends several times its usual rate. Without shares it gets capacity in
        proportion to what it sends, and the teams that send as usual are rejected with it.
        """
        usage = self._usages.get(claim)
        if usage is None:
            return False
        return usage.update(now) > SHARE_TOLERANCE * self._find_level(now, claim.rank)

    def describe(self, now: float) -> dict[str, float]:
        """Returns the average requests in progress of the teams with the most, for the log."""
        averages = [(round(usage.update(now), 1), claim) for claim, usage in self._usages.items()]
        averages.sort(key=lambda item: -item[0])
        return {
            f"{claim.rank} {claim.team or '-'}": average
            for average, claim in averages[:DESCRIBED_TEAMS_MAX]
        }

    def _find(self, claim: Claim) -> _Usage:
        usage = self._usages.get(claim)
        if usage is None:
            usage = self._usages[claim] = _Usage()
        return usage

    def _find_level(self, now: float, rank: int) -> float:
        level, valid_until = self._levels.get(rank, (math.inf, -math.inf))
        if now >= valid_until:
            level = self._compute_level(now, rank)
            self._levels[rank] = level, now + LEVEL_VALID_S
        return level

    def _compute_level(self, now: float, rank: int) -> float:
        """Returns the fair share of a rank; infinity if no team below it lacks capacity."""
        demands = []
        total = 0.0
        short = []
        for claim, usage in list(self._usages.items()):
            average = usage.update(now)
            is_short = now < usage.short_at + SHORTAGE_S
            if not usage.count and average < USAGE_MIN and not is_short:
                del self._usages[claim]
            elif claim.rank == rank:
                total += average
                demands.append(math.inf if is_short else average)
                if is_short:
                    short.append(average)
        level = compute_fair_level(total, demands)
        # A shortage of teams that have their share already is not caused by the others.
        return level if any(average < level for average in short) else math.inf


def compute_fair_level(total: float, demands: collections.abc.Iterable[float]) -> float:
    """Returns the share above which no demand is served, so that the smallest are served first.

    :param total: what is to be shared.
    :returns: infinity if all demands can be served.
    """
    ordered = sorted(demands)
    left = total
    for served, demand in enumerate(ordered):
        share = left / (len(ordered) - served)
        if demand > share:
            return share
        left -= demand
    return math.inf
