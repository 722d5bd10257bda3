"""TCP keepalive options, which end connections to unresponsive peers."""

import dataclasses
import socket

# Idle time before the first keepalive probe, and interval between probes.
PROBE_INTERVAL_S = 1


@dataclasses.dataclass(frozen=True, slots=True)
class KeepaliveOptions:
    """How long a peer may answer nothing.

    Where the system counts segments, ``silence.SilenceWatch`` applies ``silence_s`` while bytes are
    undelivered. Elsewhere the user timeout does, which also ends connections to peers that answer
    all probes and only stop reading for so long. On Linux it decides as well when probes of an idle
    connection give up, whatever their number. All must stand for the same time.

    :param probes_max: unanswered probes on an idle connection before it is closed.
    :param silence_s: time after which a peer that answers nothing counts as gone, in seconds.
    :param user_timeout_ms: longest time that sent bytes may stay unacknowledged, in milliseconds; 0
        for the system's own limit, which does not count peers that only read slowly.
    """

    probes_max: int
    silence_s: float
    user_timeout_ms: int

    @property
    def idle_detection_s(self) -> float:
        """Time until an unresponsive peer is detected on an idle connection, in seconds."""
        return PROBE_INTERVAL_S * (1 + self.probes_max)


# Shorter than callers usually wait, longer than a few retransmissions take.
REQUEST_KEEPALIVE = KeepaliveOptions(probes_max=2, silence_s=2.5, user_timeout_ms=2500)
# Callers may read slowly, and stop for a while.
CALLER_KEEPALIVE = KeepaliveOptions(probes_max=2, silence_s=2.5, user_timeout_ms=0)
# For bodies that exceed the window of a server that reads slowly.
LONG_BODY_USER_TIMEOUT_MS = 30_000
# Store calls that end too early are merely repeated; a dead connection has to end within the time
# limit for applying configuration changes.
STORE_KEEPALIVE = KeepaliveOptions(probes_max=1, silence_s=1.5, user_timeout_ms=1500)


def enable_keepalive(sock: socket.socket, options: KeepaliveOptions = REQUEST_KEEPALIVE) -> None:
    """Makes the kernel close a connection to an unresponsive peer, even when it is idle."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, options.probes_max)
    set_user_timeout(sock, options.user_timeout_ms)


def set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Sets how long sent bytes may stay unacknowledged; 0 for the system's own limit."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
