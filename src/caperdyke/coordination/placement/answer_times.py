"""Expected times of a request on one backend server."""

import dataclasses

from caperdyke.coordination.placement import processing_times, server_view
from caperdyke.state import ids

# Assumed probability that an object is warm on its first and its second home, as long as this
# instance has had no answer for it from there.
WARM_PROBABILITIES = (0.85, 0.3)
# Probability from which on a server is treated as warm; also assumed for requests without a key.
WARM_PROBABILITY_MIN = 0.3
# When a request is overdue, which makes a server that sent nothing since count as unresponsive: a
# multiple of the expected time of a cold run, waiting included, and its lower bound.
UNRESPONSIVE_FACTOR = 3.0
UNRESPONSIVE_MIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTimes:
    """Expected times of a request on one server, in seconds.

    :param outstanding: estimated requests of all instances at the server.
    :param wait_s: time until a slot is free.
    :param processing_s: time for which the server works on the request.
    :param round_trip: network round-trip time.
    :param due_at: time from which on the request is overdue, with allowance for a cold run.
    :param p_warm: probability that the object is warm on the server.
    :param is_queued: whether the request is expected to wait for a slot.
    :param excess_s: time by which the queue exceeds the free slots; negative if some are free.
    :param uncertainty_s: by how much ``excess_s`` may differ because the load is not known.
    :param is_load_recent: whether the server reported its load within the time that a request
        takes.
    """

    outstanding: float
    wait_s: float
    processing_s: float
    round_trip: float
    due_at: float
    p_warm: float
    is_queued: bool
    excess_s: float
    uncertainty_s: float
    is_load_recent: bool

    @property
    def answer_s(self) -> float:
        """Expected time until the complete answer."""
        return self.wait_s + self.processing_s + self.round_trip

    @property
    def is_warm(self) -> bool:
        """Whether the object is expected to be warm on the server."""
        return self.p_warm >= WARM_PROBABILITY_MIN


def estimate(
    now: float,
    view: server_view.ServerView,
    key: ids.ObjectKey,
    rank: int,
    round_trip: float,
    times: processing_times.ProcessingTime,
    is_regional_home: bool = False,
) -> AnswerTimes:
    """Returns the expected times of a request on one server.

    Pattern: servers are slow for good, or because work takes longer on their machine for a while.
    The first is measured and the second reported, and both multiply the usual times.

    :param key: object that the request concerns; empty if there is none.
    :param rank: rank of the server for the object, from 0.
    :param round_trip: network round-trip time in seconds.
    :param is_regional_home: whether the server is the object's home in another region.
    """
    p_warm = estimate_warm_probability(now, view, key, rank, is_regional_home)
    factor = view.slowdown * view.pace.estimate(now)
    processing_s = factor * (p_warm * times.warm + (1 - p_warm) * times.cold)
    oldest_sent_at = view.find_oldest_send_time(now)
    if oldest_sent_at is not None:
        # The age of the oldest pending request reveals a slow server before its first slow answer.
        processing_s = max(processing_s, now - oldest_sent_at - times.cold)
    slots = view.server.slots
    outstanding = view.estimate_outstanding(now)
    excess = outstanding + 1 - slots
    wait_s = max(0, excess) / slots * factor * times.mean
    worst_case_s = wait_s + factor * times.cold + round_trip
    due_at = now + max(UNRESPONSIVE_MIN_S, UNRESPONSIVE_FACTOR * worst_case_s)
    # An estimate between reports may be a fraction, so it is rounded.
    is_queued = outstanding + 0.5 > slots
    return AnswerTimes(
        outstanding,
        wait_s,
        processing_s,
        round_trip,
        due_at,
        p_warm,
        is_queued,
        excess / slots * factor * times.mean,
        view.estimate_load_uncertainty(now) / slots * factor * times.mean,
        now - view.load_reported_at <= times.mean,
    )


def estimate_warm_probability(
    now: float,
    view: server_view.ServerView,
    key: ids.ObjectKey,
    rank: int,
    is_regional_home: bool = False,
) -> float:
    """Returns the probability that an object is warm on a server.

    :param key: the object; empty if the request concerns none.
    :param rank: rank of the server for the object, from 0.
    """
    if not key:
        return WARM_PROBABILITY_MIN
    if view.is_warm(now, key):
        return 1.0
    if is_regional_home:
        return WARM_PROBABILITIES[0]
    return WARM_PROBABILITIES[rank] if rank < len(WARM_PROBABILITIES) else 0.0
