"""Decides whether a request may be tried again."""

import dataclasses

from caperdyke.state import ids, outcome, window

BUDGET_PERIOD_SECONDS = 10.0
# Retries allowed in a period even where there were few requests.
RETRIES_MIN = 3
ATTEMPTS_MAX = 4


@dataclasses.dataclass(slots=True)
class _Counts:
    requests: window.SlidingWindow
    retries: window.SlidingWindow


class RetryBudget:
    """Bounds retries to a share of the requests, for each customer and service."""

    def __init__(self) -> None:
        self._counts: dict[tuple[ids.CustomerName, ids.ServiceName], _Counts] = {}

    def count_request(
        self, now: float, customer: ids.CustomerName, service: ids.ServiceName
    ) -> None:
        """Records a first try."""
        self._find_counts(customer, service).requests.add(now)

    def spend(
        self, now: float, customer: ids.CustomerName, service: ids.ServiceName, percent: int
    ) -> bool:
        """Records a retry where the budget has room; tells whether it had."""
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
    """Tells whether another try is safe and can still be of use.

    :param attempt: tries so far.
    :param deadline: the caller's deadline, seconds since 1970.
    """
    if attempt >= ATTEMPTS_MAX or now >= deadline:
        return False
    return repeatable or refusal.outcome is outcome.Outcome.NOT_RUN
