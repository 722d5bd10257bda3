"""Runs an HTTP application on uvicorn in a program with signal handlers of its own."""

import asyncio
import collections.abc
import contextlib
import functools

import uvicorn

from caperdyke.coordination import body_budget
from caperdyke.transport.http import lingering_close, server_protocol, unread_responses

# Default bound on the wait for responses in progress when the server stops.
GRACEFUL_STOP_TIMEOUT_S = 5.0

Protocol = collections.abc.Callable[..., asyncio.Protocol]


class Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Keeps the program's own signal handlers."""
        yield


def make_server(
    app,
    address: str,
    protocol: Protocol = server_protocol.ServerProtocol,
    stop_seconds: float = GRACEFUL_STOP_TIMEOUT_S,
    lingering: lingering_close.LingeringConnections | None = None,
    unread: unread_responses.UnreadResponses | None = None,
) -> Server:
    """Returns a server for an application at ``host:port``.

    :param protocol: makes the protocol of a connection.
    :param stop_seconds: longest wait for responses in progress during a graceful stop.
    :param lingering: the lingering connections of the program; None if it has no other server.
    :param unread: its responses that callers do not read; None if it has no other server.
    """
    host, _, port = address.rpartition(":")
    if lingering is None:
        lingering = lingering_close.LingeringConnections()
    if unread is None:
        budget = body_budget.BodyBudget(body_budget.compute_budget(None))
        unread = unread_responses.UnreadResponses(budget)
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        loop="asyncio",
        http=functools.partial(protocol, lingering=lingering, unread=unread),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=30,
        timeout_graceful_shutdown=stop_seconds,
        backlog=4096,
    )
    return Server(config)
