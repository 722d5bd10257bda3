"""An entry process between the stand-ins for the platform and for the backend servers."""

import asyncio
import contextlib
import resource

from bench import fleet
from testing.crowds import processes, requests

# No setting lowers the memory of an entry instance where it is unknown.
MEMORY_MB = 216
BODY_BYTES = 1024 * 1024
DOMAIN = "pasig-hall"
PLACES = f"""
[places]
operator = tala
[domain {DOMAIN}]
region = luzon
capacity = 3000
slices = 1
blocks = 10.1.0.0/16
"""
CONTRACT = """
[contract]
customer = tala-gallery
operator = tala
weight = latency
period_ms = 1000
shift_cap = 2000
shift_step = 2000
retry_percent = 10
[service gallery-reader]
kind = cheap
repeatable = yes
deadline_ms = 60000
[region luzon]
share = 3000
floor = 3000
shift = 1000
"""
SERVICE = fleet.ServicePlan("gallery-reader", 1, 100, 5)
SERVE_PATH = "/serve/tala-gallery/gallery-reader/x"
LOOK_UP_PATH = "/lookup?customer=tala-gallery&client=10.1.0.9"
SETTINGS = f"[limits]\nbody_max = {BODY_BYTES}\n"


class EntryProcess:
    """A running entry instance.

    :ivar address: address for callers and operators.
    :ivar peer_address: address for peers.
    """

    def __init__(self, entry: fleet.Entry) -> None:
        self.address = entry.caller_address
        self.peer_address = entry.peer_address
        self.watch = processes.Watch(entry.process, MEMORY_MB)

    async def look_up(self) -> int:
        """Makes an ordinary look-up; returns the last status."""
        return await requests.send_until_answered(self.address, "GET", LOOK_UP_PATH)

    async def post(self, size: int) -> int:
        """Sends an ordinary request with a body of this size; returns the last status."""
        return await requests.send_until_answered(
            self.address, "POST", SERVE_PATH, body=b"x" * size
        )


@contextlib.asynccontextmanager
async def start_entry(descriptors: int | None = None):
    """Runs an entry process until it answers, and yields it.

    :param descriptors: descriptors that it may open; None for the limit of this process.
    """
    plan = fleet.DomainPlan(DOMAIN, 1, (SERVICE,), "luzon")
    with fleet.Fleet((plan,), SETTINGS) as running:
        await asyncio.to_thread(_start, running, descriptors)
        process = EntryProcess(running.entries[0])
        async with process.watch.run():
            status = await process.look_up()
            if status != 200:
                raise AssertionError(f"got status {status}, expected 200 before the crowd")
            yield process


def _start(running: fleet.Fleet, descriptors: int | None) -> None:
    documents = []
    for name, text in (("places.ini", PLACES), ("contract.ini", CONTRACT)):
        (running.folder / name).write_text(text)
        documents.append(str(running.folder / name))
    running.start_platform()
    running.start_backends()
    for path in documents:
        running.run_operator("apply", path, "--operator", "tala", "--platform", running.platform)
    running.start_entries()
    if descriptors is not None:
        limits = (descriptors, descriptors)
        resource.prlimit(running.entries[0].process.pid, resource.RLIMIT_NOFILE, limits)
    running.wait_ready()
