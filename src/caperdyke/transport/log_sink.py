"""Writes log lines without ever waiting for their reader."""

import collections.abc
import os
import time
import typing

# Lines in a second beyond which those of no consequence are left out.
LINES_PER_SECOND_MAX = 300


class LineSink:
    """Writes lines to a file descriptor; counts those that were left out and says so later.

    :param stream: the stream whose descriptor is written to.
    """

    def __init__(
        self, stream: typing.TextIO, now: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._stream = stream
        self._now = now
        self._rest = b""
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def write(self, line: str, is_important: bool) -> None:
        """Writes a line, or leaves it out where the volume or the reader does not allow it."""
        second = int(self._now())
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

    def stop_waiting(self) -> None:
        """Makes writes return at once while the reader does not read."""
        os.set_blocking(self._stream.fileno(), False)

    def _put(self, line: str) -> None:
        # A line that was cut must be ended before the next one starts.
        data = self._rest or f"{line}\n".encode()
        try:
            written = os.write(self._stream.fileno(), data)
        except (BlockingIOError, BrokenPipeError):
            # Nobody reads; the count of lines that were left out is all that can be told later.
            written = 0
        if self._rest or not written:
            self._left_out += 1
        self._rest = data[written:] if written or self._rest else b""
