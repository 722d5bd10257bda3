"""Takes over changed settings while the gateway runs."""

import asyncio
import dataclasses
import os

from caperdyke import errors
from caperdyke.protocol import gateway_files
from caperdyke.transport import events
from caperdyke.transport.gateway import context

# Interval between two looks at the file, which may change without a signal, in seconds.
WATCH_SECONDS = 2.0


class Reloader:
    """Reads the settings file again when it changed."""

    def __init__(self, node: context.GatewayContext, path: str) -> None:
        self._node = node
        self._path = path
        self._seen = self._read_mark()

    def reload(self) -> None:
        """Takes over limits and failure domains; addresses and names hold until a restart."""
        self._seen = self._read_mark()
        try:
            new = gateway_files.read_gateway(self._path)
        except errors.SettingsError as error:
            events.log(events.Event.SETTINGS_RELOADED, result=f"left as they were: {error}")
            return
        known = self._node.settings
        kept = dataclasses.replace(
            known,
            bounds=new.bounds,
            domains=new.domains,
            seeds=new.seeds,
            cross_domain_seconds_per_megabyte=new.cross_domain_seconds_per_megabyte,
        )
        is_restart_needed = dataclasses.replace(kept, logs=new.logs) != new
        self._node.apply_settings(kept)
        result = "in force but for names and addresses" if is_restart_needed else "in force"
        events.log(events.Event.SETTINGS_RELOADED, result=result)

    async def watch(self) -> None:
        """Looks for changes that come without a signal, for ever."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            if self._read_mark() != self._seen:
                self.reload()

    def _read_mark(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # A file that is being replaced is read at the next look.
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
