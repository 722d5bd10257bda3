"""A process under test: its limits, its peak memory and its open descriptors."""

import asyncio
import contextlib
import os
import pathlib
import resource
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
MEGABYTE = 1024 * 1024
WATCH_INTERVAL_S = 0.02
# Share of the bound above which a process is killed, so that a fault does not end the tests.
KILLED_ABOVE = 4


def start(
    module: str, settings: str, folder: pathlib.Path, descriptors: int | None = None
) -> subprocess.Popen:
    """Starts a program.

    :param folder: for its settings and its log.
    :param descriptors: descriptors that it may open; None for the limit of this process.
    """
    path = folder / f"{module}.ini"
    path.write_text(settings)

    def limit_descriptors() -> None:
        if descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    with (folder / f"{module}.log").open("wb") as stream:
        return subprocess.Popen(
            [sys.executable, "-m", module, "--settings", str(path)],
            stdout=stream,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
            preexec_fn=limit_descriptors,
        )


class Watch:
    """Observes a process, and kills it far above its bound.

    :param bound_mb: memory that the process may take, in MiB.
    :ivar most_descriptors: most descriptors that were open at once.
    """

    def __init__(self, process: subprocess.Popen, bound_mb: int) -> None:
        self._process = process
        self._bound_mb = bound_mb
        self.most_descriptors = 0
        self.peak_mb = 0.0

    @contextlib.asynccontextmanager
    async def run(self):
        """Observes the process while the block runs."""
        task = asyncio.create_task(self._observe())
        try:
            yield self
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    def find_fault(self) -> str:
        """Returns why the process does not live within its memory; empty if it does."""
        used = f"{self.peak_mb:.0f} MiB, {self.most_descriptors} descriptors"
        if not self.is_running:
            return f"the process has ended after {used}"
        if self.peak_mb > self._bound_mb:
            return f"got {used}, expected at most {self._bound_mb} MiB"
        return ""

    def count_descriptors(self) -> int:
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    async def _observe(self) -> None:
        while self.is_running:
            # The process may end between the two steps.
            with contextlib.suppress(OSError):
                self._measure()
            if self.peak_mb > KILLED_ABOVE * self._bound_mb:
                self._process.kill()
                self._process.wait()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _measure(self) -> None:
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        peak_kb = next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]
        self.peak_mb = int(peak_kb) / 1024
        self.most_descriptors = max(self.most_descriptors, self.count_descriptors())
