"""What all HTTP servers of a process share."""

import dataclasses
import resource

from caperdyke.coordination import connection_table, memory_account
from caperdyke.state import clock
from caperdyke.transport import process_memory
from caperdyke.transport.http import lingering_close, message_meter, unread_responses


@dataclasses.dataclass(frozen=True, slots=True)
class ServerResources:
    """Limits of a process on what its callers may use, and what they use.

    :param account: memory that the process holds for its callers.
    :param unread: its responses that callers do not read.
    :param lingering: its connections that are closing.
    :param limits: limits on the requests, by the configuration in force.
    :param descriptors: descriptors that the process may open.
    """

    account: memory_account.MemoryAccount
    unread: unread_responses.UnreadResponses
    lingering: lingering_close.LingeringConnections
    limits: message_meter.MessageLimits
    descriptors: int

    def apply_memory(self, memory_bytes: int | None) -> None:
        """Applies the memory of the machine, less what the process takes for itself.

        Memory that was held for callers and has not been returned to the system counts as the
        process's own.
        """
        process_bytes = process_memory.read_resident_bytes() - self.account.total
        self.account.bytes_max = memory_account.compute_bound(memory_bytes, process_bytes)

    def make_connection_table(self, share: float) -> connection_table.ConnectionTable:
        """Returns the table of the connections of one server.

        :param share: share of the sockets that the server may use, 0 to 1.
        """
        count_max = connection_table.compute_bound(self.descriptors, share)
        return connection_table.ConnectionTable(count_max, self.account.now)


def make_resources(
    memory_bytes: int | None = None,
    descriptors: int | None = None,
    now: memory_account.Now = clock.read_clock,
) -> ServerResources:
    """Returns the resources of a process that has not used any.

    :param memory_bytes: memory that the process may take; None if unknown.
    :param descriptors: descriptors that the process may open; None for the system's limit.
    """
    account = memory_account.MemoryAccount(memory_account.compute_bound(memory_bytes), now)
    return ServerResources(
        account,
        unread_responses.UnreadResponses(account),
        lingering_close.LingeringConnections(),
        message_meter.MessageLimits(),
        descriptors or read_descriptor_limit(),
    )


def read_descriptor_limit() -> int:
    """Returns the number of descriptors that the system lets this process open."""
    soft_limit, _hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft_limit
