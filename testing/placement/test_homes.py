"""The ranking of servers for objects: balance, stability and distance."""

import collections

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import homes
from caperdyke.state import ids
from testing.placement import builders

DOMAINS = {
    "n-1": ("north", 4),
    "n-2": ("north", 4),
    "s-1": ("south", 4),
    "s-2": ("south", 4),
    "e-1": ("east", 1),
    "e-2": ("east", 1),
}
KEYS = [ids.ObjectKey(str(number)) for number in range(400)]


def rank(
    key: ids.ObjectKey, region: str, located_servers: list[homes.LocatedServer], domain: str = ""
) -> list[homes.LocatedServer]:
    """Returns the servers, ranked for an object.

    :param region: region of the ranking instance.
    :param domain: failure domain of the ranking instance; if given, near means in this domain.
    """
    locality = homes.Locality(ids.DomainName(domain), ids.RegionName(region), bool(domain))
    return homes.rank_servers(
        key, locality, homes.compute_near_weight(locality, located_servers), located_servers
    )


class HomesTest(testtools.TestCase):
    """The servers that rank first."""

    @parameterized.expand([("north", 0.9, 1.0), ("east", 0.25, 0.42)])
    def test_ratio_of_objects_that_stay_in_the_region(self, region, low, high) -> None:
        """Pattern: one region has a third of the callers and a ninth of the servers."""
        located_servers = builders.make_located_servers(DOMAINS)
        near = sum(rank(key, region, located_servers)[0].region == region for key in KEYS)
        self.assertTrue(low <= near / len(KEYS) <= high, f"got {near / len(KEYS)}")

    def test_large_answers_stay_in_the_failure_domain(self) -> None:
        """Pattern: downloads, for which the transfer between failure domains costs too much."""
        located_servers = builders.make_located_servers(DOMAINS)
        near = sum(
            rank(key, "north", located_servers, "n-1")[0].server.domain == "n-1" for key in KEYS
        )
        self.assertTrue(near >= 0.9 * len(KEYS), f"got {near} of {len(KEYS)}")

    def test_load_is_even(self) -> None:
        located_servers = builders.make_located_servers({"n-1": ("north", 10)})
        counts = collections.Counter(rank(key, "north", located_servers)[0] for key in KEYS)
        self.assertTrue(
            max(counts.values()) <= 2 * len(KEYS) / len(located_servers), f"got {counts}"
        )

    def test_server_that_leaves_moves_only_its_own_objects(self) -> None:
        located_servers = builders.make_located_servers({"n-1": ("north", 6)})
        remaining = located_servers[1:]
        for key in KEYS:
            before = rank(key, "north", located_servers)[0]
            if before != located_servers[0]:
                self.assertEqual(before, rank(key, "north", remaining)[0])

    def test_second_home_is_in_the_sibling_domain(self) -> None:
        located_servers = builders.make_located_servers(DOMAINS)
        for key in KEYS:
            first, second = rank(key, "north", located_servers)[:2]
            self.assertEqual(first.region, second.region)
            self.assertNotEqual(first.server.domain, second.server.domain)

    @parameterized.expand(
        [
            ("none", {}),
            ("one server", {"n-1": ("north", 1)}),
            ("nothing near", {"s-1": ("south", 2)}),
        ]
    )
    def test_unusual_deployments(self, _name, domains) -> None:
        located_servers = builders.make_located_servers(domains)
        self.assertEqual(len(located_servers), len(rank(KEYS[0], "north", located_servers)))
