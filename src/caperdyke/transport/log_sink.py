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
        self._unwritten = b""
        self._current_second = 0
        self._lines_this_second = 0
        self._dropped = 0

    def write(self, line: str, is_important: bool) -> None:
        """Writes a line, or leaves it out where the volume or the reader does not allow it."""
        second = int(self._now())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
            self._report_dropped()
        self._lines_this_second += 1
        if self._lines_this_second > LINES_PER_SECOND_MAX and not is_important:
            self._dropped += 1
            return
        self._write_line(line)

    def _report_dropped(self) -> None:
        if self._dropped:
            count, self._dropped = self._dropped, 0
            self._write_line(
                f'{{"event": 1006, "name": "LINES_LEFT_OUT", "fields": {{"count": {count}}}}}'
            )

    def set_nonblocking(self) -> None:
        """Makes writes return at once while the reader does not read."""
        os.set_blocking(self._stream.fileno(), False)

    def _write_line(self, line: str) -> None:
        # A line that was cut must be ended before the next one starts.
        data = self._unwritten or f"{line}\n".encode()
        try:
            written = os.write(self._stream.fileno(), data)
        except (BlockingIOError, BrokenPipeError):
            # Nobody reads; the count of lines that were left out is all that can be told later.
            written = 0
        if self._unwritten or not written:
            self._dropped += 1
        self._unwritten = data[written:] if written or self._unwritten else b""
