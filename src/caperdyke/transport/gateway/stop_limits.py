"""Limits what requests wait for once an instance has been asked to stop."""

import asyncio
import collections.abc
import contextlib
import math

FindEnd = collections.abc.Callable[[], float]


class StopLimits:
    """Ends waits at times that are known only once a stop has begun.

    :param now: clock of the times.
    """

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self._now = now
        self._limits: dict[asyncio.Timeout, FindEnd] = {}

    @contextlib.asynccontextmanager
    async def limit(self, find_end: FindEnd) -> collections.abc.AsyncIterator[asyncio.Timeout]:
        """Bounds what runs inside by the time that a function returns.

        :param find_end: called now and when a stop begins; infinity for no limit.
        :raises TimeoutError: at that time; the yielded timeout then reports that it has expired.
        """
        async with asyncio.timeout(None) as timeout:
            self._limits[timeout] = find_end
            self._apply(timeout)
            try:
                yield timeout
            finally:
                del self._limits[timeout]

    def apply(self) -> None:
        """Applies the times that are known now that a stop has begun."""
        for timeout in self._limits:
            self._apply(timeout)

    def _apply(self, timeout: asyncio.Timeout) -> None:
        left_s = self._limits[timeout]() - self._now()
        if left_s < math.inf and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time() + max(0.0, left_s))
