"""Requests that concern no object are spread over the servers."""

import collections

from parameterized import parameterized

from testing.platform import fleet_harness, harness

SERVERS = 16
# Goal for the busiest server, as a multiple of the mean.
BUSIEST_MAX = 1.5


class SpreadTest(harness.AsyncTestCase):
    """Many instances, one service, requests without an object."""

    @parameterized.expand([(1,), (10,), (68,)])
    def test_no_server_gets_more_than_its_part(self, instances) -> None:
        """Pattern: each instance is asked for routes that are not bound to objects."""

        async def scene() -> None:
            async with fleet_harness.open_fleet(instances, SERVERS) as played:
                played.route = fleet_harness.make_route(has_affinity=False)
                await played.press(30.0, 40.0)
                domains = collections.defaultdict(list)
                for server in played.servers:
                    domain = played.nodes[0].servers.find(server.name).registration.server.domain
                    domains[domain].append(len(server.seen))
                for domain, counts in domains.items():
                    if sum(counts) < 10 * len(counts):
                        continue
                    most = max(counts) * len(counts) / sum(counts)
                    self.assertTrue(most <= BUSIEST_MAX, f"{domain}: {counts}")

        self.run_async(scene)
