"""Closes connections in stages, so that responses in transit are not lost.

Data that arrives at a closed socket, or lies unread in it, makes the system reset the connection.
The reset discards what was sent and not yet received, and callers that write into it lose what they
have not read yet. A caller that sends requests ahead cannot know of the close before it has read
the last response. So the sending side is closed first, and what arrives is read and discarded until
the caller closes its side (RFC 9112, section 9.6).
"""

import asyncio
import collections
import collections.abc

from caperdyke.transport import events
from caperdyke.transport.http import silence, tcp_keepalive, tcp_state

# Longest time between the close of the sending side and the close of the socket.
LINGER_MAX_S = 30.0
# A connection whose responses have arrived is closed after this long without received data.
QUIET_S = 2.0
# Interval between two checks whether the last response has arrived.
CHECK_INTERVAL_S = 0.25
# Received bytes above which reading stops. The full window then stops the caller, without a reset.
DISCARDED_BYTES_MAX = 256 * 1024
# Lingering connections of a process; each holds a descriptor that a new connection may need.
CONNECTIONS_MAX = 512
# Responses of a connection that a log line can name, the latest ones.
RECORDED_RESPONSES_MAX = 16


class LingeringConnections:
    """The connections of a process that linger, the longest-lingering first.

    Pattern: an instance that is out of room rejects uploads on thousands of new connections.

    :param count_max: number above which the longest-lingering connection is closed.
    """

    def __init__(self, count_max: int = CONNECTIONS_MAX) -> None:
        self._count_max = count_max
        self._transports: collections.OrderedDict[LingeringTransport, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._transports)

    def add(self, transport: "LingeringTransport") -> None:
        """Adds a connection, and closes the longest-lingering one above the limit."""
        self._transports[transport] = None
        if len(self._transports) > self._count_max:
            oldest = next(iter(self._transports))
            oldest.end("too many connections linger")

    def remove(self, transport: "LingeringTransport") -> None:
        """Removes a connection if it is present."""
        self._transports.pop(transport, None)

    def log_undelivered(self) -> None:
        """Logs the connections whose responses have not arrived when the process ends."""
        for transport in self._transports:
            transport.log_undelivered("the process ends")


class LingeringTransport(asyncio.Transport):
    """Transport of a connection that closes in stages.

    :param connection: transport of the connection.
    :param on_closing: called once when the connection starts to close.
    :param on_reading_resumed: called when reading resumes after a pause.
    :param lingering: the lingering connections of the process.
    :ivar is_reading_paused: whether the protocol has paused reading.
    """

    def __init__(
        self,
        connection: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        on_closing: collections.abc.Callable[[], None],
        on_reading_resumed: collections.abc.Callable[[], None],
        lingering: LingeringConnections,
    ) -> None:
        super().__init__()
        self._connection = connection
        self._loop = loop
        self._on_closing = on_closing
        self._on_reading_resumed = on_reading_resumed
        self._lingering = lingering
        self._is_closing = False
        self.is_reading_paused = False
        self._timer: asyncio.TimerHandle | None = None
        self._quiet_at = 0.0
        self._end_at = 0.0
        self._discarded_bytes = 0
        self._written_bytes = 0
        # Count of written bytes after each of the latest responses, and the request's id.
        self._responses: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=RECORDED_RESPONSES_MAX
        )
        self._silence_watch = silence.SilenceWatch(
            connection, tcp_keepalive.CALLER_KEEPALIVE, self._end_silent
        )

    def get_extra_info(self, name, default=None):
        """Returns information about the connection."""
        return self._connection.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Returns whether no more responses can be sent."""
        return self._is_closing or self._connection.is_closing()

    def write(self, data: bytes) -> None:
        """Sends bytes, unless the connection is closing."""
        if not self._is_closing:
            self._silence_watch.start()
            self._written_bytes += len(data)
            self._connection.write(data)

    def record_response(self, request_id: str | None) -> None:
        """Records that all bytes of the response to a request have been written."""
        if request_id:
            self._responses.append((self._written_bytes, request_id))

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that have not been passed to the system."""
        return self._connection.get_write_buffer_size()

    def pause_reading(self) -> None:
        """Pauses reading, unless the connection is closing."""
        if not self._is_closing:
            self.is_reading_paused = True
            self._connection.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading, unless the connection is closing."""
        if not self._is_closing and self.is_reading_paused:
            self.is_reading_paused = False
            self._connection.resume_reading()
            self._on_reading_resumed()

    def abort(self) -> None:
        """Closes the socket at once; bytes that have not been sent are lost."""
        self._connection.abort()

    def close(self) -> None:
        """Closes the sending side after all bytes have been sent, and the socket later."""
        if self.is_closing():
            return
        self._is_closing = True
        try:
            self._connection.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._connection.abort()
        else:
            self._linger()
        self._on_closing()

    def discard(self, size: int) -> None:
        """Counts bytes that arrived after the close; reading stops at the limit."""
        self._quiet_at = self._loop.time() + QUIET_S
        self._discarded_bytes += size
        if self._discarded_bytes >= DISCARDED_BYTES_MAX:
            self._connection.pause_reading()

    def stop_checks(self) -> None:
        """Cancels the timers after the connection was lost."""
        self._lingering.remove(self)
        self._silence_watch.stop()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def end(self, cause: str) -> None:
        """Closes the socket early; what has not been passed to the system is lost."""
        self.log_undelivered(cause)
        self.stop_checks()
        self._connection.abort()

    def log_undelivered(self, cause: str) -> None:
        """Logs the end of the connection if bytes of responses have not arrived."""
        if size := self.count_undelivered():
            delivered = self._written_bytes - size
            events.log(
                events.Event.RESPONSE_UNDELIVERED,
                caller=str(self.get_extra_info("peername")),
                size=size,
                cause=cause,
                requests=[item for end, item in self._responses if end > delivered],
            )

    def count_undelivered(self) -> int:
        """Returns the bytes of responses that the caller's system has not acknowledged."""
        return tcp_state.count_undelivered(self._connection)

    def _end_silent(self) -> None:
        self.end("the caller answers nothing")

    def _linger(self) -> None:
        # Reading may be paused for a large body.
        self._connection.resume_reading()
        now = self._loop.time()
        self._quiet_at = now + QUIET_S
        self._end_at = now + LINGER_MAX_S
        self._timer = self._loop.call_at(self._quiet_at, self._check)
        self._lingering.add(self)

    def _check(self) -> None:
        self._timer = None
        now = self._loop.time()
        if now >= self._end_at:
            self.end(f"not received within {LINGER_MAX_S:.0f} s")
            return
        check_at = self._quiet_at
        if now >= self._quiet_at:
            if not self.count_undelivered():
                self.stop_checks()
                self._connection.close()
                return
            check_at = now + CHECK_INTERVAL_S
        self._timer = self._loop.call_at(min(check_at, self._end_at), self._check)
