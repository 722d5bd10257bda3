"""Requests that end each backend server that runs them."""

import asyncio
import contextlib

from parameterized import parameterized

from caperdyke.state import gateway_settings, ids, registration, routes
from caperdyke.transport.gateway import context, local_reply, sender
from testing.platform import fake_server, fleet_harness, harness

DEADLY = "/read/deadly"
HEALTHY = "/read/healthy"
SERVERS = 12
INSTANCES = 4


class CrashingServer(fleet_harness.TimedServer):
    """A server that ends when it runs a deadly request, with all its connections.

    :ivar ends: requests under which the server ended.
    """

    def __init__(self, name: str, read_clock) -> None:
        super().__init__(name, read_clock)
        self.ends: list[str] = []
        self._listener: asyncio.Server | None = None

    @contextlib.asynccontextmanager
    async def listen(self):
        """Listens on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            self.end()

    def end(self) -> None:
        """Closes the listening socket and all connections."""
        self._listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _answer_with_fault(
        self, fault: str, request: fake_server.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        if request.target != DEADLY:
            return await super()._answer_with_fault(fault, request, writer)
        self.ends.append(request.headers["caperdyke-request-id"])
        self.end()
        return False


def connect(nodes: list[context.GatewayContext]) -> None:
    """Lets each instance receive at once what another one learns about crashes."""

    def spread(sender_node: context.GatewayContext, digest: ids.RequestDigest) -> None:
        record = sender_node.crashing_requests.find(digest)
        for node in nodes:
            now = node.now()
            node.crashing_requests.merge(now, digest, record.starts, now - record.last_at)

    for node in nodes:
        node.on_crash_news = lambda digest, sender_node=node: spread(sender_node, digest)


def count_ended(fleet: fleet_harness.FleetHarness) -> int:
    """Returns the number of servers that ended."""
    return sum(bool(server.ends) for server in fleet.servers)


@contextlib.asynccontextmanager
async def open_fleet(kind: routes.RouteKind = routes.RouteKind.SAFE):
    """Yields a fleet whose servers end under deadly requests."""
    async with fleet_harness.open_fleet(INSTANCES, SERVERS, make_server=CrashingServer) as fleet:
        fleet.route = fleet_harness.make_route(kind)
        connect(fleet.nodes)
        yield fleet


class DeadlyRequestTest(harness.AsyncTestCase):
    """The same request comes again at any instance."""

    @parameterized.expand(
        [("repeatable", routes.RouteKind.SAFE), ("not repeatable", routes.RouteKind.UNSAFE)]
    )
    def test_deadly_request_is_rejected_after_it_ended_three_servers(self, _name, kind) -> None:
        """Guards against one request that ends server after server."""

        async def scenario() -> None:
            async with open_fleet(kind) as fleet:
                results = []
                for number in range(12):
                    results.append(await fleet.send_request(number % INSTANCES, path=DEADLY))
                    await asyncio.sleep(0.01)
                self.assertEqual(3, count_ended(fleet))
                last = results[-1]
                self.assertIsInstance(last, local_reply.LocalReply)
                self.assertEqual(503, last.status)
                self.assertEqual(local_reply.LocalReplyReason.CRASHES_SERVERS, last.reason)
                self.assertGreater(last.retry_seconds, 60.0)
                # A request that may have run is not answered as one that has not.
                self.assertEqual(502, results[0].status)
                for number in range(INSTANCES):
                    result = await fleet.send_request(number, path=HEALTHY)
                    self.assertEqual(200, result.status)

        self.run_async(scenario)

    def test_same_request_at_several_instances_ends_few_servers(self) -> None:
        async def scenario() -> None:
            async with open_fleet(routes.RouteKind.UNSAFE) as fleet:
                for _ in range(5):
                    sends = [fleet.send_request(n, "k1", DEADLY) for n in range(INSTANCES)]
                    await asyncio.gather(*sends)
                    await asyncio.sleep(0.01)
                self.assertLessEqual(count_ended(fleet), 6)

        self.run_async(scenario)

    def test_requests_beside_a_deadly_one_are_served_and_excused(self) -> None:
        """Guards against healthy requests that are rejected since they ran beside a deadly one."""

        async def scenario() -> None:
            async with open_fleet() as fleet:
                for server in fleet.servers:
                    server.release.clear()
                healthy = [
                    asyncio.create_task(fleet.send_request(n % INSTANCES, "k1", f"{HEALTHY}{n}"))
                    for n in range(8)
                ]
                await asyncio.sleep(0.05)
                deadly = asyncio.create_task(fleet.send_request(0, "k1", DEADLY))
                await asyncio.sleep(0.05)
                for server in fleet.servers:
                    server.release.set()
                await deadly
                answers = await asyncio.gather(*healthy)
                self.assertEqual([200] * 8, [answer.status for answer in answers])
                records = fleet.nodes[0].crashing_requests
                counts = [
                    records.count_crashes(fleet.now, digest) for digest in records.list_newest()
                ]
                self.assertEqual(1, sum(count > 0 for count in counts), counts)

        self.run_async(scenario)

    @parameterized.expand(
        [("truncated", "truncated"), ("closed", "closing"), ("unsigned", "unsigned")]
    )
    def test_connection_that_breaks_at_a_live_server_counts_nothing(self, _name, fault) -> None:
        """Pattern: a server loses an answer, or forgets a connection, and serves on."""

        async def scenario() -> None:
            async with open_fleet() as fleet:
                for server in fleet.servers:
                    server.faults = [fault] * 20
                for number in range(8):
                    await fleet.send_request(number % INSTANCES, path=HEALTHY)
                self.assertTrue(fleet.nodes[0].crashing_requests.is_empty)

        self.run_async(scenario)

    def test_server_that_left_as_announced_counts_nothing(self) -> None:
        """Pattern: a draining server exits while it still runs requests."""

        async def scenario() -> None:
            async with open_fleet(routes.RouteKind.UNSAFE) as fleet:
                for server in fleet.servers:
                    server.release.clear()
                sending = asyncio.create_task(fleet.send_request(0, path=DEADLY))
                await asyncio.sleep(0.05)
                for server in fleet.servers:
                    fleet.register(server, 2, registration.RegistrationState.DRAINING)
                    server.release.set()
                await sending
                await asyncio.sleep(0.05)
                self.assertEqual(1, count_ended(fleet))
                self.assertTrue(fleet.nodes[0].crashing_requests.is_empty)

        self.run_async(scenario)

    def test_request_of_another_caller_is_served(self) -> None:
        """Guards against a caller that gets requests of others rejected."""

        async def scenario() -> None:
            async with open_fleet() as fleet:
                for number in range(6):
                    await fleet.send_request(number % INSTANCES, path=DEADLY)
                self.assertEqual(3, count_ended(fleet))
                credentials = ((b"authorization", b"Bearer other"),)
                await fleet.send_request(0, path=DEADLY, extra_headers=credentials)
                self.assertGreater(count_ended(fleet), 3)

        self.run_async(scenario)

    def test_limit_of_zero_rejects_nothing(self) -> None:
        async def scenario() -> None:
            async with open_fleet(routes.RouteKind.UNSAFE) as fleet:
                for node in fleet.nodes:
                    changed: gateway_settings.GatewaySettings = harness.replace_settings(
                        node.settings, crashes_max=0
                    )
                    node.apply_settings(changed)
                for number in range(8):
                    result = await fleet.send_request(number % INSTANCES, path=DEADLY)
                    self.assertNotIsInstance(result, sender.ServerAnswer)
                self.assertGreater(count_ended(fleet), 3)

        self.run_async(scenario)

    def test_server_that_ends_after_it_was_found_running_counts(self) -> None:
        """Pattern: a connection breaks by itself shortly before the server ends."""

        async def scenario() -> None:
            async with open_fleet(routes.RouteKind.UNSAFE) as fleet:
                for server in fleet.servers:
                    server.faults = ["truncated"]
                await fleet.send_request(0, "k1", HEALTHY)
                await asyncio.sleep(0.05)
                await fleet.send_request(0, "k1", DEADLY)
                await asyncio.sleep(0.05)
                records = fleet.nodes[0].crashing_requests
                self.assertEqual(1, len(records.list_newest()))

        self.run_async(scenario)
