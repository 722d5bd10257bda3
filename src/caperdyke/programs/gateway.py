"""``caperdyke-gateway``: an entry instance that sends straight to registered backend servers."""

import asyncio
import os
import sys

from caperdyke.platform import calls, documents, headers, store
from caperdyke.programs import common
from caperdyke.protocol import gateway_files
from caperdyke.state import gateway_settings
from caperdyke.transport import events
from caperdyke.transport.gateway import context, node

# Variable in which the platform names the settings file.
SETTINGS_VARIABLE = "CAPERDYKE_NODE_FILE"


async def _run(checked: gateway_settings.GatewaySettings, stop: asyncio.Event) -> None:
    events.configure(checked.logs)
    shared = context.GatewayContext(checked, headers, documents, store.Store(checked.store_address))

    def make_apps(shared: context.GatewayContext) -> dict:
        return {
            checked.readiness_address: calls.make_readiness_app(shared),
            checked.lookup_address: calls.make_lookup_app(shared),
        }

    await node.GatewayNode(shared, make_apps).run(stop)


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    parser = common.make_parser("caperdyke-gateway", "Sends requests to registered servers.")
    words = sys.argv[1:] if arguments is None else arguments
    if not any(word.startswith("--settings") for word in words) and SETTINGS_VARIABLE in os.environ:
        words = ["--settings", os.environ[SETTINGS_VARIABLE], *words]
    return common.run_daemon(parser.parse_args(words), gateway_files.read_gateway, _run)


if __name__ == "__main__":
    sys.exit(main())
