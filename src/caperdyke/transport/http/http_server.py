"""Runs an HTTP application on uvicorn inside a program that handles signals itself."""

import contextlib

import uvicorn

# Longest time that answers under way are waited for, in seconds, where the program sets none.
STOP_SECONDS = 5.0


class Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the program."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Keeps the program's own signal handlers."""
        yield


def make_server(
    app, address: str, protocol: str | type = "httptools", stop_seconds: float = STOP_SECONDS
) -> Server:
    """Returns a server for an application at ``host:port``.

    :param protocol: what parses HTTP on each connection.
    :param stop_seconds: longest time that answers under way are waited for in a planned stop.
    """
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        loop="asyncio",
        http=protocol,
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
