"""Messages between instances."""

import dataclasses
import enum

from caperdyke.state import backend, ids, keys, lease, member

PROTOCOL_VERSION = 1


class Role(enum.IntEnum):
    """Why a request is forwarded."""

    DESTINATION = 1
    KEY_OWNER = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message in both directions."""

    version: int
    sender: member.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Announces that the sender is alive, with its configuration revision and load.

    :param confirmed_at: time at which the revision was last confirmed as the newest, seconds since
        1970.
    :param busy: the sender's requests in flight and queued, per slot.
    """

    revision: ids.Revision
    confirmed_at: float
    busy: float


@dataclasses.dataclass(frozen=True, slots=True)
class MemberNews:
    """Changed records of instances."""

    members: tuple[member.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """Reports that an instance does not answer its peers.

    :param reporter_domain: failure domain of the instance that detected it.
    :param until: time until which the report is valid, seconds since 1970.
    """

    holder: lease.Holder
    reporter_domain: ids.DomainName
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class DrainNews:
    """Changed drain announcements."""

    marks: tuple[backend.DrainMark, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Requests all changes after a revision."""

    after: ids.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesReply:
    """Encoded change records in order of revision, or one encoded snapshot.

    :param confirmed_at: time at which the last revision was confirmed as the newest, seconds since
        1970.
    """

    changes: tuple[bytes, ...]
    snapshot: bytes
    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RenewRequest:
    """Requests that the instance that renews the domain's lease includes the sender."""

    holder: lease.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Announces that the lease row's deadline was extended and nothing else changed."""

    domain: ids.DomainName
    version: int
    previous_version: int
    rest_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseNews:
    """Carries the whole lease row."""

    row: lease.DomainLease


@dataclasses.dataclass(frozen=True, slots=True)
class RowRequest:
    """Requests the lease row that the peer has cached."""

    domain: ids.DomainName


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Request that is forwarded to another instance.

    :param key: text of the request key, or empty.
    :param home: failure domain of the caller's home.
    :param deadline: the caller's deadline, seconds since 1970.
    """

    request: ids.RequestId
    role: Role
    customer: ids.CustomerName
    service: ids.ServiceName
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    home: ids.DomainName
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStart:
    """Status and headers of the answer to a forwarded request."""

    request: ids.RequestId
    status: int
    headers: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Part of an answer's body.

    :param sequence: number of the part, from 0.
    """

    request: ids.RequestId
    sequence: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Marks a complete answer.

    :param chunks: number of parts that were sent.
    """

    request: ids.RequestId
    chunks: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRefused:
    """Final refusal of a forwarded request, or failure of an answer after its start."""

    request: ids.RequestId
    outcome: str
    reason: str
    retry_at: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller no longer waits for the answer."""

    request: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Allows the sender of an answer to send more bytes of its body."""

    request: ids.RequestId
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """Part of the request key records of an instance that is shutting down.

    :param owners: incarnations whose records these are.
    :param is_last: whether this is the last message of the handover.
    """

    owners: tuple[lease.Holder, ...]
    records: tuple[keys.KeyRecord, ...]
    is_last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverAck:
    """Confirms that the successor has received all key records."""

    successor: ids.InstanceId


Message = (
    Hello
    | Heartbeat
    | MemberNews
    | PeerReport
    | DrainNews
    | ChangesRequest
    | ChangesReply
    | RenewRequest
    | LeaseRenewed
    | LeaseNews
    | RowRequest
    | Forward
    | AnswerStart
    | AnswerChunk
    | AnswerEnd
    | AnswerRefused
    | Cancel
    | Credit
    | Handover
    | HandoverAck
)
