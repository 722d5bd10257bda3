"""What this instance has observed of a backend server: load, warm objects, speed and failures."""

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics

from caperdyke.coordination.placement import load_estimate, server_pace
from caperdyke.state import backend, header_fields, ids, name_hashes

# Objects that are recorded as warm on one server; more than any server is known to keep warm.
WARM_OBJECTS_MAX = 64
# How long an object counts as warm after its last answer.
WARM_S = 30.0
# Weight of the newest observation in the moving averages.
EWMA_WEIGHT = 0.2
# Bounds of the estimated slowdown, relative to the usual processing time of the service.
SLOWDOWN_MIN = 0.5
SLOWDOWN_MAX = 20.0
# Answers whose median is the slowdown of a server that reports its pace. If 3 of 100 runs take
# seven times as long, 5 of 9 do so about 3 times in a million.
SLOWDOWN_ANSWERS = 9
# How far the failure ratio of a server may exceed that of its service before the server is avoided,
# and for how long it is avoided.
EXCESS_FAILURE_RATIO = 0.35
AVOIDANCE_S = 2.0
# How long no connection is opened after the server refused one or did not answer. The time doubles
# with each further failure, up to the maximum.
SUSPENSION_MIN_S = 0.5
SUSPENSION_MAX_S = 4.0
# How long the load that the server reported is used; its requests take about as long.
REPORTED_LOAD_S = 0.25


class ServerStatus(enum.Enum):
    """Whether a server may be selected, and why not."""

    OPEN = "open"
    AVOIDED = "avoided"
    SUSPENDED = "suspended"
    UNRESPONSIVE = "unresponsive"


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PendingRequest:
    """A request in flight.

    :param sent_at: time at which it was sent.
    :param due_at: time from which on it is overdue, with allowance for a cold run.
    """

    sent_at: float
    due_at: float


@dataclasses.dataclass(slots=True)
class ServerView:
    """Observations of one backend server.

    :param in_flight: number of requests of this instance in flight.
    :param others: number of requests of other instances in flight, as last reported.
    :param slowdown: moving average of the processing time, as a multiple of what the service
        usually takes.
    :param failure_ratio: moving average of failed (1) and good (0) answers.
    :param avoided_until: time until which the server is avoided for its failures.
    :param suspended_until: time until which no connection is opened.
    :param connect_failures: failures to connect since the last good answer.
    :param load_reported_at: time at which the server last reported its load.
    :param reported_others: requests of other instances by that report.
    :param service_load: what the servers of the same service usually report.
    :param last_activity_at: time at which the server last sent anything.
    :param pending: requests of this instance in flight, the oldest first.
    :param warm_until: time until which each object counts as warm; the latest answer comes last.
    :param name_hash: hash of the server's name, as used in announcements.
    :param pace: how long work takes on the server's machine, as last reported.
    :param recent_times: times of the latest answers as multiples of the expected times, where the
        server reports its pace.
    :param slowdown_measured_at: time of the latest answer that changed the slowdown.
    """

    server: backend.BackendServer
    in_flight: int = 0
    others: int = 0
    slowdown: float = 1.0
    failure_ratio: float = 0.0
    avoided_until: float = 0.0
    suspended_until: float = 0.0
    connect_failures: int = 0
    load_reported_at: float = 0.0
    reported_others: int | None = None
    service_load: load_estimate.ServiceLoad = dataclasses.field(
        default_factory=load_estimate.ServiceLoad
    )
    last_activity_at: float = -math.inf
    pending: collections.deque[PendingRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    warm_until: collections.OrderedDict[ids.ObjectKey, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    name_hash: int = 0
    pace: server_pace.ServerPace = dataclasses.field(default_factory=server_pace.ServerPace)
    recent_times: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque([1.0] * SLOWDOWN_ANSWERS, SLOWDOWN_ANSWERS)
    )
    slowdown_measured_at: float = -math.inf

    def __post_init__(self) -> None:
        self.name_hash = name_hashes.hash_name(self.server.backend)

    @property
    def outstanding(self) -> int:
        """Number of requests of all instances in flight, as far as reported."""
        return self.in_flight + self.others

    def is_load_blended(self, now: float) -> bool:
        """Returns whether the load between reports is estimated from the usual load."""
        if self.service_load.is_requested or self.pace.is_reported(now):
            return True
        return self.reported_others is None and self.service_load.reports_pace(now)

    def estimate_outstanding(self, now: float) -> float:
        """Returns the estimated number of requests of all instances at the server.

        Pattern: see ``load_estimate.ServiceLoad``. What this instance sent is known; the rest is
        what the server reported, and the older that is, the more what its service usually reports.
        """
        if not self.is_load_blended(now):
            return self.outstanding
        usual = self.service_load.estimate_others(now, self.server)
        weight = self._compute_report_weight(now)
        return self.in_flight + usual + weight * ((self.reported_others or 0) - usual)

    def estimate_load_uncertainty(self, now: float) -> float:
        """Returns by how many requests ``estimate_outstanding`` is expected to differ."""
        if not self.is_load_blended(now):
            return 0.0
        usual_deviation = self.service_load.deviation_per_slot * self.server.slots
        return (1 - self._compute_report_weight(now)) * usual_deviation

    def list_usual_paces(self) -> collections.abc.Sequence[float]:
        """Returns the paces that stand for that of a server without a report."""
        return self.service_load.usual_paces

    def record_load_report(self, now: float, load: header_fields.ServerLoad) -> None:
        """Records the load and the pace that an answer of the server reports."""
        self.record_reported_load(now, load.running + load.waiting)
        if load.pace is not None:
            self.pace.record(now, load.pace)
        self.service_load.record(now, self.server, load, self.others)

    def record_reported_load(self, now: float, load: int) -> None:
        """Records the load that the server reported.

        :param load: requests of all instances, this one included.
        """
        self.others = self.reported_others = max(0, load - self.in_flight)
        self.load_reported_at = now

    def record_remote_load(self, now: float, load: int) -> None:
        """Records the load that other instances announced.

        It is ignored while the load that the server reported is recent.

        :param load: requests of the other instances.
        """
        if now >= self.load_reported_at + REPORTED_LOAD_S:
            self.others = load

    def is_warm(self, now: float, key: ids.ObjectKey) -> bool:
        """Returns whether the server recently answered for an object."""
        return self.warm_until.get(key, 0.0) > now

    def record_send(self, now: float, due_at: float = math.inf) -> PendingRequest:
        """Counts a request that is about to be sent.

        :param due_at: time from which on the request is overdue.
        """
        pending = PendingRequest(now, due_at)
        self.in_flight += 1
        self.pending.append(pending)
        return pending

    def record_end(self, pending: PendingRequest) -> None:
        """Counts the end of a request, whatever its outcome."""
        self.in_flight -= 1
        self.pending.remove(pending)

    def record_activity(self, now: float) -> None:
        """Records that the server sent something, whatever it is."""
        self.last_activity_at = now

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether the server seems to have stopped responding.

        Pattern: a server loses power, or its connections stall without a reset. Requests pile up
        there until their deadlines, although nothing was received since the oldest was sent. The
        server gets no new requests. Those in flight are not given up, as it may be processing them.
        """
        if not self.pending:
            return False
        oldest = self.pending[0]
        return now >= oldest.due_at and self.last_activity_at < oldest.sent_at

    def find_status(self, now: float) -> ServerStatus:
        """Returns whether the server may be selected, and why not."""
        if now < self.suspended_until:
            return ServerStatus.SUSPENDED
        if now < self.avoided_until:
            return ServerStatus.AVOIDED
        if self.is_unresponsive(now):
            return ServerStatus.UNRESPONSIVE
        return ServerStatus.OPEN

    def record_answer(self, now: float, key: ids.ObjectKey, relative_time: float | None) -> None:
        """Records a good answer.

        :param key: the object that the answer concerns; empty if there is none.
        :param relative_time: time of the answer as a multiple of the expected time, without the
            reported pace; None if the request waited for a slot.
        """
        self.connect_failures = 0
        self._record_outcome(0.0)
        if relative_time is not None:
            self._record_relative_time(now, relative_time)
        if key:
            self.warm_until[key] = now + WARM_S
            self.warm_until.move_to_end(key)
            if len(self.warm_until) > WARM_OBJECTS_MAX:
                self.warm_until.popitem(last=False)

    def record_failure(self, now: float, service_failure_ratio: float) -> bool:
        """Records a failed answer.

        Pattern: all servers of a service fail a part of their requests. Avoiding those that failed
        last would only overload the others, so a server is compared with its service.

        :param service_failure_ratio: failure ratio of the whole service.
        :returns: whether the server is avoided from now on.
        """
        self._record_outcome(1.0)
        threshold = EXCESS_FAILURE_RATIO + service_failure_ratio
        if self.failure_ratio <= threshold or now < self.avoided_until:
            return False
        self.avoided_until = now + AVOIDANCE_S
        # After the pause one more failure is enough to avoid the server again, but one good answer
        # is not enough to clear its record.
        self.failure_ratio = threshold
        return True

    def record_unreachable(self, now: float) -> None:
        """Records that a connection was refused or did not open in time."""
        suspension_s = min(SUSPENSION_MAX_S, SUSPENSION_MIN_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.suspended_until = now + suspension_s

    def clear_failures(self) -> None:
        """Discards failures whose cause was the path of this instance, not the server."""
        self.avoided_until = 0.0
        self.suspended_until = 0.0
        self.connect_failures = 0

    def reset(self) -> None:
        """Discards all observations that do not apply to a server that was restarted."""
        self.slowdown = 1.0
        self.recent_times.extend([1.0] * SLOWDOWN_ANSWERS)
        self.pace.clear()
        self.reported_others = None
        self.failure_ratio = 0.0
        self.clear_failures()
        self.warm_until.clear()

    def find_oldest_send_time(self, now: float) -> float | None:
        """Returns when the oldest request in flight was sent, or None if there is none.

        Pattern: one of many runs takes seven times as long, and the server has answered others
        since. Where servers report their pace, such a single run is left out.
        """
        if not self.pending:
            return None
        oldest = self.pending[0]
        if self.pace.is_reported(now) and self.last_activity_at >= oldest.sent_at:
            return self.pending[1].sent_at if len(self.pending) > 1 else None
        return oldest.sent_at

    def _compute_report_weight(self, now: float) -> float:
        if self.reported_others is None:
            return 0.0
        return load_estimate.compute_weight(now - self.load_reported_at)

    def _record_relative_time(self, now: float, relative_time: float) -> None:
        """Updates the slowdown.

        Pattern: 3 of 100 runs take seven times as long. A moving average would make a server look
        twice as slow after one of them; the median does not change.
        """
        if self.pace.is_reported(now):
            self.recent_times.append(relative_time)
            self.slowdown = statistics.median(self.recent_times)
        else:
            self.slowdown += EWMA_WEIGHT * (relative_time - self.slowdown)
        self.slowdown = min(SLOWDOWN_MAX, max(SLOWDOWN_MIN, self.slowdown))
        self.slowdown_measured_at = now

    def _record_outcome(self, outcome: float) -> None:
        self.failure_ratio += EWMA_WEIGHT * (outcome - self.failure_ratio)
