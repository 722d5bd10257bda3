"""Client of the platform's store."""

import base64
import json
import urllib.parse

from caperdyke import errors
from caperdyke.state import ids, store_rows
from caperdyke.transport.http import http_client

# Longest time of a call beyond the wait that it asks for, in seconds. An answer takes a few
# milliseconds; a store that is slower than this counts as away.
CALL_SECONDS = 1.5
CONNECTIONS_MAX = 4
ROWS_MAX = 500

_TABLES = {
    # Holds the configuration and orders of the operator.
    store_rows.StoreTable.CONFIGURATION: "op",
    store_rows.StoreTable.SERVERS: "servers",
    # The system's own table.
    store_rows.StoreTable.INSTANCES: "instances",
}


class Store:
    """Calls the store and tells failures apart by what they say about a write."""

    def __init__(self, address: ids.Address) -> None:
        self._base = f"http://{address}"
        self._client = http_client.HttpClient(CONNECTIONS_MAX, CALL_SECONDS)

    async def read_table(self, table: store_rows.StoreTable) -> store_rows.StoreChanges:
        """Returns all rows of a table.

        :raises errors.PlatformUnavailableError: where the store did not answer.
        """
        rows: list[store_rows.StoreRow] = []
        position = None
        start = ""
        while True:
            query = {"table": _TABLES[table], "part": "", "limit": ROWS_MAX}
            if start:
                query["from"] = start
            document = await self._read("/caperdyke/rows-get", query, CALL_SECONDS)
            rows += [_read_row(table, item) for item in document["rows"]]
            # Changes during the later pages are seen again by whoever follows from the first.
            position = document["dataVersion"] if position is None else position
            if not document.get("hasMore") or not document["rows"]:
                return store_rows.StoreChanges(table, tuple(rows), position, True)
            start = rows[-1].key + "\0"

    async def read_changes(
        self, table: store_rows.StoreTable, position: int, wait_ms: int
    ) -> store_rows.StoreChanges | None:
        """Returns the changes after a position, or None where the store has forgotten them.

        :param wait_ms: how long the store may wait for a first change, in milliseconds.
        :raises errors.PlatformUnavailableError: where the store did not answer.
        """
        query = {"table": _TABLES[table], "after": position, "waitMs": wait_ms}
        timeout = wait_ms / 1000 + CALL_SECONDS
        document = await self._read("/caperdyke/rows-feed", query, timeout)
        if document is None:
            return None
        rows = tuple(_read_row(table, item) for item in document["rows"])
        return store_rows.StoreChanges(table, rows, document["dataVersion"], False)

    async def write_row(self, table: store_rows.StoreTable, key: str, value: bytes) -> None:
        """Writes one row of the system's own, whatever it held.

        :raises errors.PlatformUnavailableError: where nothing was written.
        :raises errors.OutcomeUnknownError: where the answer was lost.
        """
        text = base64.b64encode(value).decode()
        row = {"table": _TABLES[table], "part": "", "key": key, "value": text}
        await self._write({"expectedRevision": [], "writes": [row], "remove": []})

    async def remove_row(self, table: store_rows.StoreTable, key: str, version: int) -> None:
        """Removes a row of the system's own if it has not changed since a version.

        :raises errors.VersionConflictError: where it has changed.
        :raises errors.PlatformUnavailableError: where nothing was removed.
        :raises errors.OutcomeUnknownError: where the answer was lost.
        """
        row = {"table": _TABLES[table], "part": "", "key": key}
        expected = {**row, "dataVersion": version}
        await self._write({"expectedRevision": [expected], "writes": [], "remove": [row]})

    async def close(self) -> None:
        """Closes the kept connections."""
        await self._client.close()

    async def _read(self, path: str, query: dict, timeout: float) -> dict | None:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            status, content = await self._call("GET", target, b"", timeout)
        except errors.OutcomeUnknownError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        if status == 410:
            return None
        return _decode(target, status, content)

    async def _write(self, document: dict) -> None:
        path = "/caperdyke/rows-tx"
        status, content = await self._call(
            "POST", path, json.dumps(document).encode(), CALL_SECONDS
        )
        if status == 412:
            expected = document["expectedRevision"][0]
            actual = next(iter(_decode(path, 200, content).get("rows", ())), {})
            raise errors.VersionConflictError(
                expected["key"], actual.get("dataVersion", 0), expected["dataVersion"]
            )
        _decode(path, status, content)

    async def _call(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        exchange = http_client.Exchange()
        headers = [("Content-Type", "application/json")] if body else []
        try:
            response, content = await self._client.fetch(
                exchange, method, self._base + target, headers, body or None, timeout
            )
        except http_client.FAILURES as error:
            message = f"{method} {target}: {error!r}"
            if exchange.is_sent:
                raise errors.OutcomeUnknownError(message) from error
            raise errors.PlatformUnavailableError(message) from error
        return response.status_code, content


def _decode(target: str, status: int, content: bytes) -> dict:
    if status != 200:
        raise errors.PlatformUnavailableError(f"{target}: got status {status}, expected 200")
    try:
        return json.loads(content)
    except ValueError as error:
        raise errors.PlatformUnavailableError(f"{target}: {error}") from error


def _read_row(table: store_rows.StoreTable, item: dict) -> store_rows.StoreRow:
    value = None if item.get("tombstone") else _decode_value(item.get("value", ""))
    return store_rows.StoreRow(table, item["key"], item["dataVersion"], value)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        # Another writer's row; its reader reports that it names nothing.
        return b""
