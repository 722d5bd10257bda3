"""Decides how to handle a request with an idempotency key, which must run at most once."""

import dataclasses

from caperdyke.coordination import membership
from caperdyke.state import ids, keys, lease, outcome, timing


@dataclasses.dataclass(frozen=True, slots=True)
class RunHere:
    """The key was never used; this instance runs the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The key was answered; the stored answer is replayed."""

    record: keys.KeyRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The request of the key is running; this caller waits for the same answer."""

    record: keys.KeyRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Delegate:
    """Another instance owns the key and handles the request."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Decline:
    """The request is not run; the refusal states the outcome of earlier attempts, if recorded."""

    refusal: outcome.Refusal


Decision = RunHere | Replay | Join | Delegate | Decline


def decide_key(
    now: float,
    key: keys.RequestKey,
    fingerprint: bytes,
    key_table: keys.KeyTable,
    members: membership.MemberTable,
) -> Decision:
    """Returns how this instance handles a request that carries a key."""
    own = members.own
    if key.owner == own.holder or key_table.has_adopted(key.owner):
        return _decide_owned(now, key, fingerprint, key_table, members)
    return _decide_foreign(now, key.owner, members)


def _decide_owned(
    now: float,
    key: keys.RequestKey,
    fingerprint: bytes,
    key_table: keys.KeyTable,
    members: membership.MemberTable,
) -> Decision:
    record = key_table.find(key)
    if record is not None:
        return _decide_used(record, fingerprint)
    if members.own.successor:
        # The key records were handed over; from then on only the successor may start the key.
        return _decide_foreign(now, members.own.holder, members)
    if now * 1000 >= key.expires_at:
        # The key may have been used and its record removed since.
        return Decline(outcome.report_unknown(outcome.Reason.KEY_EXPIRED))
    if key_table.is_sealed:
        return Decline(outcome.refuse(outcome.Reason.INSTANCE_LEAVING, now + 1.0))
    return RunHere()


def _decide_used(record: keys.KeyRecord, fingerprint: bytes) -> Decision:
    if record.fingerprint != fingerprint:
        detail = "the key was used for a different request"
        return Decline(outcome.refuse(outcome.Reason.KEY_MISMATCH, detail=detail))
    match record.state:
        case keys.KeyState.RUNNING:
            return Join(record)
        case keys.KeyState.ANSWERED if record.body is not None:
            return Replay(record)
        case _:
            return Decline(outcome.report_unknown(outcome.Reason.KEY_OUTCOME_LOST))


def _decide_foreign(now: float, owner: lease.Holder, members: membership.MemberTable) -> Decision:
    visited_owners = set()
    while True:
        record = members.find(owner.instance)
        if record is None or record.incarnation != owner.incarnation or owner in visited_owners:
            break
        visited_owners.add(owner)
        if not record.successor:
            if members.is_lost(now, owner.instance):
                break
            return Delegate(record.instance, record.incarnation)
        successor = members.find(record.successor)
        if successor is None:
            break
        owner = successor.holder
        if owner == members.own.holder:
            break
    return Decline(outcome.report_unknown(outcome.Reason.KEY_OWNER_GONE))


def compute_forget_time(key: keys.RequestKey, now: float, deadline: float) -> ids.Timestamp:
    """Returns the time after which a key's record may be removed.

    This is ``KEY_RETENTION_SECONDS`` after the last time at which the key could be used.
    """
    last_use = max(now, deadline, key.expires_at / 1000)
    return ids.Timestamp(last_use + timing.KEY_RETENTION_SECONDS)
