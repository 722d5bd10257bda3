"""The gateway processes of one run."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from testing import servers
from testing.platform import soak_gateway

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
REGIONS = {"hall-1": "north", "hall-2": "north", "hall-3": "south"}
DOMAINS = tuple(REGIONS)
STOP_TIMEOUT_S = 6.0
# Blocks of ports below the system's ephemeral range, one for each concurrent run.
PORTS_PER_RUN = 600
PORT_BLOCKS = range(10_000, 19_600, PORTS_PER_RUN)
_PORTS = servers.PortBlock(PORT_BLOCKS, PORTS_PER_RUN)


class Gateway:
    """One gateway instance, across restarts of its process.

    :ivar start: number of the current start, from 1.
    """

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.number = number
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.folder = folder
        names = ("requests", "readiness", "lookups", "peer", "metrics")
        self.addresses = {name: _PORTS.pick_address() for name in names}
        self.cut_file = folder / f"gateway-{number}.cut"
        self.start = 0
        self.process: subprocess.Popen | None = None

    def launch(self, store_address: str, seeds: list[str]) -> None:
        """Starts the process."""
        self.start += 1
        settings = self.folder / f"gateway-{self.number}.ini"
        settings.write_text(self._make_settings(store_address, seeds))
        with self.build_log_path(self.start).open("wb") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "testing.platform.soak_gateway",
                    str(self.cut_file),
                    "--settings",
                    str(settings),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env=os.environ | {"PYTHONPATH": os.pathsep.join((str(ROOT / "src"), str(ROOT)))},
            )

    def cut(self, cut: soak_gateway.Cut | None) -> None:
        """Cuts the process off from some addresses, or ends the cut."""
        soak_gateway.write_cut(self.cut_file, cut)

    def build_log_path(self, start: int) -> pathlib.Path:
        """Returns the path of the log of one start."""
        return self.folder / f"gateway-{self.number}.{start}.log"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    def count_descriptors(self) -> int:
        """Returns the number of open file descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def measure_memory_mb(self) -> float:
        """Returns the resident memory of the process, in megabytes."""
        pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def measure_cpu_wait(self) -> float:
        """Returns the total time that the process waited for a processor, in seconds."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/schedstat").read_text()
        except OSError:
            # The process ended after the caller's check.
            return 0.0
        return int(text.split()[1]) / 1e9

    def kill(self) -> None:
        """Kills the process."""
        if self.is_running:
            self.process.kill()
            self.process.wait()

    def read_lines(self) -> list[dict]:
        """Returns the log lines of all starts."""
        lines = []
        for start in range(1, self.start + 1):
            for text in self.build_log_path(start).read_text(errors="replace").splitlines():
                try:
                    lines.append(json.loads(text))
                except ValueError:
                    lines.append({"name": "NO_EVENT", "message": text})
        return lines

    def _make_settings(self, store_address: str, seeds: list[str]) -> str:
        lines = [
            "[instance]",
            f"name = gateway-{self.number}",
            f"domain = {self.domain}",
            f"region = {REGIONS[self.domain]}",
            "[callers]",
            f"requests = {self.addresses['requests']}",
            f"readiness = {self.addresses['readiness']}",
            f"lookups = {self.addresses['lookups']}",
            "[peers]",
            f"address = {self.addresses['peer']}",
            f"seeds = {','.join(seeds)}",
            "[metrics]",
            f"address = {self.addresses['metrics']}",
            "[store]",
            f"address = {store_address}",
            "[bounds]",
            "retry_ratio = 0.2",
            "retry_allowance = 60",
            "retry_window_s = 10",
            "cold_factor = 1.5",
            "cold_allowance = 5",
            "leaving_ms = 2500",
            "lookup_s = 5",
            f"stop_s = {STOP_TIMEOUT_S:.0f}",
            "[logs]",
            "format = json",
        ]
        for domain, region in REGIONS.items():
            lines += [f"[domain {domain}]", f"region = {region}"]
        return "\n".join(lines) + "\n"


def wait_for_exit(process: subprocess.Popen, seconds: float) -> bool:
    """Waits for a process to end and returns whether it did.

    :param seconds: timeout.
    """
    deadline = time.monotonic() + seconds
    while process.poll() is None and time.monotonic() < deadline:
        time.sleep(0.02)
    return process.poll() is not None
