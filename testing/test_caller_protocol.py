"""Requests that a caller sends ahead on one connection."""

import asyncio

import testtools
from parameterized import parameterized

from caperdyke.state import clock
from testing import pipelined_connection


class ProtocolTestCase(testtools.TestCase):
    """Runs a scenario on a connection."""

    def run_on_connection(self, scenario, **options) -> None:
        """Runs a coroutine function with a setting."""

        async def run() -> None:
            async with pipelined_connection.open_setting(**options) as setting:
                await scenario(setting, setting.app, setting.caller)

        asyncio.run(run())


class OrderTest(ProtocolTestCase):
    """P1, P3: what starts at once, and the order of the responses."""

    def test_second_answered_first(self) -> None:
        """Guards against a response that overtakes an earlier one."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            caller.send("GET /1", "GET /2", "HEAD /3")
            self.assertEqual(["/1", "/2", "/3"], await setting.wait_for_starts(3))
            self.assertEqual(b"", bytes(caller.reader._buffer))
            app.release("/1")
            self.assertEqual((b"/1", False), await caller.read_response())
            self.assertEqual((b"/2", False), await caller.read_response())

        self.run_on_connection(scenario)

    @parameterized.expand(
        [
            ("purchase behind look-up", ["GET /1", "POST /2 xyz"], 1),
            ("purchase without a body", ["GET /1", "DELETE /2"], 1),
            ("look-up with a body", ["GET /1", "GET /2 xyz"], 1),
            ("look-up that may not be repeated", ["GET /1", "GET /unsafe"], 1),
            ("look-up behind purchase", ["POST /1 xyz", "GET /2"], 1),
            ("look-up behind a waiting purchase", ["GET /1", "GET /2", "POST /3 x", "GET /4"], 2),
            ("look-ups", ["GET /1", "OPTIONS /2", "HEAD /3"], 3),
        ]
    )
    def test_starts_while_the_first_is_unanswered(self, _name, requests, expected) -> None:
        """Guards against a purchase that runs before it is certain that it is answered."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            caller.send(*requests)
            started = await setting.wait_for_starts(expected)
            self.assertEqual(expected, len(started))
            app.release("/1")
            paths = [request.split(" ")[1] for request in requests]
            self.assertEqual(paths, await setting.wait_for_starts(len(paths)))
            for request, path in zip(requests, paths, strict=True):
                if not request.startswith("HEAD"):
                    self.assertEqual(path.encode(), (await caller.read_response())[0])

        self.run_on_connection(scenario)

    def test_purchase_waits_for_the_slowest_of_all_before_it(self) -> None:
        async def scenario(setting, app, caller) -> None:
            app.hold("/1", "/2")
            caller.send("GET /1", "GET /2", "POST /3 abc")
            await setting.wait_for_starts(2)
            app.release("/1")
            await caller.read_response()
            self.assertEqual(["/1", "/2"], await setting.wait_for_starts(2))
            app.release("/2")
            await setting.wait_for_starts(3)
            self.assertEqual(b"abc", app.bodies["/3"])

        self.run_on_connection(scenario)

    def test_large_body_of_a_waiting_purchase(self) -> None:
        """Guards against a body that is not read on after its request has started."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            body = "x" * 1_000_000
            caller.send("GET /1", f"POST /2 {body}", "GET /3")
            await setting.wait_for_starts(1)
            app.release("/1")
            bodies = [(await caller.read_response())[0] for _ in range(3)]
            self.assertEqual([b"/1", b"/2", b"/3"], bodies)
            self.assertEqual(len(body), len(app.bodies["/2"]))

        self.run_on_connection(scenario)

    def test_slow_first_one_holds_only_what_must_follow(self) -> None:
        """Guards against look-ups that start late because an earlier one is slow."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/0")
            setting.policy.requests_max = 2
            caller.send(*(f"GET /{number}" for number in range(50)))
            self.assertEqual(50, len(await setting.wait_for_starts(50)))
            app.release("/0")
            for number in range(50):
                self.assertEqual(b"/%d" % number, (await caller.read_response())[0])

        self.run_on_connection(scenario)

    def test_request_behind_an_upgrade(self) -> None:
        """Guards against losing what follows a request to upgrade in the same read."""

        async def scenario(setting, app, caller) -> None:
            caller.send("GET /1", "GET /2", headers="Connection: upgrade\r\nUpgrade: h2c\r\n")
            bodies = [(await caller.read_response())[0] for _ in range(2)]
            self.assertEqual([b"/1", b"/2"], bodies)

        self.run_on_connection(scenario)

    @parameterized.expand(
        [
            ("with a length", b"Content-Length: 28\r\n", b"GET /3 HTTP/1.1\r\nHost: x\r\n\r\n"),
            (
                "in chunks",
                b"Transfer-Encoding: chunked\r\n",
                b"a\r\nGET /3 HTT\r\n12\r\nP/1.1\r\nHost: x\r\n\r\n\r\n0\r\n\r\n",
            ),
        ]
    )
    def test_body_of_an_upgrade_runs_as_a_request(self, _name, framing, body) -> None:
        """Guards against a request that runs without its body, and a body that runs."""

        async def run(piece: int) -> None:
            async with pipelined_connection.open_setting() as setting:
                head = b"POST /1 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
                head += b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n" + framing + b"\r\n"
                data = head + body + b"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
                for start in range(0, len(data), piece):
                    setting.caller.writer.write(data[start : start + piece])
                    await asyncio.sleep(0.001)
                bodies = [(await setting.caller.read_response())[0] for _ in range(2)]
                self.assertEqual([b"/1", b"/2"], bodies)
                self.assertEqual(["/1", "/2"], setting.app.started)
                sent = b"GET /3 HTTP/1.1\r\nHost: x\r\n\r\n"
                self.assertEqual(sent, setting.app.bodies["/1"])

        for piece in (1000, 200, 37):
            asyncio.run(run(piece))

    def test_malformed_body_of_an_upgrade(self) -> None:
        async def scenario(setting, app, caller) -> None:
            caller.writer.write(
                b"POST /1 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
                b"Transfer-Encoding: chunked\r\n\r\nno size\r\n"
            )
            self.assertEqual(["400*"], await caller.read_all())

        self.run_on_connection(scenario)

    def test_requests_in_small_pieces(self) -> None:
        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            data = b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
            for number in range(0, len(data), 7):
                caller.writer.write(data[number : number + 7])
                await asyncio.sleep(0.001)
            await setting.wait_for_starts(2)
            app.release("/1")
            bodies = [(await caller.read_response())[0] for _ in range(2)]
            self.assertEqual([b"/1", b"/2"], bodies)

        self.run_on_connection(scenario)


class BoundsTest(ProtocolTestCase):
    """P2: requests in progress and bytes of buffered responses."""

    @parameterized.expand([("default of the test", 4), ("two", 2), ("switched off", 1)])
    def test_requests_in_progress(self, _name, bound) -> None:
        async def scenario(setting, app, caller) -> None:
            paths = [f"/{number}" for number in range(10)]
            app.hold(*paths)
            setting.policy.requests_max = bound
            caller.send(*(f"GET {path}" for path in paths))
            self.assertEqual(bound, len(await setting.wait_for_starts(bound)))
            self.assertTrue(setting.protocol.flow.read_paused)
            for number, path in enumerate(paths):
                app.release(path)
                expected = min(10, number + 1 + bound)
                self.assertEqual(expected, len(await setting.wait_for_starts(expected)))
                self.assertEqual(path.encode(), (await caller.read_response())[0])
            self.assertFalse(setting.protocol.flow.read_paused)

        self.run_on_connection(scenario)

    def test_reading_pauses(self) -> None:
        """Guards against a caller that fills the memory with requests."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/0")
            setting.policy.requests_max = 1
            filler = "X-Filler: " + "x" * 1000 + "\r\n"
            caller.send("GET /0", *["GET /1"] * 1500, headers=filler)
            await setting.wait_for_starts(1)
            # One read of the transport holds at most 256 KiB.
            self.assertTrue(setting.pipeline.count_waiting() <= 256)
            app.release("/0")
            for number in range(1501):
                self.assertEqual(b"/%d" % min(number, 1), (await caller.read_response())[0])

        self.run_on_connection(scenario)

    def test_buffered_bytes(self) -> None:
        """Guards against unbounded buffers behind a slow response, and against a deadlock."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/0")
            setting.policy.bytes_max = 300_000
            paths = [f"/{number}" for number in range(1, 5)]
            for path in paths:
                app.parts[path] = [b"x" * 10_000] * 20
            caller.send("GET /0", *(f"GET {path}" for path in paths))
            await setting.wait_for_starts(4)
            await setting.wait_until(lambda: setting.protocol.flow.read_paused)
            buffered = setting.pipeline.buffered_bytes
            self.assertTrue(250_000 < buffered <= 300_000, f"got {buffered}")
            app.release("/0")
            await caller.read_response()
            for _ in paths:
                self.assertEqual(200_000, len((await caller.read_response())[0]))
            await setting.wait_until(lambda: setting.pipeline.buffered_bytes == 0)
            self.assertFalse(setting.protocol.flow.read_paused)

        self.run_on_connection(scenario)

    def test_part_larger_than_the_bound(self) -> None:
        async def scenario(setting, app, caller) -> None:
            app.hold("/0")
            setting.policy.bytes_max = 100_000
            app.parts["/1"] = [b"x" * 150_000]
            caller.send("GET /0", "GET /1", "GET /2")
            await setting.wait_for_starts(2)
            self.assertTrue(setting.pipeline.buffered_bytes <= 100_000)
            app.release("/0")
            sizes = [len((await caller.read_response())[0]) for _ in range(3)]
            self.assertEqual([2, 150_000, 2], sizes)

        self.run_on_connection(scenario)

    def test_caller_that_reads_slowly(self) -> None:
        """Guards against buffered responses that move to the transport of a slow caller."""

        async def scenario(setting, app, caller) -> None:
            setting.policy.bytes_max = 1_000_000
            paths = [f"/{number}" for number in range(8)]
            for path in paths:
                app.parts[path] = [b"x" * 50_000] * 40
            app.hold("/0")
            caller.reader._transport.pause_reading()
            caller.send(*(f"GET {path}" for path in paths))
            await setting.wait_for_starts(4)
            app.release("/0")
            await setting.wait_until(lambda: setting.protocol.flow.write_paused)
            for _ in range(20):
                await asyncio.sleep(0.01)
                held = setting.pipeline.buffered_bytes
                held += setting.protocol.transport.get_write_buffer_size()
                # The transport accepts a part whenever it holds less than 64 KiB.
                self.assertTrue(held <= 1_000_000 + 65_536 + 50_000, f"got {held}")
            caller.reader._transport.resume_reading()
            for _ in paths:
                self.assertEqual(2_000_000, len((await caller.read_response())[0]))

        self.run_on_connection(scenario, receive_buffer=65_536)


class CloseTest(ProtocolTestCase):
    """P4, P5: responses that end the connection, and the caller's disconnect."""

    @parameterized.expand(
        [
            ("announced", "closes", ["/1", "/2*"]),
            ("broken off", "breaks off", ["/1"]),
            ("failed before it began", "raises", ["/1", "500*"]),
        ]
    )
    def test_close_in_the_middle(self, _name, fault, expected) -> None:
        """Guards against responses behind a close and against purchases that run behind it."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1", "/3")
            app.faults["/2"] = fault
            app.parts["/2"] = [b"/", b"2"]
            caller.send("GET /1", "GET /2", "GET /3", "POST /4 abc", "GET /5")
            await setting.wait_for_starts(3)
            await setting.wait_until(lambda: app.disconnected == ["/3"])
            app.release("/1")
            self.assertEqual(expected, await caller.read_all())
            self.assertEqual(["/1", "/2", "/3"], app.started)

        self.run_on_connection(scenario)

    def test_broken_off_response_at_the_head_of_the_line(self) -> None:
        async def scenario(setting, app, caller) -> None:
            app.hold("/1", "/2")
            app.faults["/1"], app.parts["/1"] = "breaks off", [b"ab", b"cd"]
            caller.send("GET /1", "GET /2", "POST /3 x")
            await setting.wait_for_starts(2)
            app.release("/1")
            data = await caller.reader.read()
            self.assertTrue(data.endswith(b"\r\n\r\nab"), data)
            await setting.wait_until(lambda: app.disconnected == ["/2"])
            self.assertEqual(["/1", "/2"], app.started)

        self.run_on_connection(scenario)

    @parameterized.expand(
        [
            ("caller closes", "1.1", "Connection: close\r\n"),
            ("older version", "1.0", ""),
            ("older version that keeps alive", "1.0", "Connection: keep-alive\r\n"),
        ]
    )
    def test_request_that_closes(self, _name, version, headers) -> None:
        """Guards against serving what follows the last request of a connection."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            caller.send("GET /1")
            caller.send("GET /2", version=version, headers=headers)
            caller.send("GET /3", "POST /4 x")
            await setting.wait_for_starts(2)
            app.release("/1")
            self.assertEqual(["/1", "/2*"], await caller.read_all())
            self.assertEqual(["/1", "/2"], app.started)

        self.run_on_connection(scenario)

    @parameterized.expand([("close", False), ("reset", True)])
    def test_disconnect_ends_all(self, _name, is_reset) -> None:
        """Guards against servers that work for a caller that is gone."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1", "/2", "/3")
            caller.send("GET /1", "GET /2", "GET /3", "POST /4 x")
            await setting.wait_for_starts(3)
            if is_reset:
                caller.writer.transport.abort()
            else:
                caller.writer.close()
            await setting.wait_until(lambda: len(app.disconnected) == 3)
            await setting.settle()
            self.assertEqual(["/1", "/2", "/3"], app.started)

        self.run_on_connection(scenario)

    @parameterized.expand([("close", False), ("reset", True)])
    def test_disconnect_while_reading_is_paused(self, _name, is_reset) -> None:
        """Guards against a disconnect that is not noticed behind unread requests."""

        async def scenario(setting, app, caller) -> None:
            setting.policy.requests_max = 2
            app.hold("/1", "/2", "/3")
            caller.send("GET /1", "GET /2", "GET /3")
            await setting.wait_for_starts(2)
            caller.send("GET /4")
            await setting.settle()
            if is_reset:
                caller.writer.transport.abort()
            else:
                caller.writer.close()
            await setting.wait_until(lambda: len(app.disconnected) == 2)
            await setting.settle()
            self.assertEqual(["/1", "/2"], app.started)

        self.run_on_connection(scenario)

    def test_disconnect_while_a_response_waits_for_room(self) -> None:
        """Guards against requests that wait for ever in a buffer that nobody empties."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/0")
            setting.policy.bytes_max = 100_000
            app.parts["/1"] = [b"x" * 10_000] * 20
            caller.send("GET /0", "GET /1")
            await setting.wait_until(lambda: app.sent.get("/1", 0) >= 5)
            caller.writer.transport.abort()
            await setting.wait_until(lambda: app.disconnected == ["/0"])
            await setting.wait_until(lambda: not setting.protocol.tasks)

        self.run_on_connection(scenario)

    @parameterized.expand(
        [
            ("behind responses", ["GET /1", "GET /2"], ["/1", "/2", "400*"]),
            ("behind a waiting purchase", ["GET /1", "POST /2 x"], ["/1", "/2", "400*"]),
        ]
    )
    def test_malformed_request(self, _name, requests, expected) -> None:
        """Guards against a 400 that the caller takes for the response to an earlier request."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            caller.send(*requests)
            caller.writer.write(b"no request\r\n\r\n")
            await setting.wait_for_starts(1)
            caller.send("GET /9")
            await setting.settle()
            app.release("/1")
            self.assertEqual(expected, await caller.read_all())

        self.run_on_connection(scenario)

    def test_malformed_body_of_a_waiting_request(self) -> None:
        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            caller.send("GET /1")
            caller.writer.write(
                b"POST /2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n"
            )
            await setting.wait_for_starts(1)
            app.release("/1")
            self.assertEqual(["/1", "400*"], await caller.read_all())
            self.assertEqual(["/1"], app.started)

        self.run_on_connection(scenario)


class UnreadBodyTest(ProtocolTestCase):
    """Bodies that arrive after the response to their request."""

    def test_rejected_upload_is_read_whole(self) -> None:
        """Guards against a caller that keeps an instance busy with a body that nobody wants."""

        async def scenario(setting, app, caller) -> None:
            app.faults["/1"] = "ignores body"
            size = 64_000_000
            caller.writer.write(b"POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size)
            self.assertEqual((b"/1", False), await caller.read_response())
            caller.writer.write(b"x" * size)
            await setting.wait_until(setting.protocol.transport.is_closing)
            self.assertEqual(b"", await caller.reader.read())
            unsent = caller.writer.transport.get_write_buffer_size()
            self.assertTrue(unsent > size / 2, f"got {unsent} bytes of {size} unread")

        self.run_on_connection(scenario)

    def test_connection_is_kept_behind_a_short_unread_body(self) -> None:
        async def scenario(setting, app, caller) -> None:
            app.faults["/1"] = "ignores body"
            body = "x" * 200_000
            caller.send(f"POST /1 {body}", "GET /2")
            bodies = [(await caller.read_response())[0] for _ in range(2)]
            self.assertEqual([b"/1", b"/2"], bodies)

        self.run_on_connection(scenario)


class StopTest(ProtocolTestCase):
    """P4: the instance stops while requests of a connection are in progress."""

    @parameterized.expand(
        [
            ("in order", ["/1", "/2", "/3"]),
            ("last first", ["/3", "/2", "/1"]),
            ("middle first", ["/2", "/3", "/1"]),
        ]
    )
    def test_all_in_progress_are_answered(self, _name, order) -> None:
        """Guards against a close that is announced while later requests have been forwarded."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1", "/2", "/3")
            caller.send("GET /1", "GET /2", "GET /3", "POST /4 x")
            await setting.wait_for_starts(3)
            setting.policy.is_stopping = True
            caller.send("GET /5")
            await setting.settle()
            for path in order:
                app.release(path)
                await setting.settle()
            self.assertEqual(["/1", "/2", "/3*"], await caller.read_all())
            self.assertEqual(["/1", "/2", "/3"], app.started)

        self.run_on_connection(scenario)

    def test_last_response_began_before_the_stop(self) -> None:
        """Guards against a purchase that is neither answered nor behind an announced close."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            caller.send("GET /1", "GET /2", "POST /3 x", "GET /4")
            await setting.wait_for_starts(2)
            setting.policy.is_stopping = True
            app.release("/1")
            self.assertEqual(["/1", "/2", "/3*"], await caller.read_all())
            self.assertEqual(["/1", "/2", "/3"], app.started)

        self.run_on_connection(scenario)

    @parameterized.expand(
        [
            ("idle", [], []),
            ("one in progress", ["GET /1"], ["/1*"]),
            ("several in progress", ["GET /1", "GET /2", "POST /3 x"], ["/1", "/2*"]),
        ]
    )
    def test_shutdown_of_the_server(self, _name, requests, expected) -> None:
        async def scenario(setting, app, caller) -> None:
            app.hold("/1", "/2")
            caller.send(*requests)
            await setting.wait_for_starts(min(2, len(requests)))
            setting.protocol.shutdown()
            caller.send("GET /9")
            await setting.settle()
            app.release("/2")
            app.release("/1")
            self.assertEqual(expected, await caller.read_all())

        self.run_on_connection(scenario)

    def test_shutdown_while_the_last_response_is_buffered(self) -> None:
        """Guards against a connection that stays open until the instance is killed."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            caller.send("GET /1", "GET /2")
            await setting.wait_for_starts(2)
            setting.protocol.shutdown()
            app.release("/1")
            self.assertEqual(["/1", "/2"], await caller.read_all())

        self.run_on_connection(scenario)


class TimerTest(ProtocolTestCase):
    """P6, P7: header timeout, keep-alive timeout, and the time at which a request was read."""

    def test_keep_alive_timer_starts_when_all_is_sent(self) -> None:
        """Guards against closing an idle connection early, or never."""

        async def scenario(setting, app, caller) -> None:
            setting.protocol.timeout_keep_alive = 0.2
            app.hold("/1", "/2")
            caller.send("GET /1", "GET /2")
            await setting.wait_for_starts(2)
            app.release("/2")
            await asyncio.sleep(0.3)
            app.release("/1")
            self.assertEqual(["/1", "/2"], await caller.read_all())

        self.run_on_connection(scenario)

    def test_half_a_head_is_closed(self) -> None:
        async def scenario(setting, app, caller) -> None:
            setting.protocol.header_timeout_s = 0.1
            caller.send("GET /1")
            caller.writer.write(b"GET /2 HTTP/1.1\r\nHo")
            self.assertEqual(["/1"], await caller.read_all())

        self.run_on_connection(scenario)

    def test_requests_cut_off_by_half_a_head_behind_them(self) -> None:
        """Guards against losing requests in progress when the next head is not completed."""

        async def scenario(setting, app, caller) -> None:
            setting.protocol.header_timeout_s = 0.1
            app.hold("/1")
            caller.send("GET /1", "POST /2 x")
            caller.writer.write(b"GET /3 HTTP/1.1\r\nHo")
            await asyncio.sleep(0.25)
            caller.writer.write(b"st: x\r\n\r\n")
            caller.send("GET /4")
            await setting.settle()
            app.release("/1")
            self.assertEqual(["/1", "/2"], await caller.read_all())
            self.assertEqual(["/1", "/2"], app.started)

        self.run_on_connection(scenario)

    def test_half_a_head_while_reading_is_paused(self) -> None:
        """Guards against blaming the caller for a head that the instance does not read."""

        async def scenario(setting, app, caller) -> None:
            setting.policy.requests_max = 1
            setting.protocol.header_timeout_s = 0.1
            app.hold("/1")
            caller.send("GET /1", "GET /2")
            caller.writer.write(b"GET /3 HTTP/1.1\r\nHo")
            await setting.wait_for_starts(1)
            caller.writer.write(b"st: x\r\n\r\n")
            await asyncio.sleep(0.25)
            app.release("/1")
            bodies = [(await caller.read_response())[0] for _ in range(3)]
            self.assertEqual([b"/1", b"/2", b"/3"], bodies)

        self.run_on_connection(scenario)

    def test_waiting_requests_keep_the_time_at_which_they_were_read(self) -> None:
        """Guards against deadlines that start anew when a request starts."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1")
            caller.send("GET /1", "POST /2 x")
            await setting.wait_for_starts(1)
            before = clock.read_clock()
            await asyncio.sleep(0.1)
            app.release("/1")
            await setting.wait_for_starts(2)
            self.assertTrue(app.read_at["/2"] <= before)

        self.run_on_connection(scenario)
