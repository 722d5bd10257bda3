"""Makes a connection end when its peer is silent."""

import socket

# Longest time without an acknowledgement of sent bytes, in milliseconds: within a caller's usual
# patience, above a few retransmissions.
SILENCE_MS = 2500
# Probes of an idle peer: start and interval in seconds, and how many may stay unanswered.
PROBE_SECONDS = 1
PROBES_MAX = 2


def set_probes(sock: socket.socket) -> None:
    """Makes a connection end when its peer is silent, also while nothing is sent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
