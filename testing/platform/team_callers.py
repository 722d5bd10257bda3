"""Callers that send keys on raw connections, and configurations with teams."""

import asyncio

from testing.platform import harness

KEY, OTHER_KEY = "ymh2rrytapjsujqurtyi", "ikdrbn4ryrbbkf83fgfw"
BEARER = ("Authorization", f"Bearer {KEY}")


def make_teams(**changes) -> dict:
    """Returns the teams of a configuration: huka270 with KEY, and another one with OTHER_KEY.

    :param changes: fields of huka270 to replace.
    """
    return {
        "huka270": {"apiKeys": [KEY], "priority": 1, **changes},
        "other": {"apiKeys": [OTHER_KEY], "priority": 2},
    }


def make_routes(**changes) -> dict:
    """Returns the default routes and a public one.

    :param changes: fields of the route for reading to replace.
    """
    routes = harness.make_configuration()["routes"]
    routes["r-read"] |= changes
    routes["r-public"] = {**routes["r-read"], "prefix": "/public/", "public": True}
    return routes


def make_configuration(version: int = 1, tenants=None, **changes) -> dict:
    """Returns a configuration with teams.

    :param tenants: the teams; ``make_teams()`` if None.
    """
    tenants = make_teams() if tenants is None else tenants
    fields = {"routes": make_routes(), "tenants": tenants} | changes
    return harness.make_configuration(version, **fields)


class RawCaller:
    """One connection of a caller that sends headers as they are given.

    :param address: the gateway's address for callers.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send_request(
        self, *headers: tuple[str, str], path: str = "/read/1", request_id: str = "r1"
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request and returns status, headers and body of the answer."""
        if self._writer is None:
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        head = [f"GET {path} HTTP/1.1", f"Host: {harness.HOST}"]
        head += [f"Caperdyke-Request-Id: {request_id}", "Caperdyke-Request-Deadline: 3000"]
        head += [f"{name}: {value}" for name, value in headers]
        self._writer.write("\r\n".join([*head, "", ""]).encode())
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        found = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        body = await self._reader.readexactly(int(found.get("content-length", 0)))
        return int(lines[0].split()[1]), found, body

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()


def call(env: harness.GatewayHarness) -> RawCaller:
    """Returns a new connection to the gateway of a harness."""
    return RawCaller(env.gateway.node.settings.caller_address)
