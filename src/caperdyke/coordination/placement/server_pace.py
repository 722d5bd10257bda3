"""How long work currently takes on a backend server's machine, as its answers report it."""

import collections
import dataclasses
import statistics

# Age of a report at which its influence is halved, and from which on it has none. In one deployment
# work takes 2.5 times as long in spells of 0.6 s.
PACE_HALF_S = 0.3
PACE_END_S = 1.0
# How long after its last report a server counts as one that reports its pace.
PACE_REPORTING_S = 60.0
# Reports of one server that are kept; more than arrive in ``PACE_END_S`` add no information.
REPORTS_MAX = 16


@dataclasses.dataclass(slots=True)
class ServerPace:
    """Reports of one server, relative to the usual time of work on it.

    Pattern: the pace of a machine changes several times a second, and an instance learns it only
    from answers. A report soon says nothing about the next request.

    :param reports: time and pace of the latest reports, the newest last.
    """

    reports: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=REPORTS_MAX)
    )

    def record(self, now: float, pace: float) -> None:
        """Records a report.

        :param pace: time that work takes relative to the usual time; 1 is as usual.
        """
        self.reports.append((now, pace))

    def clear(self) -> None:
        """Discards the reports of an earlier start of the server."""
        self.reports.clear()

    def is_reported(self, now: float) -> bool:
        """Returns whether the server reports its pace at all."""
        return bool(self.reports) and now < self.reports[-1][0] + PACE_REPORTING_S

    def compute_weight(self, now: float) -> float:
        """Returns the weight of the newest report, from 1 at once to 0."""
        if not self.reports:
            return 0.0
        return compute_weight(now - self.reports[-1][0])

    def estimate(self, now: float) -> float:
        """Returns the expected pace; 1 if there is no recent report."""
        if not self.reports:
            return 1.0
        return 1.0 + self.compute_weight(now) * (self.reports[-1][1] - 1.0)

    def find_run_pace(self, started_at: float, now: float) -> float | None:
        """Returns the pace during a run that has just ended; None if the server reports none.

        The report that came with the answer holds for the end of the run alone, so that reports
        of other answers since shortly before its start count alike.
        """
        if not self.is_reported(now):
            return None
        paces = [pace for at, pace in self.reports if at >= started_at - PACE_HALF_S]
        return statistics.fmean(paces) if paces else self.estimate(now)


def compute_weight(age_s: float) -> float:
    """Returns the weight of a report by its age in seconds, linear between the given points."""
    if age_s <= 0.0:
        return 1.0
    if age_s <= PACE_HALF_S:
        return 1.0 - 0.5 * age_s / PACE_HALF_S
    return max(0.0, 0.5 * (PACE_END_S - age_s) / (PACE_END_S - PACE_HALF_S))
