"""Backend servers that send bytes without end."""

import asyncio
import contextlib
import time

from parameterized import parameterized

from testing.platform import harness

# What a gateway may take from a server beyond the whole answers that it keeps, in bytes.
TAKEN_MAX_BYTES = 8 * 1024 * 1024
# How long a request may be held by a server whose head has said enough, in seconds.
EARLY_SECONDS = 1.0


class EndlessAnswerTest(harness.AsyncTestCase):
    """A server sends bytes until the gateway closes the connection."""

    @parameterized.expand(
        [
            (what, pace, status)
            for what, status in (
                ("informational", 502),
                ("lines", 502),
                ("noise", 502),
                ("refusal", 503),
                ("unsigned", 502),
            )
            for pace in ("fast", "slow")
        ]
        + [("head", "fast", 502), ("chunk-head", "fast", 502), ("foreign", "fast", 502)]
    )
    def test_answer_that_cannot_be_passed_on_ends_early(self, what, pace, status) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                server = played.servers[0]
                server.faults = [f"endless {what} {pace}"]
                began = time.monotonic()
                got, _, _ = await played.ask("/buy/1", "POST", b"x")
                took = time.monotonic() - began
                self.assertEqual(status, got)
                self.assertTrue(took < EARLY_SECONDS, f"took {took:.2f} s")
                self.assertTrue(server.endless_bytes < TAKEN_MAX_BYTES, server.endless_bytes)
                await self.check_freed(played)
                if status == 502:
                    view = played.gateway.node.views["s1"]
                    self.assertTrue(view.failure_ratio > 0, "does not count against the server")

        self.run_async(scene)

    @parameterized.expand(
        [("head", "slow"), ("chunk-head", "slow"), ("body", "slow"), ("foreign", "slow")]
    )
    def test_answer_that_may_still_come_ends_at_the_deadline(self, what, pace) -> None:
        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                played.servers[0].faults = [f"endless {what} {pace}"]
                began = time.monotonic()
                got, _, _ = await played.ask("/buy/1", "POST", b"x", wait_ms=600)
                self.assertTrue(time.monotonic() - began < 0.6 + EARLY_SECONDS)
                self.assertEqual(504, got)
                await self.check_freed(played)

        self.run_async(scene)

    @parameterized.expand([("body",), ("unframed",)])
    def test_signed_body_without_end_is_cut_when_the_caller_would_leave(self, what) -> None:
        """Pattern: the caller itself reads on, and never closes."""

        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                played.servers[0].faults = [f"endless {what} fast"]
                began = time.monotonic()
                body = await read_to_the_end(played, 700)
                self.assertIn(b"more", body)
                self.assertFalse(body.endswith(b"0\r\n\r\n"), "the answer looks complete")
                self.assertTrue(time.monotonic() - began < 0.7 + EARLY_SECONDS)
                await self.check_freed(played)
                self.assertTrue(played.gateway.node.views["s1"].failure_ratio > 0)

        self.run_async(scene)

    async def check_freed(self, played) -> None:
        """Checks that the connection is closed, and the server usable again."""
        server = played.servers[0]
        await played.wait_until(lambda: all(w.is_closing() for w in server.writers))
        self.assertEqual(200, (await played.ask())[0])


async def read_to_the_end(played, wait_ms: int) -> bytes:
    """Sends a request, reads on until the connection ends, and returns the last bytes."""
    host, _, port = played.gateway.node.settings.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"GET /read/1 HTTP/1.1\r\nHost: {harness.HOST}\r\n"
    head += f"Caperdyke-Request-Id: r\r\nCaperdyke-Request-Deadline: {wait_ms}\r\n\r\n"
    writer.write(head.encode())
    last = b""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            last = (last + data)[-1000:]
    writer.close()
    return last
