"""Reads the bodies of requests into memory that is reserved for them."""

import asyncio
import dataclasses

from caperdyke import errors
from caperdyke.coordination import memory_account


class CallerDisconnectedError(errors.CaperdykeError):
    """The caller closed its connection."""


class BodyTooLargeError(errors.CaperdykeError):
    """A body is larger than the configuration allows."""


class NoMemoryError(errors.CaperdykeError):
    """The bodies of other requests take the memory that a body needs."""


@dataclasses.dataclass(slots=True)
class BodyReader:
    """Reads the body of one request, which is kept once.

    :param reservation: memory of the request.
    :param length: length of the body in bytes; None if the caller does not announce it.
    :param size_max: largest body that the configuration allows, in bytes.
    :ivar is_revoked: whether the memory has been given to others.
    :ivar is_complete: whether the whole body has been read.
    :ivar body: what has been read.
    """

    reservation: memory_account.Reservation
    length: int | None
    size_max: int
    is_complete: bool = False
    is_revoked: bool = False
    body: bytearray = dataclasses.field(default_factory=bytearray)

    def start(self) -> None:
        """Reserves memory for a body with an announced length.

        :raises BodyTooLargeError: if it is larger than the configuration allows.
        :raises NoMemoryError: if there is no memory for it now.
        """
        if self.length is None:
            return
        if self.length > self.size_max:
            raise BodyTooLargeError(f"got {self.length} bytes, allowed {self.size_max}")
        self._reserve(self.length)

    async def read_part(self, receive) -> None:
        """Reads the next part.

        :raises CallerDisconnectedError: if the caller has left.
        :raises BodyTooLargeError: if the body is larger than the configuration allows.
        :raises NoMemoryError: if there is no memory for it now.
        """
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        part = message.get("body", b"")
        size = len(self.body) + len(part)
        if size > self.size_max:
            raise BodyTooLargeError(f"got {size} bytes, allowed {self.size_max}")
        if size > self.reservation.body:
            self._reserve(size - self.reservation.body)
        self.body += part
        self.is_complete = not message.get("more_body")

    def make_revoke(self, timeout: asyncio.Timeout) -> memory_account.End:
        """Returns a function that gives the memory up and ends the reading.

        :param timeout: limit on the reading.
        """

        def revoke(_cause: str) -> None:
            self.is_revoked = True
            timeout.reschedule(asyncio.get_running_loop().time())

        return revoke

    def _reserve(self, size: int) -> None:
        if not self.reservation.try_add_body(size):
            raise NoMemoryError(f"{size} bytes beside {self.reservation.body} of this body")
