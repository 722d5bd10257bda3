"""Decides whether registrations may have lapsed while the store was unavailable."""

import collections.abc
import itertools
import math

# Intervals between two heartbeats of a backend server after which the store removes its
# registration.
LAPSE_HEARTBEATS = 3


def compute_outage(
    started_at: float,
    ended_at: float,
    answered_at: collections.abc.Iterable[float],
    read_seconds: float,
    running_since: float = -math.inf,
) -> float:
    """Returns the longest time for which the store may have been unavailable, in seconds.

    Pattern: a single call of an instance fails, or the store turns away some instances, while
    servers go on writing their registrations. Or this instance is paused, and its calls end without
    having waited for an answer; the time up to the end of the pause shows nothing about the store.

    :param started_at: start of the first call of this instance that failed; minus infinity for a
        new era of the store.
    :param ended_at: time of the answer that ended the outage.
    :param answered_at: times at which the store is known to have answered this or other instances.
    :param read_seconds: longest interval between two calls, by which the outage may have begun
        before the first call that failed.
    :param running_since: end of the latest pause of this instance.
    :returns: infinity for a new era.
    """
    if started_at == -math.inf:
        return math.inf
    times = [at for at in answered_at if at < ended_at]
    began_at = max([started_at - read_seconds, *(at for at in times if at <= started_at)])
    began_at = min(max(began_at, running_since), ended_at)
    times = sorted([began_at, *(at for at in times if at > began_at), ended_at])
    return max(later - earlier for earlier, later in itertools.pairwise(times))


def may_have_lapsed(outage_seconds: float, heartbeat_seconds: float) -> bool:
    """Returns whether registrations of live servers may have lapsed in an outage.

    A registration that is missing after a shorter one was removed because its server left.

    :param outage_seconds: longest time for which the store may have been unavailable.
    :param heartbeat_seconds: interval between two heartbeats of a server.
    """
    # The last heartbeat before the outage may be one interval old.
    return outage_seconds >= (LAPSE_HEARTBEATS - 1) * heartbeat_seconds
