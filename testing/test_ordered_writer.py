"""Order, bounds and accounting of the responses of one connection."""

import random

import testtools
from parameterized import parameterized

from caperdyke.transport.http import ordered_writer

OVERHEAD = ordered_writer.RESPONSE_OVERHEAD_BYTES


class Sink:
    """Records the bytes that are sent, and stops being writable after some of them."""

    def __init__(self) -> None:
        self.data = b""
        self.is_writable = True
        self.writes_left = 10**9

    def write(self, data: bytes) -> None:
        """Records bytes."""
        self.data += data
        self.writes_left -= 1
        self.is_writable = self.is_writable and self.writes_left > 0


def make_writer() -> tuple[Sink, ordered_writer.OrderedWriter]:
    """Returns a sink and a writer that sends to it."""
    sink = Sink()
    return sink, ordered_writer.OrderedWriter(sink.write, lambda: sink.is_writable)


class OrderTest(testtools.TestCase):
    """Bytes arrive in the order of the requests, whatever the order of the responses."""

    @parameterized.expand(
        [
            ("in order", "0a 0. 1b 1. 2c 2.", b"abc"),
            ("reversed", "2c 2. 1b 1. 0a 0.", b"abc"),
            ("middle first", "1b 1. 0a 2c 0. 2.", b"abc"),
            ("interleaved parts", "0a 1b 2c 0d 1e 2f 2. 1. 0.", b"adbecf"),
            ("unfinished first", "1b 1. 2c 2. 0a", b"a"),
            ("unfinished middle", "0a 0. 1b 2c 2.", b"ab"),
            ("nothing from the first", "1b 1. 2c 2.", b""),
        ]
    )
    def test_order(self, _name, steps, expected) -> None:
        sink, writer = make_writer()
        responses = [writer.add_response() for _ in range(3)]
        for step in steps.split():
            response = responses[int(step[0])]
            if step[1] == ".":
                writer.finish(response)
                writer.release()
            else:
                writer.append(response, step[1].encode())
        self.assertEqual(expected, sink.data)

    def test_first_response_is_not_buffered(self) -> None:
        sink, writer = make_writer()
        first = writer.add_response()
        writer.append(first, b"part")
        self.assertEqual((b"part", 0), (sink.data, writer.buffered_bytes))

    def test_release_returns_what_was_sent_completely(self) -> None:
        _, writer = make_writer()
        first, second, third = (writer.add_response() for _ in range(3))
        for response in (second, third):
            writer.append(response, b"x")
        writer.finish(second)
        self.assertEqual([], writer.release())
        writer.finish(first)
        self.assertEqual([first, second], writer.release())
        self.assertTrue(writer.is_first(third))

    @parameterized.expand([(seed,) for seed in range(20)])
    def test_random_orders(self, seed) -> None:
        """Guards against mixed or lost bytes, and against buffered bytes that are miscounted."""
        source = random.Random(seed)
        sink, writer = make_writer()
        responses = [writer.add_response() for _ in range(8)]
        texts = [b"%d" % number * source.randint(0, 5) for number in range(8)]
        steps = [number for number, text in enumerate(texts) for _ in range(len(text) + 1)]
        source.shuffle(steps)
        left = [len(text) for text in texts]
        for number in steps:
            sink.is_writable = source.random() < 0.7
            if left[number]:
                left[number] -= 1
                writer.append(responses[number], b"%d" % number)
            else:
                writer.finish(responses[number])
            writer.release()
        sink.is_writable = True
        writer.release()
        self.assertEqual((b"".join(texts), 0), (sink.data, writer.buffered_bytes))


class BoundsTest(testtools.TestCase):
    """Accounting of buffered bytes and a caller that reads slowly."""

    def test_buffered_bytes_are_counted(self) -> None:
        _, writer = make_writer()
        first, second, third = (writer.add_response() for _ in range(3))
        writer.append(second, b"x" * 10)
        writer.append(third, b"x" * 20)
        self.assertEqual(30 + 2 * OVERHEAD, writer.buffered_bytes)
        writer.finish(first)
        writer.release()
        self.assertEqual(20 + OVERHEAD, writer.buffered_bytes)

    def test_released_bytes_wait_until_the_caller_reads(self) -> None:
        """Guards against a whole buffer that moves to the transport of a slow caller at once."""
        sink, writer = make_writer()
        first, second = writer.add_response(), writer.add_response()
        for part in (b"a", b"b", b"c"):
            writer.append(second, part)
        writer.finish(second)
        writer.finish(first)
        sink.writes_left = 1
        self.assertEqual([first], writer.release())
        self.assertEqual((b"a", 2), (sink.data, writer.buffered_bytes))
        sink.is_writable, sink.writes_left = True, 10
        self.assertEqual([second], writer.release())
        self.assertEqual((b"abc", 0), (sink.data, writer.buffered_bytes))

    @parameterized.expand([("behind the first", 0, 0), ("behind the second", 1, 10 + OVERHEAD)])
    def test_discarded_responses(self, _name, kept, expected) -> None:
        """Guards against bytes behind a response that ends the connection."""
        sink, writer = make_writer()
        responses = [writer.add_response() for _ in range(3)]
        for response in responses[1:]:
            writer.append(response, b"x" * 10)
        writer.discard_after(responses[kept])
        writer.append(responses[2], b"late")
        self.assertEqual((expected, b""), (writer.buffered_bytes, sink.data))

    def test_nothing_is_left_after_the_connection_is_lost(self) -> None:
        sink, writer = make_writer()
        first, second = writer.add_response(), writer.add_response()
        writer.append(second, b"x")
        writer.discard_all()
        writer.append(first, b"y")
        self.assertEqual((0, b"", []), (writer.buffered_bytes, sink.data, writer.release()))
