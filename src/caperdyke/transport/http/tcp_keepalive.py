"""Makes a connection end when its peer is silent."""

import dataclasses
import socket

# Start of the probes of an idle peer, and interval between two, in seconds.
PROBE_SECONDS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class KeepaliveOptions:
    """How long a peer may be silent.

    :param probes_max: probes of an idle peer that may stay unanswered.
    :param user_timeout_ms: longest time without an acknowledgement of sent bytes, in
        milliseconds.
    """

    probes_max: int
    user_timeout_ms: int

    @property
    def idle_detection_s(self) -> float:
        """Time after which a silent peer is noticed while nothing is sent."""
        return PROBE_SECONDS * (1 + self.probes_max)


# Within a caller's usual patience, above a few retransmissions.
REQUEST_KEEPALIVE = KeepaliveOptions(probes_max=2, user_timeout_ms=2500)
# For calls that are only repeated when they end too early, and that have to end within the bound
# for changes of the configuration.
STORE_KEEPALIVE = KeepaliveOptions(probes_max=1, user_timeout_ms=1500)


def enable_keepalive(sock: socket.socket, silence: KeepaliveOptions = REQUEST_KEEPALIVE) -> None:
    """Makes a connection end when its peer is silent, also while nothing is sent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, silence.probes_max)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence.user_timeout_ms)
