"""Headers of requests that one instance relays through another, and of their answers."""

import dataclasses
import enum
import urllib.parse

from caperdyke import errors
from caperdyke.state import ids

RawHeaders = list[tuple[bytes, bytes]]

_PREFIX = b"relay-"
INSTANCE = _PREFIX + b"instance"
WAIT_MS = _PREFIX + b"wait-ms"
REACHED = _PREFIX + b"reached"
COUNTED = _PREFIX + b"counted"
VERSION = _PREFIX + b"version"
OUTCOME = _PREFIX + b"outcome"
TEAM = _PREFIX + b"team"
_NAMES = frozenset((INSTANCE, WAIT_MS, REACHED, COUNTED, VERSION, OUTCOME, TEAM))


class RelayOutcome(enum.Enum):
    """What became of a relayed request."""

    # The answer is the final one for the caller.
    FINAL = "final"
    # The instance refuses the request, which no server ran.
    NOT_RUN = "not run"
    # No server had capacity for a request of that instance, and none has run it.
    NO_CAPACITY = "no capacity"
    # The instance did not try to serve the request.
    DECLINED = "declined"


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """What the relaying instance adds to a request.

    :param instance: the relaying instance.
    :param wait_ms: time in milliseconds until its deadline for an answer.
    :param reached: number of servers that the request has reached already.
    :param is_counted: whether the request counts in the retry budget of the relaying instance.
    :param version: oldest configuration by which the request may be handled.
    :param team: the team whose key the relaying instance has checked; None if there is none.
    """

    instance: ids.InstanceId
    wait_ms: float
    reached: int
    is_counted: bool
    version: int
    team: ids.TeamName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """What the relaying instance learns from an answer beside its content.

    :param outcome: whether another instance may serve the request.
    :param version: configuration by which the request was handled.
    """

    outcome: RelayOutcome
    version: int


def encode_request(fields: RelayedRequest) -> RawHeaders:
    """Returns the headers of a relayed request."""
    team_headers = [] if fields.team is None else [(TEAM, _encode_team(fields.team))]
    return [
        *team_headers,
        (INSTANCE, fields.instance.encode("latin-1")),
        (WAIT_MS, b"%d" % max(0, int(fields.wait_ms))),
        (REACHED, b"%d" % fields.reached),
        (COUNTED, b"%d" % fields.is_counted),
        (VERSION, b"%d" % fields.version),
    ]


def decode_request(headers: RawHeaders) -> RelayedRequest:
    """Returns what the relaying instance added to a request.

    :raises errors.ProtocolError: if a header is missing or invalid.
    """
    found = dict(headers)
    try:
        return RelayedRequest(
            ids.InstanceId(found[INSTANCE].decode("latin-1")),
            int(found[WAIT_MS]),
            int(found[REACHED]),
            bool(int(found[COUNTED])),
            int(found[VERSION]),
            _decode_team(found[TEAM]) if TEAM in found else None,
        )
    except (KeyError, ValueError) as error:
        raise errors.ProtocolError(f"invalid headers of a relayed request: {error!r}") from error


def encode_answer(fields: RelayedAnswer) -> RawHeaders:
    """Returns the headers of the answer to a relayed request."""
    return [(VERSION, b"%d" % fields.version), (OUTCOME, fields.outcome.value.encode())]


def decode_answer(headers: RawHeaders) -> RelayedAnswer:
    """Returns what an answer to a relayed request carries beside its content.

    :raises errors.ProtocolError: if a header is missing or invalid.
    """
    found = dict(headers)
    try:
        outcome = RelayOutcome(found[OUTCOME].decode("latin-1"))
        return RelayedAnswer(outcome, int(found[VERSION]))
    except (KeyError, ValueError) as error:
        raise errors.ProtocolError(f"invalid headers of a relayed answer: {error!r}") from error


def _encode_team(name: ids.TeamName) -> bytes:
    # Names may contain any character, header values may not.
    return urllib.parse.quote(name, safe="", errors="surrogatepass").encode()


def _decode_team(value: bytes) -> ids.TeamName:
    return ids.TeamName(urllib.parse.unquote(value.decode("ascii"), errors="surrogatepass"))


def is_relayed(headers: RawHeaders) -> bool:
    """Returns whether a request was relayed by another instance."""
    return any(name == INSTANCE for name, _ in headers)


def strip(headers: RawHeaders) -> RawHeaders:
    """Returns headers without those of this module."""
    return [item for item in headers if item[0] not in _NAMES]
