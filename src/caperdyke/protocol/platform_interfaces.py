"""Interfaces to the platform that an instance runs on, implemented by ``caperdyke.platform``."""

import typing

from caperdyke.state import header_fields, ids, registration, routes, store_rows

# Names and values of headers; names are in lower case.
RawHeaders = list[tuple[bytes, bytes]]


class HeaderTranslator(typing.Protocol):
    """Reads and writes the platform's headers of callers and backend servers."""

    def parse_caller_headers(self, headers: RawHeaders) -> header_fields.CallerHeaders:
        """Returns the parsed headers of a caller's request."""

    def parse_server_headers(self, status: int, headers: RawHeaders) -> header_fields.ServerHeaders:
        """Returns the parsed headers of a backend server's answer."""

    def make_server_headers(
        self,
        headers: RawHeaders,
        wait_ms: float,
        server: ids.BackendId,
        identity: header_fields.Identity,
    ) -> RawHeaders:
        """Returns the headers of a caller's request as forwarded to a backend server.

        :param wait_ms: time until the request's deadline, in milliseconds.
        """

    def make_relayed_headers(
        self, headers: RawHeaders, wait_ms: float | None, identity: header_fields.Identity
    ) -> RawHeaders:
        """Returns the headers of a caller's request as forwarded to another instance.

        :param wait_ms: time for which the caller still waits, in milliseconds; None if unknown.
        """

    def make_refusal_headers(self, request_id: str, retry_seconds: float | None) -> RawHeaders:
        """Returns the headers of a refusal that the instance itself sends.

        :param retry_seconds: time after which the caller may retry; None to leave it out.
        """


class DocumentDecoder(typing.Protocol):
    """Decodes the rows that operators and backend servers write to the store."""

    def read_route_table(self, row: store_rows.StoreRow) -> routes.RouteTable | None:
        """Returns the configuration in a row, or None where the row holds something else."""

    def read_evacuation(self, row: store_rows.StoreRow) -> store_rows.Evacuation | None:
        """Returns the evacuation in a row, or None where the row holds something else."""

    def read_registration(self, row: store_rows.StoreRow) -> registration.Registration:
        """Returns the registration in a row."""


class Store(typing.Protocol):
    """The platform's store."""

    async def read_table(self, table: store_rows.StoreTable) -> store_rows.StoreChanges:
        """Returns all rows of a table."""

    async def read_changes(
        self, table: store_rows.StoreTable, position: store_rows.Position, wait_ms: int
    ) -> store_rows.StoreChanges | None:
        """Returns the changes after a position, or None if the store no longer has that history.

        :param wait_ms: time for which the store may wait for a change, in milliseconds.
        """

    async def write_row(self, table: store_rows.StoreTable, key: str, value: bytes) -> None:
        """Writes one of the rows that instances maintain."""

    async def remove_row(
        self, table: store_rows.StoreTable, key: str, changed: store_rows.Position
    ) -> None:
        """Removes one of the rows that instances maintain if it is unchanged since a position."""
