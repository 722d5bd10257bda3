"""Request paths of many gateways in one process, with a simulated clock and fake servers."""

import asyncio
import contextlib
import itertools
import math
import random

from caperdyke.platform import documents, headers
from caperdyke.state import backend, header_fields, ids, member, registration, routes, store_rows
from caperdyke.transport.gateway import context, dispatcher, local_reply, sender
from caperdyke.transport.http import client_connection
from testing.platform import fake_server, harness

SERVICE = ids.ServiceName("reader")
# Failure domains and their regions.
DOMAINS = {"hall-1": "north", "hall-2": "north", "hall-3": "south", "hall-4": "south"}
SERVICE_LIMITS = routes.ServiceLimits(SERVICE, 1400, 3000.0, 3.6)
CALLER_LIMITS = routes.CallerLimits(16384, 100_000, 3000.0, 15000.0)
# Start time, long after the instances have seen each other first.
START = 1000.0
# Longest real time to open a connection. The simulated clock stands still meanwhile, so that a busy
# machine does not count as a server that does not answer.
OPEN_TIMEOUT_SECONDS = 30.0


def make_route(
    kind: routes.RouteKind = routes.RouteKind.SAFE, has_affinity: bool = True
) -> routes.Route:
    """Returns the route that all requests take."""
    parts = (routes.WeightedService(SERVICE, 1.0),)
    name = ids.RouteName("r-read")
    return routes.Route(
        name, harness.HOST, "/read/", kind, parts, 60_000.0, 600.0, 1, 3, has_affinity, frozenset()
    )


class FleetHarness:
    """Gateways that are registered with each other and share servers.

    :param count: number of gateways, spread over all failure domains.
    :param seed: seed of the random generator for arrivals.
    :ivar now: simulated time of all gateways, in seconds.
    """

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = START
        self.route = make_route()
        self.table = routes.RouteTable(1, (self.route,), {SERVICE: SERVICE_LIMITS}, CALLER_LIMITS)
        self.servers: list[fake_server.FakeServer] = []
        self.random = random.Random(seed)
        self._numbers = itertools.count()
        domains = itertools.cycle(DOMAINS)
        self.nodes = [self._make_node(f"gateway-{n}", next(domains)) for n in range(count)]
        for node in self.nodes:
            self.add_peers(node, self.nodes)
            node.fleet.record_tick(self.now)
        self.dispatchers = [dispatcher.Dispatcher(node) for node in self.nodes]

    def add_peers(self, node: context.GatewayContext, others: list[context.GatewayContext]) -> None:
        """Adds others to the fleet of a gateway, alive for the whole test."""
        for other in others:
            if node.fleet.merge(self.now - 100, other.fleet.own):
                peer = next(p for p in node.fleet.list_others() if p.record == other.fleet.own)
                peer.is_ready = True
                peer.last_seen_at = self.now
                peer.alive_until = math.inf
        node.fleet.record_members_read(self.now - 100)

    def add_server(self, server: fake_server.FakeServer, domain: str) -> None:
        """Registers a server with all gateways."""
        self.servers.append(server)
        backend_server = backend.BackendServer(
            ids.BackendId(server.name), ids.DomainName(domain), SERVICE, server.address, 8
        )
        entry = registration.Registration(
            backend_server, registration.RegistrationState.READY, 1, 1, 0.0
        )
        for node in self.nodes:
            node.servers.merge(self.now, entry, store_rows.Position(0, 1))
            node.servers.mark_all_preexisting()
            node.refresh_servers()

    async def send_request(
        self,
        number: int,
        key: str = "",
        path: str = "/read/1",
        extra_headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> sender.ServerAnswer | local_reply.LocalReply:
        """Sends a request through one gateway.

        :param number: index of the gateway.
        :param key: object key; empty for one of 60 keys in turn.
        """
        serial = next(self._numbers)
        caller_headers = header_fields.CallerHeaders(
            f"request-{serial}", 3000.0, ids.ObjectKey(key or str(serial % 60))
        )
        request = sender.CallerRequest(
            caller_headers,
            "GET",
            harness.HOST,
            path,
            path.encode(),
            [
                (b"host", harness.HOST.encode()),
                (headers.REQUEST_ID, caller_headers.request_id.encode()),
                *extra_headers,
            ],
            b"",
            self.now + 3.0,
            self.table,
            is_repeatable=self.route.kind.is_repeatable,
        )
        trace = local_reply.RequestTrace(
            caller_headers.request_id, self.now, caller_headers.object_key
        )
        return await self.dispatchers[number].serve(request, self.route, trace)

    def advance(self, seconds: float) -> None:
        """Advances the clock without a request."""
        until = self.now + seconds
        while True:
            for node in self.nodes:
                node.fleet.record_tick(self.now)
            if self.now >= until:
                return
            self.now = min(until, self.now + 0.5)

    async def send_load(self, seconds: float, rate: float) -> list[float]:
        """Sends requests at random times for a while, and returns these times.

        :param seconds: duration of the load.
        :param rate: mean requests per second to all gateways together.
        """
        times = []
        until = self.now + seconds
        while True:
            self.now += self.random.expovariate(rate)
            if self.now >= until:
                self.now = until
                return times
            times.append(self.now)
            self.advance(0.0)
            await self.send_request(self.random.randrange(len(self.nodes)))

    def announce_server_state(self, announcer: int = 0) -> None:
        """Announces the limits, backoffs and leaving servers of one gateway to all others.

        :param announcer: index of the gateway.
        """
        bounds = self.nodes[announcer].bounds
        announced = (
            bounds.limits.select_for_announcement(self.now),
            bounds.backoffs.select_for_announcement(self.now),
            bounds.leaving.select_for_announcement(self.now),
        )
        for number, node in enumerate(self.nodes):
            if number != announcer:
                node.header_handler.merge_announced(self.now, *announced)

    def register(
        self,
        server: fake_server.FakeServer,
        change: int,
        state: registration.RegistrationState = registration.RegistrationState.READY,
        started_ms: int = 1,
        era: int = 0,
    ) -> None:
        """Applies a changed registration of a server to all gateways.

        :param change: sequence number of the registration and of its change in the store.
        """
        for node in self.nodes:
            registered = node.servers.find(ids.BackendId(server.name))
            entry = registration.Registration(
                registered.registration.server, state, started_ms, change, 0.0
            )
            if node.servers.merge(self.now, entry, store_rows.Position(era, change)):
                node.reset_view(registered.registration.server.backend)
            node.refresh_servers()

    def close(self) -> None:
        """Closes all connections to servers."""
        for node in self.nodes:
            node.pool.close()

    def _make_node(self, name: str, domain: str) -> context.GatewayContext:
        node_settings = harness.replace_settings(
            harness.make_settings("127.0.0.1:1"),
            instance=ids.InstanceId(name),
            domain=ids.DomainName(domain),
            region=ids.RegionName(DOMAINS[domain]),
            domains=DOMAINS,
            bounds=harness.BOUNDS,
        )
        node = context.GatewayContext(node_settings, headers, documents, None, lambda: self.now)
        node.pool.open = _open_in_real_time
        node.routes = self.table
        node.fleet.own = member.Member(
            node.settings.instance,
            ids.Incarnation(1),
            node.settings.domain,
            ids.Address(f"{name}:1"),
            ids.Address(f"{name}:2"),
            member.MemberState.LIVE,
        )
        return node


async def _open_in_real_time(address: str, _timeout: float) -> client_connection.ServerConnection:
    return await client_connection.connect(address, OPEN_TIMEOUT_SECONDS)


class TimedServer(fake_server.FakeServer):
    """A fake server that records the simulated times of its requests.

    :param read_clock: returns the simulated time.
    """

    def __init__(self, name: str, read_clock) -> None:
        super().__init__(name)
        self._read_clock = read_clock
        self.times: list[float] = []

    def make_answer(self, request_id: str, body: bytes, status: int = 200) -> bytes:
        """Returns the bytes of an answer, and records the time of its request."""
        self.times.append(self._read_clock())
        return super().make_answer(request_id, body, status)


@contextlib.asynccontextmanager
async def open_fleet(count: int, servers: int, seed: int = 1, make_server=None):
    """Yields a fleet of gateways with servers in all failure domains.

    :param count: number of gateways.
    :param servers: number of servers.
    :param make_server: makes a server from its name and the clock; ``TimedServer`` if None.
    """
    fleet = FleetHarness(count, seed)
    domains = itertools.cycle(DOMAINS)
    async with contextlib.AsyncExitStack() as stack:
        for number in range(servers):
            server = (make_server or TimedServer)(f"s{number}", lambda: fleet.now)
            await stack.enter_async_context(server.listen())
            fleet.add_server(server, next(domains))
        try:
            yield fleet
        finally:
            fleet.close()
            await asyncio.sleep(0)


def count_max_in_window(times: list[float], window: float, since: float = -math.inf) -> int:
    """Returns the largest number of times within any window of this length, in seconds."""
    times = sorted(at for at in times if at >= since)
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most
