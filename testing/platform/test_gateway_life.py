"""Callers that leave, planned stops and other gateways."""

import asyncio
import contextlib
import re

from caperdyke.platform import documents, headers, store
from caperdyke.transport.gateway import context, node
from caperdyke.transport.http import http_server
from testing.platform import harness


class CallerLeavesTest(harness.AsyncTestCase):
    """A caller that closes its connection."""

    def test_work_ends_at_the_server(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                server = played.servers[0]
                server.hold.clear()
                asking = asyncio.create_task(played.ask())
                await played.wait_until(lambda: server.seen)
                host, _, port = played.gateway.node.settings.caller_address.rpartition(":")
                asking.cancel()
                await asyncio.gather(asking, return_exceptions=True)
                # The client library keeps a cancelled connection; another one is closed here.
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    b"Caperdyke-Request-Id: left\r\nCaperdyke-Request-Deadline: 3000\r\n\r\n"
                )
                await played.wait_until(lambda: len(server.seen) == 2)
                writer.close()
                await played.wait_until(lambda: server.cut >= 1)
                view = played.gateway.node.find_view("s1")
                await played.wait_until(lambda: view.in_flight <= 1)

        self.run_async(scene)


class StartTest(harness.AsyncTestCase):
    """Requests that arrive while a gateway still reads what it needs."""

    def test_request_waits_for_the_first_reads(self) -> None:
        """Pattern: all gateways were killed, and callers come back as soon as one listens."""

        async def scene() -> None:
            async with harness.open_stage(
                is_ready_awaited=False, prepare_store=lambda store: store.is_open.clear()
            ) as played:
                asking = asyncio.create_task(played.ask())
                await played.wait_until(lambda: played.gateway.node.active_requests)
                played.store.is_open.set()
                self.assertEqual(200, (await asking)[0])

        self.run_async(scene)

    def test_request_does_not_wait_for_a_store_that_refuses(self) -> None:
        def shut(store) -> None:
            store.is_down = True

        async def scene() -> None:
            async with harness.open_stage(is_ready_awaited=False, prepare_store=shut) as played:
                node = played.gateway.node
                await played.wait_until(node.initial_sync_finished.is_set)
                now = node.now()
                self.assertEqual(now, node.initial_sync.compute_wait_deadline(now, now + 3.0))
                self.assertEqual(503, (await played.ask())[0])

        self.run_async(scene)


class PlannedStopTest(harness.AsyncTestCase):
    """The signal to stop while a request is under way."""

    def test_request_under_way_is_answered(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                server = played.servers[0]
                server.hold.clear()
                asking = asyncio.create_task(played.ask())
                await played.wait_until(lambda: server.seen)
                played.stop.set()
                await played.wait_until(lambda: played.gateway.node.is_stopping)
                self.assertEqual(503, await played.ask_ready())
                self.assertEqual(503, (await played.look_up())[0])
                server.hold.set()
                status, found, body = await asking
                self.assertEqual((200, b"body of s1"), (status, body))
                self.assertEqual("close", found["connection"])
                await asyncio.wait_for(played.running, 10)

        self.run_async(scene)

    def test_no_request_that_was_passed_on_is_cut_off_under_load(self) -> None:
        """Pattern: callers use their open connections until the process is gone."""

        async def scene() -> None:
            async with harness.open_stage(["s1", "s2"]) as played:
                address = played.gateway.node.settings.caller_address
                callers = [Caller(address, f"c{number}") for number in range(16)]
                asking = [asyncio.create_task(caller.run()) for caller in callers]
                await asyncio.sleep(0.3)
                played.stop.set()
                await asyncio.wait_for(played.running, 10)
                for task in asking:
                    task.cancel()
                await asyncio.gather(*asking, return_exceptions=True)
                passed_on = {
                    seen.headers["caperdyke-request-id"]
                    for server in played.servers
                    for seen in server.seen
                }
                cut = set().union(*(caller.cut for caller in callers))
                self.assertTrue(sum(caller.answered for caller in callers) > 200)
                self.assertEqual(set(), cut & passed_on)

        self.run_async(scene)

    def test_server_library_waits_as_long_as_the_platform(self) -> None:
        """Pattern: a platform that allows 20 s, and a download that needs ten of them."""
        server = http_server.make_server(None, "127.0.0.1:0", stop_seconds=20.0)
        self.assertEqual(20.0, server.config.timeout_graceful_shutdown)


class Caller:
    """A caller that uses each connection until it ends, then opens another.

    :ivar cut: requests that were sent whole and whose connection ended without a whole answer.
    """

    def __init__(self, address: str, name: str) -> None:
        self.host, _, self.port = address.rpartition(":")
        self.name = name
        self.answered = 0
        self.cut: set[str] = set()

    async def run(self) -> None:
        """Asks until nobody listens."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.host, int(self.port))
            except ConnectionError:
                return
            while await self._ask(reader, writer):
                await asyncio.sleep(0.003)
            writer.close()

    async def _ask(self, reader, writer) -> bool:
        request_id = f"{self.name}-{self.answered}-{len(self.cut)}"
        head = f"GET /read/1 HTTP/1.1\r\nHost: {harness.HOST}\r\nCaperdyke-Request-Id: {request_id}"
        try:
            writer.write(head.encode() + b"\r\nCaperdyke-Request-Deadline: 3000\r\n\r\n")
            answer = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = re.search(rb"content-length: (\d+)", answer)
            await reader.readexactly(int(length[1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            self.cut.add(request_id)
            return False
        self.answered += 1
        return b"connection: close" not in answer


@contextlib.asynccontextmanager
async def open_second(store_address: str, seeds: tuple[str, ...] = ()):
    """Yields the state of another gateway, which runs."""
    checked = harness.replace_settings(
        harness.make_settings(store_address), instance="gateway-2", seeds=seeds
    )
    shared = context.GatewayContext(checked, headers, documents, store.Store(store_address))
    second = node.GatewayNode(shared, harness.make_platform_apps)
    running = asyncio.create_task(second.run(asyncio.Event()))
    try:
        yield shared
    finally:
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running


class TwoGatewaysTest(harness.AsyncTestCase):
    """Gateways that find each other through the store and by datagrams."""

    def test_second_gateway_without_store_learns_from_the_first(self) -> None:
        """Pattern: an instance starts while the store turns it away."""

        async def scene() -> None:
            async with harness.open_stage() as played:
                first = played.gateway.node
                seeds = (first.settings.peer_address,)
                async with open_second(harness.pick_address(), seeds) as second:
                    await played.wait_until(lambda: second.fleet.is_ready)
                    self.assertEqual(1, second.routes.version)
                    usable = second.servers.list_usable(second.now())
                    self.assertEqual(2, len(usable))
                    # They served before this gateway started, so nothing holds them back.
                    self.assertFalse(any(second.is_cold(second.now(), item) for item in usable))
                    await played.wait_until(
                        lambda: [o.is_ready for o in first.fleet.list_live(first.now())] == [True]
                    )
                    _, document = await played.look_up()
                    self.assertEqual(2, len(document["addresses"]))

        self.run_async(scene)

    def test_limit_of_a_server_is_known_where_none_of_its_answers_came(self) -> None:
        """Pattern: one instance hears of a limit, and the others would find it out themselves."""

        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                first = played.gateway.node
                played.servers[0].headers = [("Caperdyke-Server-Limit", "4.7")]
                async with open_second(first.settings.store_address) as second:
                    await played.wait_until(lambda: first.fleet.list_live(first.now()))
                    await played.ask()
                    await played.wait_until(lambda: second.bounds.limits.find("s1") == 4.7)

        self.run_async(scene)

    def test_instance_whose_record_was_lost_is_asked_for_it(self) -> None:
        """Pattern: the datagram that carries an instance's record is lost; later ones are short."""

        async def scene() -> None:
            async with harness.open_stage() as played:
                first = played.gateway.node
                async with open_second(first.settings.store_address) as second:
                    await played.wait_until(lambda: first.fleet.list_live(first.now()))
                    await played.wait_until(lambda: second.fleet.list_live(second.now()))
                    # More than the time after which silent instances are forgotten.
                    first.fleet.remove_silent(first.now() + 1000.0)
                    self.assertEqual([], first.fleet.list_others())
                    await played.wait_until(lambda: first.fleet.list_live(first.now()))

        self.run_async(scene)
