"""Logs the headers that backend servers send, each name once."""

from caperdyke.protocol import platform_interfaces
from caperdyke.state import ids
from caperdyke.transport import events

# Header names that are logged at most, as a server may generate any number of them.
LOGGED_NAMES_MAX = 64
# Characters of a header value that are logged.
LOGGED_VALUE_MAX = 40


class HeaderLog:
    """Logs each header name the first time it occurs.

    Pattern: backend servers start to send a header that this version does not read, and only the
    logs show it.
    """

    def __init__(self) -> None:
        self._names: set[bytes] = set()

    def log_new_names(self, server: ids.BackendId, headers: platform_interfaces.RawHeaders) -> None:
        """Logs each header of an answer whose name has not occurred before."""
        for name, value in headers:
            if name in self._names or len(self._names) >= LOGGED_NAMES_MAX:
                continue
            self._names.add(name)
            events.log(
                events.Event.HEADER_SEEN,
                backend=server,
                header=name.decode("latin-1"),
                value=value.decode("latin-1")[:LOGGED_VALUE_MAX],
            )
