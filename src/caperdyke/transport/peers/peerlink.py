"""A link to another instance: framed messages and concurrent requests on one TCP stream."""

import asyncio
import collections.abc
import itertools

from caperdyke import errors
from caperdyke.protocol import frames, messages
from caperdyke.state import ids, member
from caperdyke.transport import events
from caperdyke.transport.peers import exchange

HELLO_TIMEOUT_SECONDS = 1.5
# Largest frame of a peer that has not introduced itself.
HELLO_MAX_BYTES = 64 * 1024
# Size of the write buffer beyond which the link to a peer that does not read is closed.
WRITE_BUFFER_MAX_BYTES = 32 * 1024 * 1024
# Number of messages of a link that are handled before everything else gets its turn.
MESSAGES_PER_TURN = 64

Handler = collections.abc.Callable[["PeerLink", messages.Message], None]


class PeerLink:
    """One open link.

    :param peer: member record that the other side sent in its Hello.
    :param handle: called with each message that does not belong to an open exchange.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: member.Member,
        handle: Handler,
    ) -> None:
        self.peer = peer
        self._reader = reader
        self._writer = writer
        self._handle = handle
        self._request_numbers = itertools.count(1)
        self._exchanges: dict[ids.RequestId, exchange.Exchange] = {}
        self.send_windows: dict[ids.RequestId, exchange.SendWindow] = {}
        self.serving: dict[ids.RequestId, asyncio.Task] = {}
        self.is_open = True
        # Event-loop time of the latest heartbeat sent; other messages do not replace heartbeats.
        self.heartbeat_sent_at = 0.0

    def send(self, message: messages.Message) -> None:
        """Queues a message; does nothing on a closed link.

        The link is closed if the write buffer grows beyond its limit.
        """
        if not self.is_open:
            return
        self._writer.write(frames.encode_frame(message))
        if isinstance(message, messages.Heartbeat):
            self.heartbeat_sent_at = asyncio.get_running_loop().time()
        if self._writer.transport.get_write_buffer_size() > WRITE_BUFFER_MAX_BYTES:
            self.close()

    async def drain(self) -> None:
        """Waits until the write buffer accepts more data."""
        if self.is_open:
            await self._writer.drain()

    def open_exchange(self, forward: messages.Forward) -> exchange.Exchange:
        """Sends a request and returns the exchange that receives its answer.

        :param forward: the request, with a number from ``make_request_number``.
        """
        pending = exchange.Exchange(forward.request, self.send, self._remove_exchange)
        self._exchanges[forward.request] = pending
        self.send(forward)
        return pending

    def make_request_number(self) -> ids.RequestId:
        """Returns a request number that is unused on this link."""
        return ids.RequestId(next(self._request_numbers))

    async def run(self) -> str:
        """Dispatches messages until the link ends; returns the cause."""
        cause = "closed by the peer"
        try:
            for number in itertools.count(1):
                message = await read_message(self._reader)
                self._dispatch(message)
                if number % MESSAGES_PER_TURN == 0:
                    # Messages that have arrived are read without suspending.
                    await asyncio.sleep(0)
        except errors.ProtocolError as error:
            cause = str(error)
            events.log(events.Event.FRAME_REJECTED, peer=self.peer.instance, error=error)
        except (EOFError, OSError) as error:
            cause = type(error).__name__
        finally:
            self.close()
        return cause

    def close(self) -> None:
        """Closes the link; open exchanges fail and requests served for the peer are cancelled."""
        if not self.is_open:
            return
        self.is_open = False
        self._writer.close()
        failure = errors.LinkClosedError(f"link to {self.peer.instance} ended")
        for pending in list(self._exchanges.values()):
            pending.accept(failure)
        for task in list(self.serving.values()):
            task.cancel()

    def _dispatch(self, message: messages.Message) -> None:
        match message:
            case (
                messages.AnswerStart()
                | messages.AnswerChunk()
                | messages.AnswerEnd()
                | messages.AnswerRefused()
            ):
                # A message for an exchange that has ended is dropped.
                pending = self._exchanges.get(message.request)
                if pending is not None:
                    pending.accept(message)
            case messages.Credit():
                window = self.send_windows.get(message.request)
                if window is not None:
                    window.add(message.amount)
            case messages.Cancel():
                task = self.serving.get(message.request)
                if task is not None:
                    task.cancel()
            case _:
                self._handle(self, message)

    def _remove_exchange(self, request: ids.RequestId) -> None:
        self._exchanges.pop(request, None)


async def read_message(
    reader: asyncio.StreamReader, bytes_max: int = frames.FRAME_MAX_BYTES
) -> messages.Message:
    """Returns the next message of a stream.

    :param bytes_max: size of the largest frame.
    :raises EOFError: if the stream ended.
    :raises errors.ProtocolError: if the bytes are not a valid message.
    """
    length = frames.decode_length(await reader.readexactly(frames.LENGTH_BYTES), bytes_max)
    return frames.decode_payload(await reader.readexactly(length))


async def handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, own_record: member.Member
) -> member.Member:
    """Exchanges Hello messages and returns the peer's member record.

    :raises errors.ProtocolError: if the peer sends anything else or has another version.
    """
    writer.write(frames.encode_frame(messages.Hello(messages.PROTOCOL_VERSION, own_record)))
    async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
        message = await read_message(reader, HELLO_MAX_BYTES)
    if not isinstance(message, messages.Hello):
        raise errors.ProtocolError(f"got {type(message).__name__}, expected Hello")
    if message.version != messages.PROTOCOL_VERSION:
        raise errors.ProtocolError(
            f"got protocol version {message.version}, expected {messages.PROTOCOL_VERSION}"
        )
    return message.sender
