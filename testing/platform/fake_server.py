"""Fake backend server of the platform on raw connections, with scripted faults."""

import asyncio
import contextlib
import dataclasses
import socket
import struct


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class FakeServer:
    """Answers requests and records them.

    :param name: registered name of the server.
    :ivar requests: all requests received.
    :ivar faults: names of the faults of the next requests, in order; see ``_answer_with_fault``.
    :ivar headers: additional headers of the answers.
    :ivar release: event that must be set for requests to be answered.
    :ivar closed_while_held: connections that the peer closed before their request was answered.
    :ivar endless_bytes: bytes sent by faults that send without end.
    :ivar late_bytes: bytes that are sent when the next request of a connection has arrived, before
        its answer.
    :ivar cut_after: number of bytes after which answers break off; None if they are complete.
    :ivar is_cut_by_reset: whether the connection is reset then, instead of closed.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ""
        self.requests: list[ReceivedRequest] = []
        self.faults: list[str] = []
        self.headers: list[tuple[str, str]] = []
        self.release = asyncio.Event()
        self.release.set()
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed_while_held = 0
        self.endless_bytes = 0
        self.late_bytes: dict[asyncio.StreamWriter, bytes] = {}
        self.body = b"body of " + name.encode()
        self.cut_after: int | None = None
        self.is_cut_by_reset = False

    @contextlib.asynccontextmanager
    async def listen(self):
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()
            for writer in self.writers:
                writer.transport.abort()

    def register(self, service: str, domain: str, state: str = "ready", **others) -> dict:
        """Returns a registration document of the server.

        :param others: ``born``, ``slots``, ``sequence`` and ``cold`` (in milliseconds).
        """
        return {
            "address": self.address,
            "born": others.get("born", 1),
            "information": {
                "service": service,
                "version": "v1",
                "zone": domain,
                "slots": others.get("slots", 4),
            },
            "status": {
                "state": state,
                "sequence": others.get("sequence", 1),
                "coldRemainingMs": others.get("cold", 0),
            },
        }

    def count_unsent_bytes(self) -> int:
        """Returns the bytes of answers that are buffered because the peer does not read them."""
        return sum(writer.transport.get_write_buffer_size() for writer in self.writers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(OSError, EOFError):
            while True:
                request = await _read_request(reader)
                self.requests.append(request)
                if not await self._wait_for_release(reader):
                    self.closed_while_held += 1
                    break
                if writer in self.late_bytes:
                    writer.write(self.late_bytes.pop(writer))
                    await writer.drain()
                    await asyncio.sleep(0.05)
                if self.cut_after is not None:
                    await self._cut_answer(request, writer)
                    break
                fault = self.faults.pop(0) if self.faults else ""
                if not await self._answer_with_fault(fault, request, writer):
                    break
        writer.close()

    async def _cut_answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Sends the beginning of an answer and ends the connection."""
        request_id = request.headers.get("caperdyke-request-id", "")
        writer.write(self.make_answer(request_id, self.body)[: self.cut_after])
        await writer.drain()
        if self.is_cut_by_reset:
            _set_reset_on_close(writer)
            writer.transport.abort()

    async def _wait_for_release(self, reader: asyncio.StreamReader) -> bool:
        """Waits until requests are released; returns whether the connection is still open."""
        release_task = asyncio.create_task(self.release.wait())
        disconnect_task = asyncio.create_task(reader.read(1))
        await asyncio.wait({release_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
        is_connected = not disconnect_task.done()
        release_task.cancel()
        disconnect_task.cancel()
        await asyncio.gather(release_task, disconnect_task, return_exceptions=True)
        return is_connected

    async def _answer_with_fault(
        self, fault: str, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers as a fault demands; returns whether the connection stays open."""
        request_id = request.headers.get("caperdyke-request-id", "")
        answer = self.make_answer(request_id, self.body)
        match fault:
            case "":
                writer.write(answer)
            case "shed":
                writer.write(_make(503, [("Caperdyke-Not-Executed", "1"), *self.headers], b""))
            case "shed twice":
                refusal = _make(503, [("Caperdyke-Not-Executed", "1"), *self.headers], b"")
                self.late_bytes[writer] = refusal
                writer.write(refusal)
            case "misdirected":
                writer.write(_make(421, [("Caperdyke-Instance-Id", "other"), *self.headers], b""))
            case "error":
                writer.write(self.make_answer(request_id, b"broken", 500))
            case "reset":
                writer.transport.abort()
                return False
            case "truncated":
                writer.write(answer[:-3])
                return False
            case "spoilt":
                writer.write(b"\x00\x01 these bytes are no answer\r\n\r\n")
                return False
            case "unsigned":
                writer.write(
                    _make(200, [("Caperdyke-Request-Id", request_id), *self.headers], self.body)
                )
            case "unframed":
                head = answer.split(b"\r\n\r\n")[0].split(b"\r\n")
                head = [line for line in head if not line.startswith(b"Content-Length")]
                writer.write(b"\r\n".join(head) + b"\r\n\r\n" + self.body)
                await writer.drain()
                return False
            case "unframed reset":
                lines = answer.split(b"\r\n\r\n")[0].split(b"\r\n")
                lines = [line for line in lines if not line.startswith(b"Content-Length")]
                writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + self.body)
                await writer.drain()
                _set_reset_on_close(writer)
                writer.transport.abort()
                return False
            case "extra":
                writer.write(answer + self.make_answer(request_id, b"second answer"))
            case "earlier":
                writer.write(self.make_answer("an-earlier-request", b"other body") + answer)
            case "late copy":
                writer.write(self.make_answer("an-earlier-request", b"other body"))
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.write(answer)
            case "late copy without id":
                copy = self.make_answer("", b"other body")
                writer.write(copy.replace(b"Caperdyke-Request-Id: \r\n", b""))
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.write(answer)
            case "only-earlier":
                writer.write(self.make_answer("an-earlier-request", b"other body"))
                await writer.drain()
                return False
            case "closing":
                writer.write(answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
                await writer.drain()
                return False
            case _ if fault.startswith("endless "):
                await self._send_endlessly(fault, request_id, writer)
                return False
            case _:
                raise ValueError(f"unknown fault {fault!r}")
        await writer.drain()
        return True

    async def _send_endlessly(
        self, fault: str, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Sends bytes until the connection is closed, in large chunks or a few at a time."""
        _, kind, pace = fault.split(" ")
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        signed = self.make_answer(request_id, b"").split(b"\r\n\r\n")[0].split(b"\r\n")
        signed = b"\r\n".join(line for line in signed if not line.startswith(b"Content-Length"))
        start, piece = {
            "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "head": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: yes\r\n"),
            "lines": (b"", b"\r\n"),
            "noise": (b"", b"\x00\x01\x02"),
            "body": (signed + b"\r\n" + chunked, b"1000\r\n" + b"more" * 1024 + b"\r\n"),
            "unframed": (signed + b"\r\n\r\n", b"more" * 1024),
            "chunk-head": (signed + b"\r\n" + chunked, b"0"),
            "refusal": (
                b"HTTP/1.1 503 Full\r\nCaperdyke-Not-Executed: 1\r\n" + chunked,
                b"4\r\nmore\r\n",
            ),
            "unsigned": (b"HTTP/1.1 200 OK\r\n" + chunked, b"4\r\nmore\r\n"),
            "foreign": (
                signed.replace(request_id.encode(), b"another") + b"\r\n" + chunked,
                b"4\r\nmore\r\n",
            ),
        }[kind]
        writer.write(start)
        while True:
            data = piece * max(1, 65536 // len(piece)) if pace == "fast" else piece
            writer.write(data)
            await writer.drain()
            self.endless_bytes += len(data)
            await asyncio.sleep(0 if pace == "fast" else 0.02)

    def make_answer(self, request_id: str, body: bytes, status: int = 200) -> bytes:
        """Returns the bytes of a signed answer."""
        headers = [
            ("Caperdyke-Request-Id", request_id),
            ("Caperdyke-Server-Signature", f"signed-{self.name}"),
            ("Caperdyke-Server-Load", "1,0,4"),
            *self.headers,
        ]
        return _make(status, headers, body)


def _set_reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Lets closing the connection discard unsent bytes and send a reset."""
    linger = struct.pack("ii", 1, 0)
    server_socket = writer.get_extra_info("socket")
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, target, headers, body)


def _make(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
