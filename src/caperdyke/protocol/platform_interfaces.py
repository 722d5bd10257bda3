"""What an instance needs of the platform it runs on; ``caperdyke.platform`` implements it."""

import typing

from caperdyke.state import header_fields, ids, registration, routes, store_rows

# Names are in lower case.
RawHeaders = list[tuple[bytes, bytes]]


class HeaderTranslator(typing.Protocol):
    """Headers of callers and backend servers."""

    def parse_caller_headers(self, headers: RawHeaders) -> header_fields.CallerHeaders:
        """Returns what a caller says of its request."""

    def parse_server_headers(self, status: int, headers: RawHeaders) -> header_fields.ServerHeaders:
        """Returns what a backend server says of its answer."""

    def make_server_headers(
        self, headers: RawHeaders, wait_ms: float, server: ids.BackendId
    ) -> RawHeaders:
        """Returns a caller's headers as they are passed on to a backend server."""

    def make_refusal_headers(self, request_id: str, retry_seconds: float | None) -> RawHeaders:
        """Returns the headers of an answer of the system's own."""


class DocumentDecoder(typing.Protocol):
    """Decodes what operators and backend servers write to the store."""

    def read_route_table(self, row: store_rows.StoreRow) -> routes.RouteTable | None:
        """Returns the configuration in a row, or None where the row holds something else."""

    def read_evacuation(self, row: store_rows.StoreRow) -> store_rows.Evacuation | None:
        """Returns the evacuation that a row stands for, or None."""

    def read_registration(self, row: store_rows.StoreRow) -> registration.Registration:
        """Returns the registration in a row."""


class Store(typing.Protocol):
    """The platform's store."""

    async def read_table(self, table: store_rows.StoreTable) -> store_rows.StoreChanges:
        """Returns all rows of a table."""

    async def read_changes(
        self, table: store_rows.StoreTable, position: store_rows.Position, wait_ms: int
    ) -> store_rows.StoreChanges | None:
        """Returns the changes after a position, or None where the store has no such history."""

    async def write_row(self, table: store_rows.StoreTable, key: str, value: bytes) -> None:
        """Writes one row of the system's own."""

    async def remove_row(
        self, table: store_rows.StoreTable, key: str, changed: store_rows.Position
    ) -> None:
        """Removes a row of the system's own if it has not changed since a position."""
