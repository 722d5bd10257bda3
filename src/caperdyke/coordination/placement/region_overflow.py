"""Bounds the requests that leave their region for an object's home in another one."""

import collections

# Window over which requests are counted, in seconds.
WINDOW_S = 2.0
# Requests in the window from which on the bound applies; of fewer, none leave.
REQUESTS_MIN = 8


class RegionOverflow:
    """Counts the requests of this instance, and those that left the region while others had room.

    Pattern: a wave of demand reaches one region after the other, and the servers of the next region
    are idle and warm for the same objects. Requests that queue here would be answered sooner there.
    If all left at once, the next region would fill up and send its own requests on, so only a part
    may leave. As the part is bounded, its start and its end change no region's load by more.

    :param ratio_max: largest part of the requests that may leave, 0 to 1.
    """

    def __init__(self, ratio_max: float) -> None:
        self.ratio_max = ratio_max
        # Time of each request, and whether it left.
        self._requests: collections.deque[tuple[float, bool]] = collections.deque()
        self._left = 0

    def record(self, now: float, has_left: bool) -> None:
        """Counts a request that was placed."""
        self._requests.append((now, has_left))
        self._left += has_left
        self._drop_expired(now)

    def allows(self, now: float) -> bool:
        """Returns whether one more request may leave the region."""
        self._drop_expired(now)
        count = len(self._requests)
        return count >= REQUESTS_MIN and self._left + 1 <= self.ratio_max * (count + 1)

    def _drop_expired(self, now: float) -> None:
        while self._requests and self._requests[0][0] <= now - WINDOW_S:
            _sent_at, has_left = self._requests.popleft()
            self._left -= has_left
