"""Fakes of the platform, the backend servers and the clock."""

import asyncio

from caperdyke import errors
from caperdyke.state import outcome
from caperdyke.transport.callers import answers
from caperdyke.transport.store import platform_client


class FakeClock:
    """A clock that stands still until a test sets it."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class FakePlatform:
    """In-memory table of the platform, with scripted faults for the next calls.

    :ivar faults: for each coming call ``down``, ``lose`` (takes effect, response lost),
        ``drop`` (no effect, response lost) or an empty string.
    :ivar before_write: coroutine function run once before the next write, or None.
    """

    def __init__(self) -> None:
        self.rows: dict[str, platform_client.Row] = {}
        self.faults: list[str] = []
        self.before_write = None

    async def read(self, keys: list[str]) -> dict[str, platform_client.Row]:
        """Returns rows."""
        self._take_fault()
        return {key: self.rows.get(key, platform_client.Row(0, b"")) for key in keys}

    async def transact(self, expected: dict[str, int], values: dict[str, bytes]) -> dict[str, int]:
        """Writes rows if every expected version matches."""
        if self.before_write is not None:
            interfere, self.before_write = self.before_write, None
            await interfere()
        fault = self._take_fault()
        for key, version in expected.items():
            actual = self.find_version(key)
            if actual != version:
                raise errors.VersionConflictError(key, actual, version)
        for key, value in values.items():
            self.rows[key] = platform_client.Row(self.find_version(key) + 1, value)
        if fault == "lose":
            raise errors.OutcomeUnknownError("answer lost")
        return {key: self.find_version(key) for key in values}

    def find_version(self, key: str) -> int:
        """Returns the version of a row."""
        row = self.rows.get(key)
        return row.version if row else 0

    def _take_fault(self) -> str:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "down":
            raise errors.PlatformUnavailableError("down")
        if fault == "drop":
            raise errors.OutcomeUnknownError("answer lost")
        return fault


class FakeBackends:
    """Client of backend servers with scripted faults by service.

    :ivar runs: number of runs by request body.
    :ivar faults: for each coming request of a service ``refuse``, ``lose`` (runs, no response),
        ``unreachable``, ``cut`` (fails in mid-body) or ``hold`` (waits for ``release``).
    """

    def __init__(self) -> None:
        self.runs: dict[bytes, int] = {}
        self.faults: dict[str, list[str]] = {}
        self.release = asyncio.Event()

    async def send(
        self, server, request: answers.IncomingRequest, send_by: float
    ) -> answers.Answer:
        """Runs one request with the next scripted fault of its service."""
        scripted = self.faults.get(request.service.name, [])
        fault = scripted.pop(0) if scripted else ""
        if fault == "unreachable":
            raise errors.BackendFailedError("refused", sent=False)
        if fault == "refuse":
            refusal = outcome.refuse(outcome.Reason.BACKEND_BUSY, 0.0)
            raise errors.RefusalError(refusal)
        self.runs[request.body] = self.runs.get(request.body, 0) + 1
        if fault == "hold":
            await self.release.wait()
        if fault == "lose":
            raise errors.BackendFailedError("connection ended", sent=True)
        head = outcome.AnswerHead(200, (("content-type", "text/plain"),))
        return answers.Answer(head, self._stream_body(request.body, fault), self._do_nothing)

    async def _stream_body(self, body: bytes, fault: str):
        yield b"answer to "
        if fault == "cut":
            raise errors.BackendFailedError("connection ended", sent=True)
        yield body

    async def _do_nothing(self) -> None:
        return
