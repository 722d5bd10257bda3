"""Client of the backend servers: HTTP over kept connections."""

import asyncio
import collections.abc
import time

import aiosonic
import aiosonic.connectors
import aiosonic.exceptions
import aiosonic.pools
import aiosonic.timeout

from caperdyke import errors
from caperdyke.state import backend, outcome
from caperdyke.transport import answers

CONNECTIONS_MAX = 350
CONNECT_TIMEOUT_SECONDS = 1.0
# Headers of the backend servers' protocol, see docs/INTERFACES.md.
DEADLINE_HEADER = "Request-Deadline"
OUTCOME_HEADER = "Request-Outcome"
STATE_HEADER = "Server-State"
# Headers that concern one connection only and are not passed on.
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "host",
        "date",
        "server",
        "proxy-connection",
        "expect",
        # The client library decompresses, so compression concerns this connection only too.
        "accept-encoding",
        "content-encoding",
    )
)


class BackendClient:
    """Sends requests to backend servers."""

    def __init__(self) -> None:
        pool = aiosonic.pools.PoolConfig(size=CONNECTIONS_MAX)
        timeouts = aiosonic.timeout.Timeouts(
            sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=None, request_timeout=None
        )
        connector = aiosonic.connectors.TCPConnector(
            pool_configs={":default": pool}, timeouts=timeouts
        )
        self._client = aiosonic.HTTPClient(connector, handle_cookies=False)

    async def send(
        self, server: backend.BackendServer, request: answers.IncomingRequest
    ) -> answers.Answer:
        """Sends a request and returns the answer once its head has arrived.

        :raises errors.BackendFailedError: where no whole head came; tells whether it may have run.
        :raises errors.RefusalError: where the backend server says that it did not run the request.
        """
        remaining = request.deadline - time.time()
        try:
            async with asyncio.timeout(remaining):
                response = await self._request(server, request)
        except (ConnectionRefusedError, aiosonic.exceptions.ConnectTimeout) as error:
            raise errors.BackendFailedError(f"{server.backend}: {error!r}", False) from error
        except (OSError, EOFError, ValueError, aiosonic.exceptions.AiosonicError) as error:
            raise errors.BackendFailedError(f"{server.backend}: {error!r}", True) from error
        headers = tuple((name, value) for name, value in response.headers.items())
        lowered = {name.lower(): value for name, value in headers}
        if response.status_code == 503 and lowered.get(OUTCOME_HEADER.lower()) == "not-run":
            await response.content()
            raise errors.RefusalError(_make_refusal(lowered))
        kept = tuple(item for item in headers if item[0].lower() not in HOP_HEADERS)
        head = outcome.AnswerHead(response.status_code, kept)
        chunks = self._iterate(server, response, request.deadline)
        return answers.Answer(head, chunks, response.aclose)

    async def close(self) -> None:
        """Closes the kept connections."""
        await self._client.aclose()

    async def _request(self, server: backend.BackendServer, request: answers.IncomingRequest):
        headers = [item for item in request.headers if item[0].lower() not in HOP_HEADERS]
        headers.append((DEADLINE_HEADER, str(int(request.deadline * 1000))))
        return await self._client.request(
            f"http://{server.address}{request.target}",
            request.method,
            headers=headers,
            data=request.body,
            stream=True,
        )

    async def _iterate(
        self, server: backend.BackendServer, response, deadline: float
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        chunks = response.iter_bytes()
        is_whole = False
        try:
            while True:
                chunk = await _read_chunk(chunks, deadline)
                if chunk is None:
                    break
                yield chunk
            is_whole = True
        except (OSError, EOFError, ValueError, aiosonic.exceptions.AiosonicError) as error:
            raise errors.BackendFailedError(f"{server.backend}: {error!r}", True) from error
        finally:
            if not is_whole:
                await response.aclose()


async def _read_chunk(
    chunks: collections.abc.AsyncIterator[bytes], deadline: float
) -> bytes | None:
    async with asyncio.timeout(max(0.0, deadline - time.time())):
        return await anext(chunks, None)


def _make_refusal(headers: dict[str, str]) -> outcome.Refusal:
    if headers.get(STATE_HEADER.lower()) == "leaving":
        return outcome.refuse(outcome.Reason.NO_BACKEND, time.time(), detail="leaving")
    return outcome.refuse(outcome.Reason.BACKEND_BUSY, time.time() + 0.1)
