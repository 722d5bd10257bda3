"""Backend servers that turn requests away and name the time for which they want none."""

import math

from parameterized import parameterized

from caperdyke.state import header_fields, ids
from caperdyke.transport.gateway import local_reply
from testing.platform import fleet_harness, harness

# What the rule allows an instance between this time after such an answer and the end of the rest.
ALLOWED = 2
AFTER_SECONDS = 0.5
REST_SECONDS = 5.0


def name_rest(seconds: float | str) -> list[tuple[str, str]]:
    """Returns the header that names a rest."""
    return [("Retry-After", str(seconds))]


class RestingServerTest(harness.AsyncTestCase):
    """One server is full, and says for how long."""

    @parameterized.expand(
        [("one", 1, "shed"), ("ten", 10, "shed"), ("68", 68, "shed"), ("195", 195, "shed")]
    )
    def test_instance_that_was_told_sends_nothing_until_the_end(self, _name, count, fault) -> None:
        async def scene() -> None:
            async with fleet_harness.open_fleet(count, 12) as played:
                full = played.servers[0]
                full.headers, full.faults = name_rest(REST_SECONDS), [fault] * 1000
                since = played.now
                await played.press(REST_SECONDS, 40.0 * max(1, count // 4))
                self.assertTrue(len(full.times) <= count, "more than one request of an instance")
                self.assertTrue(full.times)
                self.assertTrue(full.times[-1] <= since + REST_SECONDS)

        self.run_async(scene)

    @parameterized.expand([(10, 3), (68, 5), (195, 8)])
    def test_others_spare_it_while_there_is_room_elsewhere(self, count, heard_by) -> None:
        """Pattern: each of many instances would learn from a refusal of its own.

        :param heard_by: requests until the first instance that was told has told the others.
        """

        async def scene() -> None:
            async with fleet_harness.open_fleet(count, 12) as played:
                full = played.servers[0]
                full.headers, full.faults = name_rest(REST_SECONDS), ["shed"] * 1000
                while not full.times:
                    await played.ask(played.random.randrange(count))
                teller = next(n for n, node in enumerate(played.nodes) if node.bounds.backoffs._own)
                played.announce_server_state(teller)
                await played.press(REST_SECONDS - 1.0, 100.0)
                self.assertTrue(len(full.times) <= heard_by, f"got {len(full.times)}")

        self.run_async(scene)

    @parameterized.expand(
        [
            ("refused", "shed", True),
            ("of another server", "misdirected", False),
            ("success", "", False),
        ]
    )
    def test_rest_counts_from_a_503_of_the_server(self, _name, fault, is_counted) -> None:
        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 1) as played:
                full = played.servers[0]
                full.headers, full.faults = name_rest(2), [fault]
                await played.ask(0)
                expected = played.now + 2.0 if is_counted else -math.inf
                end = played.nodes[0].bounds.backoffs.find_backoff_end(ids.BackendId(full.name))
                self.assertEqual(expected, end)

        self.run_async(scene)

    def test_new_start_of_the_server_gets_work(self) -> None:
        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 1) as played:
                full = played.servers[0]
                full.headers, full.faults = name_rest(60), ["shed"]
                await played.ask(0)
                full.headers = []
                played.register(full, 5, started_ms=2)
                played.run_for(3.0)
                self.assertEqual(200, (await played.ask(0)).status)

        self.run_async(scene)

    def test_request_that_waits_for_a_connection_goes_elsewhere(self) -> None:
        """Pattern: requests were placed, and a connection opens while the server turns away."""

        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 2) as played:
                node, full = played.nodes[0], played.servers[0]
                real_open = node.pool.open

                async def open_slowly(address, timeout):
                    opened = await real_open(address, timeout)
                    if address == full.address:
                        report = header_fields.RequestedBackoff(REST_SECONDS)
                        node.bounds.record_backoff(played.now, ids.BackendId(full.name), report)
                    return opened

                node.pool.open = open_slowly
                for number in range(20):
                    result = await played.ask(0, f"k{number}")
                    self.assertEqual(200, result.status)
                self.assertEqual([], full.times)

        self.run_async(scene)


class RestingServiceTest(harness.AsyncTestCase):
    """All servers of a service are full."""

    @parameterized.expand([("one", 1), ("ten", 10)])
    def test_refused_at_once_until_the_soonest_end(self, _name, count) -> None:
        async def scene() -> None:
            async with fleet_harness.open_fleet(count, 3) as played:
                for number, server in enumerate(played.servers):
                    server.headers = name_rest(REST_SECONDS + number)
                    server.faults = ["shed"] * 10_000
                await played.press(2.0, 40.0 * count)
                ends = [
                    played.nodes[0].bounds.backoffs.find_backoff_end(ids.BackendId(server.name))
                    for server in played.servers
                ]
                self.assertTrue(min(ends) > played.now, f"ends {ends}, now {played.now}")
                arrivals = sum(len(server.times) for server in played.servers)
                waits = []
                for _ in range(50):
                    result = await played.ask(0)
                    self.assertIsInstance(result, local_reply.LocalReply)
                    self.assertEqual(local_reply.LocalReplyReason.NO_CAPACITY, result.reason)
                    waits.append(result.retry_seconds)
                self.assertEqual(arrivals, sum(len(server.times) for server in played.servers))
                soonest = min(ends) - played.now
                self.assertTrue(min(waits) >= soonest, f"{min(waits)} before {soonest}")
                # Callers who were refused together do not return together.
                self.assertTrue(max(waits) - min(waits) > 0.2 * soonest, f"{waits}")

        self.run_async(scene)

    def test_request_that_the_last_server_turned_away_is_told_the_rest(self) -> None:
        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 1) as played:
                full = played.servers[0]
                full.headers, full.faults = name_rest(2), ["shed"]
                result = await played.ask(0)
                self.assertIsInstance(result, local_reply.LocalReply)
                self.assertTrue(2.0 <= result.retry_seconds <= 3.0, f"{result}")

        self.run_async(scene)

    def test_all_spared_servers_are_used(self) -> None:
        """Pattern: the servers turned others away; this instance has nobody else to ask."""

        async def scene() -> None:
            async with fleet_harness.open_fleet(2, 2) as played:
                for server in played.servers:
                    node = played.nodes[0]
                    report = header_fields.RequestedBackoff(REST_SECONDS)
                    node.bounds.record_backoff(played.now, ids.BackendId(server.name), report)
                played.announce_server_state(0)
                self.assertEqual(200, (await played.ask(1)).status)

        self.run_async(scene)
