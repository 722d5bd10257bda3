"""Reloads changed settings while the gateway runs."""

import asyncio
import dataclasses
import os

from caperdyke import errors
from caperdyke.protocol import gateway_files
from caperdyke.transport import events
from caperdyke.transport.gateway import context

# Interval between checks of the file, which may change without a signal.
WATCH_SECONDS = 2.0


class Reloader:
    """Reads the settings file again after a change.

    :param path: path of the settings file.
    """

    def __init__(self, node: context.GatewayContext, path: str) -> None:
        self._node = node
        self._path = path
        self._loaded_file_state = self._read_file_state()

    def reload(self) -> None:
        """Applies changed bounds, quota tolerances, failure domains, seeds, rules of revocation,
        limits of pipelining, waiting and crashes, and the cost of leaving a failure domain.

        Addresses and names stay as they are until a restart. A file that cannot be read leaves all
        settings unchanged.
        """
        self._loaded_file_state = self._read_file_state()
        try:
            new = gateway_files.read_gateway(self._path)
        except errors.SettingsError as error:
            events.log(events.Event.SETTINGS_RELOADED, result=f"left as they were: {error}")
            return
        current = self._node.settings
        merged = dataclasses.replace(
            current,
            bounds=new.bounds,
            domains=new.domains,
            seeds=new.seeds,
            teams=new.teams,
            cross_domain_seconds_per_megabyte=new.cross_domain_seconds_per_megabyte,
            quota_tolerance=new.quota_tolerance,
            pipelined_max=new.pipelined_max,
            pipelined_bytes=new.pipelined_bytes,
            waiting_max=new.waiting_max,
            crashes_max=new.crashes_max,
            has_ranks=new.has_ranks,
            has_team_shares=new.has_team_shares,
            overflow_ratio_max=new.overflow_ratio_max,
            stay_margin_seconds=new.stay_margin_seconds,
            has_steady_weights=new.has_steady_weights,
        )
        is_restart_needed = dataclasses.replace(merged, logs=new.logs) != new
        self._node.apply_settings(merged)
        result = "in force but for names and addresses" if is_restart_needed else "in force"
        events.log(events.Event.SETTINGS_RELOADED, result=result)

    async def watch(self) -> None:
        """Reloads the file after changes that come without a signal, forever."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            if self._read_file_state() != self._loaded_file_state:
                self.reload()

    def _read_file_state(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # The file is being replaced; the next check reads it.
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
