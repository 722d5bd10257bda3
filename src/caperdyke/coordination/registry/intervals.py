"""Decides how often an instance announces itself, and calls a store that is away."""

# Shortest interval between two announcements to an instance of the same region, and to any other,
# in seconds: instances of a region share the homes of its objects, and with them the need to know
# each other's load within the time of a request.
NEAR_INTERVAL_SECONDS = 0.15
FAR_SECONDS = 0.8
# Bytes a second that announcements to instances of the region, and to all others, may take: the
# bound for control traffic of one node, less what follows the store and answers look-ups.
NEAR_BYTES_PER_SECOND = 1900
FAR_BYTES_PER_SECOND = 700
# Interval between two tries while the store is away, in seconds: the first, and the longest, which
# keeps the calls of 750 instances for two tables under the 2,000 a second that the store serves.
AWAY_FIRST_SECONDS = 0.4
AWAY_MAX_SECONDS = 0.9
# Part of the interval by which tries are spread, so that instances do not call at one moment.
AWAY_SPREAD = 0.25


def compute_interval(is_near: bool, count: int, size: int) -> float:
    """Returns the seconds until the next announcement to an instance.

    Pattern: the fleet grows, and what each instance sends must not grow with it.

    :param is_near: whether the receiver is in the sender's region.
    :param count: other instances in that region, or in all others.
    :param size: bytes of one announcement on the wire.
    """
    if is_near:
        return max(NEAR_INTERVAL_SECONDS, count * size / NEAR_BYTES_PER_SECOND)
    return max(FAR_SECONDS, count * size / FAR_BYTES_PER_SECOND)


def compute_retry_delay(failures: int, random_part: float) -> float:
    """Returns the seconds until the next try to reach the store.

    Pattern: the store goes away for all instances at once, and comes back for all of them.

    :param failures: tries in a row that failed.
    :param random_part: a random number from 0 to 1.
    """
    delay = min(AWAY_MAX_SECONDS, AWAY_FIRST_SECONDS * 2 ** max(0, failures - 1))
    return delay * (1 + AWAY_SPREAD * (2 * random_part - 1))
