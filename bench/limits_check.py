"""Checks at the backend servers whether the limits of a contract held."""

import collections

# Largest difference between the times at which two requests travel to their backend servers.
JITTER_SECONDS = 0.05


def find_peak(times: list[float], period: float) -> int:
    """Returns the most starts in any window of one period, less the jitter of the way."""
    window: collections.deque[float] = collections.deque()
    peak = 0
    for moment in sorted(times):
        window.append(moment)
        while window[0] <= moment - (period - JITTER_SECONDS):
            window.popleft()
        peak = max(peak, len(window))
    return peak


def find_steepest_step(times: list[float], period: float) -> int:
    """Returns the largest growth from one period of the wall clock to the next.

    A start that arrives within the jitter after the turn may have been sent before it, so it is
    counted to the earlier period only.
    """
    steepest = 0
    for index in {int(moment / period) for moment in times}:
        turn = index * period
        late = sum(1 for t in times if turn + JITTER_SECONDS < t <= turn + period)
        early = sum(1 for t in times if turn - period < t <= turn + JITTER_SECONDS)
        steepest = max(steepest, late - early)
    return steepest
