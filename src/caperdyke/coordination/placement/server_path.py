"""Whether this instance has a network path to the backend servers as a whole."""

import dataclasses
import math

from caperdyke.state import backend, ids

# Servers, and failure domains of servers, to which connections must fail in a row before the path
# counts as lost. Where fewer are registered, all of them must fail.
FAILED_SERVERS_MIN = 3
FAILED_DOMAINS_MIN = 2
# How long a failure to connect counts.
FAILURE_MEMORY_S = 3.0
# Silence of all servers from which on the path is probed, after requests to as many of them as must
# fail. It is longer in proportion after requests to fewer.
SILENCE_S = 0.4
# Servers to which connections must fail for the path to be probed although others send something.
SUSPECT_SERVERS_MIN = 2
# While no new connection opens, kept connections are used only if a server has sent something
# within the longer time, and no request has waited longer than the shorter one without any sign.
KEPT_RECEIVED_S = 1.0
KEPT_SILENCE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _FailedOpen:
    domain: ids.DomainName
    failed_at: float


@dataclasses.dataclass(slots=True)
class ServerPath:
    """Observations of connections to all servers.

    Pattern: an instance loses its path to all servers while callers and other instances still
    reach it. Seen from one server at a time, this looks as if each server had failed by itself.
    Only connections that do not open prove a loss: servers may be slow, but one that is up accepts
    connections. Kept connections may live on meanwhile.

    :param is_lost: whether no new connections can be opened to any server.
    :param lost_at: time at which the path was last lost.
    :param servers: number of registered servers.
    :param domains: number of failure domains with a registered server.
    :param last_opened_at: time at which a connection was last opened.
    :param last_received_at: time at which any server last sent anything.
    """

    is_lost: bool = False
    lost_at: float = -math.inf
    servers: int = 0
    domains: int = 0
    last_opened_at: float = -math.inf
    last_received_at: float = -math.inf
    _failed: dict[ids.BackendId, _FailedOpen] = dataclasses.field(default_factory=dict)
    # First request to each server since any of them last sent something.
    _unanswered: dict[ids.BackendId, float] = dataclasses.field(default_factory=dict)

    def apply_servers(self, servers: int, domains: int) -> None:
        """Updates the number of registered servers and of their failure domains."""
        self.servers, self.domains = servers, domains

    def record_opened(self, now: float) -> None:
        """Records that a connection to a server was opened."""
        self.last_opened_at = now
        self.is_lost = False
        self._failed.clear()
        self._unanswered.clear()

    def record_open_failed(
        self, now: float, server: backend.BackendServer, started_at: float, is_refused: bool
    ) -> None:
        """Records that a connection to a server was refused or did not open in time.

        Pattern: the link of this instance is congested, and connections open too late while answers
        keep arriving. Such an instance is slow, and its path is not lost.

        :param started_at: time at which the attempt began. It proves nothing if another connection
            was opened since.
        :param is_refused: whether it was refused. Otherwise it proves nothing if anything was
            received since it began.
        """
        if started_at < self.last_opened_at:
            return
        if not is_refused and started_at < self.last_received_at:
            return
        self._failed[server.backend] = _FailedOpen(server.domain, now)
        recent = [item for item in self._failed.values() if now < item.failed_at + FAILURE_MEMORY_S]
        are_several = len(recent) >= min(FAILED_SERVERS_MIN, max(1, self.servers))
        failed_domains = {item.domain for item in recent}
        if not self.is_lost and are_several:
            self.is_lost = len(failed_domains) >= min(FAILED_DOMAINS_MIN, max(1, self.domains))
            self.lost_at = now if self.is_lost else self.lost_at

    def record_sent(self, now: float, server: ids.BackendId) -> None:
        """Records that a request was sent to a server."""
        self._unanswered.setdefault(server, now)

    def record_received(self, now: float) -> None:
        """Records that a server sent something."""
        self.last_received_at = now
        self._unanswered.clear()

    def is_suspect(self, now: float) -> bool:
        """Returns whether the path should be probed.

        Pattern: connections hang without a reset. Requests disappear on kept connections, and no
        new one is opened that would reveal the loss. Or the requests of a while need only one or
        two servers, and their failures prove too little.
        """
        if self.is_lost or self.servers < FAILED_SERVERS_MIN:
            return False
        recent = [item for item in self._failed.values() if now < item.failed_at + FAILURE_MEMORY_S]
        is_silent = now >= self.last_received_at + SILENCE_S
        if len(recent) >= SUSPECT_SERVERS_MIN or (recent and is_silent):
            return True
        if not self._unanswered:
            return False
        silence_s = SILENCE_S * FAILED_SERVERS_MIN / min(FAILED_SERVERS_MIN, len(self._unanswered))
        return now >= min(self._unanswered.values()) + silence_s

    def can_use_kept(self, now: float) -> bool:
        """Returns whether kept connections carry requests.

        Pattern: connections that are open live on while new ones are refused.
        """
        if not self.is_lost:
            return True
        if now >= self.last_received_at + KEPT_RECEIVED_S:
            return False
        return not self._unanswered or now < min(self._unanswered.values()) + KEPT_SILENCE_S

    def has_failed(self, server: ids.BackendId) -> bool:
        """Returns whether connections to a server failed since one was last opened to any."""
        return server in self._failed

    def describe(self, now: float) -> dict[str, int]:
        """Returns the observations for log lines; times in milliseconds, -1 if there is none."""
        return {
            "failed_servers": len(self._failed),
            "failed_domains": len({item.domain for item in self._failed.values()}),
            "opened_ms": _compute_age_ms(now, self.last_opened_at),
            "received_ms": _compute_age_ms(now, self.last_received_at),
        }


def _compute_age_ms(now: float, at: float) -> int:
    return -1 if at == -math.inf else round((now - at) * 1000)
