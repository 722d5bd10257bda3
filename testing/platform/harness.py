"""A gateway in this process between callers, fake servers and a fake store."""

import asyncio
import contextlib
import dataclasses
import itertools
import os

import aiosonic
import testtools

from caperdyke.platform import calls, documents, headers, store
from caperdyke.state import gateway_settings, ids, settings
from caperdyke.transport.gateway import context, node
from testing import servers
from testing.platform import fake_server, fake_store

HOST = "shop.example"
# Without a window the allowance for repeated sends holds from the start of an instance on.
BOUNDS = gateway_settings.GatewayBounds(0.2, 60, 0.0, 1.5, 5, 1.5, 5.0, 6.0)
WAIT_SECONDS = 5.0


def make_configuration(version: int = 1, **changes) -> dict:
    """Returns a configuration with a safe, an unsafe and a split route."""
    common = {
        "host": HOST,
        "timeoutMs": 4000,
        "latencyObjectiveMs": 600,
        "priority": 1,
        "maxAttempts": 3,
        "sessionAffinity": True,
        "homeRegions": [],
    }
    routes = {
        "r-read": {**common, "prefix": "/read/", "kind": "safe", "service": "reader"},
        "r-buy": {**common, "prefix": "/buy/", "kind": "unsafe", "service": "reader"},
    }
    service = {"connectionLimit": 100, "coldStartS": 3.0, "coldPerS": 3.6}
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 100_000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    document = {
        "version": version,
        "routes": routes,
        "services": {"reader": service},
        "limits": limits,
    }
    document.update(changes)
    return document


# Ports below those that the system gives to outgoing connections.
_PORTS = itertools.count(21_000 + os.getpid() % 500 * 16)


def pick_address() -> ids.Address:
    """Returns a loopback address with a free port, never the same twice."""
    return ids.Address(servers.pick_address(_PORTS))


class Stage:
    """The parts of one test."""

    def __init__(self) -> None:
        self.store = fake_store.FakeStore()
        self.servers: list[fake_server.FakeServer] = []
        self.gateway: node.GatewayNode | None = None
        self.stop = asyncio.Event()
        self.running: asyncio.Task | None = None
        self._client = aiosonic.HTTPClient(handle_cookies=False)
        self._numbers = iter(range(1, 10_000))

    async def ask(self, path: str = "/read/1", method: str = "GET", body: bytes = b"", **named):
        """Sends a caller's request and returns status, headers and body.

        :param named: ``request_id``, ``wait_ms``, ``key`` and ``host`` of the request.
        """
        sent = {
            "Host": named.get("host", HOST),
            "Caperdyke-Request-Id": named.get("request_id", f"request-{next(self._numbers)}"),
            "Caperdyke-Request-Deadline": str(named.get("wait_ms", 3000)),
            "Cookie": f"Caperdyke-Affinity-Key={named.get('key', 'k1')}",
        }
        address = self.gateway.node.settings.caller_address
        response = await self._client.request(
            f"http://{address}{path}", method, headers=sent, data=body or None
        )
        found = {name.lower(): value for name, value in response.headers.items()}
        return response.status_code, found, await response.content()

    async def look_up(self, domain: str = "hall-1") -> tuple[int, dict]:
        """Asks where to connect."""
        address = self.gateway.node.settings.lookup_address
        query = f"name={HOST}&region=north&zone={domain}"
        response = await self._client.get(f"http://{address}/caperdyke/resolve?{query}")
        return response.status_code, await response.json() if response.status_code == 200 else {}

    async def ask_ready(self) -> int:
        """Returns the status of the readiness call."""
        address = self.gateway.node.settings.readiness_address
        return (await self._client.get(f"http://{address}/caperdyke/readiness")).status_code

    async def wait_until(self, is_true) -> None:
        """Waits for a condition, at most a few seconds of real time."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not is_true():
                await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Ends everything."""
        self.stop.set()
        if self.running is not None:
            self.running.cancel()
            await asyncio.gather(self.running, return_exceptions=True)
        await self._client.aclose()


@contextlib.asynccontextmanager
async def open_stage(
    server_names=("s1", "s2"), configuration=None, is_ready_awaited=True, prepare_store=None
):
    """Yields a stage whose gateway runs and knows configuration and servers.

    :param prepare_store: called with the store before the gateway starts.
    """
    harness = Stage()
    async with contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(servers.serve_app(harness.store.make_app()))
        if configuration is None:
            configuration = make_configuration()
        if configuration:
            await harness.store.put("op", "config", configuration)
        for name in server_names:
            server = fake_server.FakeServer(name)
            harness.servers.append(await stack.enter_async_context(server.listen()))
            await harness.store.put("servers", name, server.register("reader", "hall-1"))
        if prepare_store is not None:
            prepare_store(harness.store)
        checked = make_settings(store_address)
        shared = context.GatewayContext(
            checked, headers, documents, store.Store(checked.store_address)
        )
        harness.gateway = node.GatewayNode(shared, make_platform_apps)
        harness.running = asyncio.create_task(harness.gateway.run(harness.stop))
        stack.push_async_callback(harness.close)
        await harness.wait_until(lambda: harness.gateway.is_listening)
        if is_ready_awaited:
            await harness.wait_until(lambda: shared.fleet.is_ready)
        yield harness


def make_platform_apps(shared: context.GatewayContext) -> dict:
    """Returns the applications that answer the platform's own calls."""
    return {
        shared.settings.readiness_address: calls.make_readiness_app(shared),
        shared.settings.lookup_address: calls.make_lookup_app(shared),
    }


def make_settings(store_address: str) -> gateway_settings.GatewaySettings:
    """Returns settings on free ports of the loopback interface."""
    return gateway_settings.GatewaySettings(
        instance=ids.InstanceId("gateway-1"),
        domain=ids.DomainName("hall-1"),
        region=ids.RegionName("north"),
        caller_address=pick_address(),
        readiness_address=pick_address(),
        lookup_address=pick_address(),
        metrics_address=pick_address(),
        peer_address=pick_address(),
        store_address=ids.Address(store_address),
        seeds=(),
        domains={
            ids.DomainName("hall-1"): ids.RegionName("north"),
            ids.DomainName("hall-2"): ids.RegionName("south"),
        },
        bounds=BOUNDS,
        logs=settings.LogSettings("INFO", settings.LogFormat.TEXT),
    )


def replace_settings(
    checked: gateway_settings.GatewaySettings, **changes
) -> gateway_settings.GatewaySettings:
    """Returns settings with some values changed."""
    return dataclasses.replace(checked, **changes)


class AsyncTestCase(testtools.TestCase):
    """A test case that runs coroutines."""

    def run_async(self, scene) -> None:
        """Runs a coroutine function to its end."""
        asyncio.run(scene())
