"""An event loop with a simulated clock, which advances as soon as no task can run."""

import asyncio
import selectors
import socket

RESOLUTION_SECONDS = 1e-9
# Real time that the kernel gets to deliver bytes between sockets of the test before simulated time
# passes. A second of simulated time takes many such waits.
DELIVERY_SECONDS = 0.001


class _SimulatedSelector(selectors.SelectSelector):
    """Advances the simulated clock by each timeout instead of waiting.

    :param delivery_seconds: real time to wait for sockets before the clock advances.
    """

    def __init__(self, delivery_seconds: float) -> None:
        super().__init__()
        self.now = 0.0
        self._delivery_seconds = delivery_seconds

    def select(self, timeout: float | None = None):
        ready = super().select(0 if timeout == 0 else self._delivery_seconds)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise AssertionError("every task waits for another one; nothing is scheduled")
        if timeout > 0:
            # Timers may fire early by the resolution of the clock. Without this extra step, a task
            # that waits until a time could wake before it and wait again endlessly.
            self.now += timeout + RESOLUTION_SECONDS
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them.

    :param delivery_seconds: real time to wait for sockets before the clock advances.
    """

    def __init__(self, delivery_seconds: float = 0.0) -> None:
        self._simulated_selector = _SimulatedSelector(delivery_seconds)
        super().__init__(self._simulated_selector)

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._simulated_selector.now

    async def getaddrinfo(self, host, port, **options):
        """Resolves numeric addresses at once; a thread would take real time."""
        return socket.getaddrinfo(host, port, **options)


def run(coroutine) -> None:
    """Runs a coroutine to its end on a simulated clock."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(coroutine)


def run_with_sockets(coroutine) -> None:
    """Runs a coroutine that uses loopback sockets to its end on a simulated clock."""
    with asyncio.Runner(loop_factory=lambda: SimulatedLoop(DELIVERY_SECONDS)) as runner:
        runner.run(coroutine)
