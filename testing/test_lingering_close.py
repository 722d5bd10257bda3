"""How connections end while the caller still sends or reads."""

import asyncio
import contextlib
import socket
import time

import testtools
from parameterized import parameterized

from caperdyke.transport import events
from caperdyke.transport.http import lingering_close, server_protocol
from testing import pipelined_connection, servers
from testing.knowledge import simulated_loop

RECEIVE_BUFFER_BYTES = 16 * 1024
RESPONSE_BYTES = 30_000
PATHS = [f"/{number}" for number in range(7)]
# Longest time for which the system may hold back an acknowledgement.
ACKNOWLEDGEMENT_SECONDS = 0.1
LONGEST_SECONDS = 2 * lingering_close.LINGER_MAX_S


class LingeringTestCase(testtools.TestCase):
    """Runs a scenario on a connection, on a simulated clock."""

    def run_on_connection(self, scenario) -> None:
        """Runs a coroutine function with a setting."""

        async def run() -> None:
            async with pipelined_connection.open_setting(
                RECEIVE_BUFFER_BYTES, LONGEST_SECONDS
            ) as setting:
                await scenario(setting, setting.app, setting.caller)

        with asyncio.Runner(loop_factory=_make_loop) as runner:
            runner.run(run())


def _make_loop() -> simulated_loop.SimulatedLoop:
    return simulated_loop.SimulatedLoop(simulated_loop.DELIVERY_SECONDS)


async def _stop_reading_and_send(setting, requests: list[str], **options) -> None:
    """Sends requests with long responses, which the caller does not read yet."""
    for path in PATHS:
        setting.app.parts[path] = [b"x" * RESPONSE_BYTES]
    setting.app.hold("/0")
    setting.policy.requests_max = len(PATHS)
    setting.caller.reader._transport.pause_reading()
    setting.caller.send(*requests, **options)
    await setting.wait_for_starts(len(requests))


async def _count_whole_responses(setting) -> int:
    """Sends further requests after the close, then reads; returns the number of responses."""
    await setting.wait_until(setting.protocol.transport.is_closing)
    for _ in range(3):
        with contextlib.suppress(ConnectionError):
            setting.caller.send("GET /late")
        await setting.settle()
    setting.caller.reader._transport.resume_reading()
    bodies = await setting.caller.read_all()
    return sum(len(body.rstrip("*")) == RESPONSE_BYTES for body in bodies)


class DeliveryTest(LingeringTestCase):
    """A caller that reads slowly and goes on sending gets all responses, however it ends."""

    def test_responses_lost_when_the_instance_stops(self) -> None:
        """Guards against a reset behind the response that announces the close."""

        async def scenario(setting, app, _caller) -> None:
            app.hold(PATHS[-1])
            await _stop_reading_and_send(setting, [f"GET {path}" for path in PATHS])
            setting.policy.is_stopping = True
            app.release("/0", PATHS[-1])
            self.assertEqual(len(PATHS), await _count_whole_responses(setting))

        self.run_on_connection(scenario)

    @parameterized.expand([("in progress", False), ("idle", True)])
    def test_responses_lost_when_the_server_shuts_down(self, _name, is_idle) -> None:
        """Guards against a reset of connections that are shut down."""

        async def scenario(setting, app, _caller) -> None:
            await _stop_reading_and_send(setting, [f"GET {path}" for path in PATHS])
            if is_idle:
                app.release("/0")
                await setting.wait_until(lambda: setting.pipeline.is_idle)
            setting.protocol.shutdown()
            app.release("/0")
            self.assertEqual(len(PATHS), await _count_whole_responses(setting))

        self.run_on_connection(scenario)

    def test_responses_lost_when_the_caller_asks_for_the_close(self) -> None:
        """Guards against a reset by look-ups behind a request with Connection: close."""

        async def scenario(setting, app, caller) -> None:
            await _stop_reading_and_send(setting, [f"GET {path}" for path in PATHS[:-1]])
            caller.send(f"GET {PATHS[-1]}", headers="Connection: close\r\n")
            caller.send("GET /8", "GET /9")
            await setting.wait_for_starts(len(PATHS))
            app.release("/0")
            self.assertEqual(len(PATHS), await _count_whole_responses(setting))

        self.run_on_connection(scenario)

    def test_responses_lost_behind_a_malformed_request(self) -> None:
        """Guards against a reset of the responses before a 400."""

        async def scenario(setting, app, caller) -> None:
            await _stop_reading_and_send(setting, [f"GET {path}" for path in PATHS])
            caller.writer.write(b"no request\r\n\r\n")
            await setting.settle()
            app.release("/0")
            self.assertEqual(len(PATHS), await _count_whole_responses(setting))

        self.run_on_connection(scenario)

    def test_responses_lost_when_an_idle_connection_expires(self) -> None:
        """Guards against a reset of responses that the caller has not read yet."""

        async def scenario(setting, app, _caller) -> None:
            setting.protocol.timeout_keep_alive = 1.0
            await _stop_reading_and_send(setting, [f"GET {path}" for path in PATHS])
            app.release("/0")
            self.assertEqual(len(PATHS), await _count_whole_responses(setting))

        self.run_on_connection(scenario)

    def test_responses_lost_before_one_that_breaks_off(self) -> None:
        """Guards against a reset of whole responses before an incomplete one."""

        async def scenario(setting, app, _caller) -> None:
            app.faults["/6"] = "breaks off"
            await _stop_reading_and_send(setting, [f"GET {path}" for path in PATHS])
            app.release("/0")
            self.assertEqual(len(PATHS) - 1, await _count_whole_responses(setting))

        self.run_on_connection(scenario)

    def test_response_lost_on_a_connection_without_pipeline(self) -> None:
        """Guards against a reset by the servers of look-ups, readiness and metrics."""
        body = b"x" * (RESPONSE_BYTES * len(PATHS))

        async def app(_scope, _receive, send) -> None:
            headers = [(b"content-length", b"%d" % len(body)), (b"connection", b"close")]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await send({"type": "http.response.body", "body": body})

        async def run() -> None:
            async with servers.serve_app(app) as address:
                host, _, port = address.rpartition(":")
                sock = socket.create_connection((host, int(port)))
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                reader, writer = await asyncio.open_connection(sock=sock)
                reader._transport.pause_reading()
                for _ in range(4):
                    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                    await asyncio.sleep(0.05)
                reader._transport.resume_reading()
                received = await reader.read()
                self.assertTrue(received.endswith(body), f"got {len(received)} bytes")
                writer.close()

        with asyncio.Runner(loop_factory=_make_loop) as runner:
            runner.run(run())


class BoundsTest(LingeringTestCase):
    """How long a connection lingers, and how much it reads."""

    def _end(self, setting):
        """Returns a coroutine that waits until the socket is closed and returns the time taken."""

        async def wait() -> float:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            while setting.protocol in setting.protocol.connections:
                await asyncio.sleep(0.05)
            return loop.time() - started_at

        return wait()

    @parameterized.expand([("closes", False), ("resets", True)])
    def test_caller_that_closes_too(self, _name, is_reset) -> None:
        """Guards against sockets that stay open when the caller has seen the close."""

        async def scenario(setting, _app, caller) -> None:
            caller.send("GET /1")
            await caller.read_response()
            setting.protocol.shutdown()
            self.assertEqual(b"", await caller.reader.read())
            if is_reset:
                caller.writer.transport.abort()
            else:
                caller.writer.close()
            self.assertTrue(await self._end(setting) <= 0.2)

        self.run_on_connection(scenario)

    def test_silent_caller(self) -> None:
        """Guards against a stop that waits for callers that never close."""

        async def scenario(setting, _app, caller) -> None:
            caller.send("GET /1")
            await caller.read_response()
            setting.protocol.shutdown()
            # The system acknowledges the close in real time.
            time.sleep(ACKNOWLEDGEMENT_SECONDS)
            duration = await self._end(setting)
            self.assertTrue(duration <= lingering_close.QUIET_S + 0.2, f"got {duration} s")

        self.run_on_connection(scenario)

    def test_caller_that_never_stops_sending(self) -> None:
        """Guards against a caller that keeps a closed connection open by sending."""

        async def scenario(setting, _app, caller) -> None:
            async def send() -> None:
                while True:
                    caller.send("GET /late")
                    await asyncio.sleep(lingering_close.QUIET_S / 2)

            sending = asyncio.create_task(send())
            setting.protocol.shutdown()
            duration = await self._end(setting)
            sending.cancel()
            self.assertTrue(
                lingering_close.QUIET_S < duration <= lingering_close.LINGER_MAX_S + 0.2,
                f"got {duration} s",
            )

        self.run_on_connection(scenario)

    def test_caller_that_never_reads(self) -> None:
        """Guards against a caller that keeps a closed connection open by not reading."""
        logged = []
        self.patch(events, "log", lambda event, **fields: logged.append((event, fields)))

        async def scenario(setting, app, _caller) -> None:
            await _stop_reading_and_send(setting, [f"GET {path}" for path in PATHS])
            setting.protocol.shutdown()
            app.release("/0")
            duration = await self._end(setting)
            self.assertTrue(duration <= lingering_close.LINGER_MAX_S + 0.2, f"got {duration} s")
            ((event, fields),) = logged
            self.assertEqual(events.Event.RESPONSE_UNDELIVERED, event)
            self.assertTrue(fields["size"] >= RESPONSE_BYTES, fields)

        self.run_on_connection(scenario)

    def test_upload_behind_the_last_response(self) -> None:
        """Guards against reading the whole of a rejected upload, and against losing the answer."""

        async def scenario(setting, app, caller) -> None:
            app.faults["/1"] = "closes"
            discarded = []
            count = lingering_close.LingeringTransport.discard

            def discard(transport, size: int) -> None:
                discarded.append(size)
                count(transport, size)

            self.patch(lingering_close.LingeringTransport, "discard", discard)
            caller.send("GET /1")
            await setting.wait_until(setting.protocol.transport.is_closing)
            caller.writer.write(b"x" * 32_000_000)
            await asyncio.sleep(lingering_close.QUIET_S / 2)
            self.assertTrue(await caller.read_response())
            # One read of the transport holds at most 256 KiB.
            most = lingering_close.DISCARDED_BYTES_MAX + 256 * 1024
            self.assertTrue(sum(discarded) <= most, f"got {sum(discarded)} bytes")
            duration = await self._end(setting)
            self.assertTrue(duration <= lingering_close.QUIET_S + 0.2, f"got {duration} s")

        self.run_on_connection(scenario)

    def test_requests_in_progress_end_with_the_connection(self) -> None:
        """Guards against servers that work on for a connection that only lingers."""

        async def scenario(setting, app, caller) -> None:
            app.hold("/1", "/2")
            caller.send("GET /1", "GET /2")
            await setting.wait_for_starts(2)
            setting.protocol.transport.close()
            await setting.settle()
            self.assertEqual(["/1", "/2"], sorted(app.disconnected))

        self.run_on_connection(scenario)


class SlowCallerTest(LingeringTestCase):
    """Callers that stop reading in the middle of a response."""

    def test_system_ends_connections_of_slow_callers(self) -> None:
        """Guards against a user timeout that counts a caller that pauses as gone."""

        async def scenario(setting, _app, _caller) -> None:
            sock = setting.protocol.transport.get_extra_info("socket")
            user_timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            self.assertEqual(0, user_timeout)

        self.run_on_connection(scenario)

    @parameterized.expand(
        [
            ("just before the limit", server_protocol.STALLED_MAX_S - 1, True),
            ("just after the limit", server_protocol.STALLED_MAX_S + 1, False),
        ]
    )
    def test_pause_in_the_middle_of_a_response(self, _name, pause_s, expected) -> None:
        """Guards against losing a slow caller's response, and against waiting for it for ever."""

        async def scenario(setting, app, caller) -> None:
            app.parts["/1"] = [b"x" * 100_000] * 100
            caller.reader._transport.pause_reading()
            caller.send("GET /1")
            await setting.wait_until(lambda: setting.protocol.flow.write_paused)
            await asyncio.sleep(pause_s)
            caller.reader._transport.resume_reading()
            bodies = await caller.read_all() if not expected else [await caller.read_response()]
            self.assertEqual(expected, bool(bodies))

        self.run_on_connection(scenario)

    def test_longest_timeout_of_the_configuration_bounds_pauses(self) -> None:
        """Guards against losing the response to a request that may take longer than the bound."""
        self.patch(
            server_protocol.ServerProtocol, "stalled_max_s", 2 * server_protocol.STALLED_MAX_S
        )

        async def scenario(setting, app, caller) -> None:
            app.parts["/1"] = [b"x" * 100_000] * 100
            caller.reader._transport.pause_reading()
            caller.send("GET /1")
            await setting.wait_until(lambda: setting.protocol.flow.write_paused)
            await asyncio.sleep(server_protocol.STALLED_MAX_S + 1)
            caller.reader._transport.resume_reading()
            self.assertTrue((await caller.read_response())[0])

        self.run_on_connection(scenario)

    def test_undelivered_responses_are_named(self) -> None:
        """Guards against a lost response that the log shows as answered and nothing else."""
        logged = []
        self.patch(events, "log", lambda event, **fields: logged.append((event, fields)))

        async def scenario(setting, app, caller) -> None:
            app.parts["/long"] = [b"x" * 5_000_000]
            caller.send("GET /read")
            await caller.read_response()
            caller.reader._transport.pause_reading()
            caller.send("GET /long")
            await setting.wait_until(lambda: setting.protocol.flow.write_paused)
            await asyncio.sleep(server_protocol.STALLED_MAX_S + 1)

        self.run_on_connection(scenario)
        self.assertEqual(
            [(events.Event.RESPONSE_UNDELIVERED, ["/long"])],
            [(event, fields["requests"]) for event, fields in logged],
        )


class _FakeTransport:
    """Records whether it was ended."""

    def __init__(self, lingering: lingering_close.LingeringConnections) -> None:
        self._lingering = lingering
        self.is_ended = False

    def end(self, _cause: str) -> None:
        """Ends and leaves the lingering connections."""
        self.is_ended = True
        self._lingering.remove(self)


class LingeringConnectionsTest(testtools.TestCase):
    """Number of lingering connections of a process."""

    def test_descriptors_run_out(self) -> None:
        """Guards against lingering connections that leave no descriptors for new ones."""
        lingering = lingering_close.LingeringConnections(count_max=2)
        transports = [_FakeTransport(lingering) for _ in range(4)]
        for transport in transports:
            lingering.add(transport)
        self.assertEqual([True, True, False, False], [item.is_ended for item in transports])
        self.assertEqual(2, len(lingering))
