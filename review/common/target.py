"""Stand-in of a target: registers itself, runs requests and records them."""

import asyncio
import collections.abc
import dataclasses
import time

from review.common import http, store


@dataclasses.dataclass(slots=True)
class Run:
    """A request that the target began to work on; times are of the steady clock."""

    request: http.Request
    started_at: float
    ended_at: float = 0.0


class Target:
    """A sound target.

    :param answer: called with the request and the writer in place of the usual answer; returns
        whether the connection stays open.
    """

    def __init__(self, name: str, service: str, zone: str, host: str) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.address = ""
        self.work_s = 0.0
        self.slots = 8
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.cold_ms = 0
        self.runs: list[Run] = []
        self.answer: collections.abc.Callable | None = None
        self.extra_headers: list[tuple[str, str]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int = 0) -> None:
        """Starts to serve; on a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, self.host, port, backlog=1024)
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"

    async def register(self, rows: store.Store) -> int:
        """Writes the target's entry."""
        self.sequence += 1
        return await rows.put("servers", self.name, self.make_entry())

    def make_entry(self) -> dict:
        """Returns what the target says of itself."""
        return {
            "address": self.address,
            "born": self.born,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldRemainingMs": self.cold_ms,
            },
        }

    def sign(self, request: http.Request) -> list[tuple[str, str]]:
        """Returns the headers of the target's own answers."""
        return [
            ("Caperdyke-Request-Id", request.id),
            ("Caperdyke-Server-Signature", f"{self.name}.{len(self.runs)}"),
            ("Keep-Alive", "timeout=10"),
            *self.extra_headers,
        ]

    def close(self) -> None:
        """Ends the target with all its connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await http.read_request(reader)
                if request is None:
                    break
                if request.target == "/health":
                    head = [("Caperdyke-Instance-Id", self.name)]
                    writer.write(http.make_answer(200 if self.state == "ready" else 503, head, b""))
                    continue
                if request.headers.get("caperdyke-expect-instance", self.name) != self.name:
                    writer.write(http.make_answer(421, [], b""))
                    continue
                run = Run(request, time.monotonic())
                self.runs.append(run)
                if self.answer is not None:
                    stays_open = await self.answer(request, writer)
                else:
                    await asyncio.sleep(self.work_s)
                    writer.write(
                        http.make_answer(200, self.sign(request), b"done by " + self.name.encode())
                    )
                    stays_open = True
                await writer.drain()
                run.ended_at = time.monotonic()
                if not stays_open:
                    break
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
