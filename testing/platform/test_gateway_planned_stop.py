"""Requests that are late in the planned stop of a gateway, on a simulated clock."""

import asyncio
import re

import testtools
from parameterized import parameterized

from caperdyke.protocol import relay_headers
from caperdyke.transport import events
from testing.knowledge import simulated_loop
from testing.platform import harness, live_fleet, path_cuts

# From the stop signal: when late requests arrive, and when requests without an answer end.
LATE_SECONDS = 1.9
DEADLINE_SECONDS = 5.5
EXIT_SECONDS = 5.75
TOLERANCE_SECONDS = 0.15
BODY_BYTES = 3000
# More than the buffers of the system hold.
LARGE_BODY_BYTES = 16_000_000
SMALL_BUFFER_BYTES = 8 * 1024


class Upload:
    """A request whose body arrives in parts, on a connection of its own."""

    def __init__(self, fleet: live_fleet.LiveFleet, number: int = 0) -> None:
        self._fleet = fleet
        self._address = fleet.nodes[number].settings.caller_address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def start(self, request_id: str) -> None:
        """Sends the head and the first third of the body."""
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST /buy/1 HTTP/1.1\r\nHost: {harness.HOST}\r\nCaperdyke-Request-Id: {request_id}"
            f"\r\nCaperdyke-Request-Deadline: 12000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        self._writer.write(head.encode() + b"x" * (BODY_BYTES // 3))

    def finish(self) -> None:
        """Sends the rest of the body."""
        self._writer.write(b"x" * (BODY_BYTES - BODY_BYTES // 3))

    async def read_answer(self) -> tuple[int, str]:
        """Returns status and head of the answer."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(re.search(r"content-length: (\d+)", head)[1])
        await self._reader.readexactly(length)
        self._writer.close()
        return int(head.split(" ")[1]), head


class StopTestCase(testtools.TestCase):
    """Runs scenarios with a fleet whose first gateway stops."""

    def setUp(self) -> None:
        super().setUp()
        self.logged: list[tuple[events.Event, dict]] = []
        self.patch(events, "log", lambda event, **fields: self.logged.append((event, fields)))

    def run_with_fleet(self, scenario) -> None:
        """Runs a coroutine function with a fleet."""

        async def run() -> None:
            async with live_fleet.start_fleet(["hall-1", "hall-1"]) as fleet:
                await scenario(fleet)

        simulated_loop.run_with_sockets(run())

    async def answer_some(self, fleet: live_fleet.LiveFleet) -> None:
        """Lets the first gateway learn how long requests take."""
        for path, method in (("/buy/1", "POST"), ("/read/1", "GET")):
            answers = await fleet.send_load(0, 0.5, 40, path=path, method=method, key="k")
            self.assertEqual({200}, {answer.status for answer in answers})

    def stop(self, fleet: live_fleet.LiveFleet) -> float:
        """Asks the first gateway to stop, and returns the time."""
        fleet.stops[0].set()
        return asyncio.get_running_loop().time()

    def find_end(self, request_id: str) -> dict:
        """Returns the fields of the line in which a request ended."""
        (found,) = (
            fields
            for event, fields in self.logged
            if event is events.Event.REQUEST_ENDED and fields["request"] == request_id
        )
        return found


async def _sleep_until(time: float) -> None:
    await asyncio.sleep(time - asyncio.get_running_loop().time())


class UploadTest(StopTestCase):
    """Requests whose body is still arriving."""

    def test_late_upload_passed_on_and_cut(self) -> None:
        """Guards against sending a request that the instance cannot finish."""

        async def scenario(fleet) -> None:
            await self.answer_some(fleet)
            asked_at = self.stop(fleet)
            await _sleep_until(asked_at + LATE_SECONDS)
            upload = Upload(fleet)
            await upload.start("late-upload")
            status, head = await upload.read_answer()
            took_s = asyncio.get_running_loop().time() - asked_at
            self.assertEqual(503, status)
            self.assertIn("retry-after: 0", head)
            self.assertIn("connection: close", head)
            self.assertTrue(took_s < DEADLINE_SECONDS, f"answered after {took_s} s")
            self.assertEqual([], fleet.find_requests("late-upload"))
            self.assertEqual("instance stops", self.find_end("late-upload")["outcome"])

        self.run_with_fleet(scenario)

    def test_upload_that_arrives_in_time(self) -> None:
        """Guards against refusing what can be finished."""

        async def scenario(fleet) -> None:
            await self.answer_some(fleet)
            asked_at = self.stop(fleet)
            await _sleep_until(asked_at + LATE_SECONDS)
            upload = Upload(fleet)
            await upload.start("upload")
            await _sleep_until(asked_at + DEADLINE_SECONDS - 1.0)
            upload.finish()
            self.assertEqual(200, (await upload.read_answer())[0])
            self.assertEqual(1, len(fleet.find_requests("upload")))

        self.run_with_fleet(scenario)

    def test_upload_to_a_stranded_instance(self) -> None:
        """Guards against relaying a request that the instance cannot finish."""

        async def scenario(fleet) -> None:
            fleet.cut(0, path_cuts.CutManner.RESET)
            await fleet.send_load(0, 2.0, 20)
            self.assertTrue(fleet.nodes[0].path.is_lost)
            asked_at = self.stop(fleet)
            await _sleep_until(asked_at + LATE_SECONDS)
            upload = Upload(fleet)
            await upload.start("late-upload")
            self.assertEqual(503, (await upload.read_answer())[0])
            self.assertEqual([], fleet.find_requests("late-upload"))

        self.run_with_fleet(scenario)


class DeadlineTest(StopTestCase):
    """Requests without a complete answer when the instance ends."""

    @parameterized.expand([("not repeatable", "/buy/1", "POST"), ("repeatable", "/read/1", "GET")])
    def test_request_at_a_server(self, _name, path, method) -> None:
        """Guards against a request that ends without an answer and without a log line."""

        async def scenario(fleet) -> None:
            await self.answer_some(fleet)
            asked_at = self.stop(fleet)
            await _sleep_until(asked_at + LATE_SECONDS)
            fleet.hold_servers()
            answer = await fleet.send_request(
                0, path, method, request_id="held", wait_ms=9000, key="k"
            )
            now = asyncio.get_running_loop().time()
            self.assertEqual(504, answer.status)
            self.assertTrue(now <= asked_at + DEADLINE_SECONDS + TOLERANCE_SECONDS)
            self.assertEqual(1, len(fleet.find_requests("held")))
            self.assertEqual("instance stopped before the answer", self.find_end("held")["outcome"])
            await asyncio.wait_for(fleet.running[0], EXIT_SECONDS)
            now = asyncio.get_running_loop().time()
            self.assertTrue(now <= asked_at + EXIT_SECONDS + TOLERANCE_SECONDS)

        self.run_with_fleet(scenario)

    def test_answer_in_parts(self) -> None:
        """Guards against a download that is cut off without a log line."""

        async def scenario(fleet) -> None:
            await self.answer_some(fleet)
            asked_at = self.stop(fleet)
            await _sleep_until(asked_at + LATE_SECONDS)
            for server in fleet.servers:
                server.body = b"x" * LARGE_BODY_BYTES
            reader, writer = await fleet.open_request(0, "large", 9000, SMALL_BUFFER_BYTES)
            writer.transport.pause_reading()
            await _sleep_until(asked_at + DEADLINE_SECONDS + TOLERANCE_SECONDS)
            cut = [fields for event, fields in self.logged if event is events.Event.ANSWER_CUT]
            self.assertEqual(["large"], [fields["request"] for fields in cut])
            writer.transport.resume_reading()
            received = await reader.read()
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received[:100])
            self.assertTrue(len(received) < LARGE_BODY_BYTES, f"got {len(received)} bytes")

        self.run_with_fleet(scenario)


class RepeatTest(StopTestCase):
    """Requests that fail or are relayed late in the stop."""

    def test_request_that_fails_late(self) -> None:
        """Guards against sending a request once more when its answer cannot be waited for."""

        async def scenario(fleet) -> None:
            await self.answer_some(fleet)
            asked_at = self.stop(fleet)
            await _sleep_until(asked_at + LATE_SECONDS)
            fleet.hold_servers()
            sending = asyncio.create_task(
                fleet.send_request(0, request_id="failing", wait_ms=9000, key="k")
            )
            await fleet.wait_until(lambda: fleet.find_requests("failing"))
            await _sleep_until(asked_at + DEADLINE_SECONDS - 0.05)
            for server in fleet.servers:
                for writer in server.writers:
                    writer.transport.abort()
            self.assertEqual(502, (await sending).status)
            self.assertEqual(1, len(fleet.find_requests("failing")))

        self.run_with_fleet(scenario)

    def test_request_relayed_to_a_stopping_instance(self) -> None:
        """Guards against a relayed request that ends with the instance that serves it."""

        async def scenario(fleet) -> None:
            await self.answer_some(fleet)
            asked_at = self.stop(fleet)
            await _sleep_until(asked_at + LATE_SECONDS)
            fleet.hold_servers()
            held = asyncio.create_task(
                fleet.send_request(0, request_id="held", wait_ms=9000, key="k")
            )
            await _sleep_until(asked_at + DEADLINE_SECONDS - 0.08)
            wanted = relay_headers.RelayedRequest("gateway-1", 3000, 0, False, 1)
            status, headers = await fleet.call_peer(0, relay_headers.encode_request(wanted))
            self.assertEqual(503, status)
            outcome = relay_headers.decode_answer(headers).outcome
            self.assertIs(relay_headers.RelayOutcome.DECLINED, outcome)
            self.assertEqual(504, (await held).status)

        self.run_with_fleet(scenario)
