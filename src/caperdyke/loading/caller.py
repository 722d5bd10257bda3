"""Simulated callers: look up entry instances, send requests and verify the answers."""

import asyncio
import dataclasses
import json
import time

from caperdyke.loading import results, scenario
from caperdyke.protocol import refusals
from caperdyke.state import ids
from caperdyke.transport.http import http_client

ATTEMPTS_MAX = 6
# Callers that each stream simulates; each caches its own look-up answer.
SIMULATED_CALLERS = 40
CONNECTIONS_MAX = 2000
# Largest answer that is read, in bytes.
ANSWER_MAX_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
RETRY_DELAY_MAX_S = 2.0
TOKEN_HEADER = "test-token"


@dataclasses.dataclass(frozen=True, slots=True)
class CachedLookup:
    """A look-up answer.

    :param valid_until: end of its validity, in seconds since the epoch.
    :param key: key that the look-up issued; repeatable requests send it to identify the caller's
        home.
    """

    entries: tuple[ids.Address, ...]
    valid_until: float
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer or a refusal, as received.

    :param outcome: value of the outcome header; for a direct stream it follows from the status.
    """

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
        self._client = http_client.HttpClient(CONNECTIONS_MAX, CONNECT_TIMEOUT_S)
        # By number of the simulated caller; requests are assigned to the callers round robin.
        self._cached: dict[int, CachedLookup] = {}
        self._round_robin_index = 0
        self.result = results.StreamResult(stream.name, stream.customer, stream.service)

    async def call(self, number: int, planned_at: float) -> None:
        """Sends one request and records its outcome.

        :param number: index of the request in its stream.
        :param planned_at: planned arrival time on the monotonic clock, in seconds.
        """
        result = self.result
        result.sent += 1
        token = f"{self._run_id}-{self._stream.name}-{number}"
        reply = await self._send_with_retries(token, number % SIMULATED_CALLERS)
        elapsed = time.monotonic() - planned_at
        if reply is None:
            result.failed += 1
            result.reasons["no whole answer"] += 1
        elif reply.outcome == "answered":
            self._record_answer(reply, token, elapsed)
        else:
            self._record_refusal(reply, token, elapsed)

    async def close(self) -> None:
        """Closes the pooled connections."""
        await self._client.close()

    async def _send_with_retries(self, token: str, caller: int) -> Reply | None:
        key = ""
        last_reply: Reply | None = None
        has_unanswered_attempt = False
        for attempt in range(ATTEMPTS_MAX):
            if self._stream.direct:
                entries = self._stream.direct
            else:
                lookup = await self._look_up(caller, self._requires_key() and not key)
                if lookup is None:
                    continue
                entries, new_key = lookup
                key = key or new_key
            self._round_robin_index += 1
            offset = self._round_robin_index if self._stream.direct else attempt
            address = entries[offset % len(entries)]
            reply = await self._send(address, token, key)
            if reply is None:
                self._cached.pop(caller, None)
                has_unanswered_attempt = True
                continue
            if has_unanswered_attempt and not self._requires_key() and reply.outcome == "not-run":
                # An earlier attempt got no answer and may still run; without a key the instances
                # can't detect that both attempts are the same request.
                reply = dataclasses.replace(reply, outcome="unknown")
            last_reply = reply
            if reply.outcome != "not-run" or not _is_worth_retrying(reply):
                return reply
            await asyncio.sleep(_compute_retry_delay(reply))
        return last_reply

    def _requires_key(self) -> bool:
        return self._stream.method == "POST"

    async def _look_up(
        self, caller: int, requires_new_key: bool
    ) -> tuple[tuple[ids.Address, ...], str] | None:
        cached = self._cached.get(caller)
        if cached is not None and not requires_new_key and time.time() < cached.valid_until:
            return cached.entries, cached.key
        stream = self._stream
        query = f"customer={stream.customer}&client={stream.client}"
        for _ in range(len(self._entries)):
            self._round_robin_index += 1
            address = self._entries[self._round_robin_index % len(self._entries)]
            try:
                response, body = await self._fetch("GET", address, f"/lookup?{query}", {}, None)
            except http_client.FAILURES:
                continue
            if response.status_code == 200:
                document = json.loads(body)
                entries = tuple(document["entries"])
                self._cached[caller] = CachedLookup(
                    entries, document["valid_until"], document["key"]
                )
                return entries, document["key"]
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
            response, content = await self._fetch(stream.method, address, path, headers, body)
        except http_client.FAILURES:
            return None
        outcome = response.find_header(refusals.OUTCOME_HEADER)
        if stream.direct:
            outcome = "answered" if response.status_code == 200 else "not-run"
        return Reply(response.status_code, outcome, content)

    async def _fetch(
        self,
        method: str,
        address: ids.Address,
        target: str,
        headers: dict[str, str],
        body: bytes | None,
    ) -> tuple[http_client.Response, bytes]:
        timeout = self._stream.timeout_ms / 1000
        return await self._client.fetch(
            http_client.Exchange(),
            method,
            address,
            target,
            headers.items(),
            body,
            timeout,
            ANSWER_MAX_BYTES,
        )

    def _record_answer(self, reply: Reply, token: str, elapsed: float) -> None:
        if reply.status >= 500:
            self.result.failed += 1
            self.result.reasons[f"status {reply.status}"] += 1
            return
        if not _is_matching(reply, token):
            self.result.wrong += 1
            return
        self.result.answered += 1
        self.result.latencies.append(elapsed)
        self.result.answered_tokens.append(token)

    def _record_refusal(self, reply: Reply, token: str, elapsed: float) -> None:
        self.result.refusal_times.append(elapsed)
        self.result.reasons[_read_reason(reply)] += 1
        if reply.outcome == "not-run":
            self.result.not_run += 1
            self.result.not_run_tokens.append(token)
        else:
            self.result.unknown += 1


def _is_matching(reply: Reply, token: str) -> bool:
    """Returns whether an answer of a stand-in backend server contains the request's token."""
    if reply.body.startswith(b"{"):
        try:
            return json.loads(reply.body)["token"] == token
        except (ValueError, KeyError):
            return False
    return reply.body.startswith(token.encode())


def _is_worth_retrying(reply: Reply) -> bool:
    return _read_reason(reply) in ("instance-leaving", "not-ready", "peer-lost")


def _compute_retry_delay(reply: Reply) -> float:
    """Returns the delay before the next attempt, in seconds, from the refusal's ``retry_at``."""
    try:
        retry_at = json.loads(reply.body)["retry_at"] or 0.0
    except (ValueError, KeyError, TypeError):
        return 0.0
    return min(RETRY_DELAY_MAX_S, max(0.0, retry_at - time.time()))


def _read_reason(reply: Reply) -> str:
    try:
        return json.loads(reply.body)["reason"]
    except (ValueError, KeyError, TypeError):
        return f"status {reply.status}"
