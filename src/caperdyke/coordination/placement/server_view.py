"""One backend server as this instance sees it: load, warmth, speed and failures."""

import collections
import dataclasses

from caperdyke.state import backend, ids

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


@dataclasses.dataclass(slots=True)
class ServerView:
    """Observations of one backend server.

    :param in_flight: requests of this instance that are under way.
    :param others: requests of other instances that are under way, as far as known.
    :param counted_at: time of the server's own latest count.
    :param speed: time that the server takes, as a multiple of what its service usually takes.
    :param failing: part of the latest answers that failed.
    :param avoided_until: time until which the server gets no work of its own account.
    :param suspended_until: time until which no connection is opened.
    """

    server: backend.BackendServer
    in_flight: int = 0
    others: int = 0
    speed: float = 1.0
    failing: float = 0.0
    avoided_until: float = 0.0
    suspended_until: float = 0.0
    connect_failures: int = 0
    counted_at: float = 0.0
    sent_at: collections.deque[float] = dataclasses.field(default_factory=collections.deque)
    warm_until: collections.OrderedDict[ids.ObjectKey, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    @property
    def busy(self) -> int:
        """Requests of all instances that are under way, as far as known."""
        return self.in_flight + self.others

    def note_load(self, now: float, load: int) -> None:
        """Learns the server's own count of its requests, this instance's included."""
        self.others = max(0, load - self.in_flight)
        self.counted_at = now

    def note_others(self, now: float, load: int) -> None:
        """Learns what other instances tell; the server's own count goes first while it is new."""
        if now >= self.counted_at + COUNT_SECONDS:
            self.others = load

    def is_warm(self, now: float, key: ids.ObjectKey) -> bool:
        """Tells whether the server answered for an object lately."""
        return self.warm_until.get(key, 0.0) > now

    def note_send(self, now: float) -> None:
        """Counts a request that is about to be sent."""
        self.in_flight += 1
        self.sent_at.append(now)

    def note_end(self, sent_at: float) -> None:
        """Counts the end of a request, however it ended."""
        self.in_flight -= 1
        self.sent_at.remove(sent_at)

    def note_answer(self, now: float, key: ids.ObjectKey, ratio: float | None) -> None:
        """Learns from an answer.

        :param ratio: time that it took, as a multiple of what was expected; None where it waited.
        """
        self.connect_failures = 0
        self._note_outcome(0.0)
        if ratio is not None:
            self.speed += NEW_WEIGHT * (ratio - self.speed)
            self.speed = min(SPEED_MAX, max(SPEED_MIN, self.speed))
        if key:
            self.warm_until[key] = now + WARM_SECONDS
            self.warm_until.move_to_end(key)
            if len(self.warm_until) > OBJECTS_MAX:
                self.warm_until.popitem(last=False)

    def note_failure(self, now: float, usual: float) -> bool:
        """Learns from a failed answer; tells whether the server is avoided from now on.

        Pattern: all servers of a service fail a part of their requests, so that avoiding those
        that failed last only fills the others.

        :param usual: failed part of the answers of all servers of the service.
        """
        self._note_outcome(1.0)
        limit = FAILING_PART + usual
        if self.failing <= limit or now < self.avoided_until:
            return False
        self.avoided_until = now + AVOID_SECONDS
        # After the pause one more failure is enough, one good answer is not.
        self.failing = limit
        return True

    def note_unreachable(self, now: float) -> None:
        """Learns that a connection was refused or did not open in time."""
        pause = min(SUSPEND_MAX_SECONDS, SUSPEND_FIRST_SECONDS * 2**self.connect_failures)
        self.connect_failures += 1
        self.suspended_until = now + pause

    def reset(self) -> None:
        """Forgets everything that a new start of the server does not share with the last one."""
        self.speed = 1.0
        self.failing = 0.0
        self.avoided_until = 0.0
        self.suspended_until = 0.0
        self.connect_failures = 0
        self.warm_until.clear()

    def find_oldest(self) -> float | None:
        """Returns when the oldest request under way was sent, or None."""
        return self.sent_at[0] if self.sent_at else None

    def _note_outcome(self, failure: float) -> None:
        self.failing += NEW_WEIGHT * (failure - self.failing)
