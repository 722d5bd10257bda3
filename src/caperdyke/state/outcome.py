"""Outcomes of requests and reasons of refusals."""

import dataclasses
import enum

from caperdyke.state import ids


class Outcome(enum.Enum):
    """Outcome of a request as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Machine-readable reason of a refusal."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_CUSTOMER = "unknown-customer"
    UNKNOWN_SERVICE = "unknown-service"
    BODY_TOO_LARGE = "body-too-large"
    DEADLINE_PASSED = "deadline-passed"
    KEY_REQUIRED = "key-required"
    KEY_MALFORMED = "key-malformed"
    KEY_EXPIRED = "key-expired"
    KEY_MISMATCH = "key-mismatch"
    KEY_OWNER_GONE = "key-owner-gone"
    KEY_OUTCOME_LOST = "key-outcome-lost"
    REGION_FORBIDDEN = "region-forbidden"
    SHARE_SPENT = "share-spent"
    SHIFT_SPENT = "shift-spent"
    NO_BACKEND = "no-backend"
    BACKEND_BUSY = "backend-busy"
    BACKEND_FAILED = "backend-failed"
    PEER_LOST = "peer-lost"
    INSTANCE_LEAVING = "instance-leaving"
    NOT_READY = "not-ready"
    PLATFORM_AWAY = "platform-away"
    NO_MEMORY = "no-memory"


# HTTP status for each reason; anything else is 503.
STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_CUSTOMER: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.DEADLINE_PASSED: 408,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_MALFORMED: 400,
    Reason.KEY_EXPIRED: 410,
    Reason.KEY_MISMATCH: 422,
    Reason.REGION_FORBIDDEN: 403,
}
DEFAULT_STATUS = 503
UNKNOWN_STATUS = 502


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Final answer to a request that gets no answer from a backend server.

    :param retry_at: earliest time for a retry, seconds since 1970; 0 when a retry is useless.
    """

    outcome: Outcome
    reason: Reason
    retry_at: ids.Timestamp = ids.Timestamp(0.0)
    detail: str = ""

    @property
    def status(self) -> int:
        """HTTP status that carries the refusal."""
        if self.outcome is Outcome.UNKNOWN:
            return UNKNOWN_STATUS
        return STATUS_BY_REASON.get(self.reason, DEFAULT_STATUS)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer from a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]


def refuse(reason: Reason, retry_at: float = 0.0, detail: str = "") -> Refusal:
    """Returns a refusal of a request that did not run."""
    return Refusal(Outcome.NOT_RUN, reason, ids.Timestamp(retry_at), detail)


def report_unknown(reason: Reason, detail: str = "") -> Refusal:
    """Returns the final answer to a request that may have run."""
    return Refusal(Outcome.UNKNOWN, reason, ids.Timestamp(0.0), detail)
