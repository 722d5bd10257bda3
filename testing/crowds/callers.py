"""Crowds of callers that send without end, stop short of an end, or do not read."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools

# Callers of a crowd.
CALLERS = 40
# What a caller sends in one field, and in many fields, of which each takes several times its size.
LONG_BYTES = 6 * 1024 * 1024
MANY_BYTES = 768 * 1024
# For crowds that open more connections than the process may have.
DESCRIPTORS = 300
DESCRIPTORS_BOUND = 270
CONNECTIONS = 400
# Bytes that a caller passes to the system at a time.
BLOCK_BYTES = 64 * 1024
# Time after which a crowd that is still sending is looked at; it goes on.
SENDING_MAX_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """What each caller of a crowd sends.

    :param start: bytes at the begin of the connection.
    :param piece: bytes that follow again and again.
    :param piece_bytes: how many bytes of pieces follow.
    :param end: bytes behind the pieces.
    """

    start: bytes
    piece: bytes = b""
    piece_bytes: int = 0
    end: bytes = b""

    def list_blocks(self) -> collections.abc.Iterator[bytes]:
        """Yields what is sent, in blocks."""
        if self.start:
            yield self.start
        if self.piece:
            block = self.piece * max(1, BLOCK_BYTES // len(self.piece))
            for _ in range(max(1, self.piece_bytes // len(block))):
                yield block
        if self.end:
            yield self.end


class Crowd:
    """Callers that send a script side by side, do not read, and stay connected.

    :param addresses: the callers connect to them in turn.
    :param script: what each of them sends.
    :param count: number of callers.
    """

    def __init__(self, addresses: list[str], script: Script, count: int) -> None:
        self._addresses = addresses
        self._script = script
        self._count = count
        self._writers: list[asyncio.StreamWriter] = []
        self._sending: list[asyncio.Task] = []

    async def send(self) -> None:
        """Lets all callers send until each has sent everything or lost its connection.

        Those that are not read on by then go on.
        """
        addresses = itertools.islice(itertools.cycle(self._addresses), self._count)
        self._sending = [asyncio.create_task(self._send_one(address)) for address in addresses]
        await asyncio.wait(self._sending, timeout=SENDING_MAX_S)

    async def _send_one(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            self._writers.append(writer)
            reader._transport.pause_reading()
            for block in self._script.list_blocks():
                writer.write(block)
                await writer.drain()

    def close(self) -> None:
        """Closes all connections."""
        for task in self._sending:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
