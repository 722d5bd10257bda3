"""Estimates the requests at a server between its reports, from what its service usually reports."""

import collections
import dataclasses
import math
import statistics

from caperdyke.coordination.placement import server_pace
from caperdyke.state import backend, header_fields, ids

# Age in which the weight of a report falls to 1/e; the requests that it counted take about as long.
REPORT_WEIGHT_S = 0.25
# Age in which the weight of a report in the usual load of a service, or of a server, falls to 1/e.
# An instance that believes all servers to be full gets no reports that would correct it.
USUAL_S = 5.0
# Reports that count at most, so that this takes a few seconds after many reports, too.
REPORTS_MAX = 10.0
# Weight of the newest report in the usual load of a server.
USUAL_WEIGHT = 0.2
# Reports that count as much as what instances announce of the service as a whole, and reports of a
# server that count as much as its usual load by other information.
ANNOUNCED_REPORTS = 4
SERVER_REPORTS = 4
# Time in which announced loads of a server are averaged, at this interval, and the weight of the
# average compared with the usual load of the service. In replays at 69 instances, the service alone
# loses up to 2 in 100 more, and an average of 8 s up to 1.5 in 100.
ANNOUNCED_S = 3.0
ANNOUNCED_WEIGHT = 0.5
ANNOUNCED_INTERVAL_S = 0.25
# How long a server counts towards the usual load of its service after its last report, and the
# interval at which servers without a report are removed.
SERVER_REPORT_S = 30.0
REMOVAL_INTERVAL_S = 1.0
# Latest paces that servers of a service reported, and how many of them, evenly spread by size,
# stand for the pace of a server without a report.
PACES_MAX = 25
USUAL_PACES = 5


@dataclasses.dataclass(slots=True)
class _UsualLoad:
    """Moving average of the requests of other instances per slot, from reports.

    :param reports: number of reports, of which those of the last seconds count.
    :param reported_at: time of the last report.
    """

    others_per_slot: float = 0.0
    reports: float = 0.0
    reported_at: float = -math.inf

    def count_reports(self, now: float) -> float:
        """Returns the number of reports, weighted by their age."""
        return self.reports * math.exp(-max(0.0, now - self.reported_at) / USUAL_S)

    def record(self, now: float, others_per_slot: float) -> None:
        """Adds a report."""
        self.reports = min(REPORTS_MAX, self.count_reports(now) + 1)
        self.reported_at = now
        weight = max(USUAL_WEIGHT, 1 / self.reports)
        self.others_per_slot += weight * (others_per_slot - self.others_per_slot)


@dataclasses.dataclass(slots=True)
class ServiceLoad:
    """What the servers of one service usually report.

    Pattern: at 68 instances, one gets a report of a given server every few seconds, and the load
    that instances announce to each other is as old. A server that was idle then is not idle now,
    so an old report is replaced by the load that the servers usually have. All servers count alike:
    most reports come from the busiest ones, and a mean of all reports would exceed the usual load.
    Announced loads count only as far as they do not change within seconds: that of the service as a
    whole while there are few reports, and the average of some seconds of a server, as the servers
    of popular objects are busier than others.

    :param is_requested: whether the settings ask for the estimate, even where servers report no
        pace.
    :param announced_per_slot: requests of other instances per slot of all servers, as announced;
        ``announced_averages`` those of each server on average, and ``announced_at`` their time.
    :param deviation_per_slot: moving average of the distance of a report from the usual load.
    :param paces: latest paces that any server reported.
    :param usual_paces: some of these, which stand for the pace of a server without a report.
    :param pace_reported_at: time of the latest report of a pace.
    """

    is_requested: bool = False
    announced_per_slot: float = 0.0
    announced_averages: dict[ids.BackendId, float] = dataclasses.field(default_factory=dict)
    announced_at: float = -math.inf
    deviation_per_slot: float = 0.0
    paces: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=PACES_MAX)
    )
    usual_paces: list[float] = dataclasses.field(default_factory=list)
    pace_reported_at: float = -math.inf
    _mean_per_slot: float = 0.0
    _reports: _UsualLoad = dataclasses.field(default_factory=_UsualLoad)
    _servers: dict[ids.BackendId, _UsualLoad] = dataclasses.field(default_factory=dict)
    _removed_at: float = -math.inf

    def record(
        self, now: float, server: backend.BackendServer, load: header_fields.ServerLoad, others: int
    ) -> None:
        """Records a report of any server of the service.

        :param others: requests of other instances among those reported.
        """
        others_per_slot = others / server.slots
        deviation = abs(others - self.estimate_others(now, server)) / server.slots
        self._reports.record(now, others_per_slot)
        self.deviation_per_slot += (deviation - self.deviation_per_slot) / self._reports.reports
        is_new = server.backend not in self._servers
        usual = self._servers.setdefault(server.backend, _UsualLoad())
        previous = usual.others_per_slot
        usual.record(now, others_per_slot)
        if is_new or now >= self._removed_at + REMOVAL_INTERVAL_S:
            self._recompute(now)
        else:
            change = usual.others_per_slot - previous
            self._mean_per_slot += change / len(self._servers)
        if load.pace is not None:
            self.paces.append(load.pace)
            ordered = sorted(self.paces)
            positions = ((2 * number + 1) / (2 * USUAL_PACES) for number in range(USUAL_PACES))
            self.usual_paces = [ordered[int(position * len(ordered))] for position in positions]
            self.pace_reported_at = now

    def estimate_others(self, now: float, server: backend.BackendServer) -> float:
        """Returns the requests of other instances that are usual at a server."""
        reports = self._reports.count_reports(now)
        per_slot = self.announced_per_slot
        per_slot += (self._mean_per_slot - per_slot) * reports / (reports + ANNOUNCED_REPORTS)
        announced = self.announced_averages.get(server.backend)
        if announced is not None:
            per_slot += ANNOUNCED_WEIGHT * (announced - per_slot)
        usual = self._servers.get(server.backend)
        if usual is not None:
            reports = usual.count_reports(now)
            per_slot += (usual.others_per_slot - per_slot) * reports / (reports + SERVER_REPORTS)
        return per_slot * server.slots

    def record_announced(self, now: float, loads: list[tuple[backend.BackendServer, int]]) -> None:
        """Records what other instances announced of all servers of the service.

        :param loads: servers and the requests of other instances at them.
        """
        slots = sum(server.slots for server, _ in loads)
        self.announced_per_slot = sum(others for _, others in loads) / max(1, slots)
        weight = 1 - math.exp(-(now - self.announced_at) / ANNOUNCED_S)
        averages = {}
        for server, others in loads:
            per_slot = others / server.slots
            previous = self.announced_averages.get(server.backend, per_slot)
            averages[server.backend] = previous + weight * (per_slot - previous)
        self.announced_averages, self.announced_at = averages, now

    def is_used(self, now: float) -> bool:
        """Returns whether any server's load is estimated from the usual load."""
        return self.is_requested or self.reports_pace(now)

    def reports_pace(self, now: float) -> bool:
        """Returns whether any server of the service reports its pace."""
        return now < self.pace_reported_at + server_pace.PACE_REPORTING_S

    def _recompute(self, now: float) -> None:
        self._removed_at = now
        for name, usual in list(self._servers.items()):
            if now >= usual.reported_at + SERVER_REPORT_S:
                del self._servers[name]
        self._mean_per_slot = statistics.fmean(
            usual.others_per_slot for usual in self._servers.values()
        )


class ServiceLoads:
    """Usual loads by service.

    :param is_requested: whether the settings ask for the estimate everywhere.
    """

    def __init__(self, is_requested: bool = False) -> None:
        self._is_requested = is_requested
        self._loads: dict[ids.ServiceName, ServiceLoad] = {}
        self._announced_at = -math.inf

    def apply_setting(self, is_requested: bool) -> None:
        """Applies a changed setting and keeps what servers reported."""
        self._is_requested = is_requested
        for load in self._loads.values():
            load.is_requested = is_requested

    def is_announcement_due(self, now: float) -> bool:
        """Returns whether announced loads are used, and were not applied recently."""
        is_due = now >= self._announced_at + ANNOUNCED_INTERVAL_S
        return is_due and any(load.is_used(now) for load in self._loads.values())

    def apply_announced(
        self, now: float, loads: dict[ids.ServiceName, list[tuple[backend.BackendServer, int]]]
    ) -> None:
        """Records what other instances announced, for services whose estimates use it.

        :param loads: servers and the requests of other instances at them, by service.
        """
        self._announced_at = now
        for service, service_loads in loads.items():
            load = self.find(service)
            if load.is_used(now):
                load.record_announced(now, service_loads)

    def find(self, service: ids.ServiceName) -> ServiceLoad:
        """Returns the usual load of a service."""
        load = self._loads.get(service)
        if load is None:
            load = self._loads[service] = ServiceLoad(self._is_requested)
        return load


def compute_weight(age_s: float) -> float:
    """Returns the weight of a report by its age in seconds."""
    return math.exp(-max(0.0, age_s) / REPORT_WEIGHT_S)
