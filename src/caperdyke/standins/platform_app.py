"""HTTP application that simulates the platform, with fault injection."""

import asyncio
import collections
import dataclasses
import json
import time

import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from caperdyke.standins import table


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults of the platform.

    :param down: every call is refused without effect.
    :param delay_ms: additional time of every call, in milliseconds.
    :param lose_answers: number of transactions that take effect but get no response.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


class PlatformApp:
    """The table service, the object store and the delayed instance list.

    :param list_lag: age of the instance list that is returned, in seconds.
    """

    def __init__(self, list_lag: float) -> None:
        self.table = table.Table()
        self.faults = Faults()
        self._list_lag = list_lag
        self._objects: dict[str, bytes] = {}
        self._instances: dict[str, dict] = {}
        self._history: collections.deque[tuple[float, list[dict]]] = collections.deque()

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the HTTP application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/table/read", self._with_faults(self.read_table), methods=["POST"]),
                route("/table/transact", self._with_faults(self.transact), methods=["POST"]),
                route("/objects/{name}", self._with_faults(self.get_object)),
                route("/objects/{name}", self._with_faults(self.put_object), methods=["PUT"]),
                route("/instances", self._with_faults(self.list_instances)),
                route("/standin/instances", self.set_instances, methods=["PUT"]),
                route("/standin/faults", self.set_faults, methods=["PUT"]),
                route("/standin/counts", self.report_counts),
            ]
        )

    async def read_table(self, request: starlette.requests.Request):
        """Returns rows of the table."""
        keys = json.loads(await request.body())["keys"]
        rows = self.table.read(keys)
        return _reply(
            {"rows": {k: {"version": row.version, "value": row.value} for k, row in rows.items()}}
        )

    async def transact(self, request: starlette.requests.Request):
        """Writes rows if all expected versions match."""
        body = json.loads(await request.body())
        conflict = self.table.transact(body["expect"], body["put"])
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await asyncio.sleep(3600)
        if conflict is not None:
            return _reply(dataclasses.asdict(conflict), 409)
        return _reply({"versions": {key: self.table.find_version(key) for key in body["put"]}})

    async def get_object(self, request: starlette.requests.Request):
        """Returns an object."""
        data = self._objects.get(request.path_params["name"])
        return starlette.responses.Response(data or b"", 200 if data is not None else 404)

    async def put_object(self, request: starlette.requests.Request):
        """Stores an object."""
        self._objects[request.path_params["name"]] = await request.body()
        return _reply({})

    async def list_instances(self, request: starlette.requests.Request):
        """Returns the instance list of ``list_lag`` seconds ago."""
        listed_at = time.time() - self._list_lag
        while len(self._history) > 1 and self._history[1][0] <= listed_at:
            self._history.popleft()
        has_list = bool(self._history) and self._history[0][0] <= listed_at
        return _reply({"instances": self._history[0][1] if has_list else []})

    async def set_instances(self, request: starlette.requests.Request):
        """Adds or changes entries of the instance list."""
        for item in json.loads(await request.body())["instances"]:
            self._instances[item["name"]] = item
        self._history.append((time.time(), list(self._instances.values())))
        return _reply({})

    async def set_faults(self, request: starlette.requests.Request):
        """Replaces the active faults."""
        self.faults = Faults(**json.loads(await request.body()))
        return _reply({})

    async def report_counts(self, request: starlette.requests.Request):
        """Reports the numbers of rows read and written."""
        return _reply({"reads": self.table.read_count, "writes": self.table.write_count})

    def _with_faults(self, handler):
        async def handle_with_faults(request: starlette.requests.Request):
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / 1000)
            if self.faults.down:
                return _reply({"error": "down"}, 503)
            return await handler(request)

        return handle_with_faults


def _reply(body: dict, status: int = 200) -> starlette.responses.Response:
    return starlette.responses.Response(json.dumps(body), status, media_type="application/json")
