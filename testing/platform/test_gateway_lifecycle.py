"""Start and graceful stop of a gateway, disconnecting callers, and a second gateway."""

import asyncio
import contextlib
import re
import socket

from parameterized import parameterized

from caperdyke.platform import documents, headers, store
from caperdyke.protocol import relay_headers
from caperdyke.state import ids
from caperdyke.transport.gateway import context, node
from caperdyke.transport.http import http_server, server_protocol
from testing.knowledge import simulated_loop
from testing.platform import harness

SMALL_BUFFER_BYTES = 8 * 1024


class SlowCallerTest(harness.AsyncTestCase):
    """Callers that read slowly, inside the longest time that the configuration grants."""

    @parameterized.expand([("shorter", 5_000.0, 30.0), ("longer", 90_000.0, 90.0)])
    def test_pauses_are_bounded_by_a_constant(self, _name, timeout_ms, expected) -> None:
        """Guards against losing the response to a request that may take longer than the bound."""
        protocol = server_protocol.ServerProtocol
        self.patch(protocol, "stalled_max_s", protocol.stalled_max_s)
        configuration = harness.make_configuration()
        for route in configuration["routes"].values():
            route["timeoutMs"] = timeout_ms

        async def scenario() -> None:
            async with harness.start_gateway(configuration=configuration) as env:
                await env.wait_until(lambda: protocol.stalled_max_s == expected)

        self.run_async(scenario)


class CallerDisconnectTest(harness.AsyncTestCase):
    """A caller that closes its connection."""

    def test_server_connection_is_closed(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                server = env.servers[0]
                server.release.clear()
                request_task = asyncio.create_task(env.send_request())
                await env.wait_until(lambda: server.requests)
                host, _, port = env.gateway.node.settings.caller_address.rpartition(":")
                request_task.cancel()
                await asyncio.gather(request_task, return_exceptions=True)
                # The client library keeps the connection of a cancelled request open, so another
                # one is closed here.
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    b"Caperdyke-Request-Id: left\r\nCaperdyke-Request-Deadline: 3000\r\n\r\n"
                )
                await env.wait_until(lambda: len(server.requests) == 2)
                writer.close()
                await env.wait_until(lambda: server.closed_while_held >= 1)
                view = env.gateway.node.find_view("s1")
                await env.wait_until(lambda: view.in_flight <= 1)

        self.run_async(scenario)


class StartTest(harness.AsyncTestCase):
    """Requests that arrive during the initial sync of a gateway."""

    def test_request_waits_for_the_initial_sync(self) -> None:
        """Pattern: all gateways were killed, and callers reconnect as soon as one listens."""

        async def scenario() -> None:
            async with harness.start_gateway(
                waits_until_ready=False, prepare_store=lambda store: store.answers_allowed.clear()
            ) as env:
                request_task = asyncio.create_task(env.send_request())
                await env.wait_until(lambda: env.gateway.node.active_requests)
                env.store.answers_allowed.set()
                self.assertEqual(200, (await request_task)[0])

        # On the real clock, a busy machine lets the first read of the store time out.
        simulated_loop.run_with_sockets(scenario())

    def test_request_does_not_wait_for_a_store_that_refuses(self) -> None:
        def refuse_calls(store) -> None:
            store.is_down = True

        async def scenario() -> None:
            async with harness.start_gateway(
                waits_until_ready=False, prepare_store=refuse_calls
            ) as env:
                node = env.gateway.node
                await env.wait_until(node.initial_sync_finished.is_set)
                now = node.now()
                self.assertEqual(now, node.initial_sync.compute_wait_deadline(now, now + 3.0))
                self.assertEqual(503, (await env.send_request())[0])

        self.run_async(scenario)


class GracefulStopTest(harness.AsyncTestCase):
    """The stop signal while requests are in flight."""

    def test_request_in_flight_is_answered(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                server = env.servers[0]
                server.release.clear()
                request_task = asyncio.create_task(env.send_request())
                await env.wait_until(lambda: server.requests)
                env.stop.set()
                await env.wait_until(lambda: env.gateway.node.is_stopping)
                self.assertEqual(503, await env.get_readiness_status())
                self.assertEqual(503, (await env.look_up())[0])
                server.release.set()
                status, response_headers, body = await request_task
                self.assertEqual((200, b"body of s1"), (status, body))
                self.assertEqual("close", response_headers["connection"])
                await asyncio.wait_for(env.running, 10)

        self.run_async(scenario)

    def test_no_forwarded_request_is_aborted_under_load(self) -> None:
        """Pattern: callers use their open connections until the process exits."""

        async def scenario() -> None:
            async with harness.start_gateway(["s1", "s2"]) as env:
                address = env.gateway.node.settings.caller_address
                callers = [Caller(address, f"c{number}") for number in range(16)]
                request_task = [asyncio.create_task(caller.run()) for caller in callers]
                await asyncio.sleep(0.3)
                env.stop.set()
                await asyncio.wait_for(env.running, 10)
                for task in request_task:
                    task.cancel()
                await asyncio.gather(*request_task, return_exceptions=True)
                forwarded = {
                    request.headers["caperdyke-request-id"]
                    for server in env.servers
                    for request in server.requests
                }
                aborted = set().union(*(caller.aborted for caller in callers))
                self.assertTrue(sum(caller.answered for caller in callers) > 200)
                self.assertEqual(set(), aborted & forwarded)

        self.run_async(scenario)

    def test_relayed_answer_lost_when_the_process_ends(self) -> None:
        """Guards against a stop that does not wait for answers that a peer has not received."""

        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                env.servers[0].body = b"x" * 900_000
                env.gateway.node.fleet.has_host = lambda host: True
                env.stop.set()
                await asyncio.sleep(node.LOOKUP_EXPIRY_SECONDS / 2)
                reader, writer = await _relay_with_small_buffers(env)
                await env.wait_until(lambda: env.servers[0].requests)
                await env.wait_until(lambda: env.gateway.node.active_requests == 0)
                await asyncio.sleep(node.LOOKUP_EXPIRY_SECONDS / 2 + 0.7)
                self.assertFalse(env.running.done())
                writer.transport.resume_reading()
                received = await reader.read()
                self.assertTrue(received.endswith(env.servers[0].body), f"got {len(received)}")
                writer.close()
                await asyncio.wait_for(env.running, 10)

        self.run_async(scenario)

    def test_server_shutdown_timeout_matches_the_platform(self) -> None:
        """Pattern: the platform allows 20 s for a stop, and a download takes 10 s of them."""
        server = http_server.make_server(None, "127.0.0.1:0", stop_seconds=20.0)
        self.assertEqual(20.0, server.config.timeout_graceful_shutdown)


async def _relay_with_small_buffers(
    env: harness.GatewayHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a request as another instance does, on a connection that is not read."""
    address = env.gateway.node.settings.peer_address
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock)
    writer.transport.pause_reading()
    (server,) = [server for server, _ in env.gateway._servers if server.config.port == int(port)]
    await env.wait_until(lambda: server.server_state.connections)
    (protocol,) = server.server_state.connections
    protocol.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
    )
    relayed = relay_headers.RelayedRequest(ids.InstanceId("gateway-9"), 3000, 0, False, 1)
    fields = b"".join(
        b"%s: %s\r\n" % field
        for field in [
            (b"host", harness.HOST.encode()),
            (b"caperdyke-request-id", b"relayed"),
            (b"caperdyke-request-deadline", b"3000"),
            *relay_headers.encode_request(relayed),
        ]
    )
    writer.write(b"GET /read/1 HTTP/1.1\r\n" + fields + b"\r\n")
    return reader, writer


class Caller:
    """A caller that uses each connection until it ends, then opens another.

    :ivar aborted: ids of requests that were sent completely and whose connection ended without a
        complete answer.
    """

    def __init__(self, address: str, name: str) -> None:
        self.host, _, self.port = address.rpartition(":")
        self.name = name
        self.answered = 0
        self.aborted: set[str] = set()

    async def run(self) -> None:
        """Sends requests until no connection can be opened."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.host, int(self.port))
            except ConnectionError:
                return
            while await self._ask(reader, writer):
                await asyncio.sleep(0.003)
            writer.close()

    async def _ask(self, reader, writer) -> bool:
        request_id = f"{self.name}-{self.answered}-{len(self.aborted)}"
        head = f"GET /read/1 HTTP/1.1\r\nHost: {harness.HOST}\r\nCaperdyke-Request-Id: {request_id}"
        try:
            writer.write(head.encode() + b"\r\nCaperdyke-Request-Deadline: 3000\r\n\r\n")
            answer = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = re.search(rb"content-length: (\d+)", answer)
            await reader.readexactly(int(length[1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            self.aborted.add(request_id)
            return False
        self.answered += 1
        return b"connection: close" not in answer


@contextlib.asynccontextmanager
async def start_second_gateway(store_address: str, seeds: tuple[str, ...] = ()):
    """Runs another gateway and yields its context."""
    node_settings = harness.replace_settings(
        harness.make_settings(store_address), instance="gateway-2", seeds=seeds
    )
    second_context = context.GatewayContext(
        node_settings, headers, documents, store.Store(store_address)
    )
    second = node.GatewayNode(second_context, harness.make_platform_apps)
    running = asyncio.create_task(second.run(asyncio.Event()))
    try:
        yield second_context
    finally:
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running


class TwoGatewaysTest(harness.AsyncTestCase):
    """Gateways that discover each other through the store and by announcements."""

    def test_gateway_without_store_fetches_rows_from_a_peer(self) -> None:
        """Pattern: an instance starts while the store is not available to it."""

        async def scenario() -> None:
            async with harness.start_gateway() as env:
                first = env.gateway.node
                seeds = (first.settings.peer_address,)
                async with start_second_gateway(harness.pick_address(), seeds) as second:
                    await env.wait_until(lambda: second.fleet.is_ready)
                    self.assertEqual(1, second.routes.version)
                    usable = second.servers.list_usable(second.now())
                    self.assertEqual(2, len(usable))
                    # The servers were in service before this gateway started, so none is cold.
                    self.assertFalse(any(second.is_cold(second.now(), item) for item in usable))
                    await env.wait_until(
                        lambda: [o.is_ready for o in first.fleet.list_live(first.now())] == [True]
                    )
                    _, document = await env.look_up()
                    self.assertEqual(2, len(document["addresses"]))

        self.run_async(scenario)

    def test_advertised_limit_is_announced_to_peers(self) -> None:
        """Pattern: one instance gets an answer with a limit, and the others get none."""

        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                first = env.gateway.node
                env.servers[0].headers = [("Caperdyke-Server-Limit", "4.7")]
                async with start_second_gateway(first.settings.store_address) as second:
                    await env.wait_until(lambda: first.fleet.list_live(first.now()))
                    await env.send_request()
                    await env.wait_until(lambda: second.bounds.limits.find("s1") == 4.7)

        self.run_async(scenario)

    def test_missing_record_of_an_instance_is_requested(self) -> None:
        """Pattern: the datagram with an instance's record is lost, and later ones lack it."""

        async def scenario() -> None:
            async with harness.start_gateway() as env:
                first = env.gateway.node
                async with start_second_gateway(first.settings.store_address) as second:
                    await env.wait_until(lambda: first.fleet.list_live(first.now()))
                    await env.wait_until(lambda: second.fleet.list_live(second.now()))
                    # Later than the time after which silent instances are removed.
                    first.fleet.remove_silent(first.now() + 1000.0)
                    self.assertEqual([], first.fleet.list_others())
                    await env.wait_until(lambda: first.fleet.list_live(first.now()))

        self.run_async(scenario)
