"""Orders of servers, and what changes them."""

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
        self.orders = {}
        for domain, region in DOMAINS.items():
            own = harness.replace_settings(
                harness.make_settings("127.0.0.1:1"),
                domain=ids.DomainName(domain),
                region=ids.RegionName(region),
                domains=DOMAINS,
            )
            found = server_rankings.ServerRankings()
            found.apply_servers({builders.SERVICE: servers})
            self.orders[domain] = (own, found)

    def count_homes(self, now: float) -> float:
        """Returns how many first homes an object has, on average over the objects."""
        homes = 0
        for key in OBJECTS:
            homes += len(
                {
                    found.find(now, own, builders.SERVICE, key, True)[0].server.backend
                    for own, found in self.orders.values()
                }
            )
        return homes / len(OBJECTS)

    def test_each_failure_domain_keeps_a_copy_while_there_is_room(self) -> None:
        self.assertTrue(self.count_homes(10.0) >= 7.0)

    def test_each_region_keeps_a_copy_where_callers_are_turned_away(self) -> None:
        """Pattern: servers keep fewer objects than nine failure domains want of them."""
        for _own, found in self.orders.values():
            self.assertTrue(found.record_no_capacity(10.0, builders.SERVICE))
            self.assertFalse(found.record_no_capacity(10.5, builders.SERVICE))
        self.assertTrue(self.count_homes(11.0) <= 3.5, f"got {self.count_homes(11.0)}")

    def test_lack_of_room_is_forgotten(self) -> None:
        for _own, found in self.orders.values():
            found.record_no_capacity(10.0, builders.SERVICE)
        after = 10.1 + server_rankings.SHORTAGE_S
        self.assertTrue(self.count_homes(after) >= 7.0)
