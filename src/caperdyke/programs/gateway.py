"""``caperdyke-gateway``: an entry instance that sends straight to registered backend servers."""

import asyncio
import functools
import signal
import sys

from caperdyke.platform import calls, documents, headers, settings_place, store
from caperdyke.programs import common
from caperdyke.protocol import gateway_files
from caperdyke.state import gateway_settings
from caperdyke.transport import events
from caperdyke.transport.gateway import context, node, reload


async def _run(path: str, checked: gateway_settings.GatewaySettings, stop: asyncio.Event) -> None:
    events.configure(checked.logs)
    shared = context.GatewayContext(checked, headers, documents, store.Store(checked.store_address))

    def make_apps(shared: context.GatewayContext) -> dict:
        return {
            checked.readiness_address: calls.make_readiness_app(shared),
            checked.lookup_address: calls.make_lookup_app(shared),
        }

    gateway = node.GatewayNode(shared, make_apps)
    reloader = reload.Reloader(shared, path)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reloader.reload)
    watching = asyncio.create_task(reloader.watch())
    await gateway.run(stop)
    watching.cancel()


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    # Until the handler stands, a change of the settings must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = common.make_parser("caperdyke-gateway", "Sends requests to registered servers.")
    words = sys.argv[1:] if arguments is None else arguments
    path = settings_place.find_settings()
    if path and not any(word.startswith("--settings") for word in words):
        words = ["--settings", path, *words]
    options = parser.parse_args(words)
    run = functools.partial(_run, options.settings)
    return common.run_daemon(options, gateway_files.read_gateway, run)


if __name__ == "__main__":
    sys.exit(main())
