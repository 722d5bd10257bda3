"""Backend servers that refuse requests and ask for a backoff by Retry-After."""

import math

from parameterized import parameterized

from caperdyke.state import header_fields, ids
from caperdyke.transport.gateway import local_reply
from testing.platform import fleet_harness, harness

# Requests that an instance may send from this time after such an answer to the end of the backoff.
ALLOWED_REQUESTS = 2
ANNOUNCEMENT_DELAY_SECONDS = 0.5
BACKOFF_SECONDS = 5.0


def make_retry_after(seconds: float | str) -> list[tuple[str, str]]:
    """Returns the header that asks for a backoff."""
    return [("Retry-After", str(seconds))]


class ServerBackoffTest(harness.AsyncTestCase):
    """One server is overloaded and asks for a backoff."""

    @parameterized.expand(
        [("one", 1, "shed"), ("ten", 10, "shed"), ("68", 68, "shed"), ("195", 195, "shed")]
    )
    def test_refused_instance_sends_nothing_until_the_end(self, _name, instances, fault) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(instances, 12) as fleet:
                refusing_server = fleet.servers[0]
                refusing_server.headers, refusing_server.faults = (
                    make_retry_after(BACKOFF_SECONDS),
                    [fault] * 1000,
                )
                since = fleet.now
                await fleet.send_load(BACKOFF_SECONDS, 40.0 * max(1, instances // 4))
                self.assertTrue(
                    len(refusing_server.times) <= instances, "more than one request of an instance"
                )
                self.assertTrue(refusing_server.times)
                self.assertTrue(refusing_server.times[-1] <= since + BACKOFF_SECONDS)

        self.run_async(scenario)

    @parameterized.expand([(10, 3), (68, 5), (195, 8)])
    def test_other_instances_avoid_the_server_while_others_have_capacity(
        self, instances, max_requests
    ) -> None:
        """Pattern: each of many instances would need a refusal of its own to avoid the server.

        :param max_requests: requests that the server may get, including those until the first
            refused instance has announced the backoff.
        """

        async def scenario() -> None:
            async with fleet_harness.open_fleet(instances, 12) as fleet:
                refusing_server = fleet.servers[0]
                refusing_server.headers, refusing_server.faults = (
                    make_retry_after(BACKOFF_SECONDS),
                    ["shed"] * 1000,
                )
                while not refusing_server.times:
                    await fleet.send_request(fleet.random.randrange(instances))
                announcer = next(
                    n for n, node in enumerate(fleet.nodes) if node.bounds.backoffs._local
                )
                fleet.announce_server_state(announcer)
                await fleet.send_load(BACKOFF_SECONDS - 1.0, 100.0)
                self.assertTrue(
                    len(refusing_server.times) <= max_requests, f"got {len(refusing_server.times)}"
                )

        self.run_async(scenario)

    @parameterized.expand(
        [
            ("refused", "shed", True),
            ("of another server", "misdirected", False),
            ("success", "", False),
        ]
    )
    def test_only_a_503_of_the_server_sets_a_backoff(self, _name, fault, is_counted) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1) as fleet:
                refusing_server = fleet.servers[0]
                refusing_server.headers, refusing_server.faults = make_retry_after(2), [fault]
                await fleet.send_request(0)
                expected = fleet.now + 2.0 if is_counted else -math.inf
                end = fleet.nodes[0].bounds.backoffs.find_backoff_end(
                    ids.BackendId(refusing_server.name)
                )
                self.assertEqual(expected, end)

        self.run_async(scenario)

    def test_restarted_server_gets_requests(self) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1) as fleet:
                refusing_server = fleet.servers[0]
                refusing_server.headers, refusing_server.faults = make_retry_after(60), ["shed"]
                await fleet.send_request(0)
                refusing_server.headers = []
                fleet.register(refusing_server, 5, started_ms=2)
                fleet.advance(3.0)
                self.assertEqual(200, (await fleet.send_request(0)).status)

        self.run_async(scenario)

    def test_request_waiting_for_a_connection_is_sent_elsewhere(self) -> None:
        """Pattern: the server asks for a backoff while a request waits for a connection."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 2) as fleet:
                node, refusing_server = fleet.nodes[0], fleet.servers[0]
                original_open = node.pool.open

                async def open_with_update(address, timeout):
                    opened = await original_open(address, timeout)
                    if address == refusing_server.address:
                        report = header_fields.RequestedBackoff(BACKOFF_SECONDS)
                        node.bounds.record_backoff(
                            fleet.now, ids.BackendId(refusing_server.name), report
                        )
                    return opened

                node.pool.open = open_with_update
                for number in range(20):
                    result = await fleet.send_request(0, f"k{number}")
                    self.assertEqual(200, result.status)
                self.assertEqual([], refusing_server.times)

        self.run_async(scenario)


class ServiceBackoffTest(harness.AsyncTestCase):
    """All servers of a service are overloaded."""

    @parameterized.expand([("one", 1), ("ten", 10)])
    def test_refused_at_once_until_the_soonest_end(self, _name, instances) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(instances, 3) as fleet:
                for number, server in enumerate(fleet.servers):
                    server.headers = make_retry_after(BACKOFF_SECONDS + number)
                    server.faults = ["shed"] * 10_000
                await fleet.send_load(2.0, 40.0 * instances)
                ends = [
                    fleet.nodes[0].bounds.backoffs.find_backoff_end(ids.BackendId(server.name))
                    for server in fleet.servers
                ]
                self.assertTrue(min(ends) > fleet.now, f"ends {ends}, now {fleet.now}")
                arrivals = sum(len(server.times) for server in fleet.servers)
                waits = []
                for _ in range(50):
                    result = await fleet.send_request(0)
                    self.assertIsInstance(result, local_reply.LocalReply)
                    self.assertEqual(local_reply.LocalReplyReason.NO_CAPACITY, result.reason)
                    waits.append(result.retry_seconds)
                self.assertEqual(arrivals, sum(len(server.times) for server in fleet.servers))
                soonest = min(ends) - fleet.now
                self.assertTrue(min(waits) >= soonest, f"{min(waits)} before {soonest}")
                # Callers that were refused together must not retry together.
                self.assertTrue(max(waits) - min(waits) > 0.2 * soonest, f"{waits}")

        self.run_async(scenario)

    def test_refusal_of_the_last_server_sets_retry_after(self) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1) as fleet:
                refusing_server = fleet.servers[0]
                refusing_server.headers, refusing_server.faults = make_retry_after(2), ["shed"]
                result = await fleet.send_request(0)
                self.assertIsInstance(result, local_reply.LocalReply)
                self.assertTrue(2.0 <= result.retry_seconds <= 3.0, f"{result}")

        self.run_async(scenario)

    def test_deprioritized_servers_are_used_as_a_last_resort(self) -> None:
        """Pattern: all servers refused other instances, so this one has no better choice."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(2, 2) as fleet:
                for server in fleet.servers:
                    node = fleet.nodes[0]
                    report = header_fields.RequestedBackoff(BACKOFF_SECONDS)
                    node.bounds.record_backoff(fleet.now, ids.BackendId(server.name), report)
                fleet.announce_server_state(0)
                self.assertEqual(200, (await fleet.send_request(1)).status)

        self.run_async(scenario)
