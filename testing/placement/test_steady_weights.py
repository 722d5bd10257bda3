"""How many objects change their server when servers are added or removed."""

import collections
import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import homes, steady_weights
from caperdyke.state import ids
from testing.placement import builders

# Objects may move at most this many times as often as the change of the servers' shares requires.
MOVED_RATIO_MAX = 1.2
SHARE_ERROR_MAX = 0.1
# Largest factor by which one far server of 16 may change the near weight.
WEIGHT_CHANGE_MAX = 1.25
REGIONS = ("north", "south", "east")
NORTH = homes.Locality(ids.DomainName(""), ids.RegionName("north"), False)
SIZES = [("16_servers", 16), ("133_servers", 133), ("2000_servers", 2000)]


def make_servers(count: int) -> list[homes.LocatedServer]:
    """Returns servers of 1 to 8 slots in three regions."""
    rng = random.Random(7)
    return [
        homes.LocatedServer(
            builders.make_server(f"s{number}", f"d{number % 3}", rng.randint(1, 8)),
            ids.RegionName(REGIONS[number % 3]),
        )
        for number in range(count)
    ]


def find_first_homes(
    keys: list[ids.ObjectKey], servers: list[homes.LocatedServer]
) -> list[ids.BackendId]:
    """Returns the first home of each object."""
    weight = steady_weights.compute_steady_near_weight(NORTH, servers, len(REGIONS))
    return [homes.rank_servers(key, NORTH, weight, servers)[0].server.backend for key in keys]


def compute_shares(servers: list[homes.LocatedServer]) -> dict[ids.BackendId, float]:
    """Returns the part of all objects that each server has by its size and the near weight."""
    weight = steady_weights.compute_steady_near_weight(NORTH, servers, len(REGIONS))
    sizes = {
        located.server.backend: located.server.slots * (weight if NORTH.covers(located) else 1.0)
        for located in servers
    }
    total = sum(sizes.values())
    return {name: size / total for name, size in sizes.items()}


def count_keys(servers: int) -> int:
    """Returns a number of objects that keeps the time of a test bounded."""
    return max(150, min(4000, 60_000 // servers))


class MovedObjectsTest(testtools.TestCase):
    """Objects that change their first home."""

    @parameterized.expand(
        [
            (f"{name}_{change}", count, change)
            for name, count in SIZES
            for change in ("one_removed", "tenth_removed", "tenth_added")
        ]
    )
    def test_no_more_objects_move_than_the_shares_require(
        self, _name: str, count: int, change: str
    ) -> None:
        """Guards against objects that alternate between servers which both remain."""
        servers = make_servers(count)
        number = 1 if change == "one_removed" else max(1, count // 10)
        fewer = [item for index, item in enumerate(servers) if index % (count // number) != 1]
        old, new = (fewer, servers) if change == "tenth_added" else (servers, fewer)
        keys = [ids.ObjectKey(str(index)) for index in range(count_keys(count))]
        before, after = find_first_homes(keys, old), find_first_homes(keys, new)
        old_shares, new_shares = compute_shares(old), compute_shares(new)
        required = sum(
            max(0.0, old_shares.get(name, 0.0) - new_shares.get(name, 0.0))
            for name in old_shares | new_shares
        )
        moved = sum(first != second for first, second in zip(before, after, strict=True))
        # Allows for three standard deviations of the number of objects of this sample.
        deviation = 3 * (required * len(keys)) ** 0.5
        self.assertLessEqual(moved, MOVED_RATIO_MAX * required * len(keys) + deviation)

    @parameterized.expand([("16_servers", 16), ("133_servers", 133)])
    def test_shares_follow_the_sizes(self, _name: str, count: int) -> None:
        """Guards against servers that get more than their size allows."""
        servers = make_servers(count)
        keys = [ids.ObjectKey(str(index)) for index in range(6000 if count == 16 else 4000)]
        counts = collections.Counter(find_first_homes(keys, servers))
        by_size: collections.Counter[tuple[bool, int]] = collections.Counter()
        expected: collections.Counter[tuple[bool, int]] = collections.Counter()
        shares = compute_shares(servers)
        for located in servers:
            group = NORTH.covers(located), located.server.slots
            by_size[group] += counts[located.server.backend]
            expected[group] += shares[located.server.backend] * len(keys)
        for group, number in expected.items():
            # Groups of few objects are within three standard deviations instead.
            bound = max(SHARE_ERROR_MAX * number, 3 * number**0.5)
            self.assertLessEqual(abs(by_size[group] - number), bound, f"{group}")


class SteadyWeightTest(testtools.TestCase):
    """The near weight as servers are removed one by one."""

    @parameterized.expand([(f"{near}_near", near) for near in range(1, 16)])
    def test_one_far_server_fewer_never_changes_the_weight_by_a_jump(
        self, _name: str, near: int
    ) -> None:
        """Guards against objects that move although no server of their region came or left."""
        servers = builders.make_located_servers(
            {"n-1": ("north", near), "s-1": ("south", 16 - near)}
        )
        weights = [
            steady_weights.compute_steady_near_weight(NORTH, servers[:count], 3)
            for count in (16, 15)
            if count > near
        ]
        self.assertTrue(
            max(weights) <= WEIGHT_CHANGE_MAX * min(weights), f"got {weights} with {near} near"
        )

    @parameterized.expand([("nothing_near", {"s-1": ("south", 4)}), ("none", {})])
    def test_no_near_server_gives_the_lowest_weight(self, _name: str, domains: dict) -> None:
        servers = builders.make_located_servers(domains)
        self.assertEqual(
            homes.NEAR_WEIGHT_MIN, steady_weights.compute_steady_near_weight(NORTH, servers, 3)
        )
