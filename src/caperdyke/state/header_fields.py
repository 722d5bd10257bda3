"""Parsed header fields of callers' requests and of backend servers' answers."""

import dataclasses

from caperdyke.state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Header fields of a caller's request.

    :param request_id: identifies one attempt of the caller; empty where it is missing.
    :param wait_ms: how long the caller waits, in milliseconds; None where it is missing.
    :param object_key: object that the request concerns; empty where it is missing.
    """

    request_id: str
    wait_ms: float | None
    object_key: ids.ObjectKey


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a backend server, as it counts its own requests."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """A backend server limits the rate of all instances together.

    :param per_second: requests per second.
    """

    per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoLimit:
    """A backend server advertises no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """A backend server advertises a limit that is not a valid number of requests."""

    text: str


LimitReport = AdvertisedLimit | NoLimit | UnreadableLimit


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedBackoff:
    """A backoff that a backend server requests from this instance when it refuses a request.

    :param seconds: duration, counted from its answer.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoBackoff:
    """A backend server requests no backoff."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableBackoff:
    """A backend server requests a backoff that is not a valid duration."""

    text: str


BackoffReport = RequestedBackoff | NoBackoff | UnreadableBackoff


@dataclasses.dataclass(frozen=True, slots=True)
class ServerHeaders:
    """Header fields of a backend server's answer.

    :param request_id: the attempt that is answered; empty where it is missing.
    :param is_signed: whether the answer has the backend server's signature, which vouches for the
        body.
    :param is_refused: whether the backend server did not run the request and never will.
    :param is_misdirected: whether another backend server now has the address.
    :param load: None where it is missing.
    :param cold_ms: remaining time for which the server is cold, in milliseconds; None where it is
        missing.
    :param limit: limit of the server on the requests of all instances together.
    :param backoff: backoff that the server requests from this instance.
    :param is_leaving: whether this start of the server is about to end and accepts no new work.
    """

    request_id: str
    is_signed: bool
    is_refused: bool
    is_misdirected: bool
    load: ServerLoad | None
    cold_ms: float | None
    limit: LimitReport
    backoff: BackoffReport
    is_leaving: bool
