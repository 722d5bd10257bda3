"""Decides whose turn it is to read the registrations from the store."""

import collections.abc
import math
import random

# Part of the interval between two readings after which an instance may read next, at least. The
# instances of a failure domain draw from here on, so that mostly one of them reads.
TURN_PART_MIN = 0.6


class ReadSchedule:
    """The turns of one instance.

    Pattern: the fleet grows, and calls of the store must not grow with it. Whoever reads tells its
    failure domain at once, and the others put their own reading off. There is no reader to lose: if
    one dies, is cut off or turned away by the store, the next turn is another's, and nobody goes by
    a reading that is older than the interval.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._latest = -math.inf
        self._part = 0.0

    def compute_read_time(
        self, own_at: float, heard_at: collections.abc.Sequence[float], interval: float
    ) -> float:
        """Returns the time at which the instance reads unless it hears of a reading before.

        :param own_at: time of the own latest reading.
        :param heard_at: times of the latest readings of the other instances of the failure domain.
        :param interval: longest time between two readings that an instance goes by, in seconds.
        """
        latest = max((own_at, *heard_at))
        if latest != self._latest:
            self._latest = latest
            self._part = _draw_part(self._chance, 1 + len(heard_at))
        return latest + interval * (TURN_PART_MIN + (1 - TURN_PART_MIN) * self._part)


def _draw_part(chance: random.Random, count: int) -> float:
    """Returns the part of the drawn time after which an instance takes its turn, 0 to 1.

    Early turns are rare by a logarithm of the count, so that about one instance takes one before
    the others have heard of it, however many there are.
    """
    steepness = 1 + math.log(count)
    return max(0.0, 1 + math.log(1 - chance.random()) / steepness)
