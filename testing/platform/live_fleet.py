"""Whole gateways on loopback sockets and a simulated clock, with fake servers and a fake store."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket

import aiosonic

from caperdyke.platform import documents, headers, store
from caperdyke.state import ids
from caperdyke.transport.gateway import context, node
from testing import servers
from testing.platform import fake_server, fake_store, harness, path_cuts

DOMAINS = {"hall-1": "north", "hall-2": "north", "hall-3": "south"}
WAIT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """What a caller got.

    :param took_s: seconds from the request to the whole answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float


class LiveFleet:
    """Gateways that share a store and servers.

    :ivar nodes: state of each gateway.
    :ivar gateways: the gateways themselves.
    :ivar running: task in which each gateway runs.
    :ivar stops: set to request a graceful stop of a gateway.
    """

    def __init__(self) -> None:
        self.store = fake_store.FakeStore()
        self.servers: list[fake_server.FakeServer] = []
        self.stops: list[asyncio.Event] = []
        self.nodes: list[context.GatewayContext] = []
        self.gateways: list[node.GatewayNode] = []
        self.running: list[asyncio.Task] = []
        self._numbers = itertools.count(1)
        self._client = aiosonic.HTTPClient(handle_cookies=False)

    async def send_request(
        self, number: int, path: str = "/read/1", method: str = "GET", **options
    ) -> CallerAnswer:
        """Sends a caller's request to one gateway.

        :param options: ``body``, ``wait_ms``, ``request_id``, ``key`` and ``headers``.
        """
        serial = next(self._numbers)
        request_headers = {
            "Host": harness.HOST,
            "Caperdyke-Request-Id": options.get("request_id", f"request-{serial}"),
            "Caperdyke-Request-Deadline": str(options.get("wait_ms", 3000)),
            "Cookie": f"Caperdyke-Affinity-Key={options.get('key', serial % 20)}",
            **options.get("headers", {}),
        }
        address = self.nodes[number].settings.caller_address
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        response = await self._client.request(
            f"http://{address}{path}",
            method,
            headers=request_headers,
            data=options.get("body") or None,
        )
        body = await response.content()
        response_headers = {name.lower(): value for name, value in response.headers.items()}
        return CallerAnswer(response.status_code, response_headers, body, loop.time() - sent_at)

    async def send_load(
        self, number: int, seconds: float, per_second: float, **options
    ) -> list[CallerAnswer]:
        """Sends requests to one gateway at even intervals, and returns all answers.

        :param options: see ``send_request``.
        """
        tasks = []
        for _ in range(round(seconds * per_second)):
            tasks.append(asyncio.create_task(self.send_request(number, **options)))
            await asyncio.sleep(1 / per_second)
        return await asyncio.gather(*tasks)

    async def look_up(self, number: int, domain: str) -> list[str]:
        """Returns the addresses that a gateway names to callers of a failure domain."""
        address = self.nodes[number].settings.lookup_address
        query = f"name={harness.HOST}&region={DOMAINS[domain]}&zone={domain}"
        response = await self._client.get(f"http://{address}/caperdyke/resolve?{query}")
        return (await response.json())["addresses"]

    async def get_readiness_status(self, number: int) -> int:
        """Returns the status of a gateway's readiness endpoint."""
        address = self.nodes[number].settings.readiness_address
        return (await self._client.get(f"http://{address}/caperdyke/readiness")).status_code

    async def open_request(
        self, number: int, request_id: str, wait_ms: int = 3000, receive_buffer: int | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a request on a connection of its own and returns the connection.

        :param receive_buffer: size of the caller's receive buffer, in bytes.
        """
        host, _, port = self.nodes[number].settings.caller_address.rpartition(":")
        sock = socket.socket()
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(
            f"GET /read/1 HTTP/1.1\r\nHost: {harness.HOST}\r\nCaperdyke-Request-Id: {request_id}"
            f"\r\nCaperdyke-Request-Deadline: {wait_ms}\r\n\r\n".encode()
        )
        return reader, writer

    async def call_peer(self, number: int, headers) -> tuple[int, list[tuple[bytes, bytes]]]:
        """Sends a request to a gateway's peer address and returns status and headers."""
        address = self.nodes[number].settings.peer_address
        request_headers = {"Host": harness.HOST, "Caperdyke-Request-Id": "from-a-peer"}
        request_headers |= {name.decode(): value.decode() for name, value in headers}
        response = await self._client.get(f"http://{address}/read/1", headers=request_headers)
        found = [
            (name.lower().encode(), value.encode()) for name, value in response.headers.items()
        ]
        return response.status_code, found

    def find_requests(self, request_id: str) -> list[fake_server.ReceivedRequest]:
        """Returns the requests with an id that the servers received."""
        return [
            request
            for server in self.servers
            for request in server.requests
            if request.headers.get("caperdyke-request-id") == request_id
        ]

    def hold_servers(self) -> None:
        """Makes the servers keep requests without an answer."""
        for server in self.servers:
            server.release.clear()

    def release_servers(self) -> None:
        """Makes the servers answer again."""
        for server in self.servers:
            server.release.set()

    def count_closed_while_held(self) -> int:
        """Returns how many connections were closed while a server held their request."""
        return sum(server.closed_while_held for server in self.servers)

    async def kill(self, number: int) -> None:
        """Ends a gateway without a graceful stop, with all its connections."""
        await _cancel(self.running[number])
        for server, _ in self.gateways[number]._servers:
            for protocol in list(server.server_state.connections):
                protocol.transport.abort()
        self.nodes[number].pool.close()

    def cut(self, number: int, manner: path_cuts.CutManner) -> path_cuts.PathCut:
        """Cuts one gateway off from all servers."""
        return path_cuts.PathCut(self.nodes[number], manner)

    def count_runs(self) -> int:
        """Returns how many requests the servers got."""
        return sum(len(server.requests) for server in self.servers)

    def sees_all_ready(self, node_context: context.GatewayContext) -> bool:
        """Returns whether a gateway has heard that all others are ready."""
        live = node_context.fleet.list_live(node_context.now())
        return len(live) == len(self.nodes) - 1 and all(peer.is_ready for peer in live)

    async def wait_until(self, condition) -> None:
        """Polls a condition until it holds, for a bounded simulated time."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Closes the callers' connections."""
        await self._client.aclose()


@contextlib.asynccontextmanager
async def start_fleet(gateway_domains: list[str], servers_per_domain: int = 2, **configuration):
    """Runs gateways until all are ready and know each other, and yields them.

    :param gateway_domains: failure domain of each gateway.
    :param configuration: fields of the configuration to replace.
    """
    fleet = LiveFleet()
    clock = asyncio.get_running_loop().time
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(fleet.close)
        store_address = await stack.enter_async_context(servers.serve_app(fleet.store.make_app()))
        await fleet.store.put("op", "config", harness.make_configuration(**configuration))
        for domain in DOMAINS:
            for number in range(servers_per_domain):
                server = fake_server.FakeServer(f"{domain}-s{number}")
                fleet.servers.append(await stack.enter_async_context(server.listen()))
                await fleet.store.put("servers", server.name, server.register("reader", domain))
        for number, domain in enumerate(gateway_domains):
            node_settings = harness.replace_settings(
                harness.make_settings(store_address),
                instance=ids.InstanceId(f"gateway-{number}"),
                domain=ids.DomainName(domain),
                region=ids.RegionName(DOMAINS[domain]),
                domains=DOMAINS,
            )
            shared = context.GatewayContext(
                node_settings, headers, documents, store.Store(store_address), clock
            )
            fleet.nodes.append(shared)
            gateway = node.GatewayNode(shared, harness.make_platform_apps)
            fleet.gateways.append(gateway)
            fleet.stops.append(asyncio.Event())
            fleet.running.append(asyncio.create_task(gateway.run(fleet.stops[-1])))
            stack.push_async_callback(_cancel, fleet.running[-1])
        await fleet.wait_until(lambda: all(item.fleet.is_ready for item in fleet.nodes))
        await fleet.wait_until(lambda: all(map(fleet.sees_all_ready, fleet.nodes)))
        yield fleet


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
