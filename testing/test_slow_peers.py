"""Peers that stop reading for longer than a silent peer is waited for.

The timers of the system are part of what is tested, so these tests take real time. All cases of a
role run side by side. They use nothing but the interfaces of the connections.
"""

import asyncio
import time

import testtools

from caperdyke import errors
from caperdyke.transport.http import caller_protocol, client_connection, http_client, tcp_keepalive
from testing import servers, silent_peers

# Longer than the time for which a silent peer is waited for.
PAUSE_S = 3.6
# Longest time in which a silent peer, or store, must be noticed, and what a busy machine may add.
SILENT_MAX_S = 3.0
SILENT_STORE_MAX_S = 2.0
LATE_MAX_S = 1.0
# How long a peer that falls silent has answered before.
ANSWERING_S = 1.0
DEADLINE_S = 12.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REQUEST = b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_REQUEST = b"GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
DOWNLOAD_BYTES = 400_000
# Name, size of the body, size of the head, receive buffer of the server.
UPLOADS = [
    ("long body", 400_000, 100, 64 * 1024),
    ("body of 8,000 bytes, small window", 8_000, 100, 2048),
    ("body of 5,000 bytes, small window", 5_000, 100, 2048),
    ("long head, small window", 0, 8_000, 2048),
]


def make_headers(head_bytes: int) -> list[tuple[str, str]]:
    """Returns headers of about this size together."""
    return [(f"x-{number:04}", "y" * 90) for number in range(head_bytes // 100)]


async def send_by_gateway(address: str, body: bytes, head_bytes: int) -> bytes:
    """Sends a request as gateways do, to servers and to peers that relay; returns the answer."""
    conn = await client_connection.connect(address, 1.0)
    headers = [(name.encode(), value.encode()) for name, value in make_headers(head_bytes)]
    headers += [(b"host", b"x"), (b"content-length", b"%d" % len(body))]
    try:
        async with asyncio.timeout(DEADLINE_S):
            conn.send("POST", b"/1", headers, body)
            await conn.read_head()
            return await conn.read_chunk()
    finally:
        conn.close()


async def send_by_entry(address: str, body: bytes, head_bytes: int) -> bytes:
    """Sends a request as entries and the load generator do."""
    return await fetch(http_client.HttpClient(1, 1.0), address, body, head_bytes)


async def call_store(address: str, body: bytes, head_bytes: int) -> bytes:
    """Sends a request as the store's client does, with a longer time limit."""
    client = http_client.HttpClient(1, 1.0, tcp_keepalive.STORE_KEEPALIVE)
    return await fetch(client, address, body, head_bytes)


async def fetch(
    client: http_client.HttpClient, address: str, body: bytes, head_bytes: int
) -> bytes:
    """Sends one request with a client, closes it and returns the body of the answer."""
    try:
        _, received = await client.fetch(
            http_client.Exchange(),
            "POST",
            address,
            "/1",
            make_headers(head_bytes),
            body,
            DEADLINE_S,
            len(ANSWER),
        )
        return received
    finally:
        await client.close()


SENDERS = [("gateway", send_by_gateway), ("entry", send_by_entry)]
# With the longest time in which silence must be noticed.
SILENCE_SENDERS = [
    ("gateway", send_by_gateway, SILENT_MAX_S),
    ("entry", send_by_entry, SILENT_MAX_S),
    ("store", call_store, SILENT_STORE_MAX_S),
]


async def read_request(sock, size: int) -> None:
    """Reads at least this many bytes of a request, as far as it is sent."""
    received = 0
    while received < size:
        part = await asyncio.get_running_loop().sock_recv(sock, 64 * 1024)
        if not part:
            raise ConnectionResetError("the request ended early")
        received += len(part)


async def measure_failure(sending, allowed_s: float) -> str:
    """Waits for a request to fail, and returns whether that took as long as it should."""
    started_at = time.monotonic()
    try:
        await sending
    except (errors.BackendFailedError, *http_client.FAILURES):
        pass
    else:
        return "answered"
    return judge_silence(time.monotonic() - started_at, allowed_s)


def judge_silence(took_s: float, allowed_s: float = SILENT_MAX_S) -> str:
    """Returns whether the time in which silence was noticed is right."""
    if took_s > allowed_s + LATE_MAX_S:
        return f"noticed after {took_s:.1f} s"
    return "noticed in time"


async def gather_by_name(pending: dict) -> dict:
    """Awaits all values of a dictionary side by side."""
    results = await asyncio.gather(*pending.values(), return_exceptions=True)
    return {
        name: repr(result) if isinstance(result, Exception) else result
        for name, result in zip(pending, results, strict=True)
    }


class ServerTest(testtools.TestCase):
    """Servers, and peers that requests are relayed to."""

    def test_servers_that_read_slowly_are_cut_off(self) -> None:
        """Guards against taking a server for gone because it reads nothing for some seconds."""

        async def play(send, body_bytes: int, head_bytes: int, buffer_bytes: int) -> bytes:
            async def serve(sock) -> None:
                await asyncio.sleep(PAUSE_S)
                await read_request(sock, body_bytes + head_bytes)
                await asyncio.get_running_loop().sock_sendall(sock, ANSWER)
                await asyncio.sleep(DEADLINE_S)

            async with silent_peers.serve_connections(serve, buffer_bytes) as address:
                return await send(address, b"x" * body_bytes, head_bytes)

        async def scenario() -> dict:
            return await gather_by_name(
                {
                    f"{sender}, {name}": play(send, *sizes)
                    for sender, send in SENDERS
                    for name, *sizes in UPLOADS
                }
            )

        outcomes = asyncio.run(scenario())
        self.assertEqual(dict.fromkeys(outcomes, b"ok"), outcomes)

    def test_silent_servers_hold_requests_until_their_deadline(self) -> None:
        """Guards against waiting for a server that is gone, with a long body or a full window."""

        async def play(
            send, allowed_s: float, answering_s: float, size: int, buffer_bytes: int
        ) -> str:
            silent = asyncio.Event()

            async def serve(sock) -> None:
                await asyncio.sleep(answering_s)
                silent_peers.silence(sock)
                silent.set()
                await asyncio.sleep(DEADLINE_S)

            async with silent_peers.serve_connections(serve, buffer_bytes) as address:
                sending = asyncio.ensure_future(send(address, b"x" * size, 100))
                await silent.wait()
                return await measure_failure(sending, allowed_s)

        async def scenario() -> dict:
            return await gather_by_name(
                {
                    f"{sender}, {name}": play(send, allowed_s, *case)
                    for sender, send, allowed_s in SILENCE_SENDERS
                    for name, *case in (
                        ("bytes in flight", 0.0, 400_000, 64 * 1024),
                        ("window closed", ANSWERING_S, 400_000, 64 * 1024),
                        ("small window closed", ANSWERING_S, 8_000, 2048),
                        ("idle", ANSWERING_S, 10, 64 * 1024),
                    )
                }
            )

        outcomes = asyncio.run(scenario())
        self.assertEqual(dict.fromkeys(outcomes, "noticed in time"), outcomes)


class CallerTest(testtools.TestCase):
    """Callers, and peers that relay requests here."""

    def test_callers_that_read_slowly_lose_their_download(self) -> None:
        """Guards against taking a caller for gone because it reads nothing for some seconds."""

        async def play(address: str, read_first: int, request: bytes = REQUEST) -> bool:
            sock = await silent_peers.connect(address, 64 * 1024)
            loop = asyncio.get_running_loop()
            with sock:
                await loop.sock_sendall(sock, request)
                received = 0
                if read_first:
                    received += len(await loop.sock_recv(sock, read_first))
                await asyncio.sleep(PAUSE_S)
                while received < DOWNLOAD_BYTES:
                    part = await loop.sock_recv(sock, 64 * 1024)
                    if not part:
                        break
                    received += len(part)
                return received >= DOWNLOAD_BYTES

        async def scenario() -> dict:
            async with servers.serve_app(_download, _make_protocol) as address:
                return await gather_by_name(
                    {
                        "reads a part": play(address, 8192),
                        "reads nothing": play(address, 0),
                        "connection closes": play(address, 8192, LAST_REQUEST),
                    }
                )

        outcomes = asyncio.run(scenario())
        self.assertEqual(dict.fromkeys(outcomes, True), outcomes)

    def test_silent_callers_hold_their_download(self) -> None:
        """Guards against holding the answer of a caller that vanished like that of a slow one."""
        ended_at = {}

        async def play(address: str, answering_s: float, request: bytes = REQUEST) -> str:
            sock = await silent_peers.connect(address, 64 * 1024)
            with sock:
                name = sock.getsockname()
                await asyncio.get_running_loop().sock_sendall(sock, request)
                await asyncio.sleep(answering_s)
                silent_peers.silence(sock)
                silent_at = time.monotonic()
                while name not in ended_at and time.monotonic() < silent_at + DEADLINE_S:
                    await asyncio.sleep(0.05)
                return judge_silence(ended_at.get(name, time.monotonic()) - silent_at)

        class Protocol(caller_protocol.CallerProtocol):
            """Records when connections end."""

            def connection_lost(self, error) -> None:
                ended_at[tuple(self.client)] = time.monotonic()
                super().connection_lost(error)

        async def scenario() -> dict:
            async with servers.serve_app(_download, Protocol) as address:
                return await gather_by_name(
                    {
                        "window closed": play(address, ANSWERING_S),
                        "bytes in flight": play(address, 0.0),
                        "idle": play(address, ANSWERING_S, b""),
                        "connection closes": play(address, ANSWERING_S, LAST_REQUEST),
                    }
                )

        outcomes = asyncio.run(scenario())
        self.assertEqual(dict.fromkeys(outcomes, "noticed in time"), outcomes)


def _make_protocol(*arguments, **named) -> caller_protocol.CallerProtocol:
    return caller_protocol.CallerProtocol(*arguments, **named)


async def _download(scope, _receive, send) -> None:
    headers = [(b"content-length", b"%d" % DOWNLOAD_BYTES)]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"x" * DOWNLOAD_BYTES})
