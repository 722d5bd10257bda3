"""A relay on loopback that harms the connections of one gateway to the store."""

import asyncio
import contextlib


class Relay:
    """Passes bytes between a gateway and the store.

    :param distance: one way between them, in seconds; opening a connection takes two.
    :ivar delay: seconds that each part is held back beyond the distance.
    :ivar is_cut: whether nothing new is taken and nothing passes.
    :ivar drops_answers: whether bytes of the store do not pass.
    """

    def __init__(self, target: str, distance: float) -> None:
        self._distance = distance
        self._host, _, port = target.partition(":")
        self._port = int(port)
        self.address = ""
        self.delay = 0.0
        self.is_cut = False
        self.drops_answers = False
        self._silent: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence(self) -> None:
        """Lets nothing more pass on the open connections, for good; new ones work."""
        self._silent |= self._writers

    def reset(self) -> None:
        """Resets the open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def mend(self) -> None:
        """Ends what was set; silent connections stay silent."""
        self.delay, self.is_cut, self.drops_answers = 0.0, False, False

    def close(self) -> None:
        """Ends everything."""
        self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ends = {writer}
        self._writers.add(writer)
        try:
            if self.is_cut:
                writer.transport.abort()
                return
            await asyncio.sleep(2 * self._distance)
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
            ends.add(far_writer)
            self._writers.add(far_writer)
            passing = [
                asyncio.ensure_future(self._pass(reader, far_writer, False)),
                asyncio.ensure_future(self._pass(far_reader, writer, True)),
            ]
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
            for task in passing:
                task.cancel()
        finally:
            for end in ends:
                end.transport.abort()
            self._writers -= ends
            self._silent -= ends

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await asyncio.sleep(self._distance + self.delay)
                is_dropped = self.is_cut or (is_answer and self.drops_answers)
                if writer in self._silent or is_dropped:
                    # What is lost in the middle of a stream makes the rest of it useless.
                    self._silent.add(writer)
                    continue
                writer.write(data)
                await writer.drain()
