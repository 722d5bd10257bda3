"""A scripted application and a caller that sends requests ahead, on a loopback connection."""

import asyncio
import contextlib
import functools
import re
import socket

from caperdyke.transport.http import caller_protocol, exchanges, pipeline
from testing import servers, test_pipelining

TIMEOUT_SECONDS = 5.0


class ScriptedApp:
    """Responds to each request with its path, once it is released.

    :ivar started: paths of the requests, in the order in which they started.
    :ivar disconnected: paths of the requests whose caller disconnected.
    :ivar parts: parts of the response body, by path.
    :ivar faults: ``closes``, ``breaks off``, ``raises`` or ``ignores body``, by path.
    :ivar read_at: time at which each request was read, by path.
    :ivar sent: number of body parts of each response that were accepted, by path.
    """

    def __init__(self, policy) -> None:
        self.policy = policy
        self.started: list[str] = []
        self.disconnected: list[str] = []
        self.parts: dict[str, list[bytes]] = {}
        self.faults: dict[str, str] = {}
        self.read_at: dict[str, float] = {}
        self.sent: dict[str, int] = {}
        self.bodies: dict[str, bytes] = {}
        self._gates: dict[str, asyncio.Event] = {}

    def hold(self, *paths: str) -> None:
        """Holds back the responses to requests."""
        for path in paths:
            self._gates[path] = asyncio.Event()

    def release(self, *paths: str) -> None:
        """Lets responses be sent."""
        for path in paths:
            self._gates[path].set()

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request; an ASGI application."""
        path = scope["path"]
        scope[exchanges.REQUEST_ID_KEY] = path
        self.started.append(path)
        self.read_at[path] = scope[caller_protocol.READ_AT_KEY]
        if self.faults.get(path) == "ignores body":
            await self._respond(path, send)
            return
        message = await receive()
        body = message.get("body", b"")
        while message.get("more_body"):
            message = await receive()
            body += message.get("body", b"")
        self.bodies[path] = body
        if path in self._gates and not await self._wait_for_release(path, receive):
            self.disconnected.append(path)
            return
        await self._respond(path, send)

    async def _wait_for_release(self, path: str, receive) -> bool:
        released = asyncio.ensure_future(self._gates[path].wait())
        disconnected = asyncio.ensure_future(receive())
        await asyncio.wait({released, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        disconnected.cancel()
        released.cancel()
        return not disconnected.done() or released.done()

    async def _respond(self, path: str, send) -> None:
        fault = self.faults.get(path, "")
        if fault == "raises":
            raise RuntimeError("scripted")
        parts = self.parts.get(path, [path.encode()])
        headers = [(b"content-length", b"%d" % sum(len(part) for part in parts))]
        if fault == "closes" or self.policy.is_stopping:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        self.sent[path] = 0
        for number, part in enumerate(parts):
            if fault == "breaks off" and number == len(parts) - 1:
                raise RuntimeError("scripted")
            is_last = number == len(parts) - 1
            await send({"type": "http.response.body", "body": part, "more_body": not is_last})
            self.sent[path] += 1


class Caller:
    """A caller's connection on which requests are sent ahead."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *requests: str, version: str = "1.1", headers: str = "") -> None:
        """Sends requests in one piece, each as ``METHOD PATH`` with an optional body."""
        data = []
        for request in requests:
            method, path, *body = request.split(" ", 2)
            text = f"{method} {path} HTTP/{version}\r\nHost: x\r\n{headers}"
            if body:
                text += f"Content-Length: {len(body[0])}\r\n"
            data.append(text.encode() + b"\r\n" + "".join(body).encode())
        self.writer.write(b"".join(data))

    async def read_response(self) -> tuple[bytes, bool]:
        """Returns the body of the next response, and whether it announces a close.

        :raises asyncio.IncompleteReadError: if the connection ends instead.
        """
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = int(re.search(rb"content-length: (\d+)", head)[1])
        body = await self.reader.readexactly(length)
        if b" 200 " not in head:
            body = head.split(b" ")[1]
        return body, b"connection: close" in head

    async def read_all(self) -> list[str]:
        """Returns the bodies of all responses until the connection ends; a star marks a close."""
        bodies = []
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                body, is_closing = await self.read_response()
                bodies.append(body.decode() + "*" * is_closing)
        return bodies


class Setting:
    """An application behind a CallerProtocol, and a caller's connection to it.

    :ivar protocol: protocol of the connection.
    """

    def __init__(self) -> None:
        self.policy = test_pipelining.FakePolicy()
        self.app = ScriptedApp(self.policy)
        self.protocol: caller_protocol.CallerProtocol | None = None
        self.caller: Caller | None = None

    def make_protocol(self, *arguments, **named) -> caller_protocol.CallerProtocol:
        """Returns the protocol of a new connection."""
        make = functools.partial(caller_protocol.CallerProtocol, policy=self.policy)
        self.protocol = make(*arguments, **named)
        return self.protocol

    @property
    def pipeline(self) -> pipeline.Pipeline:
        """The pipeline of the connection."""
        return self.protocol._pipeline

    async def wait_until(self, condition) -> None:
        """Polls a condition until it holds, for a bounded real time."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.002)

    async def settle(self) -> None:
        """Waits until bytes in transit on the loopback interface have arrived."""
        await asyncio.sleep(0.05)

    async def wait_for_starts(self, count: int) -> list[str]:
        """Waits until so many requests have started, and returns their paths."""
        await self.wait_until(lambda: len(self.app.started) >= count)
        await self.settle()
        return self.app.started


@contextlib.asynccontextmanager
async def open_setting(
    receive_buffer: int | None = None, timeout_seconds: float = TIMEOUT_SECONDS * 2
):
    """Serves a scripted application and yields a setting with an open connection.

    :param receive_buffer: size of the caller's receive buffer, in bytes.
    :param timeout_seconds: longest time for which the setting is used.
    """
    setting = Setting()
    async with servers.serve_app(setting.app, setting.make_protocol) as address:
        host, _, port = address.rpartition(":")
        caller_socket = socket.socket()
        if receive_buffer is not None:
            caller_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        caller_socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller_socket, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=caller_socket)
        setting.caller = Caller(reader, writer)
        await setting.wait_until(lambda: setting.protocol is not None)
        async with asyncio.timeout(timeout_seconds):
            yield setting
        writer.close()
