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
    """Tells that the sender is alive and what it knows.

    :param confirmed_at: time at which the revision was known to be the newest.
    :param busy: the sender's requests in flight and queued, per slot.
    """

    revision: ids.Revision
    confirmed_at: float
    busy: float


@dataclasses.dataclass(frozen=True, slots=True)
class MemberNews:
    """Records of instances that changed."""

    members: tuple[member.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """Tells that an instance does not answer its neighbours.

    :param reporter_domain: failure domain of the instance that noticed it.
    :param until: deadline of the report, seconds since 1970.
    """

    holder: lease.Holder
    reporter_domain: ids.DomainName
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class DrainNews:
    """Drain announcements that changed."""

    marks: tuple[backend.DrainMark, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Asks for everything after a revision."""

    after: ids.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesReply:
    """Encoded change records in order of revision, or one encoded snapshot.

    :param confirmed_at: time at which the last revision was known to be the newest.
    """

    changes: tuple[bytes, ...]
    snapshot: bytes
    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RenewRequest:
    """Asks the instance that renews the domain's lease to include the sender."""

    holder: lease.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The lease row's deadline was extended and nothing else changed."""

    domain: ids.DomainName
    version: int
    previous_version: int
    rest_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseNews:
    """The whole lease row."""

    row: lease.DomainLease


@dataclasses.dataclass(frozen=True, slots=True)
class RowRequest:
    """Asks a peer for the lease row that it knows."""

    domain: ids.DomainName


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Head of a request for another instance.

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
    """Final refusal of a forwarded request, or the failure of an answer that had begun."""

    request: ids.RequestId
    outcome: str
    reason: str
    retry_at: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller no longer wants the answer."""

    request: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Lets the sender of an answer send more bytes of its body."""

    request: ids.RequestId
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """Part of the key memory of an instance in a planned stop.

    :param owners: incarnations whose memory this is.
    :param is_last: whether the memory is complete with this message.
    """

    owners: tuple[lease.Holder, ...]
    records: tuple[keys.KeyRecord, ...]
    is_last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverAck:
    """The complete key memory was taken over."""

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
