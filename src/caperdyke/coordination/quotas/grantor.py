"""Grants tokens of the teams that this instance holds."""

import math

from caperdyke.coordination.quotas import holders, limits, token_bucket
from caperdyke.state import gateway_settings, ids, teams

# Time without an update of the fleet after which this instance was paused and holds nothing.
UPDATE_GAP_MAX_S = 1.0


class Grantor:
    """The buckets of the teams whose tokens this instance holds.

    Pattern: a holder was frozen or restarted, or another instance has taken over its role. It must
    not grant what it stored before, so the bucket starts empty whenever the role starts. A bucket
    is made at the first request for a team, with what it would have stored by then.

    :param directory: updated by the caller before ``update`` is called.
    """

    def __init__(
        self, directory: holders.HolderDirectory, tolerance: gateway_settings.QuotaTolerance
    ) -> None:
        self._directory = directory
        self.tolerance = tolerance
        self._updated_at = -math.inf
        self._teams: dict[ids.TeamName, teams.Team] = {}
        self._changed_at: dict[ids.TeamName, float] = {}
        self._buckets: dict[ids.TeamName, token_bucket.TokenBucket] = {}

    def apply_teams(self, now: float, limited: dict[ids.TeamName, teams.Team]) -> None:
        """Applies the limits of a changed configuration.

        :param limited: all teams with a limit, by name.
        """
        for name in self._teams.keys() - limited.keys():
            self._changed_at.pop(name, None)
            self._buckets.pop(name, None)
        for name, team in limited.items():
            if _get_limit(self._teams.get(name)) != _get_limit(team):
                self._changed_at[name] = now
        self._teams = limited
        self._apply_parts(now)

    def update(self, now: float) -> None:
        """Applies the roles that this instance has in the fleet as it sees it now."""
        self._updated_at = now
        self._apply_parts(now)

    def grant(
        self, now: float, sender: int, team: ids.TeamName, demand: token_bucket.Demand
    ) -> token_bucket.Grant | None:
        """Grants tokens if this instance is the holder.

        :param sender: hash of the requester's name.
        :returns: None if the request is a repeated one, or if this instance does not hold tokens
            of the team; ``is_holding`` tells these apart.
        """
        if not self.is_holding(now, team):
            return None
        bucket = self._buckets.get(team)
        if bucket is None:
            # Tokens accrue during the takeover, in which the holder before it grants none.
            started_at = self._directory.find_role_start(team) - holders.TAKEOVER_S
            started_at = max(started_at, self._changed_at[team])
            bucket = token_bucket.TokenBucket(started_at, self._compute_part(team))
            self._buckets[team] = bucket
        return bucket.grant(now, sender, demand)

    def is_holding(self, now: float, team: ids.TeamName) -> bool:
        """Returns whether this instance grants tokens of a team."""
        if team not in self._teams or now > self._updated_at + UPDATE_GAP_MAX_S:
            return False
        return self._directory.find_role_start(team) <= now

    def find_stored(self, now: float, team: ids.TeamName) -> float:
        """Returns the tokens in stock for a team, 0 if there is no bucket here."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        return bucket.stored

    def _apply_parts(self, now: float) -> None:
        for name, bucket in self._buckets.items():
            if self._directory.find_role_start(name) > now:
                bucket.empty(now)
            else:
                bucket.apply_part(now, self._compute_part(name))

    def _compute_part(self, team: ids.TeamName) -> limits.HolderPart:
        ratio = self._directory.compute_own_ratio()
        return limits.compute_part(self._teams[team], ratio, self.tolerance)


def _get_limit(team: teams.Team | None) -> tuple[float, float] | None:
    return None if team is None else (team.rate_per_second, team.burst)
