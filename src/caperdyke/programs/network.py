"""``caperdyke-network``: stand-in for the network between failure domains."""

import asyncio
import sys

from caperdyke.programs import common
from caperdyke.protocol import settings_files
from caperdyke.standins import network
from caperdyke.state import settings
from caperdyke.transport import events
from caperdyke.transport.http import http_server


async def _run(checked: settings.NetworkSettings, stop: asyncio.Event) -> None:
    events.configure(checked.logs)
    relays = network.Network(checked)
    await relays.listen()
    server = http_server.make_server(relays.make_app(), checked.control)
    serving = asyncio.create_task(server.serve())
    events.log(events.Event.STARTED, program="caperdyke-network", address=checked.control)
    await stop.wait()
    server.should_exit = True
    await serving


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    parser = common.make_parser("caperdyke-network", "Plays the network: delays and cuts.")
    return common.run_daemon(parser.parse_args(arguments), settings_files.read_network, _run)


if __name__ == "__main__":
    sys.exit(main())
