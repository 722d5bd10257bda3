"""Fake of the platform's store, in memory and over HTTP, with fault injection."""

import asyncio
import base64
import dataclasses
import json

import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """State of the store at one position."""

    position: int
    rows: dict[tuple[str, str], dict]


class FakeStore:
    """Tables of rows with a common sequence of changes.

    :ivar is_down: whether every call is refused with 503.
    :ivar is_silent: whether calls get no answer.
    :ivar is_open: event that must be set for calls to be answered.
    :ivar loses_answers: whether writes are applied but not answered.
    :ivar history_from: position before which the history of changes is lost.
    :ivar hides_changes: whether reads of changes return none.
    :ivar refuses_servers: whether reads of changed registrations are refused with 503.
    :ivar era: increased by every restore from a copy.
    :ivar stale: copy from which whole tables are read; None for the current state.
    """

    def __init__(self) -> None:
        self.position = 1
        self.rows: dict[tuple[str, str], dict] = {}
        self.changes: list[dict] = []
        self.calls: list[str] = []
        self.is_down = False
        self.is_silent = False
        self.answers_allowed = asyncio.Event()
        self.answers_allowed.set()
        self.loses_answers = False
        self.history_from = 0
        self.hides_changes = False
        self.refuses_servers = False
        self.era = 1
        self.stale: StoreCopy | None = None
        self._changed = asyncio.Condition()

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the ASGI application of the store."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/caperdyke/rows-tx", self._transact, methods=["POST"]),
                route("/caperdyke/rows-get", self._read),
                route("/caperdyke/rows-feed", self._read_changes),
            ]
        )

    async def put(self, table: str, key: str, document) -> None:
        """Writes a row, as the operator or a backend server does.

        :param document: bytes, or a value to encode as JSON.
        """
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        await self._change(table, key, base64.b64encode(value).decode())

    async def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        await self._change(table, key, None)

    def forget_history(self) -> None:
        """Loses the history of all changes so far."""
        self.history_from = self.position

    async def cut_watches(self) -> None:
        """Loses the history of all changes so far and ends the long polls."""
        async with self._changed:
            self.forget_history()
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        """Returns a copy of the current state."""
        return StoreCopy(self.position, dict(self.rows))

    async def restore_copy(self, copy: StoreCopy) -> None:
        """Starts a new era from a copy, without later writes and without history."""
        async with self._changed:
            self.era += 1
            self.position = self.history_from = copy.position
            self.rows = dict(copy.rows)
            self.changes.clear()
            self._changed.notify_all()

    async def _change(self, table: str, key: str, value: str | None) -> None:
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

    async def _check(self, request: starlette.requests.Request):
        self.calls.append(request.url.path)
        if self.is_silent:
            await asyncio.Event().wait()
        await self.answers_allowed.wait()
        if self.is_down:
            return self._respond_status(503)
        return None

    async def _transact(self, request: starlette.requests.Request):
        refusal = await self._check(request)
        if refusal is not None:
            return refusal
        document = await request.json()
        for expected in document["expectedRevision"]:
            actual = self.rows.get((expected["table"], expected["key"]), {})
            if actual.get("dataVersion", 0) != expected["dataVersion"]:
                return self._respond({"rows": [actual]}, status=412)
        for row in document["writes"]:
            await self._change(row["table"], row["key"], row["value"])
        for row in document["remove"]:
            await self._change(row["table"], row["key"], None)
        if self.loses_answers:
            await asyncio.Event().wait()
        return self._respond({})

    async def _read(self, request: starlette.requests.Request):
        refusal = await self._check(request)
        if refusal is not None:
            return refusal
        query = request.query_params
        state = self.stale or self.copy()
        rows = sorted(
            (row for (table, _), row in state.rows.items() if table == query["table"]),
            key=lambda row: row["key"].encode(),
        )
        rows = [row for row in rows if row["key"] >= query.get("from", "")]
        limit = int(query.get("limit", 500))
        document = {"rows": rows[:limit], "hasMore": len(rows) > limit}
        return self._respond(document, state.position)

    async def _read_changes(self, request: starlette.requests.Request):
        refusal = await self._check(request)
        if refusal is not None:
            return refusal
        query = request.query_params
        if self.refuses_servers and query["table"] == "servers":
            return self._respond_status(503)
        after = int(query["after"])
        if after < self.history_from or after > self.position:
            return self._respond_status(410)
        era = self.era
        rows = [] if self.hides_changes else self._list_changes(query["table"], after)
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                while not rows:
                    await self._changed.wait()
                    if self.era != era or after < self.history_from:
                        return self._respond_status(410)
                    rows = [] if self.hides_changes else self._list_changes(query["table"], after)
        except TimeoutError:
            # A long poll without a change is answered with no rows.
            rows = []
        return self._respond({"rows": rows})

    def _list_changes(self, table: str, after: int) -> list[dict]:
        newest = {
            row["key"]: row
            for row in self.changes
            if row["table"] == table and row["dataVersion"] > after
        }
        return sorted(newest.values(), key=lambda row: row["dataVersion"])

    def _respond(self, document: dict, position: int | None = None, status: int = 200):
        document |= {"dataVersion": self.position if position is None else position, "nowMs": 0}
        headers = {"Store-Era": str(self.era)}
        return starlette.responses.JSONResponse(document, status, headers)

    def _respond_status(self, status: int) -> starlette.responses.Response:
        return starlette.responses.Response(
            status_code=status, headers={"Store-Era": str(self.era)}
        )
