"""Arrival times of an open-loop stream."""

import collections.abc
import random

from caperdyke.loading import scenario


def generate_arrivals(stream: scenario.Stream, seed: int) -> collections.abc.Iterator[float]:
    """Yields the times of a stream's requests in seconds after the start.

    The same seed gives the same times, whatever happens to earlier requests.
    """
    chooser = random.Random(f"{seed}/{stream.name}")
    now = stream.starts_at_ms / 1000
    end = stream.ends_at_ms / 1000
    length = max(end - now, 0.001)
    start = now
    while now < end:
        share = (now - start) / length
        rate = stream.rate + (stream.rate_end - stream.rate) * share
        if rate <= 0:
            now += 0.01
            continue
        now += chooser.expovariate(rate)
        if now < end:
            yield now
