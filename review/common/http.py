"""Minimal HTTP/1.1 messages for the stand-ins and the clients."""

import asyncio
import dataclasses


@dataclasses.dataclass(slots=True)
class Request:
    """A request as it was received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id that the client gave it."""
        return self.headers.get("caperdyke-request-id", "")


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer as a client received it.

    :param is_whole: whether the body ended as the head announced.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    error: str = ""


def parse_head(data: bytes) -> tuple[str, dict[str, str]]:
    """Returns the first line of a head and its headers."""
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, headers = parse_head(head)
    method, target, _ = line.split(" ", 2)
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def make_answer(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Returns a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def make_request(
    method: str, path: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Returns a whole request; one with a body gets a length."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer; one that breaks off is returned as not whole, with the error."""
    status, headers, parts = 0, {}, []
    try:
        line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
        status = int(line.split(" ")[1])
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                parts.append(part[:-2])
        else:
            left = int(headers.get("content-length", 0))
            while left:
                part = await reader.read(min(left, 65536))
                if not part:
                    raise EOFError(f"{left} bytes of the body are missing")
                parts.append(part)
                left -= len(part)
    except (OSError, EOFError, ValueError) as error:
        return Answer(status, headers, b"".join(parts), False, repr(error))
    return Answer(status, headers, b"".join(parts), True)
