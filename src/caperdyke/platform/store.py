"""Client of the platform's store."""

import base64
import dataclasses
import json
import urllib.parse

from caperdyke import errors
from caperdyke.state import ids, store_rows
from caperdyke.transport.http import http_client, tcp_keepalive

# Longest time of a call beyond the wait that it requests. A response takes a few milliseconds; a
# store slower than this is treated as unavailable.
CALL_TIMEOUT_S = 1.5
# One long poll, and two concurrent reads for each table.
CONNECTIONS_MAX = 8
ROWS_MAX = 500
# Largest answer. A page of rows has up to 1 MB of values before they are encoded; changes that take
# more are read as pages of the whole table.
ANSWER_MAX_BYTES = 4 * 1024 * 1024
# In every response; increases by one each time the store is restored from an older copy.
ERA_HEADER = "store-era"
GONE_STATUS = 410

_TABLE_NAMES = {
    # The operator's configuration and orders.
    store_rows.StoreTable.CONFIGURATION: "op",
    store_rows.StoreTable.SERVERS: "servers",
    # The gateways' own table.
    store_rows.StoreTable.INSTANCES: "instances",
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """A response of the store.

    :param era: how often the store had been restored from an older copy.
    """

    status: int
    era: int
    content: bytes


class Store:
    """Calls the store; exceptions distinguish failed writes from those of unknown outcome."""

    def __init__(self, address: ids.Address) -> None:
        self._address = address
        self._client = http_client.HttpClient(
            CONNECTIONS_MAX, CALL_TIMEOUT_S, tcp_keepalive.STORE_KEEPALIVE
        )

    async def read_table(self, table: store_rows.StoreTable) -> store_rows.StoreChanges:
        """Returns all rows of a table.

        :raises errors.PlatformUnavailableError: if the store returned no usable response.
        """
        rows: list[store_rows.StoreRow] = []
        position: store_rows.Position | None = None
        start = ""
        while True:
            query = {"table": _TABLE_NAMES[table], "part": "", "limit": ROWS_MAX}
            if start:
                query["from"] = start
            target, answer = await self._read("/caperdyke/rows-get", query, CALL_TIMEOUT_S)
            document = _decode(target, answer)
            page = store_rows.Position(answer.era, document["dataVersion"])
            rows += [_read_row(table, answer.era, item) for item in document["rows"]]
            # The first page's position is returned: a reader that continues from there receives
            # changes made during the later pages again.
            position = page if position is None else position
            if page < position or page.era != position.era:
                raise errors.PlatformUnavailableError(
                    f"{target}: got a page at {page}, expected none before {position}"
                )
            if not document.get("hasMore") or not document["rows"]:
                return store_rows.StoreChanges(table, tuple(rows), position, True)
            start = rows[-1].key + "\0"

    async def read_changes(
        self, table: store_rows.StoreTable, position: store_rows.Position, wait_ms: int
    ) -> store_rows.StoreChanges | None:
        """Returns the changes after a position, or None if only the whole table can be read.

        The store has no history from there, or so many changes that they exceed an answer.

        :param wait_ms: how long the store may wait for a first change, in milliseconds.
        :raises errors.PlatformUnavailableError: if the store returned no usable response.
        """
        query = {"table": _TABLE_NAMES[table], "after": position.number, "waitMs": wait_ms}
        timeout = wait_ms / 1000 + CALL_TIMEOUT_S
        try:
            target, answer = await self._read("/caperdyke/rows-feed", query, timeout)
        except errors.AnswerTooLargeError:
            return None
        if answer.status == GONE_STATUS:
            return None
        document = _decode(target, answer)
        if answer.era != position.era:
            # A position number is valid only in the era that assigned it.
            return None
        rows = tuple(_read_row(table, answer.era, item) for item in document["rows"])
        latest_position = store_rows.Position(answer.era, document["dataVersion"])
        return store_rows.StoreChanges(table, rows, latest_position, False)

    async def write_row(self, table: store_rows.StoreTable, key: str, value: bytes) -> None:
        """Writes one row unconditionally.

        :raises errors.PlatformUnavailableError: if nothing was written.
        :raises errors.OutcomeUnknownError: if the response was lost.
        """
        text = base64.b64encode(value).decode()
        row = {"table": _TABLE_NAMES[table], "part": "", "key": key, "value": text}
        await self._write({"expectedRevision": [], "writes": [row], "remove": []})

    async def remove_row(
        self, table: store_rows.StoreTable, key: str, changed: store_rows.Position
    ) -> None:
        """Removes a row if it has not changed since a position.

        Callers must not pass rows that they read in an earlier era: the store may have assigned
        the same number again since.

        :raises errors.VersionConflictError: if the row has changed.
        :raises errors.PlatformUnavailableError: if nothing was removed.
        :raises errors.OutcomeUnknownError: if the response was lost.
        """
        row = {"table": _TABLE_NAMES[table], "part": "", "key": key}
        expected = {**row, "dataVersion": changed.number}
        await self._write({"expectedRevision": [expected], "writes": [], "remove": [row]})

    async def close(self) -> None:
        """Closes the pooled connections."""
        await self._client.close()

    async def _read(self, path: str, query: dict, timeout: float) -> tuple[str, _Answer]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            return target, await self._call("GET", target, b"", timeout)
        except errors.OutcomeUnknownError as error:
            if isinstance(error.__cause__, http_client.ResponseTooLargeError):
                raise errors.AnswerTooLargeError(str(error)) from error
            raise errors.PlatformUnavailableError(str(error)) from error

    async def _write(self, document: dict) -> None:
        path = "/caperdyke/rows-tx"
        answer = await self._call("POST", path, json.dumps(document).encode(), CALL_TIMEOUT_S)
        if answer.status == 412:
            expected = document["expectedRevision"][0]
            found = _decode(path, dataclasses.replace(answer, status=200))
            actual = next(iter(found.get("rows", ())), {})
            raise errors.VersionConflictError(
                expected["key"], actual.get("dataVersion", 0), expected["dataVersion"]
            )
        _decode(path, answer)

    async def _call(self, method: str, target: str, body: bytes, timeout: float) -> _Answer:
        exchange = http_client.Exchange()
        headers = [("Content-Type", "application/json")] if body else []
        try:
            response, content = await self._client.fetch(
                exchange,
                method,
                self._address,
                target,
                headers,
                body or None,
                timeout,
                ANSWER_MAX_BYTES,
            )
        except http_client.FAILURES as error:
            message = f"{method} {target}: {error!r}"
            if exchange.is_sent:
                raise errors.OutcomeUnknownError(message) from error
            raise errors.PlatformUnavailableError(message) from error
        # A store that was never restored may send no era.
        era = response.find_header(ERA_HEADER, "0")
        return _Answer(response.status_code, int(era) if era.isdecimal() else 0, content)


def _decode(target: str, answer: _Answer) -> dict:
    if answer.status != 200:
        raise errors.PlatformUnavailableError(f"{target}: got status {answer.status}, expected 200")
    try:
        return json.loads(answer.content)
    except ValueError as error:
        raise errors.PlatformUnavailableError(f"{target}: {error}") from error


def _read_row(table: store_rows.StoreTable, era: int, item: dict) -> store_rows.StoreRow:
    value = None if item.get("tombstone") else _decode_value(item.get("value", ""))
    changed = store_rows.Position(era, item["dataVersion"])
    return store_rows.StoreRow(table, item["key"], changed, value)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        # A row of another writer; the code that decodes the row reports it as unreadable.
        return b""
