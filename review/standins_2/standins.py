"""Stand-ins for the platform, backend servers and clients, and gateways as processes.

They speak what PROTOCOL.md says, on loopback addresses and the real clock, and need only Python's
standard library. The gateways are started with the command of deploy/system.toml and with settings
made from deploy/gateway.ini, as the platform does it.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Exit statuses of a case.
HELD, BROKEN, UNUSABLE = 0, 1, 2
HOST = "shop.example"
RESTART_DELAY_S = 0.5
# Figures of sites/kmf-caperdyke.toml, as `fleetbench wire` shows them.
BOUNDS = {
    "drainMs": 2500,
    "graceS": 6,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 60,
    "coldLoadFactor": 1.5,
    "coldSlack": 5,
    "ttl_max_s": 5,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
MEMORY_MB = 300
HEARTBEAT_MS = 1500
STORE_ANSWER_S = 0.004
_used_ports: set[int] = set()


def has_trouble() -> bool:
    """Returns whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_address() -> str:
    """Returns a loopback address whose port is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return f"127.0.0.1:{port}"


class Record:
    """Writes record.txt: one line for each thing that was sent, answered, run or done."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def add(self, text: str) -> None:
        """Appends a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")

    def conclude(self, text: str) -> None:
        """Appends a line and prints it."""
        self.add(text)
        print(text)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


# HTTP.


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers of a message, names in lower case."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, length: int) -> bytes:
    """Returns a body of a known length."""
    return await reader.readexactly(length)


async def open_connection(
    address: str, window: int | None = None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection within one second, as clients do.

    :param window: bytes that the client's system receives ahead; None for the system's default.
    """
    host, _, port = address.partition(":")
    connection = socket.socket()
    connection.setblocking(False)
    if window is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    try:
        async with asyncio.timeout(1.0):
            await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    except BaseException:
        connection.close()
        raise
    return await asyncio.open_connection(sock=connection)


def encode_request(
    method: str, path: str, request: str, deadline_ms: int, body: bytes = b"", key: str = ""
) -> bytes:
    """Returns the bytes of a client's request.

    :param key: the object that it concerns; empty if none.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Caperdyke-Request-Id: {request}",
        f"Caperdyke-Request-Deadline: {deadline_ms}",
    ]
    if key:
        lines.append(f"Cookie: Caperdyke-Affinity-Key={key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    """An answer as a client received it; status 0 stands for none."""

    def __init__(self, status: int, size: int, is_complete: bool, is_signed: bool) -> None:
        self.status, self.size = status, size
        self.is_complete, self.is_signed = is_complete, is_signed

    def __str__(self) -> str:
        end = "complete" if self.is_complete else "INCOMPLETE"
        return f"{self.status}, {self.size} bytes, {end}{', signed' if self.is_signed else ''}"


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer; its body is counted and dropped."""
    try:
        first, headers = await read_head(reader)
    except (OSError, EOFError):
        return Answer(0, 0, False, False)
    status, size = int(first.split(" ")[1]), 0
    is_signed = "caperdyke-server-signature" in headers
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                length = int(await reader.readuntil(b"\r\n"), 16)
                await reader.readexactly(length + 2)
                if length == 0:
                    return Answer(status, size, True, is_signed)
                size += length
        length = int(headers.get("content-length", 0))
        while size < length:
            data = await reader.read(min(65536, length - size))
            if not data:
                return Answer(status, size, False, is_signed)
            size += len(data)
    except (OSError, EOFError):
        return Answer(status, size, False, is_signed)
    return Answer(status, size, True, is_signed)


async def send_request(
    address: str,
    method: str,
    path: str,
    request: str,
    deadline_ms: int,
    body: bytes = b"",
    key: str = "",
) -> Answer:
    """Sends a request on a new connection and gives up at its deadline."""
    try:
        reader, writer = await open_connection(address)
    except OSError:
        return Answer(0, 0, False, False)
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            writer.write(encode_request(method, path, request, deadline_ms, body, key))
            await writer.drain()
            return await read_answer(reader)
    except OSError:
        # TimeoutError is an OSError, too.
        return Answer(0, 0, False, False)
    finally:
        writer.close()


async def listen(serve) -> tuple[asyncio.Server, str]:
    """Listens on a free loopback port, and returns the server and its address."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(OSError, EOFError):
                await serve(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0, limit=2**20)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


# The platform's store.


class Store:
    """The platform's store, sound and always available."""

    def __init__(self) -> None:
        self.address = ""
        self._version = 1
        self._rows: dict[tuple[str, str], dict] = {}
        self._history: list[dict] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server, self.address = await listen(self._serve)

    async def put(self, table: str, key: str, document: dict) -> None:
        """Writes a row, as the operator or a target does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._change(table, key, value)

    async def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        await self._change(table, key, None)

    async def _change(self, table: str, key: str, value: str | None) -> None:
        async with self._changed:
            self._version += 1
            row = {"table": table, "part": "", "key": key, "dataVersion": self._version}
            if value is None:
                self._rows.pop((table, key), None)
                row["tombstone"] = True
            else:
                row["value"] = value
                self._rows[table, key] = row
            self._history.append(row)
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers = await read_head(reader)
            body = await read_body(reader, int(headers.get("content-length", 0)))
            path, _, query = first.split(" ")[1].partition("?")
            await asyncio.sleep(STORE_ANSWER_S)
            status, document = await self._call(path, dict(urllib.parse.parse_qsl(query)), body)
            document |= {"dataVersion": self._version, "nowMs": int(time.monotonic() * 1000)}
            data = json.dumps(document).encode()
            head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()

    async def _call(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, dict]:
        match path:
            case "/caperdyke/rows-get":
                rows = [row for (table, _), row in self._rows.items() if table == query["table"]]
                rows = [row for row in rows if row["key"] >= query.get("from", "")]
                rows.sort(key=lambda row: row["key"].encode())
                count = int(query.get("limit", 500))
                return 200, {"rows": rows[:count], "hasMore": len(rows) > count}
            case "/caperdyke/rows-feed":
                return 200, {"rows": await self._wait_for_changes(query)}
            case "/caperdyke/rows-tx":
                return await self._transact(json.loads(body))
        return 404, {}

    async def _wait_for_changes(self, query: dict[str, str]) -> list[dict]:
        after, table = int(query["after"]), query["table"]

        def find() -> list[dict]:
            newest = {
                row["key"]: row
                for row in self._history
                if row["table"] == table and row["dataVersion"] > after
            }
            return sorted(newest.values(), key=lambda row: row["dataVersion"])

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("waitMs", 0)) / 1000), self._changed:
                await self._changed.wait_for(find)
        return find()

    async def _transact(self, document: dict) -> tuple[int, dict]:
        for expected in document["expectedRevision"]:
            row = self._rows.get((expected["table"], expected["key"]), {})
            if row.get("dataVersion", 0) != expected["dataVersion"]:
                return 412, {"rows": [row] if row else []}
        for row in document["writes"]:
            await self._change(row["table"], row["key"], row["value"])
        for row in document["remove"]:
            await self._change(row["table"], row["key"], None)
        return 200, {}


def make_route(prefix: str, kind: str, service: str, timeout_ms: int, objective_ms: int) -> dict:
    """Returns one route of a configuration."""
    return {
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "latencyObjectiveMs": objective_ms,
        "priority": 1,
        "maxAttempts": 2,
        "sessionAffinity": True,
        "homeRegions": [],
    }


def make_configuration(version: int, routes: dict[str, dict]) -> dict:
    """Returns a configuration whose services are those of its routes."""
    service = {
        "healthCheckPath": "/health",
        "connectionLimit": 360,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 11.0,
    }
    services = {route["service"]: service for route in routes.values()}
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


# Targets.


class Target:
    """A sound target: it serves ``slots`` requests at once, and rejects those of other instances.

    :param make_work: called with the request's id; returns seconds of work and size of the answer.
    :ivar runs: ids of the requests that it has run.
    """

    def __init__(self, name: str, service: str, zone: str, slots: int, make_work, record) -> None:
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.address = ""
        self.runs: list[str] = []
        self._make_work = make_work
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0

    async def start(self, store: Store) -> None:
        """Listens on a free port and registers."""
        await self.listen()
        await store.put("servers", self.name, self.make_entry())

    async def listen(self) -> None:
        """Listens on a free port."""
        self._server, self.address = await listen(self._serve)

    def make_entry(self) -> dict:
        """Returns the target's entry in the store."""
        return {
            "address": self.address,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": "ready", "sequence": 1, "coldRemainingMs": 0},
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers = await read_head(reader)
            await read_body(reader, int(headers.get("content-length", 0)))
            expected = headers.get("caperdyke-expect-instance", self.name)
            if expected != self.name:
                writer.write(
                    b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                    b"Caperdyke-Instance-Id: %s\r\n\r\n" % self.name.encode()
                )
                await writer.drain()
                continue
            await self._run(first, headers.get("caperdyke-request-id", ""), writer)

    async def _run(self, first: str, request: str, writer: asyncio.StreamWriter) -> None:
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            try:
                self.runs.append(request)
                self._record.add(f"{self.name} runs {request}: {first}")
                seconds, size = self._make_work(request)
                await asyncio.sleep(seconds)
                await self.send_answer(request, size, writer)
            finally:
                self._running -= 1

    def make_head(self, request: str, size: int) -> bytes:
        """Returns the head of an answer."""
        return (
            f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\nCaperdyke-Request-Id: {request}\r\n"
            f"Caperdyke-Server-Signature: {self.name}.{request}\r\n"
            f"Caperdyke-Server-Load: {self._running},{self._waiting},{self.slots}\r\n\r\n"
        ).encode()

    async def send_answer(self, request: str, size: int, writer: asyncio.StreamWriter) -> None:
        """Sends a complete answer."""
        writer.write(self.make_head(request, size) + bytes(size))
        await writer.drain()


# Gateways.


def fill_in(template: str, fields: dict) -> str:
    """Fills in a settings template as DEPLOY.md says; sections of tables and of single values."""

    def find(name: str, entry):
        if name == ".":
            return entry
        found = fields
        for part in name.split("."):
            found = found.get(part, "") if isinstance(found, dict) else ""
        return found

    def render(text: str, key, entry) -> str:
        def replace_section(match: re.Match) -> str:
            value = find(match[1], entry)
            if isinstance(value, dict):
                return "".join(render(match[2], name, item) for name, item in value.items())
            return render(match[2], key, entry) if value not in ("", False) else ""

        def replace_value(match: re.Match) -> str:
            value = key if match[1] == "@" else find(match[1], entry)
            return ",".join(value) if isinstance(value, list) else str(value)

        text = re.sub(r"(?s)\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n?", replace_section, text)
        return re.sub(r"\{\{([@\w.]+)\}\}", replace_value, text)

    return render(template, "", "")


class Gateway:
    """One machine with a gateway, across the starts of its process."""

    def __init__(self, folder: pathlib.Path, name: str, zones: dict[str, str], zone: str) -> None:
        self.name, self.zone, self._zones, self._folder = name, zone, zones, folder
        self.addresses = {
            kind: find_free_address() for kind in ("front", "ready", "control", "directory")
        }
        self.metrics_address = find_free_address()
        self.seeds: list[str] = []
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self, store_address: str) -> None:
        """Writes the settings and starts the process as deploy/system.toml says."""
        self.starts += 1
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": self._zones[self.zone],
            "ipAddress": "127.0.0.1",
            "listen": self.addresses,
            "seeds": self.seeds,
            "zones": self._zones,
            "platform": {"address": store_address},
            "heartbeatIntervalMs": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "limits": {"memoryMb": MEMORY_MB},
        }
        text = fill_in((ROOT / "deploy" / "gateway.ini").read_text(), fields)
        # All machines of a test share one address, so each has a port of its own here.
        text = text.replace("127.0.0.1:9464", self.metrics_address)
        settings = self._folder / f"{self.name}.ini"
        settings.write_text(text)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CAPERDYKE_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{self.name}.{self.starts}.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/gateway.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def measure_memory(self) -> int:
        """Returns the resident memory of the process in bytes; 0 if it does not run."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def is_ready(self) -> bool:
        """Returns whether the gateway says that it is ready."""
        path = "/caperdyke/readiness"
        return (await send_request(self.addresses["ready"], "GET", path, "", 500)).status == 200

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Waits until the gateway is ready.

        :raises TimeoutError: if it takes too long.
        """
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def kill(self) -> None:
        """Kills the process."""
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def run_case(scenario) -> int:
    """Runs a case and returns the exit status.

    :param scenario: coroutine function of a record, a temporary folder and a list to which it adds
        its gateways; returns the exit status.
    """
    record = Record(pathlib.Path(sys.argv[0]).resolve().parent)
    gateways: list[Gateway] = []

    async def run(folder: pathlib.Path) -> int:
        try:
            async with asyncio.timeout(114):
                return await scenario(record, folder, gateways)
        finally:
            for gateway in gateways:
                gateway.kill()
            # Lets the tasks of the gateways' connections end.
            await asyncio.sleep(0.2)

    with tempfile.TemporaryDirectory(prefix="caperdyke-review-") as name:
        try:
            status = asyncio.run(run(pathlib.Path(name)))
        except Exception as error:
            record.conclude(f"the case could not run: {error!r}")
            status = UNUSABLE
        finally:
            record.close()
    return status
