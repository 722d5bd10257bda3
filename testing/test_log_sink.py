"""Log output to a stalled reader drops lines instead of blocking."""

import json
import os

import testtools

from caperdyke.transport import log_sink


class LineSinkTest(testtools.TestCase):
    """A sink that writes to a pipe."""

    def setUp(self) -> None:
        super().setUp()
        reading, writing = os.pipe()
        self.reader = os.fdopen(reading, "rb")
        self.writer = os.fdopen(writing, "w")
        self.addCleanup(self.reader.close)
        self.addCleanup(self.writer.close)
        self.sink = log_sink.LineSink(self.writer, lambda: 1000.5)
        self.sink.set_nonblocking()

    def read_all(self) -> list[bytes]:
        """Returns the content of the pipe, split into lines."""
        os.set_blocking(self.reader.fileno(), False)
        return (self.reader.read() or b"").split(b"\n")

    def test_stalled_reader_only_drops_lines(self) -> None:
        for number in range(200):
            self.sink.write(json.dumps({"number": number, "text": "x" * 1000}), True)
        lines = self.read_all()
        whole = [line for line in lines[:-1] if line]
        self.assertTrue(0 < len(whole) < 200)
        # The line that was cut when the pipe was full is completed before the next one.
        self.sink.write(json.dumps({"number": 200}), True)
        self.sink.write(json.dumps({"number": 201}), True)
        rest = (lines[-1] + b"\n".join(self.read_all())).split(b"\n")
        for line in [*whole, *rest]:
            if line:
                json.loads(line)
        self.assertIn(b'{"number": 201}', rest)

    def test_rate_limit_exempts_important_lines(self) -> None:
        count = 2 * log_sink.LINES_PER_SECOND_MAX
        for number in range(count):
            self.sink.write("{}", number % 2 == 0)
        lines = [line for line in self.read_all() if line]
        self.assertTrue(count / 2 <= len(lines) < count, f"got {len(lines)} of {count}")
