"""Requests that wait at an instance for capacity of one service, and which one is tried next."""

import dataclasses
import itertools

from caperdyke.coordination.placement import team_shares

# Part of its objective for which a request may wait without the prospect of a response in time.
UNEXPECTED_WAIT_RATIO = 0.125
# Requests that are tried without success for one response. Each asks for another server, so the
# first that finds none says little about the next; and each costs a selection.
FAILED_TRIES_MAX = 3


@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for capacity.

    :param deadline: time after which the response is useless.
    :param latest_start: time until which it must be sent to meet its objective.
    :param unexpected_until: time until which it may wait without the prospect of that.
    :param must_yield: whether its team is above its fair share.
    """

    claim: team_shares.Claim
    deadline: float
    latest_start: float
    unexpected_until: float
    must_yield: bool = False
    serial: int = 0

    @property
    def order(self) -> tuple[int, bool, float, int]:
        """Sort key: rank, team, and deadline.

        A returned request comes before a new one of its route as less of its caller's time is left.
        """
        return self.claim.rank, self.must_yield, self.deadline, self.serial


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """The request waits.

    :param until: time at which it is rejected without capacity.
    :param retry_at: time at which capacity is expected.
    """

    until: float
    retry_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """The request is rejected at once.

    :param cause: for the log.
    """

    cause: str


Decision = Hold | Reject


def decide(now: float, request: WaitingRequest, expected_s: float | None, is_new: bool) -> Decision:
    """Returns whether a request that finds no capacity waits for it at this instance.

    Pattern: a burst of half a second exceeds the capacity, and callers that are rejected come back
    once, together. Waiting for the next slot serves them in time. In a lasting overload, a request
    that gets its slot too late only delays those that would be in time, so it is rejected while its
    caller can still come back.

    :param expected_s: seconds until capacity is expected; None if nothing is known of it.
    :param is_new: whether the request has not waited yet.
    """
    if now >= min(request.latest_start, request.deadline):
        return Reject("the objective cannot be met")
    latest = min(request.latest_start, request.deadline)
    if expected_s is not None and now + expected_s <= latest:
        return Hold(latest, now + expected_s)
    if is_new and expected_s is not None:
        return Reject("capacity is expected too late")
    # Nothing is known, or the estimate became worse while the request waited.
    until = min(latest, request.unexpected_until)
    if now >= until:
        return Reject("no capacity came in time")
    return Hold(until, until)


class WaitingQueue:
    """A bounded queue, in the order in which requests get capacity."""

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []
        self._serials = itertools.count(1)
        self._tried: set[int] = set()
        self._tries_left = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: WaitingRequest) -> bool:
        return request in self._waiting

    def offer(self, request: WaitingRequest, size_max: int) -> WaitingRequest | None:
        """Adds a request; returns the one that is rejected if the queue is full.

        Pattern: a long overload by less urgent requests has filled the queue when urgent ones come.

        :param size_max: number of requests that may wait.
        """
        request.serial = next(self._serials)
        self._waiting.append(request)
        if len(self._waiting) <= size_max:
            return None
        last = max(self._waiting, key=lambda item: item.order)
        self._waiting.remove(last)
        return last

    def remove(self, request: WaitingRequest) -> None:
        """Removes a request, whether or not it still waits."""
        if request in self._waiting:
            self._waiting.remove(request)

    def count_ahead(self, request: WaitingRequest) -> int:
        """Returns how many waiting requests get capacity before another one."""
        order = request.order
        return sum(item.order < order for item in self._waiting)

    def is_preceded(self, claim: team_shares.Claim, must_yield: bool, deadline: float) -> bool:
        """Returns whether a waiting request gets capacity before one with these properties.

        Such a request may take a free slot that no waiting one can use, but may not wait at a
        server: it has more time left than those here, and would always find a place there first.
        """
        order = (claim.rank, must_yield, deadline, 0)
        return any(item.order < order for item in self._waiting)

    def start_round(self) -> None:
        """Lets all waiting requests be tried again, since a response has arrived."""
        self._tried.clear()
        self._tries_left = FAILED_TRIES_MAX

    def record_failed_try(self) -> None:
        """Records that the request that was tried has found no capacity."""
        self._tries_left -= 1

    def find_next(self) -> WaitingRequest | None:
        """Returns the request that is tried next in this round, or None if the round is over."""
        if self._tries_left <= 0:
            return None
        untried = [item for item in self._waiting if item.serial not in self._tried]
        if not untried:
            return None
        first = min(untried, key=lambda item: item.order)
        self._tried.add(first.serial)
        return first
