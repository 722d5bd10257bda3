"""An event loop with a simulated clock, which advances as soon as no task can run."""

import asyncio
import selectors

RESOLUTION_SECONDS = 1e-9


class _SimulatedSelector(selectors.SelectSelector):
    """Advances the simulated clock by each timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None):
        if timeout is None:
            raise AssertionError("every task waits for another one; nothing is scheduled")
        if timeout > 0:
            # Timers may fire early by the resolution of the clock. Without this extra step, a task
            # that waits until a time could wake before it and wait again endlessly.
            self.now += timeout + RESOLUTION_SECONDS
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._simulated_selector = _SimulatedSelector()
        super().__init__(self._simulated_selector)

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._simulated_selector.now


def run(coroutine) -> None:
    """Runs a coroutine to its end on a simulated clock."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(coroutine)
