"""Non-blocking output of log lines."""

import collections.abc
import os
import time
import typing

# Rate above which lines that are not important are dropped.
LINES_PER_SECOND_MAX = 300


class LineSink:
    """Writes lines to a file descriptor, counts dropped lines and reports their number later.

    :param stream: the stream whose descriptor is written to.
    :param now: clock in seconds.
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
        """Writes a line, or drops it if the rate is too high or the reader too slow.

        :param is_important: whether the line is exempt from the rate limit.
        """
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
        """Makes writes return at once when the reader has stopped reading."""
        os.set_blocking(self._stream.fileno(), False)

    def _write_line(self, line: str) -> None:
        # The rest of a partly written line goes first; the new line is dropped instead.
        data = self._unwritten or f"{line}\n".encode()
        try:
            written = os.write(self._stream.fileno(), data)
        except (BlockingIOError, BrokenPipeError):
            # The reader is stalled or gone; later only the number of dropped lines is reported.
            written = 0
        if self._unwritten or not written:
            self._dropped += 1
        self._unwritten = data[written:] if written or self._unwritten else b""
