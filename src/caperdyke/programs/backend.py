"""``caperdyke-backend``: simulated backend servers for tests and the demo."""

import asyncio
import sys

from caperdyke.programs import common
from caperdyke.protocol import settings_files
from caperdyke.standins import backend_app
from caperdyke.state import settings
from caperdyke.transport import events
from caperdyke.transport.http import http_server


async def _run(loaded_settings: settings.BackendSettings, stop: asyncio.Event) -> None:
    events.configure(loaded_settings.logs)
    servers = [
        http_server.make_server(backend_app.BackendApp(item).make_app(), item.address)
        for item in loaded_settings.backends
    ]
    serve_tasks = [asyncio.create_task(server.serve()) for server in servers]
    for item in loaded_settings.backends:
        events.log(events.Event.STARTED, program="caperdyke-backend", address=item.address)
    await stop.wait()
    for server in servers:
        server.should_exit = True
    await asyncio.gather(*serve_tasks)


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    parser = common.make_parser("caperdyke-backend", "Simulates backend servers.")
    return common.run_daemon(parser.parse_args(arguments), settings_files.read_backend, _run)


if __name__ == "__main__":
    sys.exit(main())
