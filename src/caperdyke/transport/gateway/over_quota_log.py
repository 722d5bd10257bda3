"""Reports the requests that were rejected because their team was over its quota."""

import dataclasses
import math

from caperdyke.state import ids, teams
from caperdyke.transport import events, metrics

# Shortest interval between two log lines about one team.
LOG_INTERVAL_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class _Rejections:
    team: teams.Team
    count: int = 0
    logged_at: float = -math.inf


class OverQuotaLog:
    """Counts rejected requests and logs each team that has any, once in an interval."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._rejections: dict[ids.TeamName, _Rejections] = {}

    def record(self, team: teams.Team) -> None:
        """Counts a rejected request."""
        self._metrics.count_quota_decision(team.name, "exceeded")
        rejections = self._rejections.setdefault(team.name, _Rejections(team))
        rejections.team = team
        rejections.count += 1

    def write(self, now: float) -> None:
        """Logs the teams whose interval is over; called often."""
        for name, rejections in list(self._rejections.items()):
            if now < rejections.logged_at + LOG_INTERVAL_SECONDS:
                continue
            if rejections.count == 0:
                del self._rejections[name]
                continue
            events.log(
                events.Event.TEAM_OVER_QUOTA,
                team=name,
                rate=rejections.team.rate_per_second,
                burst=rejections.team.burst,
                rejected=rejections.count,
            )
            rejections.count, rejections.logged_at = 0, now
