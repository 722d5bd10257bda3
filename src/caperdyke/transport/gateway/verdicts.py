"""What became of one request, for its answer and its log line."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Why a request gets an answer of the system's own, for logs."""

    NO_CONFIGURATION = "no configuration yet"
    NO_ROUTE = "no route"
    TOO_LARGE = "body too large"
    MALFORMED = "request cannot be passed on"
    HEADERS_TOO_LARGE = "headers too large"
    NO_SERVER = "no server"
    NO_ROOM = "no room in time"
    REFUSED = "servers refused"
    FAILED = "server failed"
    TIMED_OUT = "timed out"
    CALLER_LEFT = "caller left"


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """What decided about one request, for its log line."""

    request_id: str
    received_at: float
    object_key: str = ""
    route: str = ""
    service: str = ""
    kind: str = ""
    host: str = ""
    sends: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class OwnAnswer:
    """An answer of the system's own.

    :param retry_seconds: when the caller may come back; None where that would not help.
    """

    status: int
    verdict: Verdict
    retry_seconds: float | None = None
