"""Merges the records of instances, and decides which instances are usable or lost."""

import bisect
import dataclasses

from caperdyke.state import ids, lease, member, timing

# Number of ended instances whose records were removed and that are not taken for new ones.
ENDED_MAX = 10_000


class MemberTable:
    """Records of all instances, and the evidence of whether they answer.

    A record is replaced only by one of higher rank, so updates may be duplicated, late or
    reordered.
    """

    def __init__(self, own: member.Member) -> None:
        self.own = own
        self._members: dict[ids.InstanceId, member.Member] = {own.instance: own}
        # Ids of each failure domain's instances, sorted.
        self._ids_by_domain: dict[ids.DomainName, list[ids.InstanceId]] = {
            own.domain: [own.instance]
        }
        # Incarnations of ended instances whose records were removed, the oldest first.
        self._ended: dict[ids.InstanceId, ids.Incarnation] = {}
        # Increases with every change of a record.
        self.version = 0
        # Time after which a silent peer counts as lost, for each instance with a link.
        self._alive_until: dict[ids.InstanceId, float] = {}
        self._failed_until: dict[ids.InstanceId, float] = {}
        # Expiry of other instances' reports that an instance does not answer.
        self._reported_until: dict[ids.InstanceId, float] = {}

    def merge(self, record: member.Member) -> bool:
        """Stores a record that outranks the stored one; returns whether it was stored."""
        if record.instance == self.own.instance and record.incarnation != self.own.incarnation:
            return False
        current = self._members.get(record.instance)
        if current is not None and record.rank <= current.rank:
            return False
        if record.incarnation <= self._ended.get(record.instance, ids.Incarnation(-1)):
            # Another instance has not heard of its end.
            return False
        if current is None or current.domain != record.domain:
            self._index(record, current)
        if current is None or record.incarnation != current.incarnation:
            self._reported_until.pop(record.instance, None)
            self._failed_until.pop(record.instance, None)
        self._members[record.instance] = record
        self.version += 1
        if record.instance == self.own.instance:
            self.own = record
        return True

    def record_alive(self, now: float, instance: ids.InstanceId) -> None:
        """Records evidence that an instance is alive."""
        self._alive_until[instance] = now + timing.HEARTBEAT_TIMEOUT_SECONDS
        self._failed_until.pop(instance, None)
        self._reported_until.pop(instance, None)

    def apply_report(
        self, now: float, holder: lease.Holder, reporter_domain: ids.DomainName, until: float
    ) -> bool:
        """Applies a report that an instance does not answer; returns whether it was new.

        This instance's own evidence takes precedence. Otherwise a report counts where the reporter
        is in this instance's failure domain, and so has the same view of the network, or in the
        failure domain of the reported instance.
        """
        record = self._members.get(holder.instance)
        if record is None or record.holder != holder or holder == self.own.holder:
            return False
        if reporter_domain not in (self.own.domain, record.domain):
            return False
        if now < self._alive_until.get(holder.instance, 0.0):
            return False
        reported_until = self._reported_until.get(holder.instance, 0.0)
        if until < reported_until + timing.REPORT_REPEAT_SECONDS / 2 and now < reported_until:
            return False
        self._reported_until[holder.instance] = until
        return True

    def needs_report(self, now: float, instance: ids.InstanceId) -> bool:
        """Returns whether a failed instance should be reported, for the first time or again."""
        record = self._members.get(instance)
        if record is None or record.state is member.MemberState.GONE:
            return False
        reported_until = self._reported_until.get(instance, 0.0)
        return reported_until - now < timing.REPORT_TTL_SECONDS - timing.REPORT_REPEAT_SECONDS

    def mark_failed(self, now: float, instance: ids.InstanceId) -> None:
        """Records that a link to an instance ended or could not be opened."""
        self._alive_until.pop(instance, None)
        self._failed_until[instance] = now + timing.HEARTBEAT_TIMEOUT_SECONDS

    def find(self, instance: ids.InstanceId) -> member.Member | None:
        """Returns the record of an instance, or None."""
        return self._members.get(instance)

    def list_all(self) -> list[member.Member]:
        """Returns every record, ordered by instance."""
        return sorted(self._members.values(), key=lambda item: item.instance)

    def is_usable(self, now: float, record: member.Member) -> bool:
        """Returns whether new work may be sent to an instance."""
        if record.state is not member.MemberState.LIVE:
            return False
        if record.instance == self.own.instance:
            return True
        alive_until = self._alive_until.get(record.instance)
        if alive_until is not None:
            return now < alive_until
        return now >= self._find_suspected_until(record.instance)

    def is_lost(self, now: float, instance: ids.InstanceId) -> bool:
        """Returns whether there is evidence that an instance does not answer."""
        record = self._members.get(instance)
        if record is None or record.state is member.MemberState.GONE:
            return True
        alive_until = self._alive_until.get(instance)
        if alive_until is not None:
            return now >= alive_until
        return now < self._find_suspected_until(instance)

    def _find_suspected_until(self, instance: ids.InstanceId) -> float:
        failed_until = self._failed_until.get(instance, 0.0)
        return max(failed_until, self._reported_until.get(instance, 0.0))

    def list_usable(self, now: float, domain: ids.DomainName) -> list[member.Member]:
        """Returns the usable instances of a failure domain, ordered by instance."""
        records = [self._members[name] for name in self._ids_by_domain.get(domain, [])]
        return [record for record in records if self.is_usable(now, record)]

    def pick_usable(
        self, now: float, domain: ids.DomainName, rotation: int, count: int
    ) -> list[member.Member]:
        """Returns up to ``count`` usable instances of a domain, starting at a rotating index."""
        instance_ids = self._ids_by_domain.get(domain, [])
        picked: list[member.Member] = []
        for position in range(len(instance_ids)):
            record = self._members[instance_ids[(rotation + position) % len(instance_ids)]]
            if self.is_usable(now, record):
                picked.append(record)
                if len(picked) == count:
                    break
        return picked

    def remove_gone(self, keep: int) -> int:
        """Removes the oldest records of ended processes beyond ``keep``; returns how many.

        Pattern: an instance that was cut off while another one ended still tells of it as live.
        What ended stays known after its record was removed.
        """
        gone = [item for item in self._members.values() if item.state is member.MemberState.GONE]
        gone.sort(key=lambda item: item.incarnation)
        for record in gone[: max(0, len(gone) - keep)]:
            del self._members[record.instance]
            self._ids_by_domain[record.domain].remove(record.instance)
            self._alive_until.pop(record.instance, None)
            self._ended.pop(record.instance, None)
            self._ended[record.instance] = record.incarnation
        for instance in list(self._ended)[: max(0, len(self._ended) - ENDED_MAX)]:
            del self._ended[instance]
        return max(0, len(gone) - keep)

    def _index(self, record: member.Member, current: member.Member | None) -> None:
        if current is not None:
            self._ids_by_domain[current.domain].remove(current.instance)
        bisect.insort(self._ids_by_domain.setdefault(record.domain, []), record.instance)


def mark_leaving(record: member.Member) -> member.Member:
    """Returns the record of an instance that begins a graceful shutdown."""
    return dataclasses.replace(record, state=member.MemberState.LEAVING)


def mark_successor(record: member.Member, successor: ids.InstanceId) -> member.Member:
    """Returns the record of an instance whose request keys another one has taken over."""
    return dataclasses.replace(record, successor=successor)


def mark_gone(record: member.Member) -> member.Member:
    """Returns the record of an instance that has ended."""
    return dataclasses.replace(record, state=member.MemberState.GONE)
