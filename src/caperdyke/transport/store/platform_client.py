"""HTTP client of the platform's table, object store and instance list."""

import base64
import dataclasses
import json

from caperdyke import errors
from caperdyke.state import ids
from caperdyke.transport.http import http_client

CALL_TIMEOUT_SECONDS = 1.5
CONNECTIONS_MAX = 20
# Largest answer. A snapshot of 1,000 documents takes half a megabyte.
ANSWER_MAX_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    :param version: grows with every write; 0 where the row does not exist.
    """

    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's instance list, which lags behind the actual state.

    :param kind: ``entry`` or ``backend``.
    :param state: ``live`` or ``leaving``.
    """

    name: str
    kind: str
    state: str
    domain: str
    address: str
    service: str = ""
    slots: int = 0


class PlatformClient:
    """Calls the platform; its errors separate failed writes from those with an unknown outcome."""

    def __init__(self, address: ids.Address, timeout: float = CALL_TIMEOUT_SECONDS) -> None:
        self._address = address
        self._timeout = timeout
        self._client = http_client.HttpClient(CONNECTIONS_MAX, timeout)

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Returns rows of the table; a row that does not exist has version 0.

        :raises errors.PlatformUnavailableError: if the platform did not answer.
        """
        try:
            body = await self._call("POST", "/table/read", json.dumps({"keys": keys}).encode())
        except errors.OutcomeUnknownError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        rows = json.loads(body)["rows"]
        return {
            key: Row(row["version"], base64.b64decode(row["value"])) for key, row in rows.items()
        }

    async def transact(self, expected: dict[str, int], values: dict[str, bytes]) -> dict[str, int]:
        """Writes rows if every expected version matches; returns the new versions.

        :raises errors.VersionConflictError: if a version differs; nothing was written.
        :raises errors.PlatformUnavailableError: if nothing was written.
        :raises errors.OutcomeUnknownError: if the response was lost.
        """
        encoded = {key: base64.b64encode(value).decode() for key, value in values.items()}
        request = json.dumps({"expect": expected, "put": encoded}).encode()
        return json.loads(await self._call("POST", "/table/transact", request))["versions"]

    async def list_instances(self) -> list[ListedInstance]:
        """Returns the list of live and leaving instances, which lags behind their state."""
        try:
            body = await self._call("GET", "/instances", b"")
        except errors.OutcomeUnknownError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        return [ListedInstance(**item) for item in json.loads(body)["instances"]]

    async def get_object(self, name: str) -> bytes | None:
        """Returns an object of the object store, or None if it does not exist."""
        try:
            return await self._call("GET", f"/objects/{name}", b"")
        except errors.OutcomeUnknownError as error:
            raise errors.PlatformUnavailableError(str(error)) from error

    async def put_object(self, name: str, data: bytes) -> None:
        """Stores an object; idempotent."""
        await self._call("PUT", f"/objects/{name}", data)

    async def close(self) -> None:
        """Closes the pooled connections."""
        await self._client.close()

    async def _call(self, method: str, path: str, body: bytes) -> bytes | None:
        exchange = http_client.Exchange()
        headers = [("Content-Type", "application/json")]
        try:
            response, content = await self._client.fetch(
                exchange,
                method,
                self._address,
                path,
                headers,
                body,
                self._timeout,
                ANSWER_MAX_BYTES,
            )
        except http_client.FAILURES as error:
            message = f"{method} {path}: {error!r}"
            if exchange.is_sent:
                raise errors.OutcomeUnknownError(message) from error
            raise errors.PlatformUnavailableError(message) from error
        return self._check(method, path, response.status_code, content)

    def _check(self, method: str, path: str, status: int, content: bytes) -> bytes | None:
        if status == 409:
            conflict = json.loads(content)
            raise errors.VersionConflictError(
                conflict["key"], conflict["actual"], conflict["expected"]
            )
        if status == 404:
            return None
        if status != 200:
            raise errors.PlatformUnavailableError(f"{method} {path}: status {status}")
        return content
