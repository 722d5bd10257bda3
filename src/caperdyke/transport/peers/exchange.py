"""Receives the answer to one forwarded request; flow control of its sender."""

import asyncio
import collections.abc

from caperdyke import errors
from caperdyke.protocol import frames, messages
from caperdyke.state import ids, outcome

# Flow-control window: bytes of an answer's body in transit or buffered for a slow reader.
WINDOW_BYTES = 256 * 1024
# What a peer that keeps to the window cannot exceed: bytes of a body that have not been read, the
# last chunk being as large as a frame, and messages, if each chunk has a byte.
UNREAD_MAX_BYTES = WINDOW_BYTES + frames.FRAME_MAX_BYTES
UNREAD_MAX_MESSAGES = WINDOW_BYTES + 2


class Exchange:
    """Receives the answer to one forwarded request and checks its order and completeness.

    :param send: sends a message on the link.
    :param close: called with the request's number when the exchange ends.
    """

    def __init__(
        self,
        request: ids.RequestId,
        send: collections.abc.Callable[[messages.Message], None],
        close: collections.abc.Callable[[ids.RequestId], None],
    ) -> None:
        self.request = request
        self._send = send
        self._close = close
        self._received: asyncio.Queue[messages.Message | errors.LinkClosedError] = asyncio.Queue()
        self._unread_bytes = 0
        self._next_sequence = 0
        self._is_done = False

    def accept(self, message: messages.Message | errors.LinkClosedError) -> None:
        """Queues a message of this exchange, or the error that ended its link.

        Pattern: a faulty peer sends without end and ignores the window. The exchange fails, and
        what was queued is dropped.
        """
        if isinstance(message, messages.AnswerChunk):
            self._unread_bytes += len(message.data)
        is_full = self._received.qsize() >= UNREAD_MAX_MESSAGES
        if is_full or self._unread_bytes > UNREAD_MAX_BYTES:
            self._received = asyncio.Queue()
            self._unread_bytes = 0
            message = errors.LinkClosedError("the peer sends more than the window")
            self._cancel_if_open()
        self._received.put_nowait(message)

    async def read_head(self) -> outcome.AnswerHead:
        """Returns status and headers.

        :raises errors.RefusalError: if the request was refused.
        :raises errors.LinkClosedError: if the link ended or another message came first.
        """
        message = await self._received.get()
        match message:
            case messages.AnswerStart():
                return outcome.AnswerHead(message.status, message.headers)
            case messages.AnswerRefused():
                self._finish()
                raise errors.RefusalError(decode_refusal(message))
            case errors.LinkClosedError():
                self._finish()
                raise message
            case _:
                self._cancel_if_open()
                raise errors.LinkClosedError(f"unexpected {type(message).__name__} before the head")

    async def iterate_body(self) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yields the chunks of the body and returns only after the last one.

        :raises errors.LinkClosedError: if the body is incomplete.
        """
        try:
            while True:
                message = await self._received.get()
                match message:
                    case messages.AnswerChunk() if message.sequence == self._next_sequence:
                        self._next_sequence += 1
                        self._unread_bytes -= len(message.data)
                        self._send(messages.Credit(self.request, len(message.data)))
                        yield message.data
                    case messages.AnswerEnd() if message.chunks == self._next_sequence:
                        self._finish()
                        return
                    case errors.LinkClosedError():
                        self._finish()
                        raise message
                    case messages.AnswerRefused():
                        self._finish()
                        raise errors.LinkClosedError(f"the answer broke off: {message.reason}")
                    case _:
                        raise errors.LinkClosedError("parts of the answer are missing")
        finally:
            self._cancel_if_open()

    def _finish(self) -> None:
        self._is_done = True
        self._close(self.request)

    def _cancel_if_open(self) -> None:
        if not self._is_done:
            self._finish()
            self._send(messages.Cancel(self.request))

    def cancel(self) -> None:
        """Cancels the request at the peer unless the exchange has ended."""
        self._cancel_if_open()

    async def abandon(self) -> None:
        """Cancels an answer whose body was never read."""
        self._cancel_if_open()


def decode_refusal(message: messages.AnswerRefused) -> outcome.Refusal:
    """Returns the refusal in a message; unrecognized values yield an unknown outcome."""
    try:
        return outcome.Refusal(
            outcome.Outcome(message.outcome),
            outcome.Reason(message.reason),
            ids.Timestamp(message.retry_at),
            message.detail,
        )
    except ValueError:
        return outcome.report_unknown(outcome.Reason.PEER_LOST, message.detail)


class SendWindow:
    """Flow-control window of the sender of an answer; blocks it while the reader is slow."""

    def __init__(self) -> None:
        self._credit = WINDOW_BYTES
        self._credit_added = asyncio.Event()

    def add(self, amount: int) -> None:
        """Adds credit granted by the reader."""
        self._credit += amount
        self._credit_added.set()

    async def consume(self, amount: int) -> None:
        """Waits until some credit is left, then deducts the bytes; it may become negative."""
        while self._credit <= 0:
            self._credit_added.clear()
            await self._credit_added.wait()
        self._credit -= amount
