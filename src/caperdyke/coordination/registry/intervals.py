"""Decides how often an instance tells others that it lives, and what it has in flight."""

# Shortest interval between two announcements to an instance of the same region, and to any other,
# in seconds: instances of a region share the homes of its objects, and with them the need to know
# each other's load within the time of a request.
NEAR_SECONDS = 0.15
FAR_SECONDS = 0.8
# Bytes a second that announcements to instances of the region, and to all others, may take: the
# bound for control traffic of one node, less what follows the store and answers look-ups.
NEAR_BYTES_PER_SECOND = 1900
FAR_BYTES_PER_SECOND = 700


def find_interval(is_near: bool, count: int, size: int) -> float:
    """Returns the seconds until the next announcement to an instance.

    Pattern: the fleet grows, and what each instance sends must not grow with it.

    :param is_near: whether the receiver is in the sender's region.
    :param count: other instances in that region, or in all others.
    :param size: bytes of one announcement on the wire.
    """
    if is_near:
        return max(NEAR_SECONDS, count * size / NEAR_BYTES_PER_SECOND)
    return max(FAR_SECONDS, count * size / FAR_BYTES_PER_SECOND)
