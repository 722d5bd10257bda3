"""HTTP client of the backend servers, with pooled connections."""

import asyncio
import collections.abc
import time

from caperdyke import errors
from caperdyke.state import backend, contract, outcome
from caperdyke.transport.callers import answers
from caperdyke.transport.http import http_client

CONNECTIONS_MAX = 350
CONNECT_TIMEOUT_SECONDS = 1.0
# Largest body of a cheap service's response that is read at once instead of streamed.
WHOLE_BODY_MAX_BYTES = 64 * 1024
# Headers of the backend servers' protocol, see docs/INTERFACES.md.
DEADLINE_HEADER = "Request-Deadline"
OUTCOME_HEADER = "Request-Outcome"
STATE_HEADER = "Server-State"
# Hop-by-hop headers and headers set by each hop itself, which are not forwarded.
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
        # Bodies are forwarded as they are, and no server is asked to compress them.
        "accept-encoding",
    )
)


class BackendClient:
    """Sends requests to backend servers."""

    def __init__(self) -> None:
        self._client = http_client.HttpClient(CONNECTIONS_MAX, CONNECT_TIMEOUT_SECONDS)

    async def send(
        self, server: backend.BackendServer, request: answers.IncomingRequest, send_by: float
    ) -> answers.Answer:
        """Sends a request and returns the answer once its head has arrived.

        :param send_by: time after which the request is no longer sent, seconds since 1970.
        :raises errors.BackendFailedError: if no complete head arrived; ``sent`` is true if the
            request may have run.
        :raises errors.RefusalError: if the backend server reports that it did not run the request.
        """
        exchange = http_client.Exchange(send_by)
        try:
            response = await self._start(exchange, server, request)
        except http_client.FAILURES as error:
            message = f"{server.backend}: {error!r}"
            raise errors.BackendFailedError(message, exchange.is_sent) from error
        headers = response.headers
        headers_by_name = dict(headers)
        if response.status_code == 503 and headers_by_name.get(OUTCOME_HEADER.lower()) == "not-run":
            exchange.close()
            raise errors.RefusalError(_make_refusal(headers_by_name))
        if not _has_length(request.method, response.status_code, headers_by_name):
            # The end of the connection does not tell a whole body from a truncated one.
            exchange.close()
            message = f"{server.backend}: neither Content-Length nor chunks, expected one of them"
            raise errors.BackendFailedError(message, True)
        forwarded_headers = tuple(item for item in headers if item[0] not in HOP_HEADERS)
        head = outcome.AnswerHead(response.status_code, forwarded_headers)
        if request.service.kind is contract.ServiceKind.CHEAP and _is_small(headers_by_name):
            body = await _read_body(server, exchange, response, request.deadline)
            return answers.make_complete(head, body)
        chunks = _stream_body(server, exchange, response, request.deadline)

        async def close_exchange() -> None:
            exchange.close()

        return answers.Answer(head, chunks, close_exchange)

    async def close(self) -> None:
        """Closes the pooled connections."""
        await self._client.close()

    async def _start(
        self,
        exchange: http_client.Exchange,
        server: backend.BackendServer,
        request: answers.IncomingRequest,
    ):
        headers = [item for item in request.headers if item[0].lower() not in HOP_HEADERS]
        headers.append((DEADLINE_HEADER, str(int(request.deadline * 1000))))
        remaining = max(0.0, request.deadline - time.time())
        return await self._client.start(
            exchange,
            request.method,
            server.address,
            request.target,
            headers,
            request.body,
            remaining,
        )


async def _read_body(
    server: backend.BackendServer,
    exchange: http_client.Exchange,
    response: http_client.Response,
    deadline: float,
) -> bytes:
    try:
        async with asyncio.timeout(max(0.0, deadline - time.time())):
            return await response.read_all(WHOLE_BODY_MAX_BYTES)
    except http_client.FAILURES as error:
        exchange.close()
        raise errors.BackendFailedError(f"{server.backend}: {error!r}", True) from error
    except BaseException:
        exchange.close()
        raise


async def _stream_body(
    server: backend.BackendServer,
    exchange: http_client.Exchange,
    response: http_client.Response,
    deadline: float,
) -> collections.abc.AsyncGenerator[bytes, None]:
    chunks = response.iterate()
    is_complete = False
    try:
        while True:
            chunk = await _read_chunk(chunks, deadline)
            if chunk is None:
                break
            yield chunk
        is_complete = True
    except http_client.FAILURES as error:
        raise errors.BackendFailedError(f"{server.backend}: {error!r}", True) from error
    finally:
        if not is_complete:
            exchange.close()


async def _read_chunk(
    chunks: collections.abc.AsyncIterator[bytes], deadline: float
) -> bytes | None:
    async with asyncio.timeout(max(0.0, deadline - time.time())):
        return await anext(chunks, None)


def _is_small(headers: dict[str, str]) -> bool:
    """Returns whether the declared length allows reading the body at once."""
    length = headers.get("content-length", "")
    return length.isdecimal() and int(length) <= WHOLE_BODY_MAX_BYTES


def _has_length(method: str, status: int, headers: dict[str, str]) -> bool:
    """Returns whether the response is framed so that the end of its body is known."""
    if method == "HEAD" or status in (204, 304):
        return True
    return "content-length" in headers or "chunked" in headers.get("transfer-encoding", "")


def _make_refusal(headers: dict[str, str]) -> outcome.Refusal:
    if headers.get(STATE_HEADER.lower()) == "leaving":
        return outcome.refuse(outcome.Reason.NO_BACKEND, time.time(), detail="leaving")
    return outcome.refuse(outcome.Reason.BACKEND_BUSY, time.time() + 0.1)
