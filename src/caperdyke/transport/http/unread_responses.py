"""Bounds the memory of responses that callers have not read."""

import collections
import typing

from caperdyke.coordination import body_budget

# Share of the memory for bodies above which no more requests are accepted.
FULL_SHARE = 0.5


class Connection(typing.Protocol):
    """The connection of a caller that does not read."""

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that have not been passed to the system."""

    def end(self, cause: str) -> None:
        """Closes the connection at once."""


class UnreadResponses:
    """The connections of a process whose buffer of responses is full, the longest-full first.

    They share the memory with the bodies of requests. Requests are rejected while responses take
    too much of it, so that it lasts for those in progress. Where it does not, the connection whose
    caller has read nothing for the longest time is closed: beyond the memory of the machine, all
    connections of the process would end.

    Pattern: hundreds of callers stop reading long downloads, and more begin.
    """

    def __init__(self, budget: body_budget.BodyBudget) -> None:
        self._budget = budget
        self._sizes: collections.OrderedDict[Connection, int] = collections.OrderedDict()
        self._bytes_held = 0

    @property
    def bytes_held(self) -> int:
        """Memory of the responses, as of the moment at which each buffer became full."""
        return self._bytes_held

    @property
    def is_full(self) -> bool:
        """Whether no more requests should be accepted."""
        return self._bytes_held > FULL_SHARE * self._budget.bytes_max

    def add(self, connection: Connection) -> None:
        """Adds a connection whose buffer is full, and closes others if the memory is exceeded."""
        size = connection.get_write_buffer_size()
        self._sizes[connection] = size
        self._bytes_held += size
        self._budget.add(size)
        while self._budget.is_exceeded and len(self._sizes) > 1:
            longest = next(iter(self._sizes))
            self.remove(longest)
            longest.end("unread responses take too much memory")

    def remove(self, connection: Connection) -> None:
        """Removes a connection if it is present."""
        size = self._sizes.pop(connection, 0)
        self._bytes_held -= size
        self._budget.release(size)
