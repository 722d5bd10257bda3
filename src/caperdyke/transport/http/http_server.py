"""Runs an HTTP application on uvicorn in a program with signal handlers of its own."""

import asyncio
import collections.abc
import contextlib
import functools
import socket

import uvicorn

from caperdyke.coordination import connection_table
from caperdyke.transport import listening
from caperdyke.transport.http import caller_protocol, server_resources

# Default bound on the wait for responses in progress when the server stops.
GRACEFUL_STOP_TIMEOUT_S = 5.0

Protocol = collections.abc.Callable[..., asyncio.Protocol]


class Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Keeps the program's own signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to listen."""
        await super().startup(sockets)
        for server in self.servers:
            listening.lengthen_queue(server)


def make_server(
    app,
    address: str,
    protocol: Protocol = caller_protocol.CallerProtocol,
    stop_seconds: float = GRACEFUL_STOP_TIMEOUT_S,
    resources: server_resources.ServerResources | None = None,
    connections_share: float = connection_table.CALLERS_SHARE,
) -> Server:
    """Returns a server for an application at ``host:port``.

    :param protocol: makes the protocol of a connection.
    :param stop_seconds: longest wait for responses in progress during a graceful stop.
    :param resources: what the servers of the program share; None if it has no other server.
    :param connections_share: share of the sockets that the server may use, 0 to 1.
    """
    host, _, port = address.rpartition(":")
    if resources is None:
        resources = server_resources.make_resources()
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        loop="asyncio",
        http=functools.partial(
            protocol,
            resources=resources,
            connections=resources.make_connection_table(connections_share),
        ),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=30,
        timeout_graceful_shutdown=stop_seconds,
        backlog=listening.ACCEPTED_AT_ONCE,
    )
    return Server(config)
