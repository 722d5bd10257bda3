"""``caperdyke-gateway``: an instance that sends requests directly to registered servers."""

import asyncio
import functools
import signal
import sys

from caperdyke.platform import calls, documents, headers, settings_location, store
from caperdyke.programs import common
from caperdyke.protocol import gateway_files
from caperdyke.state import gateway_settings
from caperdyke.transport import events
from caperdyke.transport.gateway import context, node, reload


async def _run(
    path: str, loaded_settings: gateway_settings.GatewaySettings, stop: asyncio.Event
) -> None:
    events.configure(loaded_settings.logs)
    store_client = store.Store(loaded_settings.store_address)
    shared = context.GatewayContext(loaded_settings, headers, documents, store_client)

    def make_apps(shared: context.GatewayContext) -> dict:
        return {
            loaded_settings.readiness_address: calls.make_readiness_app(shared),
            loaded_settings.lookup_address: calls.make_lookup_app(shared),
        }

    gateway = node.GatewayNode(shared, make_apps)
    reloader = reload.Reloader(shared, path)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reloader.reload)
    watch_task = asyncio.create_task(reloader.watch())
    await gateway.run(stop)
    watch_task.cancel()
    # Connections that are left open report an error when the interpreter exits.
    await store_client.close()


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    # SIGHUP asks for a reload of the settings; it must not end the process before the handler is
    # installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = common.make_parser("caperdyke-gateway", "Sends requests to registered servers.")
    command_line = sys.argv[1:] if arguments is None else arguments
    path = settings_location.find_settings()
    if path and not any(argument.startswith("--settings") for argument in command_line):
        command_line = ["--settings", path, *command_line]
    options = parser.parse_args(command_line)
    run = functools.partial(_run, options.settings)
    return common.run_daemon(options, gateway_files.read_gateway, run)


if __name__ == "__main__":
    sys.exit(main())
