"""Decides whether registrations may have lapsed while the store was unavailable."""

import collections.abc
import itertools

# Intervals between two heartbeats of a backend server after which the store removes its
# registration.
LAPSE_HEARTBEATS = 3


def may_have_lapsed(
    started_at: float,
    ended_at: float,
    answered_at: collections.abc.Iterable[float],
    heartbeat_seconds: float,
    read_seconds: float,
) -> bool:
    """Returns whether registrations of live servers may have lapsed in an outage.

    Pattern: a single call of an instance fails, or the store turns away some instances, while
    servers go on writing their registrations. A registration that is missing afterwards was removed
    because its server left. Only an outage in which a server missed so many heartbeats can explain
    a missing registration otherwise.

    :param started_at: start of the first call of this instance that failed.
    :param ended_at: time of the answer that ended the outage.
    :param answered_at: times at which the store answered other instances.
    :param heartbeat_seconds: interval between two heartbeats of a server.
    :param read_seconds: longest interval between two calls, by which the outage may have begun
        before the first call that failed.
    """
    times = [started_at, *(at for at in answered_at if started_at < at < ended_at), ended_at]
    times.sort()
    longest = max(later - earlier for earlier, later in itertools.pairwise(times))
    # The last heartbeat before the outage may be one interval old.
    return longest + read_seconds >= (LAPSE_HEARTBEATS - 1) * heartbeat_seconds
