"""Ordinary requests, each on a connection of its own."""

import asyncio
import contextlib

# Longest time until an ordinary request must have been answered, with retries.
ANSWER_TIMEOUT_S = 30.0
RETRY_INTERVAL_S = 0.2


async def send(address: str, method: str, path: str, headers: str = "", body: bytes = b"") -> int:
    """Sends a request and returns the status of its answer, 0 if there is none."""
    host, _, port = address.rpartition(":")
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    with contextlib.suppress(OSError, EOFError, ValueError):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head.encode() + b"\r\n" + body)
            answer = await reader.read()
            return int(answer.split(b" ", 2)[1]) if answer else 0
        finally:
            writer.transport.abort()
    return 0


async def send_until_answered(address: str, method: str, path: str, **options) -> int:
    """Sends a request again and again until it is answered with 200; returns the last status.

    :param options: ``headers`` and ``body``.
    """
    status = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while status != 200:
                status = await send(address, method, path, **options)
                if status != 200:
                    await asyncio.sleep(RETRY_INTERVAL_S)
    return status
