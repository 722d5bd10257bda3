"""TCP keepalive options, which end connections to unresponsive peers."""

import dataclasses
import socket

# Idle time before the first keepalive probe, and interval between probes.
PROBE_INTERVAL_S = 1


@dataclasses.dataclass(frozen=True, slots=True)
class KeepaliveOptions:
    """How long a peer may leave packets unacknowledged.

    On Linux the user timeout also decides when probes give up, whatever their number; the number
    applies where there is no such timeout. Both must stand for the same time.

    :param probes_max: unanswered probes on an idle connection before it is closed.
    :param user_timeout_ms: longest time that sent bytes may stay unacknowledged, in milliseconds.
    """

    probes_max: int
    user_timeout_ms: int

    @property
    def idle_detection_s(self) -> float:
        """Time until an unresponsive peer is detected on an idle connection, in seconds."""
        return PROBE_INTERVAL_S * (1 + self.probes_max)


# Shorter than callers usually wait, longer than a few retransmissions take.
REQUEST_KEEPALIVE = KeepaliveOptions(probes_max=2, user_timeout_ms=2500)
# Store calls that end too early are merely repeated; a dead connection has to end within the time
# limit for applying configuration changes.
STORE_KEEPALIVE = KeepaliveOptions(probes_max=1, user_timeout_ms=1500)


def enable_keepalive(sock: socket.socket, options: KeepaliveOptions = REQUEST_KEEPALIVE) -> None:
    """Makes the kernel close a connection to an unresponsive peer, even when it is idle."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, options.probes_max)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, options.user_timeout_ms)
