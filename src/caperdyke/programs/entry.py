"""``caperdyke-entry``: one entry instance."""

import asyncio
import sys

from caperdyke.programs import common
from caperdyke.protocol import settings_files
from caperdyke.state import settings
from caperdyke.transport import events, node


async def _run(loaded_settings: settings.EntrySettings, stop: asyncio.Event) -> None:
    events.configure(loaded_settings.logs)
    await node.EntryNode(loaded_settings).run(stop)


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    parser = common.make_parser("caperdyke-entry", "Answers look-ups and serves requests.")
    return common.run_daemon(parser.parse_args(arguments), settings_files.read_entry, _run)


if __name__ == "__main__":
    sys.exit(main())
