"""Answers that a faulty backend server repeats or breaks off."""

import asyncio
import itertools

from parameterized import parameterized

from caperdyke.state import routes
from caperdyke.transport.gateway import local_reply, sender
from testing.platform import fake_server, fleet_harness, harness


class ChunkedServer(fleet_harness.TimedServer):
    """A server that sends its body in chunks."""

    def make_answer(self, request_id: str, body: bytes, status: int = 200) -> bytes:
        """Returns the bytes of an answer."""
        head, _, body = super().make_answer(request_id, body, status).partition(b"\r\n\r\n")
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
        head = b"\r\n".join([*lines, b"Transfer-Encoding: chunked"])
        return head + b"\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


class RepeatedRefusalTest(harness.AsyncTestCase):
    """A refusal that is written once more on a kept connection."""

    @parameterized.expand(
        [("repeatable", routes.RouteKind.SAFE), ("not repeatable", routes.RouteKind.UNSAFE)]
    )
    def test_repeated_refusal_is_no_answer_to_the_next_request(self, _name, kind) -> None:
        """Guards against callers that are told "not run" of a request that a server runs."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1) as fleet:
                fleet.route = fleet_harness.make_route(kind)
                server = fleet.servers[0]
                server.faults = ["shed twice"]
                refused = await fleet.send_request(0)
                self.assertEqual(503, refused.status)
                served = await fleet.send_request(0)
                self.assertEqual((200, server.body), (served.status, served.body))
                self.assertEqual(2, len(server.requests))

        self.run_async(scenario)

    def test_refusal_without_a_request_closes_the_connection(self) -> None:
        """Pattern: the refusal arrives between two requests."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1) as fleet:
                server = fleet.servers[0]
                await fleet.send_request(0)
                server.writers[0].write(b"HTTP/1.1 503 Full\r\nCaperdyke-Not-Executed: 1\r\n\r\n")
                await server.writers[0].drain()
                await asyncio.sleep(0.05)
                served = await fleet.send_request(0)
                self.assertEqual(200, served.status)
                self.assertEqual(2, server.connections)

        self.run_async(scenario)


class BrokenOffAnswerTest(harness.AsyncTestCase):
    """An answer that ends early, after each number of bytes."""

    @parameterized.expand(
        [
            (f"{make.__name__}_{'reset' if is_reset else 'closed'}", make, is_reset)
            for make, is_reset in itertools.product(
                (fleet_harness.TimedServer, ChunkedServer), (False, True)
            )
        ]
    )
    def test_answer_that_ends_early_never_looks_complete(self, _name, make, is_reset) -> None:
        """Guards against a short answer that is passed on as a whole one."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 1, make_server=make) as fleet:
                server: fake_server.FakeServer = fleet.servers[0]
                fleet.route = fleet_harness.make_route(routes.RouteKind.UNSAFE)
                server.is_cut_by_reset = is_reset
                length = len(server.make_answer("request-0", server.body))
                for server.cut_after in range(length):
                    fleet.nodes[0].views.clear()
                    result = await fleet.send_request(0)
                    if isinstance(result, sender.ServerAnswer):
                        self.assertIsNotNone(result.remaining_body, server.cut_after)
                    else:
                        self.assertIsInstance(result, local_reply.LocalReply)
                        self.assertEqual(502, result.status, server.cut_after)

        self.run_async(scenario)
