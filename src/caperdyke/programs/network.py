"""``caperdyke-network``: simulated network between failure domains."""

import asyncio
import sys

from caperdyke.programs import common
from caperdyke.protocol import settings_files
from caperdyke.standins import network
from caperdyke.state import settings
from caperdyke.transport import events
from caperdyke.transport.http import http_server


async def _run(loaded_settings: settings.NetworkSettings, stop: asyncio.Event) -> None:
    events.configure(loaded_settings.logs)
    relays = network.Network(loaded_settings)
    await relays.listen()
    server = http_server.make_server(relays.make_app(), loaded_settings.control)
    serve_task = asyncio.create_task(server.serve())
    events.log(events.Event.STARTED, program="caperdyke-network", address=loaded_settings.control)
    await stop.wait()
    server.should_exit = True
    await serve_task


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    parser = common.make_parser("caperdyke-network", "Simulates a network with delays and cuts.")
    return common.run_daemon(parser.parse_args(arguments), settings_files.read_network, _run)


if __name__ == "__main__":
    sys.exit(main())
