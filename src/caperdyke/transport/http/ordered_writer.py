"""Sends the responses of one connection in the order of its requests."""

import collections
import collections.abc
import dataclasses

# Memory of a buffered response in addition to its bytes. Counting it bounds the number of small
# responses that are buffered.
RESPONSE_OVERHEAD_BYTES = 1024


@dataclasses.dataclass(eq=False, slots=True)
class Response:
    """Bytes of one response that may not be sent yet.

    :ivar is_finished: whether no further bytes follow.
    """

    chunks: collections.deque[bytes] = dataclasses.field(default_factory=collections.deque)
    is_finished: bool = False


class OrderedWriter:
    """Passes on the bytes of the first unfinished response and buffers those of later ones.

    Pattern: a caller sends sixteen look-ups ahead, and the first one takes longest.

    :param write: sends bytes.
    :param is_writable: returns whether bytes may be sent now.
    :ivar buffered_bytes: size of all buffered bytes, including an overhead for each response that
        waits behind another one.
    """

    def __init__(
        self,
        write: collections.abc.Callable[[bytes], None],
        is_writable: collections.abc.Callable[[], bool],
    ) -> None:
        self._write = write
        self._is_writable = is_writable
        self._responses: collections.deque[Response] = collections.deque()
        self.buffered_bytes = 0

    def add_response(self) -> Response:
        """Returns a new response, which is sent after all existing ones."""
        response = Response()
        if self._responses:
            self.buffered_bytes += RESPONSE_OVERHEAD_BYTES
        self._responses.append(response)
        return response

    def is_first(self, response: Response) -> bool:
        """Returns whether all earlier responses have been sent."""
        return bool(self._responses) and self._responses[0] is response

    def append(self, response: Response, data: bytes) -> None:
        """Appends bytes to a response and sends what may be sent, unless it was discarded."""
        if response.is_finished:
            return
        response.chunks.append(data)
        self.buffered_bytes += len(data)
        if self.is_first(response):
            self._send_first()

    def finish(self, response: Response) -> None:
        """Marks a response as complete."""
        response.is_finished = True

    def release(self) -> list[Response]:
        """Sends what may be sent and returns the responses that have now been sent completely."""
        sent = []
        while self._responses:
            self._send_first()
            first = self._responses[0]
            if first.chunks or not first.is_finished:
                break
            sent.append(self._responses.popleft())
            if self._responses:
                self.buffered_bytes -= RESPONSE_OVERHEAD_BYTES
        return sent

    def discard_after(self, response: Response) -> None:
        """Drops all responses behind one; bytes appended to them are ignored."""
        while self._responses and self._responses[-1] is not response:
            self._drop_last()

    def discard_all(self) -> None:
        """Drops all responses; bytes appended to them are ignored."""
        while self._responses:
            self._drop_last()

    def _drop_last(self) -> None:
        dropped = self._responses.pop()
        if self._responses:
            self.buffered_bytes -= RESPONSE_OVERHEAD_BYTES
        self.buffered_bytes -= sum(len(chunk) for chunk in dropped.chunks)
        dropped.chunks.clear()
        dropped.is_finished = True

    def _send_first(self) -> None:
        chunks = self._responses[0].chunks
        while chunks and self._is_writable():
            data = chunks.popleft()
            self.buffered_bytes -= len(data)
            self._write(data)
