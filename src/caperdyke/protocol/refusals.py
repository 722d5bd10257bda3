"""HTTP headers and JSON bodies of refusals and look-up answers."""

import json

from caperdyke.coordination import lookup
from caperdyke.state import outcome

KEY_HEADER = "caperdyke-key"
DEADLINE_HEADER = "caperdyke-deadline"
OUTCOME_HEADER = "caperdyke-outcome"
REQUEST_HEADER = "caperdyke-request"
IDEMPOTENCY_HEADER = "idempotency-key"


def encode_refusal(refusal: outcome.Refusal, label: str) -> bytes:
    """Returns the JSON body of a refusal.

    :param label: identifier of the request.
    """
    body = {
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
        "retry_at": refusal.retry_at or None,
        "detail": refusal.detail,
        "request": label,
    }
    return json.dumps(body).encode()


def encode_lookup(answer: lookup.LookupAnswer, key: str) -> bytes:
    """Returns the JSON body of a look-up answer."""
    body = {
        "entries": list(answer.entries),
        "home": answer.home,
        "valid_until": answer.valid_until,
        "key": key,
    }
    return json.dumps(body).encode()


def make_retry_after(refusal: outcome.Refusal, now: float) -> str | None:
    """Returns the value of a ``Retry-After`` header in whole seconds, or None."""
    if refusal.retry_at <= 0:
        return None
    return str(max(1, int(refusal.retry_at - now + 0.999)))
