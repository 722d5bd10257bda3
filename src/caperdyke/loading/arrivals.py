"""Arrival times of an open-loop stream: a Poisson process with a linearly changing rate."""

import collections.abc
import random

from caperdyke.loading import scenario


def generate_arrivals(stream: scenario.Stream, seed: int) -> collections.abc.Iterator[float]:
    """Yields the times of a stream's requests in seconds after the start.

    The times depend only on the stream and the seed, not on the outcome of earlier requests.
    """
    generator = random.Random(f"{seed}/{stream.name}")
    time_s = stream.starts_at_ms / 1000
    end_s = stream.ends_at_ms / 1000
    duration_s = max(end_s - time_s, 0.001)
    start_s = time_s
    while time_s < end_s:
        progress = (time_s - start_s) / duration_s
        rate = stream.rate + (stream.rate_end - stream.rate) * progress
        if rate <= 0:
            time_s += 0.01
            continue
        time_s += generator.expovariate(rate)
        if time_s < end_s:
            yield time_s
