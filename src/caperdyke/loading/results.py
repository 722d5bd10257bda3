"""Outcome counts and latencies of the requests of a stream."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class StreamResult:
    """Counts and latencies of one stream.

    Latency is measured from the planned arrival, so that a delayed load generator doesn't hide a
    stall of the system (coordinated omission).

    :param wrong: complete answers that belonged to another request.
    :param latencies: time from the planned arrival to the complete answer, in seconds.
    :param refusal_times: time from the planned arrival to the final refusal, in seconds.
    """

    name: str
    customer: str
    service: str
    sent: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    wrong: int = 0
    latencies: list[float] = dataclasses.field(default_factory=list)
    refusal_times: list[float] = dataclasses.field(default_factory=list)
    reasons: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    answered_tokens: list[str] = dataclasses.field(default_factory=list)
    not_run_tokens: list[str] = dataclasses.field(default_factory=list)

    def summarize(self) -> dict:
        """Returns the counts and the latency percentiles in milliseconds."""
        return {
            "stream": self.name,
            "customer": self.customer,
            "service": self.service,
            "sent": self.sent,
            "answered": self.answered,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "failed": self.failed,
            "wrong": self.wrong,
            "p50_ms": _to_ms(compute_percentile(self.latencies, 50)),
            "p99_ms": _to_ms(compute_percentile(self.latencies, 99)),
            "refusal_p99_ms": _to_ms(compute_percentile(self.refusal_times, 99)),
            "reasons": dict(self.reasons),
        }


def compute_percentile(values: list[float], percent: float) -> float | None:
    """Returns a percentile by the nearest-rank method, or None if there are no values."""
    if not values:
        return None
    ordered = sorted(values)
    position = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(position)]


def _to_ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 2)


COLUMNS = ("sent", "answered", "not_run", "unknown", "failed", "wrong", "p50_ms", "p99_ms")


def format_table(summaries: list[dict]) -> str:
    """Returns the results as a plain-text table."""
    names = [f"{item['customer']}/{item['stream']}" for item in summaries]
    width = max([len(name) for name in names] + [10])
    lines = [f"{'stream':<{width}} " + " ".join(f"{column:>9}" for column in COLUMNS)]
    for name, item in zip(names, summaries, strict=True):
        cells = ("-" if item[column] is None else str(item[column]) for column in COLUMNS)
        lines.append(f"{name:<{width}} " + " ".join(f"{cell:>9}" for cell in cells))
    return "\n".join(lines)
