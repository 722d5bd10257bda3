"""Writes log lines without ever waiting for their reader."""

import time
import typing

# Lines in a second beyond which those of no consequence are left out.
LINES_PER_SECOND_MAX = 300


class LineSink:
    """Writes lines to a stream; counts those that were left out and says so later.

    :param stream: text stream on a file descriptor or in memory.
    """

    def __init__(self, stream: typing.TextIO) -> None:
        self._stream = stream
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def write(self, line: str, is_important: bool) -> None:
        """Writes a line, or leaves it out where the volume or the reader does not allow it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
            self._report_left_out()
        self._lines += 1
        if self._lines > LINES_PER_SECOND_MAX and not is_important:
            self._left_out += 1
            return
        self._put(line)

    def _report_left_out(self) -> None:
        if self._left_out:
            count, self._left_out = self._left_out, 0
            self._put(
                f'{{"event": 1006, "name": "LINES_LEFT_OUT", "fields": {{"count": {count}}}}}'
            )

    def _put(self, line: str) -> None:
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except BlockingIOError:
            self._left_out += 1
