"""One backend server as this instance sees it: load, warmth, speed and failures."""

import collections
import dataclasses
import math

from caperdyke.state import backend, ids, name_hashes

# Objects that are remembered for one server; more than servers are known to keep warm.
OBJECTS_MAX = 64
# How long an object counts as warm after its last answer, in seconds.
WARM_SECONDS = 30.0
# Weight of the newest observation in running estimates.
NEW_WEIGHT = 0.2
# Bounds of the estimated speed, as a factor on the time that other servers of the service take.
SPEED_MIN = 0.5
SPEED_MAX = 20.0
# How much larger the failed part of the latest answers may be than that of the whole service before
# a server is avoided, and for how long, in seconds.
FAILING_PART = 0.35
AVOID_SECONDS = 2.0
# Time without a new connection after the server refused one or did not answer, in seconds; it
# doubles with each further failure.
SUSPEND_FIRST_SECONDS = 0.5
SUSPEND_MAX_SECONDS = 4.0
# How long the server's own count is used, in seconds; its requests take about as long.
COUNT_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PendingRequest:
    """A request that is under way.

    :param sent_at: time at which it was sent.
    :param due_at: time by which even a cold object should be answered.
    """

    sent_at: float
    due_at: float


@dataclasses.dataclass(slots=True)
class ServerView:
    """Observations of one backend server.

    :param in_flight: requests of this instance that are under way.
    :param others: requests of other instances that are under way, as far as known.
    :param counted_at: time of the server's own latest count.
    :param heard_at: time of the server's latest word of any kind.
    :param pending: requests of this instance that are under way, the oldest first.
    :param slowdown: time that the server takes, as a multiple of what its service usually takes.
    :param failure_ratio: part of the latest answers that failed.
    :param avoided_until: time until which the server gets no work of its own account.
    :param suspended_until: time until which no connection is opened.
    :param mark: mark of the server's name.
    """

    server: backend.BackendServer
    in_flight: int = 0
    others: int = 0
    slowdown: float = 1.0
    failure_ratio: float = 0.0
    avoided_until: float = 0.0
    suspended_until: float = 0.0
    connect_failures: int = 0
    counted_at: float = 0.0
    heard_at: float = -math.inf
    pending: collections.deque[PendingRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    warm_until: collections.OrderedDict[ids.ObjectKey, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    mark: int = 0

    def __post_init__(self) -> None:
        self.mark = name_hashes.hash_name(self.server.backend)

    @property
    def outstanding(self) -> int:
        """Requests of all instances that are under way, as far as known."""
        return self.in_flight + self.others

    def record_reported_load(self, now: float, load: int) -> None:
        """Learns the server's own count of its requests, this instance's included."""
        self.others = max(0, load - self.in_flight)
        self.counted_at = now

    def record_remote_load(self, now: float, load: int) -> None:
        """Learns what other instances tell; the server's own count goes first while it is new."""
        if now >= self.counted_at + COUNT_SECONDS:
            self.others = load

    def is_warm(self, now: float, key: ids.ObjectKey) -> bool:
        """Tells whether the server answered for an object lately."""
        return self.warm_until.get(key, 0.0) > now

    def record_send(self, now: float, due_at: float = math.inf) -> PendingRequest:
        """Counts a request that is about to be sent."""
        pending = PendingRequest(now, due_at)
        self.in_flight += 1
        self.pending.append(pending)
        return pending

    def record_end(self, pending: PendingRequest) -> None:
        """Counts the end of a request, however it ended."""
        self.in_flight -= 1
        self.pending.remove(pending)

    def record_activity(self, now: float) -> None:
        """Learns that the server answers, whatever it says."""
        self.heard_at = now

    def is_silent(self, now: float) -> bool:
        """Tells whether the server seems to have fallen silent.

        Pattern: servers lose power, or their connections go silent, without a reset. Requests pile
        up there until their deadlines, although nothing came back since the oldest was sent. No
        new ones go there; those under way are waited for, as the server may be at work on them.
        """
        if not self.pending:
            return False
        oldest = self.pending[0]
        return now >= oldest.due_at and self.heard_at < oldest.sent_at

    def record_answer(self, now: float, key: ids.ObjectKey, ratio: float | None) -> None:
        """Learns from an answer.

        :param ratio: time that it took, as a multiple of what was expected; None where it waited.
        """
        self.connect_failures = 0
        self._record_outcome(0.0)
        if ratio is not None:
            self.slowdown += NEW_WEIGHT * (ratio - self.slowdown)
            self.slowdown = min(SPEED_MAX, max(SPEED_MIN, self.slowdown))
        if key:
            self.warm_until[key] = now + WARM_SECONDS
            self.warm_until.move_to_end(key)
            if len(self.warm_until) > OBJECTS_MAX:
                self.warm_until.popitem(last=False)

    def record_failure(self, now: float, usual: float) -> bool:
        """Learns from a failed answer; tells whether the server is avoided from now on.

        Pattern: all servers of a service fail a part of their requests, so that avoiding those
        that failed last only fills the others.

        :param usual: failed part of the answers of all servers of the service.
        """
        self._record_outcome(1.0)
        limit = FAILING_PART + usual
        if self.failure_ratio <= limit or now < self.avoided_until:
            return False
        self.avoided_until = now + AVOID_SECONDS
        # After the pause one more failure is enough, one good answer is not.
        self.failure_ratio = limit
        return True

    def record_unreachable(self, now: float) -> None:
        """Learns that a connection was refused or did not open in time."""
        pause = min(SUSPEND_MAX_SECONDS, SUSPEND_FIRST_SECONDS * 2**self.connect_failures)
        self.connect_failures += 1
        self.suspended_until = now + pause

    def reset(self) -> None:
        """Forgets everything that a new start of the server does not share with the last one."""
        self.slowdown = 1.0
        self.failure_ratio = 0.0
        self.avoided_until = 0.0
        self.suspended_until = 0.0
        self.connect_failures = 0
        self.warm_until.clear()

    def find_oldest(self) -> float | None:
        """Returns when the oldest request under way was sent, or None."""
        return self.pending[0].sent_at if self.pending else None

    def _record_outcome(self, failure: float) -> None:
        self.failure_ratio += NEW_WEIGHT * (failure - self.failure_ratio)
