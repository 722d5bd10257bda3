"""Test servers on the loopback interface."""

import asyncio
import collections.abc
import contextlib
import itertools
import socket

from caperdyke.transport.http import caller_protocol, http_server

HOST = "127.0.0.1"


class PortBlock:
    """Ports that no other test run of this machine uses at the same time.

    :param starts: first port of each block; the first free block is taken.
    :param size: ports in a block.
    """

    def __init__(self, starts: collections.abc.Iterable[int], size: int) -> None:
        for start in starts:
            guard = socket.socket()
            try:
                guard.bind((HOST, start))
            except OSError:
                guard.close()
                continue
            # Bound until the process ends, so that other runs leave the block alone.
            self._guard = guard
            self._ports = itertools.cycle(range(start + 1, start + size))
            self._size = size
            return
        raise AssertionError("got no free block of ports, expected one")

    def pick_address(self) -> str:
        """Returns a loopback address with the next free port."""
        return pick_address(itertools.islice(self._ports, self._size))


def pick_address(ports: collections.abc.Iterator[int]) -> str:
    """Returns a loopback address with the first free one of the ports."""
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                # The port is in use.
                continue
        return f"{HOST}:{port}"
    raise AssertionError("no free port")


@contextlib.asynccontextmanager
async def serve_app(app, protocol: http_server.Protocol = caller_protocol.CallerProtocol):
    """Serves an ASGI application and yields its address."""
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    server = http_server.make_server(app, address, protocol)
    serving = asyncio.create_task(server.serve([listening]))
    while not server.started:
        await asyncio.sleep(0)
    try:
        yield address
    finally:
        server.should_exit = True
        server.force_exit = True
        await serving
        listening.close()


class RawServer:
    """Sends scripted bytes as responses and records the path of each request.

    :param script: steps by path: bytes are sent, None closes the connection, and an event is
        awaited.
    :ivar disconnected: set when the client closes the connection while an event is awaited.
    :ivar ended: set when a step has closed the connection.
    """

    def __init__(self, script: dict[str, list[bytes | asyncio.Event | None]]) -> None:
        self._script = script
        self.requests: list[str] = []
        self.disconnected = asyncio.Event()
        self.ended = asyncio.Event()

    @contextlib.asynccontextmanager
    async def listen(self):
        """Listens and yields the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        try:
            yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        finally:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if "content-length: " in head:
                    length = int(head.split("content-length: ")[1].split("\r\n")[0])
                    await reader.readexactly(length)
                path = head.split()[1]
                self.requests.append(path)
                for step in self._script[path]:
                    if step is None:
                        writer.close()
                        await writer.wait_closed()
                        self.ended.set()
                        return
                    if isinstance(step, asyncio.Event):
                        disconnect = asyncio.create_task(reader.read(1))
                        waiting = asyncio.create_task(step.wait())
                        done, _ = await asyncio.wait(
                            {disconnect, waiting}, return_when=asyncio.FIRST_COMPLETED
                        )
                        if disconnect in done:
                            self.disconnected.set()
                            return
                        disconnect.cancel()
                        continue
                    writer.write(step)
                    await writer.drain()
        writer.close()
