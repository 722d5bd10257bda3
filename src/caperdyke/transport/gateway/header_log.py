"""Logs which headers backend servers send, each name once."""

from caperdyke.protocol import platform_interfaces
from caperdyke.state import ids
from caperdyke.transport import events

# Names that are remembered; more are not logged, as a server may make them up.
NAMES_MAX = 64
# Longest part of a value that is logged, in characters.
VALUE_MAX = 40


class HeaderLog:
    """Remembers the names of headers that were logged.

    Pattern: backend servers begin to send a header that this version does not read, and the logs
    are all that shows it.
    """

    def __init__(self) -> None:
        self._names: set[bytes] = set()

    def note(self, server: ids.BackendId, headers: platform_interfaces.RawHeaders) -> None:
        """Logs each header of an answer whose name is new."""
        for name, value in headers:
            if name in self._names or len(self._names) >= NAMES_MAX:
                continue
            self._names.add(name)
            events.log(
                events.Event.HEADER_SEEN,
                backend=server,
                header=name.decode("latin-1"),
                value=value.decode("latin-1")[:VALUE_MAX],
            )
