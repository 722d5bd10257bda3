"""Requests through a whole gateway, with faults of backend servers in tables."""

import asyncio

from parameterized import parameterized

from caperdyke.coordination.placement import server_view
from testing.platform import harness

# Looks in a row that must find no progress.
STEADY_LOOKS = 20
# Time in which a request that is given up would end, in seconds.
SETTLE_SECONDS = 0.3


class ForwardingTest(harness.AsyncTestCase):
    """What is passed on, and what comes back."""

    def test_request_and_answer_are_unchanged(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                status, found, body = await played.ask("/read/1?a=1&b=%20", request_id="r1")
                seen = played.servers[0].seen[0]
                self.assertEqual((200, b"body of s1"), (status, body))
                self.assertEqual("signed-s1", found["caperdyke-server-signature"])
                self.assertEqual("/read/1?a=1&b=%20", seen.target)
                self.assertEqual("r1", seen.headers["caperdyke-request-id"])
                self.assertEqual("s1", seen.headers["caperdyke-expect-instance"])
                self.assertEqual(harness.HOST, seen.headers["host"])
                self.assertTrue(2000 < int(seen.headers["caperdyke-request-deadline"]) <= 3000)

        self.run_async(scene)

    def test_body_arrives_whole(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                sent = bytes(range(256)) * 100
                status, _, _ = await played.ask("/buy/1", "POST", sent)
                self.assertEqual((200, sent), (status, played.servers[0].seen[0].body))

        self.run_async(scene)

    def test_large_body_arrives_whole(self) -> None:
        async def scene() -> None:
            limits = harness.make_configuration()["limits"] | {"maxBodyBytes": 8_000_000}
            async with harness.open_stage(
                ["s1"], harness.make_configuration(limits=limits)
            ) as played:
                sent = bytes(range(256)) * 20_000
                status, _, _ = await played.ask("/buy/1", "POST", sent)
                self.assertEqual((200, sent), (status, played.servers[0].seen[0].body))

        self.run_async(scene)

    def test_connection_is_kept(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                for _ in range(3):
                    await played.ask()
                self.assertEqual(1, played.servers[0].connections)

        self.run_async(scene)

    def test_long_answer_is_passed_on_in_parts(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                played.servers[0].body = bytes(range(256)) * 12_000
                status, found, body = await played.ask()
                self.assertEqual(200, status)
                self.assertEqual(str(len(played.servers[0].body)), found["content-length"])
                self.assertEqual(played.servers[0].body, body)
                self.assertEqual(200, (await played.ask())[0])
                self.assertEqual(1, played.servers[0].connections)

        self.run_async(scene)

    def test_slow_caller_holds_the_server_back(self) -> None:
        """Pattern: callers on bad links take minutes for a large answer."""

        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                server = played.servers[0]
                server.body = bytes(range(256)) * 200_000
                address = played.gateway.node.settings.caller_address
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    b"Caperdyke-Request-Deadline: 30000\r\n\r\n"
                )
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertIn(b" 200 ", head)
                await _wait_until_steady(server.count_unsent)
                # What the gateway and the kernel hold is far less than the answer.
                unsent = server.count_unsent()
                self.assertTrue(unsent >= len(server.body) / 2, f"got {unsent} bytes unsent")
                body = await reader.readexactly(len(server.body))
                self.assertEqual(server.body, body)
                writer.close()

        self.run_async(scene)

    @parameterized.expand(
        [
            ("no route", "/other/1", "GET", b"", 404),
            ("body too large", "/buy/1", "POST", b"x" * 100_001, 413),
        ]
    )
    def test_wrong_request(self, _name, path, method, body, expected) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                status, _, _ = await played.ask(path, method, body)
                self.assertEqual(expected, status)
                self.assertEqual([], played.servers[0].seen)

        self.run_async(scene)

    @parameterized.expand(
        [
            ("host named as a header of the connection", b"Connection: host\r\n", b" 200 "),
            ("two hosts", b"Host: other.example\r\n", b" 400 "),
        ]
    )
    def test_odd_headers(self, _name, line, expected) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                host, _, port = played.gateway.node.settings.caller_address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /read/1? HTTP/1.1\r\nHost: shop.example\r\n" + line + b"\r\n")
                head = await reader.readuntil(b"\r\n")
                writer.close()
                self.assertIn(expected, head)
                targets = [seen.target for seen in played.servers[0].seen]
                self.assertEqual(["/read/1?"] if expected == b" 200 " else [], targets)

        self.run_async(scene)

    def test_without_configuration_nothing_is_denied(self) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"], {}, is_ready_awaited=False) as played:
                status, found, _ = await played.ask()
                self.assertEqual(503, status)
                self.assertIn("retry-after", found)
                self.assertEqual(503, await played.ask_ready())

        self.run_async(scene)


class ServerFaultTest(harness.AsyncTestCase):
    """A fault of the first server that is asked, for work that may and may not be repeated."""

    @parameterized.expand(
        [
            # Fault; status of a safe and of an unsafe request; servers that see each.
            ("shed", 200, 200, 2, 2),
            ("misdirected", 200, 200, 2, 2),
            ("reset", 200, 502, 2, 1),
            ("truncated", 200, 502, 2, 1),
            ("spoilt", 200, 502, 2, 1),
            ("unsigned", 200, 502, 2, 1),
            ("only-earlier", 200, 502, 2, 1),
            ("error", 200, 500, 2, 1),
            ("unframed", 200, 200, 1, 1),
            ("unframed reset", 200, 502, 2, 1),
            ("extra", 200, 200, 1, 1),
            ("earlier", 200, 200, 1, 1),
            ("late copy", 200, 200, 1, 1),
            ("late copy without id", 200, 200, 1, 1),
            ("closing", 200, 200, 1, 1),
        ]
    )
    def test_fault(self, fault, safe_status, unsafe_status, safe_sends, unsafe_sends) -> None:
        async def scene() -> None:
            for path, method, expected, sends in (
                ("/read/1", "GET", safe_status, safe_sends),
                ("/buy/1", "POST", unsafe_status, unsafe_sends),
            ):
                async with harness.open_stage() as played:
                    first, second = await self.order_servers(played)
                    first.faults = [fault]
                    status, _, body = await played.ask(path, method)
                    count = len(first.seen) + len(second.seen) - 1
                    self.assertEqual((expected, sends), (status, count), path)
                    if expected == 200:
                        answering = second if sends == 2 else first
                        self.assertEqual(answering.body, body)

        self.run_async(scene)

    @parameterized.expand([("shed", 503), ("reset", 502), ("truncated", 502), ("error", 500)])
    def test_fault_of_every_server(self, fault, expected) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                for server in played.servers:
                    server.faults = [fault]
                status, found, _ = await played.ask()
                self.assertEqual(expected, status)
                self.assertEqual(expected == 503, "retry-after" in found)

        self.run_async(scene)

    async def order_servers(self, played) -> list:
        """Returns the servers with that first which gets the requests of the usual object."""
        _, _, body = await played.ask()
        return sorted(played.servers, key=lambda server: server.body != body)


class SilentServerTest(harness.AsyncTestCase):
    """A server that takes a request and says nothing."""

    @parameterized.expand([("/read/1", "GET"), ("/buy/1", "POST")])
    def test_final_answer_comes_before_the_deadline(self, path, method) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                played.servers[0].hold.clear()
                async with asyncio.timeout(2.0):
                    status, _, _ = await played.ask(path, method, wait_ms=300)
                self.assertEqual(504, status)
                await played.wait_until(lambda: played.servers[0].cut == 1)

        self.run_async(scene)


async def _wait_until_steady(count) -> None:
    """Waits until a figure has not changed for a while."""
    steady, last = 0, None
    while steady < STEADY_LOOKS:
        await asyncio.sleep(0.01)
        steady, last = (steady + 1 if count() == last else 0), count()


class PowerLossTest(harness.AsyncTestCase):
    """Pattern: a server loses power while it works; nothing comes from it, not even a reset."""

    def fall_silent(self, node, name: str) -> None:
        """Makes a server look silent: its oldest request is long overdue."""
        overdue = server_view.PendingRequest(node.now() - 100.0, node.now() - 99.0)
        node.find_view(name).pending.appendleft(overdue)

    def test_request_under_way_is_waited_for(self) -> None:
        """Pattern: a slow server is taken for a silent one while the gateway stops."""

        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                server, node = played.servers[0], played.gateway.node
                server.hold.clear()
                asking = asyncio.create_task(played.ask())
                await played.wait_until(lambda: server.seen)
                self.fall_silent(node, "s1")
                played.stop.set()
                await played.wait_until(lambda: node.is_stopping)
                await asyncio.sleep(SETTLE_SECONDS)
                self.assertFalse(asking.done())
                server.hold.set()
                self.assertEqual(200, (await asking)[0])

        self.run_async(scene)

    def test_silent_server_gets_nothing_new(self) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                self.fall_silent(played.gateway.node, "s1")
                answers = [await played.ask(key=f"k{number}") for number in range(6)]
                self.assertEqual({b"body of s2"}, {body for _, _, body in answers})

        self.run_async(scene)


class NearHomeTest(harness.AsyncTestCase):
    """Pattern: large answers come from the other failure domain of the region all day."""

    @parameterized.expand(
        [("repeatable", "/read/1", "GET", 1), ("not repeatable", "/buy/1", "POST", 0)]
    )
    def test_copy_warms_the_near_home(self, _name, path, method, expected) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                node = played.gateway.node
                near, far = played.servers
                far.body = near.body = b"x" * 20_000
                entry = far.register("reader", "hall-2", sequence=2)
                await played.store.put("servers", "s2", entry)
                await played.wait_until(
                    lambda: any(
                        item.registration.server.domain == "hall-2"
                        for item in node.servers.list_usable(node.now())
                    )
                )
                # The object is known to be warm on the far server only.
                node.find_view("s2").record_answer(node.now(), "k1", None)
                route = node.routes.find_route(harness.HOST, path)
                node.times.find(route.name, route.objective_ms / 1000).record_size(20_000)
                status, _, _ = await played.ask(path, method)
                self.assertEqual((200, 1), (status, len(far.seen)))
                if expected:
                    await played.wait_until(lambda: near.seen)
                    await played.wait_until(lambda: node.find_view("s1").is_warm(node.now(), "k1"))
                    # The next request stays near.
                    await played.ask(path, method)
                    self.assertEqual((2, 1), (len(near.seen), len(far.seen)))
                else:
                    self.assertEqual([], near.seen)

        self.run_async(scene)
