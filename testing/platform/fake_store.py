"""The platform's store in memory, over HTTP, with switches for faults."""

import asyncio
import base64
import dataclasses
import json

import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing


@dataclasses.dataclass(frozen=True)
class FakeCopy:
    """The state of the store at one moment."""

    position: int
    rows: dict[tuple[str, str], dict]


class FakeStore:
    """Tables of rows with one counter of changes.

    :ivar is_down: whether every call is refused with 503.
    :ivar is_silent: whether calls get no answer.
    :ivar is_open: clear while calls wait for their answer.
    :ivar loses_answers: whether writes are done and not answered.
    :ivar history_from: position before which the history is forgotten.
    :ivar is_mute: whether calls that wait hear of no change.
    :ivar refuses_servers: whether readings of registrations fail.
    :ivar era: how often the store came back from a copy.
    :ivar stale: a copy that whoever reads whole tables gets; None for the newest state.
    """

    def __init__(self) -> None:
        self.position = 1
        self.rows: dict[tuple[str, str], dict] = {}
        self.changes: list[dict] = []
        self.calls: list[str] = []
        self.is_down = False
        self.is_silent = False
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.loses_answers = False
        self.history_from = 0
        self.is_mute = False
        self.refuses_servers = False
        self.era = 1
        self.stale: FakeCopy | None = None
        self._changed = asyncio.Condition()

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the HTTP application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/caperdyke/rows-tx", self._transact, methods=["POST"]),
                route("/caperdyke/rows-get", self._read),
                route("/caperdyke/rows-feed", self._feed),
            ]
        )

    async def put(self, table: str, key: str, document) -> None:
        """Writes a row as the operator or a backend server does."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        await self._change(table, key, base64.b64encode(value).decode())

    async def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        await self._change(table, key, None)

    def forget_history(self) -> None:
        """Forgets every change so far."""
        self.history_from = self.position

    async def cut_watches(self) -> None:
        """Forgets every change so far and ends the calls that wait for one."""
        async with self._changed:
            self.forget_history()
            self._changed.notify_all()

    def copy(self) -> FakeCopy:
        """Returns the present state."""
        return FakeCopy(self.position, dict(self.rows))

    async def restore_copy(self, copy: FakeCopy) -> None:
        """Starts a new era from a copy: what was written since is gone, and so is the history."""
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
        await self.is_open.wait()
        if self.is_down:
            return self._say(503)
        return None

    async def _transact(self, request: starlette.requests.Request):
        refusal = await self._check(request)
        if refusal is not None:
            return refusal
        document = await request.json()
        for expected in document["expectedRevision"]:
            actual = self.rows.get((expected["table"], expected["key"]), {})
            if actual.get("dataVersion", 0) != expected["dataVersion"]:
                return self._answer({"rows": [actual]}, status=412)
        for row in document["writes"]:
            await self._change(row["table"], row["key"], row["value"])
        for row in document["remove"]:
            await self._change(row["table"], row["key"], None)
        if self.loses_answers:
            await asyncio.Event().wait()
        return self._answer({})

    async def _read(self, request: starlette.requests.Request):
        refusal = await self._check(request)
        if refusal is not None:
            return refusal
        query = request.query_params
        shown = self.stale or self.copy()
        found = sorted(
            (row for (table, _), row in shown.rows.items() if table == query["table"]),
            key=lambda row: row["key"].encode(),
        )
        found = [row for row in found if row["key"] >= query.get("from", "")]
        limit = int(query.get("limit", 500))
        document = {"rows": found[:limit], "hasMore": len(found) > limit}
        return self._answer(document, shown.position)

    async def _feed(self, request: starlette.requests.Request):
        refusal = await self._check(request)
        if refusal is not None:
            return refusal
        query = request.query_params
        if self.refuses_servers and query["table"] == "servers":
            return self._say(503)
        after = int(query["after"])
        if after < self.history_from or after > self.position:
            return self._say(410)
        era = self.era
        rows = [] if self.is_mute else self._list_changes(query["table"], after)
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                while not rows:
                    await self._changed.wait()
                    if self.era != era or after < self.history_from:
                        return self._say(410)
                    rows = [] if self.is_mute else self._list_changes(query["table"], after)
        except TimeoutError:
            # The wait is over without a change, which is an answer too.
            rows = []
        return self._answer({"rows": rows})

    def _list_changes(self, table: str, after: int) -> list[dict]:
        newest = {
            row["key"]: row
            for row in self.changes
            if row["table"] == table and row["dataVersion"] > after
        }
        return sorted(newest.values(), key=lambda row: row["dataVersion"])

    def _answer(self, document: dict, position: int | None = None, status: int = 200):
        document |= {"dataVersion": self.position if position is None else position, "nowMs": 0}
        headers = {"Store-Era": str(self.era)}
        return starlette.responses.JSONResponse(document, status, headers)

    def _say(self, status: int) -> starlette.responses.Response:
        return starlette.responses.Response(
            status_code=status, headers={"Store-Era": str(self.era)}
        )
