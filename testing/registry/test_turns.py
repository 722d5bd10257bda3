"""How often the instances of a failure domain read the registrations."""

import math
import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import read_schedule

INTERVAL = 1.125
# Time until the others hear of a reading: one look of the announcer and the way.
TELL_SECONDS = 0.06
SECONDS = 120.0
# 1,500 calls in a day of 58 s for 67 instances in six failure domains, seven of them of each
# instance for its start and the configuration.
DAY_RATE = (1500 - 67 * 7) / 6 / 58
# A tenth of the 2,000 calls a second that the store serves, for nine failure domains of 84.
LARGEST_RATE = 2000 / 10 / 9


def play(count: int, seed: int, lost: float = 0.0, cut: int = 0) -> tuple[float, float]:
    """Replays the turns of one failure domain.

    :param lost: part of the announcements that do not arrive.
    :param cut: instances that hear nobody.
    :returns: readings a second, and the longest time between two that one instance went by.
    """
    chance = random.Random(seed)
    own = [-math.inf] * count
    heard = [[-math.inf] * count for _ in range(count)]
    drawn = [read_schedule.ReadSchedule(chance) for _ in range(count)]
    latest = [0.0] * count
    readings, longest, now = 0, 0.0, 0.0
    telling: list[tuple[float, int]] = []
    while now < SECONDS:
        now += 0.01
        for at, reader in [item for item in telling if item[0] <= now]:
            telling.remove((at, reader))
            for other in range(cut, count):
                if other != reader and reader >= cut and chance.random() >= lost:
                    heard[other][reader] = at - TELL_SECONDS
        for number in range(count):
            others = heard[number][:number] + heard[number][number + 1 :]
            if now >= drawn[number].compute_read_time(own[number], others, INTERVAL):
                own[number] = now
                telling.append((now + TELL_SECONDS, number))
                readings += 1
            known = max(own[number], *heard[number])
            longest = max(longest, now - max(latest[number], 0.0))
            latest[number] = max(latest[number], known)
    return readings / SECONDS, longest


class TurnsTest(testtools.TestCase):
    """One failure domain whose instances all start at once."""

    @parameterized.expand([("2", 2, DAY_RATE), ("11", 11, DAY_RATE), ("84", 84, LARGEST_RATE)])
    def test_readings_do_not_grow_with_the_fleet(self, _name, count, bound) -> None:
        rate, longest = play(count, 1)
        self.assertTrue(rate <= bound, f"got {rate:.2f} readings a second")
        self.assertTrue(longest <= INTERVAL + 2 * TELL_SECONDS, f"got {longest:.2f} s")

    def test_lost_announcements_make_no_reading_old(self) -> None:
        _, longest = play(11, 2, lost=0.1)
        self.assertTrue(longest <= INTERVAL + 2 * TELL_SECONDS, f"got {longest:.2f} s")

    def test_instances_that_hear_nobody_read_for_themselves(self) -> None:
        """Pattern: instances are cut off from all others and still reach the store."""
        _, longest = play(11, 3, cut=3)
        self.assertTrue(longest <= INTERVAL + 2 * TELL_SECONDS, f"got {longest:.2f} s")
