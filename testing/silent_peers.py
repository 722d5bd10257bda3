"""Peers on loopback that stop reading, or whose system stops answering."""

import asyncio
import contextlib
import ctypes
import socket

HOST = "127.0.0.1"
_ATTACH_FILTER = 26
_RETURN = 0x06


class _Instruction(ctypes.Structure):
    _fields_ = [
        ("code", ctypes.c_uint16),
        ("jump_true", ctypes.c_uint8),
        ("jump_false", ctypes.c_uint8),
        ("value", ctypes.c_uint32),
    ]


class _Program(ctypes.Structure):
    _fields_ = [("length", ctypes.c_ushort), ("instructions", ctypes.POINTER(_Instruction))]


def silence(sock: socket.socket) -> None:
    """Drops all segments that arrive at a socket, so that its system answers none of them."""
    instructions = (_Instruction * 1)(_Instruction(_RETURN, 0, 0, 0))
    program = _Program(1, instructions)
    library = ctypes.CDLL(None, use_errno=True)
    result = library.setsockopt(
        sock.fileno(),
        socket.SOL_SOCKET,
        _ATTACH_FILTER,
        ctypes.byref(program),
        ctypes.sizeof(program),
    )
    if result:
        raise OSError(ctypes.get_errno(), "the filter was not attached")


@contextlib.asynccontextmanager
async def serve_connections(serve, receive_buffer_bytes: int):
    """Calls a coroutine function with each accepted socket, and yields the address."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    listening.bind((HOST, 0))
    listening.listen()
    listening.setblocking(False)
    tasks = set()

    async def accept() -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(listening)
            tasks.add(asyncio.create_task(_serve_and_close(serve, sock)))

    accepting = asyncio.create_task(accept())
    try:
        yield f"{HOST}:{listening.getsockname()[1]}"
    finally:
        for task in (accepting, *tasks):
            task.cancel()
        await asyncio.gather(accepting, *tasks, return_exceptions=True)
        listening.close()


async def _serve_and_close(serve, sock: socket.socket) -> None:
    sock.setblocking(False)
    with sock, contextlib.suppress(OSError):
        await serve(sock)


async def connect(address: str, receive_buffer_bytes: int) -> socket.socket:
    """Opens a caller's connection with a small window."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.setblocking(False)
    host, _, port = address.rpartition(":")
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock
