"""A gateway in this process between callers, fake servers and a fake store."""

import asyncio
import contextlib
import dataclasses
import functools

import aiosonic
import testtools

from caperdyke.platform import calls, documents, headers, store
from caperdyke.state import clock, gateway_settings, ids, settings
from caperdyke.transport.gateway import context, node
from testing import servers
from testing.platform import fake_server, fake_store

HOST = "shop.example"
# The retry window is 0, so the retry allowance applies from the start of an instance.
BOUNDS = gateway_settings.GatewayBounds(0.2, 60, 0.0, 1.5, 5, 1.5, 5.0, 6.0)
WAIT_SECONDS = 5.0


def make_configuration(version: int = 1, **changes) -> dict:
    """Returns a configuration document with a safe and an unsafe route.

    :param changes: top-level fields to replace.
    """
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


# Blocks of ports below the ephemeral range of the system, and above those of the soak.
PORTS_PER_RUN = 1_250
PORT_BLOCKS = range(20_000, 32_500, PORTS_PER_RUN)


@functools.cache
def _claim_ports() -> servers.PortBlock:
    # Not claimed when the module is imported: gateway processes of the soak need no ports.
    return servers.PortBlock(PORT_BLOCKS, PORTS_PER_RUN)


def pick_address() -> ids.Address:
    """Returns a loopback address with a free port, the one that was not used for longest."""
    return ids.Address(_claim_ports().pick_address())


class GatewayHarness:
    """A gateway with its fake store, fake servers and a client.

    :ivar stop: set to request a graceful stop of the gateway.
    :ivar running: task in which the gateway runs.
    """

    def __init__(self) -> None:
        self.store = fake_store.FakeStore()
        self.servers: list[fake_server.FakeServer] = []
        self.gateway: node.GatewayNode | None = None
        self.stop = asyncio.Event()
        self.running: asyncio.Task | None = None
        self._client = aiosonic.HTTPClient(handle_cookies=False)
        self._numbers = iter(range(1, 10_000))

    async def send_request(
        self, path: str = "/read/1", method: str = "GET", body: bytes = b"", **options
    ):
        """Sends a caller's request and returns status, headers and body.

        :param options: ``request_id``, ``wait_ms``, ``key``, ``host`` and ``team_key`` of the
            request, and further ``headers``.
        """
        request_headers = {
            "Host": options.get("host", HOST),
            "Caperdyke-Request-Id": options.get("request_id", f"request-{next(self._numbers)}"),
            "Caperdyke-Request-Deadline": str(options.get("wait_ms", 3000)),
            "Cookie": f"Caperdyke-Affinity-Key={options.get('key', 'k1')}",
            **options.get("headers", {}),
        }
        if "team_key" in options:
            request_headers["Authorization"] = f"Bearer {options['team_key']}"
        address = self.gateway.node.settings.caller_address
        response = await self._client.request(
            f"http://{address}{path}", method, headers=request_headers, data=body or None
        )
        response_headers = {name.lower(): value for name, value in response.headers.items()}
        return response.status_code, response_headers, await response.content()

    async def look_up(self, domain: str = "hall-1") -> tuple[int, dict]:
        """Sends a look-up and returns status and document."""
        address = self.gateway.node.settings.lookup_address
        query = f"name={HOST}&region=north&zone={domain}"
        response = await self._client.get(f"http://{address}/caperdyke/resolve?{query}")
        return response.status_code, await response.json() if response.status_code == 200 else {}

    async def get_readiness_status(self) -> int:
        """Returns the status of the readiness endpoint."""
        address = self.gateway.node.settings.readiness_address
        return (await self._client.get(f"http://{address}/caperdyke/readiness")).status_code

    async def wait_until(self, condition) -> None:
        """Polls a condition until it holds, for at most ``WAIT_SECONDS`` of real time."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Cancels the gateway and closes the client."""
        self.stop.set()
        if self.running is not None:
            self.running.cancel()
            await asyncio.gather(self.running, return_exceptions=True)
        await self._client.aclose()


@contextlib.asynccontextmanager
async def start_gateway(
    server_names=("s1", "s2"),
    configuration=None,
    waits_until_ready=True,
    prepare_store=None,
    now=clock.read_clock,
):
    """Runs a gateway between fakes and yields its harness.

    :param configuration: document to write first; empty for none, None for the default one.
    :param waits_until_ready: whether the gateway has read configuration and registrations.
    :param prepare_store: called with the store before the gateway starts.
    :param now: clock of the gateway, in seconds.
    """
    env = GatewayHarness()
    async with contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(servers.serve_app(env.store.make_app()))
        if configuration is None:
            configuration = make_configuration()
        if configuration:
            await env.store.put("op", "config", configuration)
        for name in server_names:
            server = fake_server.FakeServer(name)
            env.servers.append(await stack.enter_async_context(server.listen()))
            await env.store.put("servers", name, server.register("reader", "hall-1"))
        if prepare_store is not None:
            prepare_store(env.store)
        node_settings = make_settings(store_address)
        node_context = context.GatewayContext(
            node_settings, headers, documents, store.Store(node_settings.store_address), now
        )
        env.gateway = node.GatewayNode(node_context, make_platform_apps)
        env.running = asyncio.create_task(env.gateway.run(env.stop))
        stack.push_async_callback(env.close)
        await env.wait_until(lambda: env.gateway.is_listening)
        if waits_until_ready:
            await env.wait_until(lambda: node_context.fleet.is_ready)
        yield env


def make_platform_apps(node_context: context.GatewayContext) -> dict:
    """Returns the applications for the platform's calls by listen address."""
    return {
        node_context.settings.readiness_address: calls.make_readiness_app(node_context),
        node_context.settings.lookup_address: calls.make_lookup_app(node_context),
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
    base: gateway_settings.GatewaySettings, **changes
) -> gateway_settings.GatewaySettings:
    """Returns settings with some values replaced."""
    return dataclasses.replace(base, **changes)


class AsyncTestCase(testtools.TestCase):
    """A test case that runs coroutines."""

    def run_async(self, scenario) -> None:
        """Runs a coroutine function in a new event loop."""
        asyncio.run(scenario())
