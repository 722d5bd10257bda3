"""Requests without an object key are distributed evenly over the servers."""

import collections

from parameterized import parameterized

from testing.platform import fleet_harness, harness

SERVERS = 16
# Largest allowed load of a server as a multiple of the mean of its failure domain.
MAX_LOAD_RATIO = 1.5


class SpreadTest(harness.AsyncTestCase):
    """Requests of many instances to one service."""

    @parameterized.expand([(1,), (10,), (68,)])
    def test_no_server_gets_far_more_than_the_mean(self, instances) -> None:
        """Pattern: all instances get requests for a route without affinity."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(instances, SERVERS) as fleet:
                fleet.route = fleet_harness.make_route(has_affinity=False)
                await fleet.send_load(30.0, 40.0)
                domains = collections.defaultdict(list)
                for server in fleet.servers:
                    domain = fleet.nodes[0].servers.find(server.name).registration.server.domain
                    domains[domain].append(len(server.requests))
                for domain, counts in domains.items():
                    if sum(counts) < 10 * len(counts):
                        continue
                    max_ratio = max(counts) * len(counts) / sum(counts)
                    self.assertTrue(max_ratio <= MAX_LOAD_RATIO, f"{domain}: {counts}")

        self.run_async(scenario)
