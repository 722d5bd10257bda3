"""Backend servers that send endless answers."""

import asyncio
import contextlib
import time

from parameterized import parameterized

from testing.platform import harness

# Bytes that a gateway may receive from a server beyond the complete answers that it buffers.
RECEIVED_MAX_BYTES = 8 * 1024 * 1024
# Time within which a request ends after the head of the answer has determined its result.
EARLY_END_SECONDS = 1.0


class EndlessAnswerTest(harness.AsyncTestCase):
    """A server sends bytes until the gateway closes the connection."""

    @parameterized.expand(
        [
            (content, pace, status)
            for content, status in (
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
    def test_answer_that_cannot_be_forwarded_is_aborted_early(self, content, pace, status) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                server = env.servers[0]
                server.faults = [f"endless {content} {pace}"]
                started_at = time.monotonic()
                actual, _, _ = await env.send_request("/buy/1", "POST", b"x")
                duration = time.monotonic() - started_at
                self.assertEqual(status, actual)
                self.assertTrue(duration < EARLY_END_SECONDS, f"took {duration:.2f} s")
                self.assertTrue(server.endless_bytes < RECEIVED_MAX_BYTES, server.endless_bytes)
                await self.check_connection_closed(env)
                if status == 502:
                    view = env.gateway.node.views["s1"]
                    self.assertTrue(view.failure_ratio > 0, "does not count against the server")

        self.run_async(scenario)

    @parameterized.expand(
        [("head", "slow"), ("chunk-head", "slow"), ("body", "slow"), ("foreign", "slow")]
    )
    def test_answer_that_may_still_complete_is_aborted_at_the_deadline(self, content, pace) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                env.servers[0].faults = [f"endless {content} {pace}"]
                started_at = time.monotonic()
                actual, _, _ = await env.send_request("/buy/1", "POST", b"x", wait_ms=600)
                self.assertTrue(time.monotonic() - started_at < 0.6 + EARLY_END_SECONDS)
                self.assertEqual(504, actual)
                await self.check_connection_closed(env)

        self.run_async(scenario)

    @parameterized.expand([("body",), ("unframed",)])
    def test_endless_signed_body_is_aborted_at_the_callers_timeout(self, content) -> None:
        """Pattern: the caller keeps reading after its deadline and never closes."""

        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                env.servers[0].faults = [f"endless {content} fast"]
                started_at = time.monotonic()
                body = await read_until_closed(env, 700)
                self.assertIn(b"more", body)
                self.assertFalse(body.endswith(b"0\r\n\r\n"), "the answer looks complete")
                self.assertTrue(time.monotonic() - started_at < 0.7 + EARLY_END_SECONDS)
                await self.check_connection_closed(env)
                self.assertTrue(env.gateway.node.views["s1"].failure_ratio > 0)

        self.run_async(scenario)

    async def check_connection_closed(self, env) -> None:
        """Checks that the connection is closed and the server can be used again."""
        server = env.servers[0]
        await env.wait_until(lambda: all(w.is_closing() for w in server.writers))
        self.assertEqual(200, (await env.send_request())[0])


async def read_until_closed(env, wait_ms: int) -> bytes:
    """Sends a request, reads until the connection ends, and returns the last bytes."""
    host, _, port = env.gateway.node.settings.caller_address.rpartition(":")
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
