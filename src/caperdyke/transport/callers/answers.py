"""Requests and answers within an instance, independent of the transport."""

import collections.abc
import dataclasses
import hashlib

from caperdyke.state import contract as contracts
from caperdyke.state import ids, keys, outcome


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A validated request.

    :param label: identifier for logs and ``caperdyke explain``.
    :param deadline: the caller's deadline, seconds since 1970.
    """

    label: str
    contract: contracts.Contract
    service: contracts.Service
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: keys.RequestKey | None
    home: ids.DomainName
    deadline: float

    def compute_fingerprint(self) -> bytes:
        """Returns a digest that distinguishes different requests with the same key."""
        parts = (self.contract.customer, self.service.name, self.method, self.target)
        digest = hashlib.sha256("\n".join(parts).encode())
        digest.update(b"\n")
        digest.update(self.body)
        return digest.digest()


Release = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Answer:
    """An answer whose body may be incomplete.

    :param chunks: chunks of the body; ends without an error only if the body is complete.
    :param release: releases the answer's resources if its body was never iterated.
    """

    def __init__(
        self,
        head: outcome.AnswerHead,
        chunks: collections.abc.AsyncGenerator[bytes, None],
        release: Release,
    ) -> None:
        self.head = head
        self._chunks = chunks
        self._release = release
        self._is_started = False
        # The complete body, if it is available.
        self.body: bytes | None = None

    async def iterate(self) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yields the chunks of the body.

        :raises errors.LinkClosedError: if the peer cannot complete the body.
        :raises errors.BackendFailedError: if the backend server cannot complete it.
        """
        self._is_started = True
        async for chunk in self._chunks:
            yield chunk

    async def close(self) -> None:
        """Closes the answer, whether or not its body was iterated; idempotent."""
        if not self._is_started:
            self._is_started = True
            await self._release()
        await self._chunks.aclose()

    async def read_all(self, limit: int) -> bytes | None:
        """Reads the body and returns it, or None if it exceeds a limit in bytes."""
        parts = []
        size = 0
        try:
            async for chunk in self.iterate():
                size += len(chunk)
                if size <= limit:
                    parts.append(chunk)
        finally:
            await self.close()
        return b"".join(parts) if size <= limit else None


async def prefetch(answer: Answer, limit: int) -> Answer:
    """Reads the start of a body, so that an early failure is detected before it is sent on.

    :param limit: number of bytes after which the remainder is streamed.
    :raises errors.LinkClosedError: if the peer cannot complete the part that is read.
    :raises errors.BackendFailedError: if the backend server cannot.
    """
    if answer.body is not None:
        return answer
    parts = []
    size = 0
    remaining = answer.iterate()
    try:
        async for chunk in remaining:
            parts.append(chunk)
            size += len(chunk)
            if size > limit:
                return Answer(answer.head, _concatenate(parts, remaining, answer), answer.close)
    except BaseException:
        await answer.close()
        raise
    await answer.close()
    return make_complete(answer.head, b"".join(parts))


async def _concatenate(
    parts: list[bytes], remaining: collections.abc.AsyncGenerator[bytes, None], answer: Answer
) -> collections.abc.AsyncGenerator[bytes, None]:
    try:
        for part in parts:
            yield part
        async for chunk in remaining:
            yield chunk
    finally:
        await remaining.aclose()
        await answer.close()


def make_complete(head: outcome.AnswerHead, body: bytes) -> Answer:
    """Returns an answer with a complete body."""
    answer = Answer(head, _yield_body(body), _do_nothing)
    answer.body = body
    return answer


async def _yield_body(body: bytes) -> collections.abc.AsyncGenerator[bytes, None]:
    if body:
        yield body


async def _do_nothing() -> None:
    return
