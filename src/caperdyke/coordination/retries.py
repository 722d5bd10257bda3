"""Decides whether a request may be retried."""

import dataclasses

from caperdyke.state import ids, outcome, window

BUDGET_PERIOD_SECONDS = 10.0
# Retries allowed in a period in addition to the percentage, even where there were few requests.
RETRIES_MIN = 3
ATTEMPTS_MAX = 4


@dataclasses.dataclass(slots=True)
class _Counts:
    requests: window.SlidingWindow
    retries: window.SlidingWindow


class RetryBudget:
    """Limits retries to a percentage of the requests, for each customer and service."""

    def __init__(self) -> None:
        self._counts: dict[tuple[ids.CustomerName, ids.ServiceName], _Counts] = {}

    def count_request(
        self, now: float, customer: ids.CustomerName, service: ids.ServiceName
    ) -> None:
        """Records the first attempt of a request."""
        self._find_counts(customer, service).requests.add(now)

    def spend(
        self, now: float, customer: ids.CustomerName, service: ids.ServiceName, percent: int
    ) -> bool:
        """Records a retry if the budget allows it; returns whether it does."""
        counts = self._find_counts(customer, service)
        allowed = RETRIES_MIN + counts.requests.count(now) * percent // 100
        if counts.retries.count(now) >= allowed:
            return False
        counts.retries.add(now)
        return True

    def _find_counts(self, customer: ids.CustomerName, service: ids.ServiceName) -> _Counts:
        key = (customer, service)
        counts = self._counts.get(key)
        if counts is None:
            counts = _Counts(
                window.SlidingWindow(BUDGET_PERIOD_SECONDS),
                window.SlidingWindow(BUDGET_PERIOD_SECONDS),
            )
            self._counts[key] = counts
        return counts


def may_retry(
    now: float, refusal: outcome.Refusal, repeatable: bool, attempt: int, deadline: float
) -> bool:
    """Returns whether another attempt is safe, and within the deadline and the most attempts.

    :param attempt: attempts so far.
    :param deadline: the caller's deadline, seconds since 1970.
    """
    if attempt >= ATTEMPTS_MAX or now >= deadline:
        return False
    return repeatable or refusal.outcome is outcome.Outcome.NOT_RUN
