"""Cached rankings of servers, and the effect of a shortage of capacity on them."""

import testtools

from caperdyke.coordination.placement import server_rankings
from caperdyke.state import ids
from testing.placement import builders
from testing.platform import harness

# Nine failure domains in three regions, with two servers each.
DOMAINS = {f"hall-{number}": f"region-{number // 3}" for number in range(9)}
OBJECTS = [ids.ObjectKey(f"k{number}") for number in range(60)]


class LargeAnswersTest(testtools.TestCase):
    """Homes of objects whose answers are large."""

    def setUp(self) -> None:
        super().setUp()
        servers = [
            builders.make_server(f"{domain}-{number}", domain)
            for domain in DOMAINS
            for number in range(2)
        ]
        self.rankings_by_domain = {}
        for domain, region in DOMAINS.items():
            settings = harness.replace_settings(
                harness.make_settings("127.0.0.1:1"),
                domain=ids.DomainName(domain),
                region=ids.RegionName(region),
                domains=DOMAINS,
            )
            rankings = server_rankings.ServerRankings()
            rankings.apply_servers({builders.SERVICE: servers})
            self.rankings_by_domain[domain] = (settings, rankings)

    def average_homes(self, now: float) -> float:
        """Returns the number of first homes of an object over all failure domains, on average."""
        homes = 0
        for key in OBJECTS:
            homes += len(
                {
                    rankings.find(now, settings, builders.SERVICE, key, True)[0].server.backend
                    for settings, rankings in self.rankings_by_domain.values()
                }
            )
        return homes / len(OBJECTS)

    def test_each_failure_domain_keeps_a_copy_without_a_shortage(self) -> None:
        self.assertTrue(self.average_homes(10.0) >= 7.0)

    def test_each_region_keeps_one_copy_during_a_shortage(self) -> None:
        """Pattern: servers keep fewer objects warm than nine failure domains together need."""
        for _own, rankings in self.rankings_by_domain.values():
            self.assertTrue(rankings.record_no_capacity(10.0, builders.SERVICE))
            self.assertFalse(rankings.record_no_capacity(10.5, builders.SERVICE))
        self.assertTrue(self.average_homes(11.0) <= 3.5, f"got {self.average_homes(11.0)}")

    def test_shortage_ends(self) -> None:
        for _own, rankings in self.rankings_by_domain.values():
            rankings.record_no_capacity(10.0, builders.SERVICE)
        after = 10.1 + server_rankings.SHORTAGE_S
        self.assertTrue(self.average_homes(after) >= 7.0)
