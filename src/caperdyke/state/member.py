"""Membership records of the system's instances."""

import dataclasses
import enum

from caperdyke.state import ids, lease


class MemberState(enum.IntEnum):
    """Life cycle of one incarnation; the value never decreases."""

    LIVE = 1
    LEAVING = 2
    GONE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance.

    :param peer_address: address for other instances, ``host:port``.
    :param caller_address: address for callers, ``host:port``.
    :param successor: instance that took over the request keys in a graceful shutdown, or empty.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    domain: ids.DomainName
    peer_address: ids.Address
    caller_address: ids.Address
    state: MemberState
    successor: ids.InstanceId = ids.InstanceId("")

    @property
    def holder(self) -> lease.Holder:
        """The process that this record describes."""
        return lease.Holder(self.instance, self.incarnation)

    @property
    def rank(self) -> tuple[int, int, str]:
        """Order of the records of one instance; a higher one replaces a lower one."""
        return (self.incarnation, self.state, self.successor)
