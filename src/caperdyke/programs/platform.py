"""``caperdyke-platform``: simulated platform for tests and the demo."""

import asyncio
import sys

from caperdyke.programs import common
from caperdyke.protocol import settings_files
from caperdyke.standins import platform_app
from caperdyke.state import settings
from caperdyke.transport import events
from caperdyke.transport.http import http_server


async def _run(loaded_settings: settings.PlatformSettings, stop: asyncio.Event) -> None:
    events.configure(loaded_settings.logs)
    app = platform_app.PlatformApp(loaded_settings.list_lag_ms / 1000)
    server = http_server.make_server(app.make_app(), loaded_settings.address)
    serve_task = asyncio.create_task(server.serve())
    events.log(events.Event.STARTED, program="caperdyke-platform", address=loaded_settings.address)
    await stop.wait()
    server.should_exit = True
    await serve_task


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    parser = common.make_parser("caperdyke-platform", "Simulates the platform's table service.")
    return common.run_daemon(parser.parse_args(arguments), settings_files.read_platform, _run)


if __name__ == "__main__":
    sys.exit(main())
