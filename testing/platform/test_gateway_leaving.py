"""Backend servers that announce in an answer header that they are leaving."""

from parameterized import parameterized

from caperdyke.state import ids, registration, store_rows
from caperdyke.transport.gateway import local_reply
from testing.platform import fleet_harness, harness

LEAVING = [("Server-Leaving", "1")]
# Time for which a server may still get requests after such an answer.
DRAIN_SECONDS = 4.0


class LeavingServerTest(harness.AsyncTestCase):
    """A server says that it is leaving before its registration shows it."""

    @parameterized.expand(
        [
            ("success", ""),
            ("refused", "shed"),
            ("broken off", "truncated"),
            ("failed", "error"),
            ("late", "earlier"),
            ("late copy", "late copy"),
            ("unsigned", "unsigned"),
            ("closing", "closing"),
        ]
    )
    def test_leaving_header_in_any_answer_stops_new_requests(self, _name, fault) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 2) as fleet:
                leaving_server = fleet.servers[0]
                leaving_server.headers, leaving_server.faults = LEAVING, [fault] if fault else []
                await fleet.send_load(2.0, 50.0)
                self.assertEqual(1, len(leaving_server.requests))
                await fleet.send_load(DRAIN_SECONDS + 2.0, 50.0)
                self.assertEqual(1, len(leaving_server.requests))

        self.run_async(scenario)

    def test_leaving_header_in_421_applies_to_the_server_at_the_address(self) -> None:
        """Pattern: a server is gone, and a server of another service at its address leaves too."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 3) as fleet:
                node, (left_server, successor, _) = fleet.nodes[0], fleet.servers
                successor.address = left_server.address
                registered = node.servers.find(successor.name)
                moved = registration.Registration(
                    type(registered.registration.server)(
                        ids.BackendId(successor.name),
                        registered.registration.server.domain,
                        ids.ServiceName("other"),
                        left_server.address,
                        4,
                    ),
                    registration.RegistrationState.READY,
                    1,
                    2,
                    0.0,
                )
                node.servers.merge(fleet.now, moved, store_rows.Position(0, 2))
                node.refresh_servers()
                left_server.headers, left_server.faults = LEAVING, ["misdirected"] * 9
                await fleet.send_load(2.0, 50.0)
                self.assertTrue(node.header_handler.is_leaving(node.servers.find(successor.name)))
                self.assertFalse(
                    node.header_handler.is_leaving(node.servers.find(left_server.name))
                )

        self.run_async(scenario)

    @parameterized.expand(
        [
            ("reading of the same start", 7, 1, 0, True),
            ("older copy of the store", 1, 1, 1, True),
            ("new start under the same name", 8, 2, 0, False),
        ]
    )
    def test_ready_registration_after_leaving_header(
        self, _name, change, started, era, is_leaving
    ) -> None:
        """Pattern: the store is unavailable or restored from a copy, and registrations are old."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 2) as fleet:
                leaving_server = fleet.servers[0]
                leaving_server.headers = LEAVING
                await fleet.send_load(2.0, 50.0)
                leaving_server.headers = []
                fleet.register(leaving_server, change, started_ms=started, era=era)
                count = len(leaving_server.times)
                await fleet.send_load(DRAIN_SECONDS + 2.0, 50.0)
                self.assertEqual(is_leaving, len(leaving_server.times) == count)

        self.run_async(scenario)

    def test_withdrawn_leaving_header_is_ignored(self) -> None:
        """Pattern: answers from before and after the first such header arrive in any order."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 2) as fleet:
                leaving_server = fleet.servers[0]
                leaving_server.headers = LEAVING
                await fleet.send_load(1.0, 50.0)
                leaving_server.headers = [("Server-Leaving", "0")]
                await fleet.send_load(8.0, 50.0)
                self.assertEqual(1, len(leaving_server.requests))

        self.run_async(scenario)

    def test_leaving_server_is_announced_to_other_instances(self) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(10, 4) as fleet:
                leaving_server = fleet.servers[0]
                leaving_server.headers = LEAVING
                await fleet.send_load(1.0, 50.0)
                announcer = next(
                    number
                    for number, node in enumerate(fleet.nodes)
                    if not node.bounds.leaving.is_empty
                )
                fleet.announce_server_state(announcer)
                count = len(leaving_server.times)
                await fleet.send_load(4.0, 100.0)
                self.assertEqual(count, len(leaving_server.times))

        self.run_async(scenario)

    def test_request_waiting_for_a_connection_is_sent_elsewhere(self) -> None:
        """Pattern: an answer says so while a request for the server waits for a connection."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 2) as fleet:
                node, leaving_server = fleet.nodes[0], fleet.servers[0]
                registered = node.servers.find(leaving_server.name)
                original_open = node.pool.open

                async def open_with_update(address, timeout):
                    opened = await original_open(address, timeout)
                    if address == leaving_server.address:
                        node.header_handler.record_leaving(fleet.now, [registered])
                    return opened

                node.pool.open = open_with_update
                for number in range(20):
                    result = await fleet.send_request(0, f"k{number}")
                    self.assertEqual(200, result.status)
                self.assertEqual([], leaving_server.times)

        self.run_async(scenario)

    def test_kept_connections_are_closed(self) -> None:
        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1) as fleet:
                node, leaving_server = fleet.nodes[0], fleet.servers[0]
                await fleet.send_request(0)
                leaving_server.headers = LEAVING
                await fleet.send_request(0)
                self.assertIsNone(node.pool.acquire(ids.BackendId(leaving_server.name)))

        self.run_async(scenario)

    def test_all_servers_leaving_refuses_at_once(self) -> None:
        """Pattern: all servers of a service leave at once. Refusals that are certain are fast."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 2) as fleet:
                for server in fleet.servers:
                    server.headers = LEAVING
                await fleet.send_load(2.0, 50.0)
                result = await fleet.send_request(0)
                self.assertIsInstance(result, local_reply.LocalReply)
                self.assertEqual(local_reply.LocalReplyReason.NO_SERVER, result.reason)

        self.run_async(scenario)
