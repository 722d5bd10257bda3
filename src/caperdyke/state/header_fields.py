"""Parsed header fields of callers' requests and of backend servers' answers."""

import dataclasses

from caperdyke.state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class NoCredential:
    """A request without a credential."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyCredential:
    """A request with one API key.

    :param digest: digest of the key, see ``teams.digest_key``.
    """

    digest: ids.KeyDigest


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedCredential:
    """A request with several credentials, or with one of another form."""


Credential = NoCredential | KeyCredential | MalformedCredential


@dataclasses.dataclass(frozen=True, slots=True)
class UnmanagedIdentity:
    """The configuration has no teams; credentials are forwarded like any header."""


@dataclasses.dataclass(frozen=True, slots=True)
class TeamIdentity:
    """The configuration has teams; the team's name replaces the credential.

    :param team: None for a request of a public route without a valid key.
    """

    team: ids.TeamName | None


Identity = UnmanagedIdentity | TeamIdentity


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Header fields of a caller's request.

    :param request_id: identifies one attempt of the caller; empty where it is missing.
    :param wait_ms: how long the caller waits, in milliseconds; None where it is missing.
    :param object_key: object that the request concerns; empty where it is missing.
    :param credential: what the request presents to identify its team.
    """

    request_id: str
    wait_ms: float | None
    object_key: ids.ObjectKey
    credential: Credential = NoCredential()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a backend server, as it counts its own requests.

    :param pace: how long work takes on the server's machine at this moment, relative to what is
        usual there; None if the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


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
