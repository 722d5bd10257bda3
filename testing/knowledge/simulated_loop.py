"""An event loop whose clock moves on as soon as nothing is left to do."""

import asyncio
import selectors

RESOLUTION_SECONDS = 1e-9


class _SkippingSelector(selectors.SelectSelector):
    """Lets time pass at once instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None):
        if timeout is None:
            raise AssertionError("every task waits for another one; nothing is scheduled")
        if timeout > 0:
            # Timers may fire early by the resolution of the clock; without the least step a task
            # that waits for a time could then wait again and again.
            self.now += timeout + RESOLUTION_SECONDS
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order without waiting for them."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._skipping.now


def run(scene) -> None:
    """Runs a coroutine to its end on a simulated clock."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(scene)
