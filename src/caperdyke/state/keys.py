"""Idempotency keys of requests, and the records of their outcomes."""

import dataclasses
import enum

from caperdyke.state import ids, lease, outcome


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Idempotency key that lets one incarnation of an instance run a request at most once.

    :param sequence: number of the key within its incarnation.
    :param home: failure domain of the caller's home.
    :param expires_at: time after which the key starts no request, in milliseconds since 1970.
    """

    owner: lease.Holder
    sequence: int
    home: ids.DomainName
    expires_at: int


class KeyState(enum.Enum):
    """Progress of the request of a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class KeyRecord:
    """The owner's record of a used key.

    :param fingerprint: digest of the request that the key was used for.
    :param head: status and headers of the answer, once answered.
    :param body: the answer's body, or None where it was too large to keep.
    :param forget_at: time after which the record may be removed, seconds since 1970.
    """

    key: RequestKey
    fingerprint: bytes
    state: KeyState
    forget_at: ids.Timestamp
    head: outcome.AnswerHead | None = None
    body: bytes | None = None


class KeyTable:
    """Records of the used keys of this incarnation and of those whose records it adopted."""

    def __init__(self) -> None:
        self._records: dict[RequestKey, KeyRecord] = {}
        self._adopted_owners: set[lease.Holder] = set()
        self.is_sealed = False

    def seal(self) -> None:
        """Prevents keys from starting; from now on a key without a record has provably not run."""
        self.is_sealed = True

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: RequestKey) -> KeyRecord | None:
        """Returns the record of a key, or None if it was never used here."""
        return self._records.get(key)

    def put(self, record: KeyRecord) -> None:
        """Stores a record under its key."""
        self._records[record.key] = record

    def remove(self, key: RequestKey) -> None:
        """Removes the record of a key whose request provably did not run."""
        self._records.pop(key, None)

    def adopt(self, owner: lease.Holder, records: list[KeyRecord]) -> None:
        """Adopts all key records of an incarnation that has stopped running requests."""
        for record in records:
            self._records.setdefault(record.key, record)
        self._adopted_owners.add(owner)

    def has_adopted(self, owner: lease.Holder) -> bool:
        """Returns whether the key records of an incarnation were adopted."""
        return owner in self._adopted_owners

    def list_adopted(self) -> tuple[lease.Holder, ...]:
        """Returns the incarnations whose key records were adopted."""
        return tuple(self._adopted_owners)

    def list_records(self) -> list[KeyRecord]:
        """Returns all records."""
        return list(self._records.values())

    def remove_expired(self, now: float) -> int:
        """Removes expired records and returns how many."""
        expired = [key for key, record in self._records.items() if record.forget_at <= now]
        for key in expired:
            del self._records[key]
        return len(expired)
