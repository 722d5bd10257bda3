"""Answers over a peer link are received completely or fail with an error."""

import asyncio

import parameterized
import testtools

from caperdyke import errors
from caperdyke.protocol import messages
from caperdyke.state import outcome
from caperdyke.transport.peers import exchange

START = messages.AnswerStart(1, 200, ())
LINK_ENDED = errors.LinkClosedError("link ended")
REFUSED = messages.AnswerRefused(1, "unknown", "backend-failed", 0.0, "")


def chunk(sequence: int, data: bytes = b"ab") -> messages.AnswerChunk:
    """Returns a chunk of a body."""
    return messages.AnswerChunk(1, sequence, data)


# Name, messages after the head, whether a cancellation is sent to the peer.
MALFORMED = [
    ("cut_before_body", [LINK_ENDED], False),
    ("cut_in_mid_body", [chunk(0), LINK_ENDED], False),
    ("lost_part", [chunk(0), chunk(2)], True),
    ("repeated_part", [chunk(0), chunk(0)], True),
    ("reordered_parts", [chunk(1), chunk(0)], True),
    ("end_too_early", [chunk(0), messages.AnswerEnd(1, 2)], True),
    ("end_without_parts", [messages.AnswerEnd(1, 1)], True),
    ("second_head", [START], True),
    ("broken_off", [chunk(0), REFUSED], False),
]


class ExchangeTest(testtools.TestCase):
    """The receiving side checks order and completeness."""

    def setUp(self) -> None:
        super().setUp()
        self.sent: list = []
        self.closed: list = []

    def make_exchange(self) -> exchange.Exchange:
        return exchange.Exchange(1, self.sent.append, self.closed.append)

    def read(self, arriving: list) -> bytes:
        async def run() -> bytes:
            pending = self.make_exchange()
            for message in [START, *arriving]:
                pending.accept(message)
            await pending.read_head()
            return b"".join([part async for part in pending.iterate_body()])

        return asyncio.run(run())

    def test_whole_answer(self) -> None:
        body = self.read([chunk(0), chunk(1, b"c"), messages.AnswerEnd(1, 2)])
        self.assertEqual(b"abc", body)
        self.assertEqual([messages.Credit(1, 2), messages.Credit(1, 1)], self.sent)
        self.assertEqual([1], self.closed)

    def test_empty_answer(self) -> None:
        self.assertEqual(b"", self.read([messages.AnswerEnd(1, 0)]))

    @parameterized.parameterized.expand(MALFORMED)
    def test_incomplete_answer_is_an_error(self, _name, arriving, is_cancelled) -> None:
        self.assertRaises(errors.LinkClosedError, self.read, arriving)
        self.assertEqual(is_cancelled, messages.Cancel(1) in self.sent)
        self.assertEqual([1], self.closed)

    def test_refusal_is_passed_on(self) -> None:
        async def run() -> None:
            pending = self.make_exchange()
            pending.accept(messages.AnswerRefused(1, "not-run", "share-spent", 5.0, ""))
            await pending.read_head()

        error = self.assertRaises(errors.RefusalError, asyncio.run, run())
        self.assertEqual(outcome.refuse(outcome.Reason.SHARE_SPENT, 5.0), error.refusal)

    def test_unrecognized_refusal_yields_an_unknown_outcome(self) -> None:
        message = messages.AnswerRefused(1, "not-run", "a-newer-reason", 5.0, "")
        self.assertEqual(outcome.Outcome.UNKNOWN, exchange.decode_refusal(message).outcome)

    @parameterized.parameterized.expand(
        [
            ("long_chunks", 60_000, exchange.UNREAD_MAX_BYTES // 60_000 + 1),
            ("short_chunks", 1, exchange.UNREAD_MAX_MESSAGES + 1),
            ("empty_chunks", 0, exchange.UNREAD_MAX_MESSAGES + 1),
        ]
    )
    def test_peer_that_ignores_the_window_ends_the_exchange(self, _name, size, count) -> None:
        """Guards against an instance that keeps whatever a peer sends."""

        async def run() -> None:
            pending = self.make_exchange()
            pending.accept(START)
            await pending.read_head()
            for sequence in range(count):
                pending.accept(chunk(sequence, b"x" * size))
            self.assertEqual([messages.Cancel(1)], self.sent)
            self.assertTrue(pending._received.qsize() <= 1)
            await anext(pending.iterate_body())

        self.assertRaises(errors.LinkClosedError, asyncio.run, run())

    def test_peer_that_fills_the_window_is_read(self) -> None:
        sizes = [1] * exchange.WINDOW_BYTES
        arriving = [chunk(number, b"x" * size) for number, size in enumerate(sizes)]
        body = self.read([*arriving, messages.AnswerEnd(1, len(sizes))])
        self.assertEqual(exchange.WINDOW_BYTES, len(body))

    def test_reader_that_stops_early_cancels_the_request_at_the_peer(self) -> None:
        async def run() -> None:
            pending = self.make_exchange()
            for message in (START, chunk(0), chunk(1)):
                pending.accept(message)
            await pending.read_head()
            body = pending.iterate_body()
            await anext(body)
            await body.aclose()

        asyncio.run(run())
        self.assertIn(messages.Cancel(1), self.sent)

    def test_sender_blocks_while_the_reader_is_slow(self) -> None:
        async def run() -> int:
            window = exchange.SendWindow()
            passed = 0

            async def send() -> None:
                nonlocal passed
                for _ in range(100):
                    await window.consume(64 * 1024)
                    passed += 64 * 1024

            task = asyncio.create_task(send())
            await asyncio.sleep(0)
            before = passed
            window.add(64 * 1024)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()
            return before, passed

        before, after = asyncio.run(run())
        self.assertEqual(exchange.WINDOW_BYTES, before)
        self.assertEqual(exchange.WINDOW_BYTES + 64 * 1024, after)
