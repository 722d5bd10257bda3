"""Requests and answers inside one instance, whatever carries them."""

import collections.abc
import dataclasses
import hashlib

from caperdyke.state import contract as contracts
from caperdyke.state import ids, keys, outcome


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A checked request.

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
        """Returns a digest that tells different requests with the same key apart."""
        parts = (self.contract.customer, self.service.name, self.method, self.target)
        digest = hashlib.sha256("\n".join(parts).encode())
        digest.update(b"\n")
        digest.update(self.body)
        return digest.digest()


Abandon = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Answer:
    """An answer whose body may still be arriving.

    :param chunks: parts of the body; ends without an error only where the body is whole.
    :param abandon: gives back what the answer holds where its body was never iterated.
    """

    def __init__(
        self,
        head: outcome.AnswerHead,
        chunks: collections.abc.AsyncGenerator[bytes, None],
        abandon: Abandon,
    ) -> None:
        self.head = head
        self._chunks = chunks
        self._abandon = abandon
        self._is_started = False
        # The whole body, once it is known.
        self.body: bytes | None = None

    async def iterate(self) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yields the parts of the body.

        :raises errors.LinkClosedError: where the peer cannot complete the body.
        :raises errors.BackendFailedError: where the backend server cannot complete it.
        """
        self._is_started = True
        async for chunk in self._chunks:
            yield chunk

    async def close(self) -> None:
        """Ends the answer, whether or not its body was iterated; safe to call again."""
        if not self._is_started:
            self._is_started = True
            await self._abandon()
        await self._chunks.aclose()

    async def read_all(self, limit: int) -> bytes | None:
        """Returns the whole body, or None where it is larger than a limit in bytes."""
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
    """Reads the start of a body, so that a failure shows before anything is passed on.

    :param limit: bytes after which the rest is left to be streamed.
    :raises errors.LinkClosedError: where the peer cannot complete the part that is read.
    :raises errors.BackendFailedError: where the backend server cannot.
    """
    if answer.body is not None:
        return answer
    parts = []
    size = 0
    rest = answer.iterate()
    try:
        async for chunk in rest:
            parts.append(chunk)
            size += len(chunk)
            if size > limit:
                return Answer(answer.head, _chain(parts, rest, answer), answer.close)
    except BaseException:
        await answer.close()
        raise
    await answer.close()
    return make_complete(answer.head, b"".join(parts))


async def _chain(
    parts: list[bytes], rest: collections.abc.AsyncGenerator[bytes, None], answer: Answer
) -> collections.abc.AsyncGenerator[bytes, None]:
    try:
        for part in parts:
            yield part
        async for chunk in rest:
            yield chunk
    finally:
        await rest.aclose()
        await answer.close()


def make_complete(head: outcome.AnswerHead, body: bytes) -> Answer:
    """Returns an answer whose body is already complete."""
    answer = Answer(head, _yield_body(body), _do_nothing)
    answer.body = body
    return answer


async def _yield_body(body: bytes) -> collections.abc.AsyncGenerator[bytes, None]:
    if body:
        yield body


async def _do_nothing() -> None:
    return
