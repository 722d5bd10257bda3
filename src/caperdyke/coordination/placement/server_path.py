"""What this instance has observed of its network path to the backend servers as a whole."""

import dataclasses
import math

from caperdyke.state import backend, ids


@dataclasses.dataclass(slots=True)
class ServerPath:
    """Observations of connections to all servers.

    Pattern: an instance loses its path to all servers while callers and other instances still
    reach it. Seen from one server at a time, this looks as if each server had failed by itself.

    :param failed: servers to which connections failed since one was last opened to any server,
        with their failure domains.
    :param last_opened_at: time at which a connection was last opened.
    :param last_received_at: time at which any server last sent anything.
    """

    failed: dict[ids.BackendId, ids.DomainName] = dataclasses.field(default_factory=dict)
    last_opened_at: float = -math.inf
    last_received_at: float = -math.inf

    def record_opened(self, now: float) -> None:
        """Records that a connection to a server was opened."""
        self.last_opened_at = now
        self.failed.clear()

    def record_open_failed(self, server: backend.BackendServer) -> None:
        """Records that a connection to a server was refused or did not open in time."""
        self.failed[server.backend] = server.domain

    def record_received(self, now: float) -> None:
        """Records that a server sent something."""
        self.last_received_at = now

    def describe(self, now: float) -> dict[str, int]:
        """Returns the observations for log lines; times in milliseconds, -1 if there is none."""
        return {
            "failed_servers": len(self.failed),
            "failed_domains": len(set(self.failed.values())),
            "opened_ms": _compute_age_ms(now, self.last_opened_at),
            "received_ms": _compute_age_ms(now, self.last_received_at),
        }


def _compute_age_ms(now: float, at: float) -> int:
    return -1 if at == -math.inf else round((now - at) * 1000)
