"""Stand-in of the platform's store: rows, transactions and the feed, over HTTP/1.1."""

import asyncio
import base64
import json
import time
import urllib.parse

from review.common import http

HISTORY_S = 20.0


class Store:
    """Keeps rows in memory; every change gets the next number of one counter.

    :ivar refuses: called with the peer's host; whether its calls are answered 503.
    """

    def __init__(self) -> None:
        self.position = 1
        self.rows: dict[tuple[str, str], dict] = {}
        self.changes: list[dict] = []
        self.refuses = lambda host: False
        self.address = ""
        self._changed = asyncio.Condition()

    async def listen(self, host: str) -> asyncio.Server:
        """Starts to serve on a free port of a loopback address."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        return server

    async def put(self, table: str, key: str, document) -> int:
        """Writes a row and returns its version, as the operator or a target does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return await self._change(table, key, value)

    async def drop(self, table: str, key: str) -> int:
        """Removes a row."""
        return await self._change(table, key, None)

    async def _change(self, table: str, key: str, value: str | None) -> int:
        async with self._changed:
            self.position += 1
            row = {"table": table, "part": "", "key": key, "dataVersion": self.position}
            if value is None:
                self.rows.pop((table, key), None)
                row["tombstone"] = True
            else:
                row["value"] = value
                self.rows[table, key] = row
            self.changes.append(row)
            self._changed.notify_all()
            return self.position

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await http.read_request(reader)
                if request is None:
                    break
                if self.refuses(host):
                    status, document = 503, {}
                else:
                    status, document = await self._answer(request)
                document |= {"nowMs": int(time.monotonic() * 1000)}
                document.setdefault("dataVersion", self.position)
                body = json.dumps(document).encode()
                head = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(http.make_answer(status, head, body))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: http.Request) -> tuple[int, dict]:
        path, _, text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        match path:
            case "/caperdyke/rows-get":
                return self._read(query)
            case "/caperdyke/rows-feed":
                return await self._follow(query)
            case "/caperdyke/rows-tx":
                return await self._transact(json.loads(request.body))
        return 404, {}

    def _read(self, query: dict) -> tuple[int, dict]:
        rows = sorted(
            (row for (table, _), row in self.rows.items() if table == query["table"]),
            key=lambda row: row["key"].encode(),
        )
        rows = [row for row in rows if row["key"] >= query.get("from", "")]
        limit = min(500, int(query.get("limit", 500)))
        return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _follow(self, query: dict) -> tuple[int, dict]:
        after = int(query["after"])
        if after > self.position:
            return 410, {}
        rows = self._list_changes(query["table"], after)
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                while not rows:
                    await self._changed.wait()
                    rows = self._list_changes(query["table"], after)
        except TimeoutError:
            rows = []
        return 200, {"rows": rows}

    def _list_changes(self, table: str, after: int) -> list[dict]:
        newest = {
            row["key"]: row
            for row in self.changes
            if row["table"] == table and row["dataVersion"] > after
        }
        return sorted(newest.values(), key=lambda row: row["dataVersion"])

    async def _transact(self, document: dict) -> tuple[int, dict]:
        for expected in document.get("expectedRevision", ()):
            actual = self.rows.get((expected["table"], expected["key"]), {})
            if actual.get("dataVersion", 0) != expected["dataVersion"]:
                return 412, {"rows": [actual] if actual else []}
        touched = [*document.get("writes", ()), *document.get("remove", ())]
        if any(row["table"] in ("op", "servers") for row in touched):
            return 403, {}
        for row in document.get("writes", ()):
            await self._change(row["table"], row["key"], row["value"])
        for row in document.get("remove", ()):
            await self._change(row["table"], row["key"], None)
        return 200, {}
