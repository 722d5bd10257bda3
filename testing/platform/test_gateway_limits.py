"""Backend servers that advertise a limit on the requests of all gateways together."""

import json

import testtools
from parameterized import parameterized

from caperdyke.platform import documents, headers
from caperdyke.state import header_fields, ids, name_hashes, store_rows
from caperdyke.transport.gateway import context, local_reply, store_sync
from testing.platform import fake_server, fleet_harness, harness

# Allowed requests in any window: a multiple of the limit, plus a fixed number.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
WINDOW_SECONDS = 4.0
# An instance must apply the limit from this time after it forwarded such an answer.
ANNOUNCEMENT_DELAY_SECONDS = 0.5


def compute_allowed_count(limit: float) -> float:
    """Returns how many requests a server may get in any window.

    :param limit: advertised limit in requests per second.
    """
    return ALLOWED_FACTOR * limit * WINDOW_SECONDS + ALLOWED_EXTRA


class AdvertisedLimitTest(harness.AsyncTestCase):
    """An overloaded server advertises how many requests it accepts."""

    @parameterized.expand([(1, 4.7), (10, 4.7), (10, 0.5), (68, 4.7)])
    def test_server_gets_no_more_than_its_limit(self, instances, limit) -> None:
        """Pattern: twelve servers are near capacity, and one limits itself to a third of that."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(instances, 12) as fleet:
                await fleet.send_load(2.0, 150.0)
                limited_server = fleet.servers[0]
                limited_server.headers = [("Caperdyke-Server-Limit", str(limit))]
                since = fleet.now
                await fleet.send_load(10.0, 150.0)
                max_count = fleet_harness.count_max_in_window(
                    limited_server.times, WINDOW_SECONDS, since
                )
                self.assertTrue(
                    max_count <= compute_allowed_count(limit),
                    f"got {max_count} in {WINDOW_SECONDS} s,"
                    f" allowed {compute_allowed_count(limit)}",
                )

        self.run_async(scenario)

    @parameterized.expand([(10, 4.7), (68, 4.7), (10, 0.5), (68, 2.0)])
    def test_limit_is_used_under_load(self, instances, limit) -> None:
        """Goal: a limited server gets requests although the quota of each instance is small."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(instances, 4) as fleet:
                limited_server = fleet.servers[0]
                limited_server.headers = [("Caperdyke-Server-Limit", str(limit))]
                await fleet.send_load(6.0, 200.0)
                count = len(limited_server.times)
                await fleet.send_load(16.0, 200.0)
                utilization = (len(limited_server.times) - count) / 16.0 / limit
                self.assertTrue(0.7 <= utilization <= 1.0, f"used {utilization:.2f} of the limit")

        self.run_async(scenario)

    @parameterized.expand(
        [("alternating", ["3", "1", "4.7"]), ("by turns none", ["3", None]), ("huge", ["1e308"])]
    )
    def test_limit_may_change_with_each_answer(self, _name, texts) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(3, 2) as fleet:
                limited_server = fleet.servers[0]
                for step in range(60):
                    text = texts[step % len(texts)]
                    limited_server.headers = [("Caperdyke-Server-Limit", text)] if text else []
                    await fleet.send_load(0.1, 100.0)
                self.assertTrue(limited_server.times)

        self.run_async(scenario)

    def test_request_waiting_for_a_connection_is_sent_elsewhere(self) -> None:
        """Pattern: the server sets its limit to 0 while a request waits for a connection."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 2) as fleet:
                node, limited_server = fleet.nodes[0], fleet.servers[0]
                limited_server.headers = [("Caperdyke-Server-Limit", "0")]
                original_open = node.pool.open

                async def open_with_update(address, timeout):
                    opened = await original_open(address, timeout)
                    if address == limited_server.address:
                        node.bounds.record_answer(
                            fleet.now,
                            limited_server.name,
                            header_fields.AdvertisedLimit(0.0),
                            fleet.now,
                            True,
                        )
                        node.bounds.record_send(fleet.now, limited_server.name)
                    return opened

                node.pool.open = open_with_update
                for number in range(20):
                    result = await fleet.send_request(0, f"k{number}")
                    self.assertEqual(200, result.status)
                self.assertEqual([], limited_server.times)

        self.run_async(scenario)

    @parameterized.expand(
        [
            ("refused", "shed", True),
            ("broken off", "truncated", True),
            ("failed", "error", True),
            ("of an earlier request", "earlier", True),
            ("of another server", "misdirected", False),
            ("unsigned", "unsigned", True),
        ]
    )
    def test_limit_counts_from_any_answer_of_the_server(self, _name, fault, is_counted) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1) as fleet:
                limited_server = fleet.servers[0]
                limited_server.headers = [("Caperdyke-Server-Limit", "2")]
                limited_server.faults = [fault]
                await fleet.send_request(0)
                limit_in_force = fleet.nodes[0].bounds.limits.find(limited_server.name)
                self.assertEqual(2.0 if is_counted else None, limit_in_force)

        self.run_async(scenario)

    @parameterized.expand(
        [
            ("sound answer", "", True),
            ("refused", "shed", False),
            ("failed", "error", False),
            ("unsigned", "unsigned", False),
            ("of another server", "misdirected", False),
        ]
    )
    def test_only_a_sound_answer_ends_a_limit(self, _name, fault, is_ended) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1) as fleet:
                limited_server = fleet.servers[0]
                limited_server.headers = [("Caperdyke-Server-Limit", "2")]
                await fleet.send_request(0)
                fleet.advance(5.0)
                limited_server.headers, limited_server.faults = [], [fault]
                await fleet.send_request(0)
                limit_in_force = fleet.nodes[0].bounds.limits.find(limited_server.name)
                self.assertEqual(None if is_ended else 2.0, limit_in_force)

        self.run_async(scenario)

    def test_all_servers_limited_refuses_at_once_with_retry_after(self) -> None:
        """Pattern: all servers of a service advertise limits below the demand."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(2, 2) as fleet:
                for server in fleet.servers:
                    server.headers = [("Caperdyke-Server-Limit", "2")]
                await fleet.send_load(6.0, 60.0)
                refused = []
                for _ in range(40):
                    result = await fleet.send_request(0)
                    if isinstance(result, local_reply.LocalReply):
                        refused.append(result)
                self.assertTrue(refused)
                for answer in refused:
                    self.assertEqual(
                        (503, local_reply.LocalReplyReason.NO_CAPACITY),
                        (answer.status, answer.reason),
                    )
                    self.assertTrue(0.1 <= answer.retry_seconds <= 1.5, answer)

        self.run_async(scenario)

    def test_cold_header_makes_a_server_cold(self) -> None:
        """Pattern: a server becomes cold again, and its registration shows it a second later."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(2, 1) as fleet:
                server = fleet.servers[0]
                await fleet.send_request(0)
                registered = fleet.nodes[0].servers.find(server.name)
                self.assertFalse(fleet.nodes[0].is_cold(fleet.now, registered))
                server.headers = [("Caperdyke-Cold-Milliseconds", "2500")]
                await fleet.send_request(0)
                self.assertTrue(fleet.nodes[0].is_cold(fleet.now + 2.4, registered))
                self.assertFalse(fleet.nodes[0].is_cold(fleet.now + 2.6, registered))

        self.run_async(scenario)


class StartingInstanceTest(testtools.TestCase):
    """An instance that reads the registrations for the first time."""

    @parameterized.expand([("first_reading", [1], 2.0), ("restarted_server", [1, 2], None)])
    def test_announced_limit_ends_only_with_a_new_start_of_the_server(
        self, _name, starts, expected
    ) -> None:
        """Guards against limits that ended for the whole fleet when an instance started."""
        node = context.GatewayContext(
            harness.make_settings("127.0.0.1:1"), headers, documents, None, lambda: 100.0
        )
        sync = store_sync.StoreSync(node)
        name_hash = name_hashes.hash_name("s1")
        node.bounds.merge_announced(99.0, {name_hash: (2.0, 1.0)}, {}, {})
        server = fake_server.FakeServer("s1")
        server.address = "127.0.0.1:2"
        for number, born in enumerate(starts, start=1):
            document = server.register("reader", "hall-1", born=born, sequence=number)
            row = store_rows.StoreRow(
                store_rows.StoreTable.SERVERS,
                "s1",
                store_rows.Position(0, number),
                json.dumps(document).encode(),
            )
            sync._apply_registration(100.0, row)
        self.assertEqual(expected, node.bounds.limits.find(ids.BackendId("s1")))
