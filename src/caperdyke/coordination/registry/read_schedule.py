"""Schedules reads of the registrations so that one instance of a failure domain reads for all."""

import collections.abc
import math
import random

# Earliest time of the next read, as a fraction of the interval between two reads. From there to the
# end of the interval the instances of a failure domain draw a random time, so that usually only one
# of them reads.
READ_RATIO_MIN = 0.6


class ReadSchedule:
    """Read schedule of one instance.

    Pattern: the fleet grows, and the calls to the store must not grow with it. An instance that has
    read announces it to its failure domain at once, and the others postpone their own reads. There
    is no elected reader to lose: if an instance dies, is cut off or is refused by the store,
    another one reads next, and no instance uses a read that is older than the interval.

    :param rng: source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._latest_read_at = -math.inf
        self._drawn_ratio = 0.0

    def compute_read_time(
        self, own_read_at: float, peer_reads_at: collections.abc.Sequence[float], interval: float
    ) -> float:
        """Returns the time of the next read, in seconds, unless a peer announces a read before.

        :param own_read_at: time of this instance's latest read.
        :param peer_reads_at: times of the latest reads of the others in the failure domain.
        :param interval: longest time between two reads, in seconds.
        """
        latest_read_at = max((own_read_at, *peer_reads_at))
        if latest_read_at != self._latest_read_at:
            self._latest_read_at = latest_read_at
            self._drawn_ratio = _draw_ratio(self._rng, 1 + len(peer_reads_at))
        return latest_read_at + interval * (
            READ_RATIO_MIN + (1 - READ_RATIO_MIN) * self._drawn_ratio
        )


def _draw_ratio(rng: random.Random, count: int) -> float:
    """Draws the time of the next read as a fraction of the possible time, 0 to 1.

    Early values are rarer by the logarithm of the count, so that about one instance reads before
    the others have received its announcement, regardless of their number.

    :param count: number of instances in the failure domain, this one included.
    """
    steepness = 1 + math.log(count)
    return max(0.0, 1 + math.log(1 - rng.random()) / steepness)
