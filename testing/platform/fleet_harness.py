"""The request paths of many gateways in this process, on one clock, before fake servers."""

import asyncio
import contextlib
import itertools
import math
import random

from caperdyke.platform import documents, headers
from caperdyke.state import backend, header_fields, ids, member, registration, routes, store_rows
from caperdyke.transport.gateway import context, dispatcher, local_reply, sender
from testing.platform import fake_server, harness

SERVICE = ids.ServiceName("reader")
# Failure domains and their regions.
DOMAINS = {"hall-1": "north", "hall-2": "north", "hall-3": "south", "hall-4": "south"}
TERMS = routes.ServiceLimits(SERVICE, 1400, 3000.0, 3.6)
LIMITS = routes.CallerLimits(16384, 100_000, 3000.0, 15000.0)
# Time at which the instances have known each other for long.
START = 1000.0


def make_route(
    kind: routes.RouteKind = routes.RouteKind.SAFE, has_affinity: bool = True
) -> routes.Route:
    """Returns the route of all requests."""
    parts = (routes.WeightedService(SERVICE, 1.0),)
    name = ids.RouteName("r-read")
    return routes.Route(
        name, harness.HOST, "/read/", kind, parts, 60_000.0, 600.0, 1, 3, has_affinity, frozenset()
    )


class FleetHarness:
    """Gateways that know each other and some servers.

    :ivar now: time of all of them, in seconds.
    :ivar arrivals: times at which each server got a request, by its name.
    """

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = START
        self.route = make_route()
        self.table = routes.RouteTable(1, (self.route,), {SERVICE: TERMS}, LIMITS)
        self.servers: list[fake_server.FakeServer] = []
        self.random = random.Random(seed)
        self._numbers = itertools.count()
        domains = itertools.cycle(DOMAINS)
        self.nodes = [self._make_node(f"gateway-{n}", next(domains)) for n in range(count)]
        for node in self.nodes:
            self.introduce(node, self.nodes)
            node.fleet.record_tick(self.now)
        self.dispatchers = [dispatcher.Dispatcher(node) for node in self.nodes]

    def introduce(self, node: context.GatewayContext, others: list[context.GatewayContext]) -> None:
        """Lets a gateway know others that are alive for as long as the test lasts."""
        for other in others:
            if node.fleet.merge(self.now - 100, other.fleet.own):
                known = next(k for k in node.fleet.list_others() if k.record == other.fleet.own)
                known.is_ready = True
                known.last_seen_at = self.now
                known.alive_until = math.inf
        node.fleet.record_members_read(self.now - 100)

    def add_server(self, server: fake_server.FakeServer, domain: str) -> None:
        """Lets all gateways know a server."""
        self.servers.append(server)
        described = backend.BackendServer(
            ids.BackendId(server.name), ids.DomainName(domain), SERVICE, server.address, 8
        )
        entry = registration.Registration(
            described, registration.RegistrationState.READY, 1, 1, 0.0
        )
        for node in self.nodes:
            node.servers.merge(self.now, entry, store_rows.Position(0, 1))
            node.servers.mark_all_preexisting()
            node.refresh_servers()

    async def ask(self, number: int, key: str = "") -> sender.ServerAnswer | local_reply.LocalReply:
        """Sends a request through one gateway."""
        serial = next(self._numbers)
        caller_headers = header_fields.CallerHeaders(
            f"request-{serial}", 3000.0, ids.ObjectKey(key or str(serial % 60))
        )
        request = sender.CallerRequest(
            caller_headers,
            "GET",
            harness.HOST,
            "/read/1",
            b"/read/1",
            [
                (b"host", harness.HOST.encode()),
                (headers.REQUEST_ID, caller_headers.request_id.encode()),
            ],
            b"",
            self.now + 3.0,
            self.table,
        )
        trace = local_reply.RequestTrace(
            caller_headers.request_id, self.now, caller_headers.object_key
        )
        return await self.dispatchers[number].serve(request, self.route, trace)

    def run_for(self, seconds: float) -> None:
        """Lets time pass without a request."""
        until = self.now + seconds
        while True:
            for node in self.nodes:
                node.fleet.record_tick(self.now)
            if self.now >= until:
                return
            self.now = min(until, self.now + 0.5)

    async def press(self, seconds: float, rate: float) -> list[float]:
        """Lets callers send at random moments, and returns when.

        :param rate: requests a second to all gateways together.
        """
        times = []
        until = self.now + seconds
        while True:
            self.now += self.random.expovariate(rate)
            if self.now >= until:
                self.now = until
                return times
            times.append(self.now)
            self.run_for(0.0)
            await self.ask(self.random.randrange(len(self.nodes)))

    def announce_server_state(self, teller: int = 0) -> None:
        """Lets a gateway tell all others what servers said of themselves."""
        bounds = self.nodes[teller].bounds
        announced = (
            bounds.limits.select_for_announcement(self.now),
            bounds.backoffs.select_for_announcement(self.now),
            bounds.leaving.select_for_announcement(self.now),
        )
        for number, node in enumerate(self.nodes):
            if number != teller:
                node.header_handler.merge_announced(self.now, *announced)

    def register(
        self,
        server: fake_server.FakeServer,
        change: int,
        state: registration.RegistrationState = registration.RegistrationState.READY,
        started_ms: int = 1,
        era: int = 0,
    ) -> None:
        """Lets all gateways read a registration of a server that they know.

        :param change: number of the change in the store's order.
        """
        for node in self.nodes:
            known = node.servers.find(ids.BackendId(server.name))
            entry = registration.Registration(
                known.registration.server, state, started_ms, change, 0.0
            )
            if node.servers.merge(self.now, entry, store_rows.Position(era, change)):
                node.reset_view(known.registration.server.backend)
            node.refresh_servers()

    def close(self) -> None:
        """Closes the connections to servers."""
        for node in self.nodes:
            node.pool.close()

    def _make_node(self, name: str, domain: str) -> context.GatewayContext:
        checked = harness.replace_settings(
            harness.make_settings("127.0.0.1:1"),
            instance=ids.InstanceId(name),
            domain=ids.DomainName(domain),
            region=ids.RegionName(DOMAINS[domain]),
            domains=DOMAINS,
            bounds=harness.BOUNDS,
        )
        node = context.GatewayContext(checked, headers, documents, None, lambda: self.now)
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


class TimedServer(fake_server.FakeServer):
    """A fake server that remembers by the test's clock when requests came.

    :param read_clock: returns the time of the test.
    """

    def __init__(self, name: str, read_clock) -> None:
        super().__init__(name)
        self._read_clock = read_clock
        self.times: list[float] = []

    def make_answer(self, request_id: str, body: bytes, status: int = 200) -> bytes:
        """Returns the bytes of an answer, and notes the time of its request."""
        self.times.append(self._read_clock())
        return super().make_answer(request_id, body, status)


@contextlib.asynccontextmanager
async def open_fleet(count: int, servers: int, seed: int = 1):
    """Yields gateways with servers in all failure domains."""
    played = FleetHarness(count, seed)
    domains = itertools.cycle(DOMAINS)
    async with contextlib.AsyncExitStack() as stack:
        for number in range(servers):
            server = TimedServer(f"s{number}", lambda: played.now)
            await stack.enter_async_context(server.listen())
            played.add_server(server, next(domains))
        try:
            yield played
        finally:
            played.close()
            await asyncio.sleep(0)


def count_most(times: list[float], window: float, since: float = -math.inf) -> int:
    """Returns the most moments that fall into a window of some length, in seconds."""
    times = sorted(at for at in times if at >= since)
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most
