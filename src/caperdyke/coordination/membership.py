"""Merges what is known of other instances and decides which of them can be used."""

import dataclasses

from caperdyke.state import ids, member, timing


class MemberTable:
    """Records of all instances and this instance's own evidence about them.

    A record is replaced only by one of higher rank, so news may arrive twice, late or reordered.
    """

    def __init__(self, own: member.Member) -> None:
        self.own = own
        self._members: dict[ids.InstanceId, member.Member] = {own.instance: own}
        # Time after which a silent peer counts as lost, per instance with a link.
        self._trusted_until: dict[ids.InstanceId, float] = {}
        self._failed_until: dict[ids.InstanceId, float] = {}

    def merge(self, record: member.Member) -> bool:
        """Takes over a record; tells whether it was news."""
        if record.instance == self.own.instance and record.incarnation != self.own.incarnation:
            return False
        known = self._members.get(record.instance)
        if known is not None and record.rank <= known.rank:
            return False
        self._members[record.instance] = record
        if record.instance == self.own.instance:
            self.own = record
        return True

    def hear(self, now: float, instance: ids.InstanceId) -> None:
        """Records evidence that an instance is alive."""
        self._trusted_until[instance] = now + timing.HEARTBEAT_TIMEOUT_SECONDS
        self._failed_until.pop(instance, None)

    def fail(self, now: float, instance: ids.InstanceId) -> None:
        """Records that a link to an instance ended or could not be opened."""
        self._trusted_until.pop(instance, None)
        self._failed_until[instance] = now + timing.HEARTBEAT_TIMEOUT_SECONDS

    def find(self, instance: ids.InstanceId) -> member.Member | None:
        """Returns the record of an instance, or None."""
        return self._members.get(instance)

    def list_all(self) -> list[member.Member]:
        """Returns every record, ordered by instance."""
        return sorted(self._members.values(), key=lambda item: item.instance)

    def is_usable(self, now: float, record: member.Member) -> bool:
        """Tells whether new work may be sent to an instance."""
        if record.state is not member.MemberState.LIVE:
            return False
        if record.instance == self.own.instance:
            return True
        trusted_until = self._trusted_until.get(record.instance)
        if trusted_until is not None:
            return now < trusted_until
        return now >= self._failed_until.get(record.instance, 0.0)

    def is_lost(self, now: float, instance: ids.InstanceId) -> bool:
        """Tells whether there is evidence that an instance does not answer."""
        record = self._members.get(instance)
        if record is None or record.state is member.MemberState.GONE:
            return True
        trusted_until = self._trusted_until.get(instance)
        if trusted_until is not None:
            return now >= trusted_until
        return now < self._failed_until.get(instance, 0.0)

    def list_usable(self, now: float, domain: ids.DomainName) -> list[member.Member]:
        """Returns the usable instances of a failure domain, ordered by instance."""
        return [
            record
            for record in self.list_all()
            if record.domain == domain and self.is_usable(now, record)
        ]

    def forget_gone(self, keep: int) -> int:
        """Drops the oldest records of processes that are gone, beyond a number to keep."""
        gone = [item for item in self._members.values() if item.state is member.MemberState.GONE]
        gone.sort(key=lambda item: item.incarnation)
        for record in gone[: max(0, len(gone) - keep)]:
            del self._members[record.instance]
            self._trusted_until.pop(record.instance, None)
        return max(0, len(gone) - keep)


def mark_leaving(record: member.Member) -> member.Member:
    """Returns the record of an instance that starts a planned stop."""
    return dataclasses.replace(record, state=member.MemberState.LEAVING)


def mark_gone(record: member.Member, successor: ids.InstanceId) -> member.Member:
    """Returns the record of an instance that has ended, with the holder of its request keys."""
    return dataclasses.replace(record, state=member.MemberState.GONE, successor=successor)
