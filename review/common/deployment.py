"""A small deployment on loopback: a store, targets, and gateways as processes."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from review.common import http, store, target

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "review.example"
# The settings template has a fixed port for metrics.
METRICS_PORT = 9464
# Bounds of `sites/kmf-caperdyke.toml`.
BOUNDS = {
    "retryBudgetRatio": 0.2,
    "retryBudgetSlack": 60,
    "budgetWindowS": 10,
    "coldLoadFactor": 1.5,
    "coldSlack": 5,
    "drainMs": 2500,
    "ttl_max_s": 5,
    "graceS": 6,
}
ZONES = {"zone-a": "region-1", "zone-b": "region-1"}


def find_free_port(host: str) -> int:
    """Returns a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def choose_host() -> str:
    """Returns a loopback address on which the port of the gateways' metrics is free."""
    while True:
        host = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        with socket.socket() as sock:
            try:
                sock.bind((host, METRICS_PORT))
            except OSError:
                continue
        return host


def fill_template(text: str, fields: dict) -> str:
    """Fills in a settings template as `DEPLOY.md` describes it."""

    def find(name: str, scopes: list) -> object:
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def render(part: str, scopes: list, key: str) -> str:
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.DOTALL)

        def replace_section(found: re.Match) -> str:
            value = find(found[2], scopes)
            if found[1] == "^":
                return "" if value else render(found[3], scopes, key)
            if isinstance(value, dict):
                return "".join(render(found[3], [*scopes, {".": v}], k) for k, v in value.items())
            if value is None or value is False:
                return ""
            return render(found[3], scopes, key)

        def replace_value(found: re.Match) -> str:
            name = found[1]
            if name == "@":
                return key
            value = scopes[-1].get(".") if name == "." else find(name, scopes)
            if isinstance(value, list):
                return ",".join(map(str, value))
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.@]+)\}\}", replace_value, section.sub(replace_section, part))

    return render(text, [fields], "")


class Gateway:
    """One gateway, run with the command of the deploy file."""

    def __init__(self, name: str, zone: str, host: str, store_address: str, folder: str) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.ports = {
            key: find_free_port(host) for key in ("front", "ready", "control", "directory")
        }
        self.store_address = store_address
        self.seeds: list[str] = []
        self.bounds = dict(BOUNDS)
        self.folder = pathlib.Path(folder)
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.host, self.ports["front"]

    def write_settings(self) -> pathlib.Path:
        """Fills in the template of the deploy file."""
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "ipAddress": self.host,
            "listen": {key: f"{self.host}:{port}" for key, port in self.ports.items()},
            "seeds": self.seeds,
            "platform": {"address": self.store_address},
            "heartbeatIntervalMs": 1500,
            "bounds": self.bounds,
            "zones": ZONES,
        }
        text = fill_template((ROOT / "deploy/gateway.ini").read_text(), fields)
        path = self.folder / f"{self.name}.ini"
        path.write_text(text)
        return path

    def start(self) -> None:
        """Starts the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CAPERDYKE_NODE_FILE": str(self.write_settings()),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the readiness check is answered 200."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} did not become ready")

    async def is_ready(self) -> bool:
        """Asks the readiness check once."""
        data = http.make_request("GET", "/caperdyke/readiness", [("Host", self.host)])
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
                writer.write(data)
                answer = await http.read_answer(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Store, targets and gateways; ends all of them on exit."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.targets: list[target.Target] = []
        self.gateways: list[Gateway] = []
        self.version = 0
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Deployment":
        await self.store.listen("127.0.0.1")
        return self

    async def __aexit__(self, *_error) -> None:
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.end()
        for item in self.targets:
            item.close()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                path = pathlib.Path(os.environ["KEEP_LOGS"]) / f"{gateway.name}.log"
                path.write_bytes((gateway.folder / f"{gateway.name}.log").read_bytes())
        self._folder.cleanup()

    async def configure(self, routes: dict, services: list[str], **limits) -> None:
        """Writes the next version of the configuration."""
        self.version += 3
        await self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": {
                    name: {
                        "connectionLimit": 360,
                        "healthCheckPath": "/health",
                        "coldStartS": 3.0,
                        "coldPerS": 11.0,
                    }
                    for name in services
                },
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 8 * 1024 * 1024,
                    "headerTimeoutMs": 10000,
                    "idleTimeoutMs": 30000,
                }
                | limits,
            },
        )

    async def add_target(self, name: str, service: str, zone: str, host: str = "127.0.0.1"):
        """Starts and registers a target."""
        item = target.Target(name, service, zone, host)
        await item.listen()
        await item.register(self.store)
        self.targets.append(item)
        return item

    def add_gateway(self, name: str, zone: str) -> Gateway:
        """Adds a gateway on an address of its own, which is not started yet."""
        gateway = Gateway(name, zone, choose_host(), self.store.address, self._folder.name)
        self.gateways.append(gateway)
        gateway.seeds = [f"{item.host}:{item.ports['control']}" for item in self.gateways[:3]]
        return gateway


def make_route(prefix: str, kind: str, service: str, **others) -> dict:
    """Returns a route of the configuration."""
    return {
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 4000,
        "latencyObjectiveMs": 500,
        "priority": 1,
        "maxAttempts": 2,
    } | others


def make_headers(request_id: str, deadline_ms: int | None = None, **others) -> list:
    """Returns the headers of a client's request."""
    headers = [("Host", HOST_NAME), ("Caperdyke-Request-Id", request_id)]
    if deadline_ms is not None:
        headers.append(("Caperdyke-Request-Deadline", str(deadline_ms)))
    return headers + [(name.replace("_", "-"), value) for name, value in others.items()]


class Record:
    """Writes what happened to `record.txt` in the folder of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


def dump(value) -> str:
    """Returns a value as compact JSON for the record."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True)
