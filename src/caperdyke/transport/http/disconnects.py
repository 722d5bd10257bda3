"""Detects that a caller disconnected while its connection is not read."""

import asyncio
import select

# Interval between two checks of a connection whose reading is paused.
CHECK_INTERVAL_S = 0.25


class DisconnectWatch:
    """Closes a connection whose caller disconnected while reading is paused.

    A paused connection gets no event for the end of the stream, which follows the unread requests.

    Pattern: callers send more look-ups ahead than may be in progress, and give up together.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
        self._loop = loop
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts the checks, unless they run."""
        if self._timer is None:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Stops the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._transport.is_closing():
            return
        if _has_disconnected(self._transport):
            self._transport.close()
        else:
            self.start()


def _has_disconnected(transport: asyncio.Transport) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    # The system reports POLLERR and POLLHUP in any case.
    return bool(poll.poll(0))
