"""What the system tells about a TCP connection."""

import asyncio
import dataclasses
import fcntl
import socket
import struct
import termios

# Fields of Linux's ``struct tcp_info``, present since Linux 4.2: segments sent, with
# retransmissions and probes, and segments received.
_SEGMENTS = struct.Struct("=II")
_SEGMENTS_OFFSET = 136
_INFO_BYTES = _SEGMENTS_OFFSET + _SEGMENTS.size
# Option of Linux 6.15 and later, which Python does not name.
_TCP_RTO_MAX_MS = 44
# Shortest interval that the option accepts, in milliseconds.
_RETRANSMISSION_INTERVAL_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentCounts:
    """Segments of a connection since it was opened.

    :param sent: includes retransmissions and all probes.
    :param received: includes mere acknowledgements.
    """

    sent: int
    received: int


def count_segments(transport: asyncio.Transport) -> SegmentCounts | None:
    """Returns the segments of an open connection, or None if the system does not count them."""
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
        )
    except (OSError, AttributeError):
        return None
    if len(info) < _INFO_BYTES:
        return None
    counts = SegmentCounts(*_SEGMENTS.unpack_from(info, _SEGMENTS_OFFSET))
    # An open connection has received one segment at least.
    return counts if counts.received else None


def count_unacknowledged(transport: asyncio.Transport) -> int:
    """Returns the bytes that the peer's system has not acknowledged, 0 if that is unknown."""
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        return struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, b"\0" * 4))[0]
    except (OSError, ValueError):
        return 0


def count_undelivered(transport: asyncio.Transport) -> int:
    """Returns the bytes that were written and that the peer's system has not acknowledged."""
    return transport.get_write_buffer_size() + count_unacknowledged(transport)


def limit_retransmission_interval(transport: asyncio.Transport) -> None:
    """Lets the system retransmit, and probe a closed window, every second at least.

    Without this option, which older systems lack, the interval doubles each time.
    """
    try:
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, _RETRANSMISSION_INTERVAL_MS
        )
    except (OSError, AttributeError):
        return
