"""A caller: asks which entry to use, sends requests and checks the answers."""

import asyncio
import dataclasses
import json
import time

from caperdyke.loading import results, scenario
from caperdyke.protocol import refusals
from caperdyke.state import ids
from caperdyke.transport.http import http_client

TRIES_MAX = 6
# Callers that a stream simulates; each keeps its own look-up.
CALLERS = 40
CONNECTIONS_MAX = 2000
CONNECT_TIMEOUT_SECONDS = 2.0
COME_BACK_MAX_SECONDS = 2.0
TOKEN_HEADER = "test-token"


@dataclasses.dataclass(frozen=True, slots=True)
class CachedLookup:
    """Entry instances to use until a time, seconds since 1970.

    :param key: key of the look-up; a repeatable request shows the caller's home with it.
    """

    entries: tuple[ids.Address, ...]
    valid_until: float
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer or refusal as it arrived."""

    status: int
    outcome: str
    body: bytes


class Caller:
    """Sends the requests of one stream."""

    def __init__(
        self, stream: scenario.Stream, entries: tuple[ids.Address, ...], run_id: str
    ) -> None:
        self._stream = stream
        self._entries = entries
        self._run_id = run_id
        self._client = http_client.HttpClient(CONNECTIONS_MAX, CONNECT_TIMEOUT_SECONDS)
        # One entry for each simulated caller; requests take turns.
        self._cached: dict[int, CachedLookup] = {}
        self._turn = 0
        self.result = results.StreamResult(stream.name, stream.customer, stream.service)

    async def call(self, number: int, planned_at: float) -> None:
        """Sends one request and records what became of it.

        :param planned_at: arrival time on the monotonic clock, in seconds.
        """
        result = self.result
        result.sent += 1
        token = f"{self._run_id}-{self._stream.name}-{number}"
        reply = await self._send_with_retries(token, number % CALLERS)
        elapsed = time.monotonic() - planned_at
        if reply is None:
            result.failed += 1
            result.reasons["no whole answer"] += 1
        elif reply.outcome == "answered":
            self._record_answer(reply, token, elapsed)
        else:
            self._record_refusal(reply, token, elapsed)

    async def close(self) -> None:
        """Closes the kept connections."""
        await self._client.close()

    async def _send_with_retries(self, token: str, caller: int) -> Reply | None:
        key = ""
        last: Reply | None = None
        is_silent = False
        for attempt in range(TRIES_MAX):
            if self._stream.direct:
                entries = self._stream.direct
            else:
                looked_up = await self._look_up(caller, self._needs_key() and not key)
                if looked_up is None:
                    continue
                entries, new_key = looked_up
                key = key or new_key
            self._turn += 1
            offset = self._turn if self._stream.direct else attempt
            address = entries[offset % len(entries)]
            reply = await self._send(address, token, key)
            if reply is None:
                self._cached.pop(caller, None)
                is_silent = True
                continue
            if is_silent and not self._needs_key() and reply.outcome == "not-run":
                # An earlier try got no answer and may still run; only a key ties tries together.
                reply = dataclasses.replace(reply, outcome="unknown")
            last = reply
            if reply.outcome != "not-run" or not _is_worth_retrying(reply):
                return reply
            await asyncio.sleep(_find_wait(reply))
        return last

    def _needs_key(self) -> bool:
        return self._stream.method == "POST"

    async def _look_up(
        self, caller: int, is_key_needed: bool
    ) -> tuple[tuple[ids.Address, ...], str] | None:
        cached = self._cached.get(caller)
        if cached is not None and not is_key_needed and time.time() < cached.valid_until:
            return cached.entries, cached.key
        stream = self._stream
        query = f"customer={stream.customer}&client={stream.client}"
        for _ in range(len(self._entries)):
            self._turn += 1
            address = self._entries[self._turn % len(self._entries)]
            try:
                response, body = await self._fetch(
                    "GET", f"http://{address}/lookup?{query}", {}, None
                )
            except http_client.FAILURES:
                continue
            if response.status_code == 200:
                found = json.loads(body)
                entries = tuple(found["entries"])
                self._cached[caller] = CachedLookup(entries, found["valid_until"], found["key"])
                return entries, found["key"]
        return None

    async def _send(self, address: ids.Address, token: str, key: str) -> Reply | None:
        stream = self._stream
        headers = {TOKEN_HEADER: token}
        if key:
            headers[refusals.KEY_HEADER] = key
        path = f"/serve/{stream.customer}/{stream.service}{stream.path}"
        if stream.direct:
            path = stream.path
        body = b"x" * stream.body_size if stream.method == "POST" else None
        try:
            response, content = await self._fetch(
                stream.method, f"http://{address}{path}", headers, body
            )
        except http_client.FAILURES:
            return None
        lowered = {name.lower(): value for name, value in response.headers.items()}
        outcome = lowered.get(refusals.OUTCOME_HEADER)
        if stream.direct:
            outcome = "answered" if response.status_code == 200 else "not-run"
        return Reply(response.status_code, outcome or "", content)

    async def _fetch(self, method: str, url: str, headers: dict[str, str], body: bytes | None):
        exchange = http_client.Exchange()
        pairs = list(headers.items())
        return await self._client.fetch(
            exchange, method, url, pairs, body, self._stream.timeout_ms / 1000
        )

    def _record_answer(self, reply: Reply, token: str, elapsed: float) -> None:
        if reply.status >= 500:
            self.result.failed += 1
            self.result.reasons[f"status {reply.status}"] += 1
            return
        if not _is_own(reply, token):
            self.result.wrong += 1
            return
        self.result.answered += 1
        self.result.latencies.append(elapsed)
        self.result.answered_tokens.append(token)

    def _record_refusal(self, reply: Reply, token: str, elapsed: float) -> None:
        self.result.refusal_times.append(elapsed)
        self.result.reasons[_find_reason(reply)] += 1
        if reply.outcome == "not-run":
            self.result.not_run += 1
            self.result.not_run_tokens.append(token)
        else:
            self.result.unknown += 1


def _is_own(reply: Reply, token: str) -> bool:
    """Tells whether an answer of the stand-in belongs to the request."""
    if reply.body.startswith(b"{"):
        try:
            return json.loads(reply.body)["token"] == token
        except (ValueError, KeyError):
            return False
    return reply.body.startswith(token.encode())


def _is_worth_retrying(reply: Reply) -> bool:
    return _find_reason(reply) in ("instance-leaving", "not-ready", "peer-lost")


def _find_wait(reply: Reply) -> float:
    """Returns the seconds until the time at which the refusal says to come back."""
    try:
        retry_at = json.loads(reply.body)["retry_at"] or 0.0
    except (ValueError, KeyError, TypeError):
        return 0.0
    return min(COME_BACK_MAX_SECONDS, max(0.0, retry_at - time.time()))


def _find_reason(reply: Reply) -> str:
    try:
        return json.loads(reply.body)["reason"]
    except (ValueError, KeyError, TypeError):
        return f"status {reply.status}"
