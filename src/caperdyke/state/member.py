"""Instances of the system as known to one of them."""

import dataclasses
import enum

from caperdyke.state import ids, lease


class MemberState(enum.IntEnum):
    """Life of one incarnation; only ever grows."""

    LIVE = 1
    LEAVING = 2
    GONE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance.

    :param peer_address: where other instances reach it, ``host:port``.
    :param caller_address: where callers reach it, ``host:port``.
    :param successor: instance that took over the request keys in a planned stop, or empty.
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
        """Order in which records of one instance replace each other."""
        return (self.incarnation, self.state, self.successor)
