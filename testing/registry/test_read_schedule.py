"""Rate and age of the reads of the registrations by a failure domain."""

import math
import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import read_schedule

INTERVAL_SECONDS = 1.125
# Time until the others receive the announcement of a read: a tick of the announcer and the network
# latency.
ANNOUNCE_SECONDS = 0.06
DURATION_SECONDS = 120.0
# 1,500 calls in a simulated day of 58 s for 67 instances in six failure domains, of which each
# instance makes seven for its start and the configuration.
DAY_RATE = (1500 - 67 * 7) / 6 / 58
# A tenth of the 2,000 calls per second that the store serves, for nine failure domains of 84
# instances.
LARGEST_RATE = 2000 / 10 / 9


def simulate(
    count: int, seed: int, loss_ratio: float = 0.0, isolated: int = 0
) -> tuple[float, float]:
    """Simulates the reads of one failure domain.

    :param loss_ratio: fraction of the announcements that are lost.
    :param isolated: number of instances that receive no announcements and whose own are lost.
    :returns: reads per second, and the longest time between two reads, its own or announced, at
        any one instance, in seconds.
    """
    rng = random.Random(seed)
    own_reads_at = [-math.inf] * count
    announced_reads_at = [[-math.inf] * count for _ in range(count)]
    schedules = [read_schedule.ReadSchedule(rng) for _ in range(count)]
    previous_reads_at = [0.0] * count
    reads, longest, now = 0, 0.0, 0.0
    announcements: list[tuple[float, int]] = []
    while now < DURATION_SECONDS:
        now += 0.01
        for arrives_at, reader in [item for item in announcements if item[0] <= now]:
            announcements.remove((arrives_at, reader))
            for other in range(isolated, count):
                if other != reader and reader >= isolated and rng.random() >= loss_ratio:
                    announced_reads_at[other][reader] = arrives_at - ANNOUNCE_SECONDS
        for number in range(count):
            others = announced_reads_at[number][:number] + announced_reads_at[number][number + 1 :]
            if now >= schedules[number].compute_read_time(
                own_reads_at[number], others, INTERVAL_SECONDS
            ):
                own_reads_at[number] = now
                announcements.append((now + ANNOUNCE_SECONDS, number))
                reads += 1
            latest_read_at = max(own_reads_at[number], *announced_reads_at[number])
            longest = max(longest, now - max(previous_reads_at[number], 0.0))
            previous_reads_at[number] = max(previous_reads_at[number], latest_read_at)
    return reads / DURATION_SECONDS, longest


class ReadScheduleTest(testtools.TestCase):
    """One failure domain whose instances all start at the same time."""

    @parameterized.expand([("2", 2, DAY_RATE), ("11", 11, DAY_RATE), ("84", 84, LARGEST_RATE)])
    def test_read_rate_does_not_grow_with_the_fleet(self, _name, count, bound) -> None:
        rate, longest = simulate(count, 1)
        self.assertTrue(rate <= bound, f"got {rate:.2f} reads a second")
        self.assertTrue(longest <= INTERVAL_SECONDS + 2 * ANNOUNCE_SECONDS, f"got {longest:.2f} s")

    def test_reads_stay_recent_if_announcements_are_lost(self) -> None:
        _, longest = simulate(11, 2, loss_ratio=0.1)
        self.assertTrue(longest <= INTERVAL_SECONDS + 2 * ANNOUNCE_SECONDS, f"got {longest:.2f} s")

    def test_isolated_instances_read_for_themselves(self) -> None:
        """Pattern: instances are partitioned from all others but still reach the store."""
        _, longest = simulate(11, 3, isolated=3)
        self.assertTrue(longest <= INTERVAL_SECONDS + 2 * ANNOUNCE_SECONDS, f"got {longest:.2f} s")
