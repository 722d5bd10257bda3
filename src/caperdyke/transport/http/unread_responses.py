"""Bounds the memory of responses that callers have not read."""

import collections
import typing

from caperdyke.coordination import memory_account

# Share of the memory for callers above which no more requests are accepted.
FULL_SHARE = 0.5
# Time in which a caller must read so many bytes where others need the memory, in seconds.
PATIENCE_S = 2.0
PROGRESS_BYTES = 16 * 1024


class Connection(typing.Protocol):
    """The connection of a caller that does not read."""

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that have not been passed to the system."""

    def end(self, cause: str) -> None:
        """Closes the connection at once."""


class _Unread(typing.NamedTuple):
    size: int
    since: float


class UnreadResponses:
    """The connections of a process whose buffer of responses is full, the longest-full first.

    Their memory is counted in the account of the process. Where responses take too much of it,
    those that have hardly been read for long end, the longest first, and no more requests are
    accepted while that is not enough.

    Pattern: hundreds of callers stop reading long downloads, and more begin.
    """

    def __init__(self, account: memory_account.MemoryAccount) -> None:
        self._account = account
        self._unread: collections.OrderedDict[Connection, _Unread] = collections.OrderedDict()
        self._bytes_held = 0

    @property
    def bytes_held(self) -> int:
        """Memory of the responses, as of the moment at which each buffer became full."""
        return self._bytes_held

    @property
    def is_full(self) -> bool:
        """Whether no more requests should be accepted."""
        return self._bytes_held > FULL_SHARE * self._account.bytes_max

    def add(self, connection: Connection) -> None:
        """Adds a connection whose buffer is full."""
        size = connection.get_write_buffer_size()
        self._unread[connection] = _Unread(size, self._account.now())
        self._bytes_held += size

    def remove(self, connection: Connection) -> None:
        """Removes a connection if it is present."""
        item = self._unread.pop(connection, None)
        if item is not None:
            self._bytes_held -= item.size

    def make_room(self) -> None:
        """Ends connections that have not been read for long while there is too much to read."""
        while self._unread and self.is_full:
            connection, item = next(iter(self._unread.items()))
            if self._account.now() < item.since + PATIENCE_S:
                return
            self.remove(connection)
            if item.size - connection.get_write_buffer_size() >= PROGRESS_BYTES:
                self.add(connection)
            else:
                connection.end("unread responses take too much memory")
