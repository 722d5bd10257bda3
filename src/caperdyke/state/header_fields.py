"""What callers and backend servers say of a request beside its method, path and body."""

import dataclasses

from caperdyke.state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What a caller says of its request.

    :param request_id: identifies one attempt of the caller; empty where it is missing.
    :param wait_ms: how long the caller waits, in milliseconds; None where it is not told.
    :param object_key: object that the request concerns; empty where none is told.
    """

    request_id: str
    wait_ms: float | None
    object_key: ids.ObjectKey


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """A backend server's own count of its requests."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """A backend server bounds what all instances together send to it.

    :param per_second: requests a second.
    """

    per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoLimit:
    """A backend server names no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """A backend server names a limit that is no number of requests."""

    text: str


LimitReport = AdvertisedLimit | NoLimit | UnreadableLimit


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedBackoff:
    """A backend server that turned a request away wants nothing from this instance for a while.

    :param seconds: from its answer on.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoBackoff:
    """A backend server asks for no rest."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableBackoff:
    """A backend server asks for a rest that is no time."""

    text: str


BackoffReport = RequestedBackoff | NoBackoff | UnreadableBackoff


@dataclasses.dataclass(frozen=True, slots=True)
class ServerHeaders:
    """What a backend server says of its answer.

    :param request_id: the attempt that is answered; empty where it is missing.
    :param is_signed: whether the body is vouched for by the backend server.
    :param is_refused: whether the backend server did not run the request and never will.
    :param is_misdirected: whether another backend server now has the address.
    :param load: None where the server does not tell it.
    :param cold_ms: how much longer the server is cold, in milliseconds; None where not told.
    :param limit: what the server takes from all instances together.
    :param rest: for how long it wants nothing from this instance.
    :param is_leaving: whether this start of the server is about to end and wants no new work.
    """

    request_id: str
    is_signed: bool
    is_refused: bool
    is_misdirected: bool
    load: ServerLoad | None
    cold_ms: float | None
    limit: LimitReport
    rest: BackoffReport
    is_leaving: bool
