"""HTTP application that simulates a backend server, with fault injection."""

import asyncio
import collections
import dataclasses
import json
import time

import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from caperdyke.state import settings

CHUNK_BYTES = 32 * 1024
# Header that identifies a test's request on the backend server.
TOKEN_HEADER = "test-token"


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults of the backend server.

    :param leaving: new requests are refused and marked as not run.
    :param fast_errors: every request runs and fails immediately with status 500.
    :param cut_answers: number of responses that break off in the middle of the body.
    :param lose_answers: number of requests that run but whose connection closes without a response.
    :param extra_ms: additional time of every request, in milliseconds.
    :param lie_load: load that is reported in place of the actual one, or None.
    """

    leaving: bool = False
    fast_errors: bool = False
    cut_answers: int = 0
    lose_answers: int = 0
    extra_ms: int = 0
    lie_load: float | None = None


class BackendApp:
    """One backend server with slots, a cold start, shedding, deadlines and counters."""

    def __init__(self, simulated: settings.SimulatedBackend) -> None:
        self._simulated = simulated
        self.faults = Faults()
        self.runs: collections.Counter[str] = collections.Counter()
        self.in_flight = 0
        self.peak = 0
        self.shed = 0
        self._answered = 0
        self.last_start = 0.0
        # Time and token of every request start, for checks of rate limits.
        self.starts: collections.deque[tuple[float, str]] = collections.deque(maxlen=100_000)

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the HTTP application."""
        route = starlette.routing.Route
        methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
        return starlette.applications.Starlette(
            routes=[
                route("/standin/faults", self.set_faults, methods=["PUT"]),
                route("/standin/runs", self.report_runs),
                route("/health", self.report_health),
                route("/load", self.report_load),
                route("/{rest:path}", self.serve, methods=methods),
            ]
        )

    async def serve(self, request: starlette.requests.Request):
        """Runs one request, or refuses it and marks it as not run."""
        body = await request.body()
        refusal = self._find_refusal(request)
        if refusal is not None:
            return refusal
        token = request.headers.get(TOKEN_HEADER, "")
        self.runs[token] += 1
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        self.last_start = time.time()
        self.starts.append((self.last_start, token))
        is_streamed = False
        try:
            if self.faults.fast_errors:
                return starlette.responses.Response(b"error", 500)
            await asyncio.sleep(self._compute_service_time())
            self._answered += 1
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return _BrokenResponse(b"", 0)
            if "download" in request.url.path:
                is_streamed = True
                return starlette.responses.StreamingResponse(self._stream(token))
            return self._make_answer(token, body)
        finally:
            if not is_streamed:
                self.in_flight -= 1

    async def set_faults(self, request: starlette.requests.Request):
        """Replaces the active faults."""
        was_leaving = self.faults.leaving
        self.faults = Faults(**json.loads(await request.body()))
        if was_leaving and not self.faults.leaving:
            self._answered = 0
        return _reply({})

    async def report_runs(self, request: starlette.requests.Request):
        """Reports the requests that ran and the counters."""
        return _reply(
            {
                "runs": dict(self.runs),
                "peak": self.peak,
                "shed": self.shed,
                "in_flight": self.in_flight,
                "last_start": self.last_start,
                "starts": list(self.starts),
            }
        )

    async def report_health(self, request: starlette.requests.Request):
        """Reports whether the server is serving or leaving."""
        state = "leaving" if self.faults.leaving else "serving"
        return _reply({"state": state})

    async def report_load(self, request: starlette.requests.Request):
        """Reports the actual load, or the one set as a fault."""
        override = self.faults.lie_load
        load = self.in_flight / self._simulated.slots if override is None else override
        return _reply({"load": load})

    def _find_refusal(self, request: starlette.requests.Request):
        deadline = int(request.headers.get("request-deadline") or 0)
        if self.faults.leaving:
            return self._refuse("leaving")
        if deadline and time.time() * 1000 > deadline:
            return self._refuse("serving")
        if self.in_flight >= self._simulated.slots:
            self.shed += 1
            return self._refuse("serving")
        return None

    def _refuse(self, state: str) -> starlette.responses.Response:
        headers = {"Request-Outcome": "not-run", "Server-State": state}
        return starlette.responses.Response(b"not run", 503, headers)

    def _compute_service_time(self) -> float:
        simulated = self._simulated
        base = (simulated.service_ms + self.faults.extra_ms) / 1000
        cold_remaining = simulated.cold_requests - self._answered
        if cold_remaining <= 0:
            return base
        return base * (1 + (simulated.cold_factor - 1) * cold_remaining / simulated.cold_requests)

    def _make_answer(self, token: str, body: bytes) -> starlette.responses.Response:
        content = json.dumps(
            {"backend": self._simulated.backend, "token": token, "size": len(body)}
        ).encode()
        if self.faults.cut_answers > 0:
            self.faults.cut_answers -= 1
            return _BrokenResponse(content, len(content) // 2)
        return starlette.responses.Response(content, media_type="application/json")

    async def _stream(self, token: str):
        simulated = self._simulated
        sent = 0
        pause = simulated.download_ms / 1000 * CHUNK_BYTES / max(1, simulated.download_bytes)
        pattern = (token.encode() or b"x") * CHUNK_BYTES
        try:
            while sent < simulated.download_bytes:
                size = min(CHUNK_BYTES, simulated.download_bytes - sent)
                if self.faults.cut_answers > 0 and sent >= simulated.download_bytes // 2:
                    self.faults.cut_answers -= 1
                    raise ConnectionError("cut by the stand-in")
                yield pattern[:size]
                sent += size
                await asyncio.sleep(pause)
        finally:
            self.in_flight -= 1


class _BrokenResponse(starlette.responses.Response):
    """Sends the head and part of a body, then closes the connection; nothing at all for 0 bytes."""

    def __init__(self, content: bytes, sent: int) -> None:
        super().__init__(content)
        self._sent = sent

    async def __call__(self, scope, receive, send) -> None:
        """Sends part of the response and raises an error, which closes the connection."""
        if self._sent:
            await send({"type": "http.response.start", "status": 200, "headers": self.raw_headers})
            part = {"type": "http.response.body", "body": self.body[: self._sent]}
            await send({**part, "more_body": True})
        raise ConnectionError("cut by the stand-in")


def _reply(body: dict) -> starlette.responses.Response:
    return starlette.responses.Response(json.dumps(body), media_type="application/json")
