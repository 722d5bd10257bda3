"""A TCP relay on loopback that injects faults between one gateway and the store."""

import asyncio
import contextlib


class Relay:
    """Forwards bytes between a gateway and the store.

    :param one_way_delay_s: one-way latency, in seconds; opening a connection takes twice as long.
    :ivar delay: seconds by which each chunk is delayed beyond the one-way latency.
    :ivar is_partitioned: whether new connections are reset and all bytes are dropped.
    :ivar drops_responses: whether bytes from the store are dropped.
    """

    def __init__(self, target: str, one_way_delay_s: float) -> None:
        self._one_way_delay_s = one_way_delay_s
        self._host, _, port = target.partition(":")
        self._port = int(port)
        self.address = ""
        self.delay = 0.0
        self.is_partitioned = False
        self.drops_responses = False
        self._blackholed: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def blackhole(self) -> None:
        """Drops all further bytes on the open connections, permanently; new connections work."""
        self._blackholed |= self._writers

    def reset(self) -> None:
        """Resets the open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def restore(self) -> None:
        """Ends all faults; blackholed connections stay blackholed."""
        self.delay, self.is_partitioned, self.drops_responses = 0.0, False, False

    def close(self) -> None:
        """Stops listening and resets the open connections."""
        self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ends = {writer}
        self._writers.add(writer)
        try:
            if self.is_partitioned:
                writer.transport.abort()
                return
            await asyncio.sleep(2 * self._one_way_delay_s)
            store_reader, store_writer = await asyncio.open_connection(self._host, self._port)
            ends.add(store_writer)
            self._writers.add(store_writer)
            copy_tasks = [
                asyncio.ensure_future(self._copy(reader, store_writer, False)),
                asyncio.ensure_future(self._copy(store_reader, writer, True)),
            ]
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in copy_tasks:
                task.cancel()
        finally:
            for end in ends:
                end.transport.abort()
            self._writers -= ends
            self._blackholed -= ends

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await asyncio.sleep(self._one_way_delay_s + self.delay)
                is_dropped = self.is_partitioned or (is_response and self.drops_responses)
                if writer in self._blackholed or is_dropped:
                    # The stream is unusable after a gap: all that follows is dropped, too.
                    self._blackholed.add(writer)
                    continue
                writer.write(data)
                await writer.drain()
