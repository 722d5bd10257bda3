"""A gateway process with lowered limits, between a fake store and a fake server."""

import contextlib
import pathlib
import subprocess
import tempfile

from testing import servers
from testing.crowds import processes, requests
from testing.platform import fake_server, fake_store, harness

MODULE = "caperdyke.programs.gateway"
MEMORY_MB = 128
HEADER_BYTES = 4096
BODY_BYTES = 4 * 1024 * 1024
LIMITS = {
    "maxHeaderBytes": HEADER_BYTES,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutMs": 60_000,
    "idleTimeoutMs": 1000,
}
READ_PATH = "/read/1"
WRITE_PATH = "/buy/1"
# Servers of the process by name, each with a path that it answers.
DOORS = {
    "requests": READ_PATH,
    "readiness": "/caperdyke/readiness",
    "lookups": f"/caperdyke/resolve?name={harness.HOST}&region=north&zone=hall-1",
    "peer": "/rows",
    "metrics": "/metrics",
}


class GatewayProcess:
    """A running gateway.

    :ivar addresses: address of each server of the process, by name.
    """

    def __init__(self) -> None:
        self.server = fake_server.FakeServer("s1")
        self.addresses = {name: harness.pick_address() for name in DOORS}
        self.process: subprocess.Popen | None = None
        self.watch: processes.Watch | None = None
        self.log = ""

    def make_settings(self, store_address: str) -> str:
        """Returns the text of the settings file."""
        return "\n".join(
            [
                "[instance]\nname = gateway-1\ndomain = hall-1\nregion = north",
                f"[callers]\nrequests = {self.addresses['requests']}",
                f"readiness = {self.addresses['readiness']}",
                f"lookups = {self.addresses['lookups']}",
                f"[peers]\naddress = {self.addresses['peer']}",
                f"[metrics]\naddress = {self.addresses['metrics']}",
                f"[store]\naddress = {store_address}",
                "[bounds]\nretry_ratio = 0.2\nretry_allowance = 60\nretry_window_s = 10",
                "cold_factor = 1.5\ncold_allowance = 5\nleaving_ms = 2500",
                "lookup_s = 5\nstop_s = 6",
                f"[limits]\nmemory_mb = {MEMORY_MB}",
                "[logs]\nformat = json",
            ]
        )

    async def get(self, door: str = "requests") -> int:
        """Sends an ordinary request to a server of the process; returns the last status."""
        return await requests.send_until_answered(
            self.addresses[door], "GET", DOORS[door], headers=make_headers()
        )

    async def post(self, size: int) -> int:
        """Sends an ordinary request with a body of this size; returns the last status."""
        return await requests.send_until_answered(
            self.addresses["requests"],
            "POST",
            WRITE_PATH,
            headers=make_headers(),
            body=b"x" * size,
        )


def make_headers(serial: int = 1) -> str:
    """Returns the headers that a request of a caller needs beside ``Host``."""
    return f"Caperdyke-Request-Id: request-{serial}\r\nCaperdyke-Request-Deadline: 4000\r\n"


@contextlib.asynccontextmanager
async def start_gateway(descriptors: int | None = None, answer_bytes: int = 100):
    """Runs a gateway process until it answers, and yields it.

    :param descriptors: descriptors that it may open; None for the limit of this process.
    :param answer_bytes: size of the server's answers.
    """
    gateway = GatewayProcess()
    gateway.server.body = b"x" * answer_bytes
    store = fake_store.FakeStore()
    configuration = harness.make_configuration(limits=LIMITS)
    for route in configuration["routes"].values():
        # Requests name the host that they are sent to as `x`.
        route["host"] = "x"
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store_address = await stack.enter_async_context(servers.serve_app(store.make_app()))
        await stack.enter_async_context(gateway.server.listen())
        await store.put("op", "config", configuration)
        await store.put("servers", "s1", gateway.server.register("reader", "hall-1", slots=1000))
        settings = gateway.make_settings(store_address)
        gateway.process = processes.start(MODULE, settings, folder, descriptors)
        stack.callback(_stop, gateway.process)
        gateway.watch = processes.Watch(gateway.process, MEMORY_MB)
        await stack.enter_async_context(gateway.watch.run())
        status = await gateway.get()
        if status != 200:
            log = (folder / f"{MODULE}.log").read_text()
            raise AssertionError(f"got status {status}, expected 200 before the crowd; {log}")
        yield gateway


def _stop(process: subprocess.Popen) -> None:
    process.kill()
    process.wait()
