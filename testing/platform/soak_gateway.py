"""Runs the gateway program with a path to the backend servers that a file can cut.

Usage: ``python -m testing.platform.soak_gateway CUT-FILE --settings FILE``. While the file exists,
connections to the addresses in it fail in the manner that it names.
"""

import asyncio
import dataclasses
import json
import pathlib
import sys
import time

from caperdyke import errors
from caperdyke.programs import gateway
from caperdyke.transport.http import client_connection
from testing.platform import path_cuts

# Interval at which the file is looked at.
POLL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A cut in force.

    :param addresses: addresses that cannot be reached.
    """

    manner: path_cuts.CutManner
    addresses: frozenset[str]


def write_cut(path: pathlib.Path, cut: Cut | None) -> None:
    """Starts or ends a cut."""
    if cut is None:
        path.unlink(missing_ok=True)
        return
    text = json.dumps({"manner": cut.manner.value, "addresses": sorted(cut.addresses)})
    new_path = path.with_suffix(".new")
    new_path.write_text(text)
    new_path.replace(path)


class CutConnection(client_connection.ServerConnection):
    """A connection that fails while its address is cut off."""

    path: pathlib.Path
    _cut: Cut | None = None
    _read_at = 0.0

    def __init__(self, *options) -> None:
        super().__init__(*options)
        self._address = ""
        self._is_broken = False

    @classmethod
    def find_cut(cls, address: str) -> Cut | None:
        """Returns the cut that applies to an address, if any."""
        if time.monotonic() >= cls._read_at + POLL_SECONDS:
            cls._read_at, cls._cut = time.monotonic(), cls._read_file()
        return cls._cut if cls._cut is not None and address in cls._cut.addresses else None

    @classmethod
    def _read_file(cls) -> Cut | None:
        try:
            document = json.loads(cls.path.read_text())
        except FileNotFoundError:
            return None
        manner = path_cuts.CutManner(document["manner"])
        return Cut(manner, frozenset(document["addresses"]))

    def connection_made(self, transport) -> None:
        """Remembers the address of the other end."""
        super().connection_made(transport)
        host, port = transport.get_extra_info("peername")
        self._address = f"{host}:{port}"

    def data_received(self, data: bytes) -> None:
        """Drops bytes while the connection hangs; the stream is useless from then on."""
        if not self._is_lost():
            super().data_received(data)

    def send(self, *arguments) -> None:
        """Loses the request while the connection hangs."""
        if not self._is_lost():
            super().send(*arguments)

    def _is_lost(self) -> bool:
        cut = self.find_cut(self._address)
        match cut.manner if cut is not None else None:
            case path_cuts.CutManner.HANGING:
                self._is_broken = True
            case path_cuts.CutManner.RESET:
                self.close()
                return True
            case _ if self._is_broken:
                self.close()
        return self._is_broken


def main() -> int:
    """Runs the program and returns its exit status."""
    CutConnection.path = pathlib.Path(sys.argv[1])
    open_connection = client_connection.connect

    async def connect(address: str, timeout: float, *options) -> client_connection.ServerConnection:
        cut = CutConnection.find_cut(address)
        if cut is None:
            return await open_connection(address, timeout, *options)
        if cut.manner is path_cuts.CutManner.HANGING:
            await asyncio.sleep(timeout)
            raise errors.ConnectTimeoutError(f"{address}: cut")
        raise errors.BackendFailedError(f"{address}: {cut.manner.value}", False)

    client_connection.ServerConnection = CutConnection
    client_connection.connect = connect
    return gateway.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
