"""Estimates the requests at a server between its reports, from what its service usually reports."""

import collections
import dataclasses
import math

from caperdyke.coordination.placement import server_pace
from caperdyke.state import header_fields, ids

# Age in which the weight of a report falls to 1/e; the requests that it counted take about as long.
REPORT_WEIGHT_S = 0.25
# Weight of the newest report in the usual load of a service.
USUAL_WEIGHT = 0.05
# Latest paces that servers of a service reported; they are the paces of a server without a report.
USUAL_PACES_MAX = 16


@dataclasses.dataclass(slots=True)
class ServiceLoad:
    """What the servers of one service usually report.

    Pattern: at 68 instances, one gets a report of a given server every few seconds, and the load
    that instances announce to each other is as old. A server that was idle then is not idle now,
    so an old report is replaced by the load that the servers usually have.

    :param is_requested: whether the settings ask for the estimate, even where servers report no
        pace.
    :param others_per_slot: moving average of the requests of other instances per slot;
        ``deviation_per_slot`` of their distance from it.
    :param reports: number of reports.
    :param paces: latest paces that any server reported.
    :param pace_reported_at: time of the last of these.
    """

    is_requested: bool = False
    others_per_slot: float = 0.0
    deviation_per_slot: float = 0.0
    reports: int = 0
    paces: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=USUAL_PACES_MAX)
    )
    pace_reported_at: float = -math.inf

    def record(self, now: float, load: header_fields.ServerLoad, others: int, slots: int) -> None:
        """Records a report of any server of the service.

        :param others: requests of other instances among those reported.
        :param slots: slots of the server.
        """
        self.reports += 1
        weight = max(USUAL_WEIGHT, 1 / self.reports)
        difference = others / slots - self.others_per_slot
        self.others_per_slot += weight * difference
        self.deviation_per_slot += weight * (abs(difference) - self.deviation_per_slot)
        if load.pace is not None:
            self.paces.append(load.pace)
            self.pace_reported_at = now

    def reports_pace(self, now: float) -> bool:
        """Returns whether any server of the service reports its pace."""
        return now < self.pace_reported_at + server_pace.PACE_REPORTING_S


class ServiceLoads:
    """Usual loads by service.

    :param is_requested: whether the settings ask for the estimate everywhere.
    """

    def __init__(self, is_requested: bool = False) -> None:
        self._is_requested = is_requested
        self._loads: dict[ids.ServiceName, ServiceLoad] = {}

    def apply_setting(self, is_requested: bool) -> None:
        """Applies a changed setting and keeps what servers reported."""
        self._is_requested = is_requested
        for load in self._loads.values():
            load.is_requested = is_requested

    def find(self, service: ids.ServiceName) -> ServiceLoad:
        """Returns the usual load of a service."""
        load = self._loads.get(service)
        if load is None:
            load = self._loads[service] = ServiceLoad(self._is_requested)
        return load


def compute_weight(age_s: float) -> float:
    """Returns the weight of a report by its age in seconds."""
    return math.exp(-max(0.0, age_s) / REPORT_WEIGHT_S)
