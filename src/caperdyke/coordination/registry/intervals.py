"""Intervals of announcements between instances, and of retries against an unreachable store."""

# Shortest interval between two announcements to an instance of the same region, and to one of
# another region. Instances of a region send requests to the same home servers of its objects, so
# they need each other's load within the duration of a request.
NEAR_INTERVAL_SECONDS = 0.15
FAR_INTERVAL_SECONDS = 0.8
# Bandwidth for announcements to instances of the same region, and to all others: the limit for the
# control traffic of one node, less the traffic for following the store and answering look-ups.
NEAR_BYTES_PER_SECOND = 1900
FAR_BYTES_PER_SECOND = 700
# First and longest delay between two calls to an unreachable store. The longest keeps the calls of
# 750 instances for two tables below the 2,000 calls a second that the store serves.
RETRY_FIRST_SECONDS = 0.4
RETRY_MAX_SECONDS = 0.9
# Jitter as a fraction of the delay, in both directions, so that instances do not call at the same
# moment.
RETRY_JITTER_RATIO = 0.25


def compute_interval(is_near: bool, receiver_count: int, size_bytes: int) -> float:
    """Returns the time until the next announcement to an instance, in seconds.

    Pattern: the fleet grows, and the announcement traffic of one instance must not grow with it.

    :param is_near: whether the receiver is in the sender's region.
    :param receiver_count: other instances in the sender's region, or instances in all other
        regions where the receiver is not near.
    :param size_bytes: bytes of one announcement on the wire, headers included.
    """
    if is_near:
        return max(NEAR_INTERVAL_SECONDS, receiver_count * size_bytes / NEAR_BYTES_PER_SECOND)
    return max(FAR_INTERVAL_SECONDS, receiver_count * size_bytes / FAR_BYTES_PER_SECOND)


def compute_retry_delay(failures: int, random_value: float) -> float:
    """Returns the delay before the next call to an unreachable store, in seconds.

    Pattern: the store becomes unreachable for all instances at once, and reachable for all of them
    at once. The delay doubles with each failure up to a limit, with jitter.

    :param failures: number of consecutive failed calls.
    :param random_value: a random number from 0 to 1.
    """
    delay = min(RETRY_MAX_SECONDS, RETRY_FIRST_SECONDS * 2 ** max(0, failures - 1))
    return delay * (1 + RETRY_JITTER_RATIO * (2 * random_value - 1))
