"""Measures, from the starts at the backend servers, whether the limits of a contract held."""

import collections

# Largest difference between the transit times of two requests to their backend servers.
JITTER_S = 0.05


def find_peak(times: list[float], period: float) -> int:
    """Returns the largest number of starts in any window of one period less the jitter.

    :param times: times of the starts, in seconds.
    :param period: in seconds.
    """
    window: collections.deque[float] = collections.deque()
    peak = 0
    for started_at in sorted(times):
        window.append(started_at)
        while window[0] <= started_at - (period - JITTER_S):
            window.popleft()
        peak = max(peak, len(window))
    return peak


def find_steepest_step(times: list[float], period: float) -> int:
    """Returns the largest increase of starts from one period of the wall clock to the next.

    A start that arrives within the jitter after the boundary may have been sent before it, so it
    counts for the earlier period only.

    :param times: times of the starts, in seconds since the epoch.
    :param period: in seconds.
    """
    largest_step = 0
    for index in {int(started_at / period) for started_at in times}:
        boundary = index * period
        current_starts = sum(1 for t in times if boundary + JITTER_S < t <= boundary + period)
        previous_starts = sum(1 for t in times if boundary - period < t <= boundary + JITTER_S)
        largest_step = max(largest_step, current_starts - previous_starts)
    return largest_step
