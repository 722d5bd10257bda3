"""Discrete-event simulation of server selection, without a network or processes.

Requests arrive at random at the rate of a load. Servers have slots, a queue and a number of objects
that they keep warm. Each gateway sees its own requests at once and those of others with a delay.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import math
import random

from caperdyke.coordination.placement import (
    homes,
    processing_times,
    selection,
    server_view,
    shared_bounds,
)
from caperdyke.state import backend, ids
from testing.placement import builders

# Intervals at which a gateway receives the load of the others in its region, and of all others, in
# a fleet of ten gateways.
NEAR_INTERVAL_S = 0.25
FAR_INTERVAL_S = 1.4
QUEUE_PER_SLOT = 3
# Window over which the arrivals at one server are counted.
BURST_WINDOW_S = 0.1
SLOW_FACTOR = 5.0
# A caller retries at the latest after this part of the time until its deadline.
RETRY_RATIO = 0.3
ROUTE = ids.RouteName("read")


class Policy(enum.Enum):
    """How a server is selected; all policies but the first are baselines."""

    HOMES = "homes"
    LEAST_OUTSTANDING = "least outstanding"
    RANDOM_TWO = "random two"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load pattern.

    :param per_second: mean rate of new requests.
    :param region_weights: weight of each region in the requests.
    :param warm_objects_max: objects that a server keeps warm, those processed last.
    :param warm: processing time of a warm object in seconds; ``cold`` of any other.
    :param crash: when a third of the servers stops, and when they are back, cold.
    :param slow: when a sixth of the servers gets slower by ``SLOW_FACTOR``, and when it recovers.
    :param limited: from when until when one in ``limited_step`` servers accepts ``limit`` requests
        a second from all gateways together.
    :param gateways: gateways in each region.
    :param near_interval_s: interval at which a gateway receives the load of others in its region;
        ``far_interval_s`` that of all others.
    :param has_shared_objects: whether all regions request the same objects.
    :param skew: exponent of the popularity of objects; 0 if all are equally popular.
    :param cross_region_rtt_s: round-trip time to a server in another region.
    :param servers_max: servers that one request may be sent to.
    """

    per_second: float
    seconds: float = 20.0
    regions: tuple[str, ...] = ("north", "south", "east")
    region_weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    objects: int = 26
    servers: tuple[tuple[str, int], ...] = (("north", 8), ("south", 8), ("east", 2))
    slots: int = 3
    warm_objects_max: int = 18
    warm: float = 0.2
    cold: float = 0.64
    objective: float = 0.4
    deadline: float = 3.0
    crash: tuple[float, float] = (math.inf, math.inf)
    slow: tuple[float, float] = (math.inf, math.inf)
    limited: tuple[float, float] = (math.inf, math.inf)
    limited_step: int = 2
    limit: float = 4.0
    gateways: int = 3
    near_interval_s: float = NEAR_INTERVAL_S
    far_interval_s: float = FAR_INTERVAL_S
    has_shared_objects: bool = False
    skew: float = 0.0
    cross_region_rtt_s: float = 0.0
    servers_max: int = 1


@dataclasses.dataclass(slots=True)
class Outcome:
    """Counts of requests by their result.

    :param refused: requests that were not sent to a server, not even on the retry.
    :param cold_runs: runs for an object that was not warm on the server; ``first_time_runs`` those
        for an object that the server had never processed.
    :param late_cold: late answers of cold runs.
    :param rejected: sends that a server rejected because it was full or down.
    :param far: requests that were processed in another region.
    :param burst_max: most arrivals at one server within ``BURST_WINDOW_S``.
    :param busiest: runs of the busiest server, as a multiple of the mean.
    """

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    cold_runs: int = 0
    first_time_runs: int = 0
    late_cold: int = 0
    rejected: int = 0
    far: int = 0
    burst_max: int = 0
    busiest: float = 0.0

    @property
    def score(self) -> float:
        """Ratio of the highest possible score; a late answer scores a fifth of one in time."""
        return (self.in_time + 0.2 * self.late) / max(1, self.requests)


@dataclasses.dataclass(slots=True)
class _Server:
    located: homes.LocatedServer
    is_up: bool = True
    factor: float = 1.0
    running: int = 0
    waiting: collections.deque = dataclasses.field(default_factory=collections.deque)
    warm: collections.OrderedDict = dataclasses.field(default_factory=collections.OrderedDict)
    seen_objects: set = dataclasses.field(default_factory=set)
    arrivals: collections.deque = dataclasses.field(default_factory=collections.deque)
    runs: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Caller:
    """A caller's request, which is retried once if it is refused.

    :param first_at: time of the first attempt, where the caller's objective and deadline begin.
    :param received_at: time of this attempt, where the gateway's objective begins.
    """

    key: ids.ObjectKey
    first_at: float
    received_at: float

    @property
    def is_retry(self) -> bool:
        return self.received_at > self.first_at


@dataclasses.dataclass(slots=True)
class _Request:
    gateway: "_Gateway"
    server: _Server
    caller: _Caller
    pending: server_view.PendingRequest
    is_queued: bool
    is_known_warm: bool
    tried: frozenset[ids.BackendId] = frozenset()
    is_cold: bool = False


class _Gateway:
    """A gateway with its own view of every server."""

    def __init__(self, region: str, servers: list[_Server], name: str) -> None:
        self.name = ids.InstanceId(name)
        self.positions = shared_bounds.QuotaPositions()
        self.sent = shared_bounds.SendHistory()
        self.region = ids.RegionName(region)
        self.servers = {server.located.server.backend: server for server in servers}
        self.views = {
            name: server_view.ServerView(server.located.server)
            for name, server in self.servers.items()
        }
        self.times = processing_times.ProcessingTimes()
        located_servers = [server.located for server in servers]
        self.locality = homes.Locality(ids.DomainName(""), self.region, False)
        self.near_weight = homes.compute_near_weight(self.locality, located_servers)
        self.homes = located_servers
        # Last received load of the other gateways in the region, and of all others, by server.
        self.near_load: dict[ids.BackendId, int] = {}
        self.far_load: dict[ids.BackendId, int] = {}
        self.ranked: dict[ids.ObjectKey, list[homes.LocatedServer]] = {}

    def rank(self, key: ids.ObjectKey) -> list[homes.LocatedServer]:
        """Returns the servers, ranked for an object."""
        if key not in self.ranked:
            self.ranked[key] = homes.rank_servers(key, self.locality, self.near_weight, self.homes)
        return self.ranked[key]


class Simulation:
    """Simulates one load under one policy."""

    def __init__(self, load: Load, policy: Policy, seed: int) -> None:
        self._load = load
        self._policy = policy
        self._random = random.Random(seed)
        self._servers = [
            _Server(
                homes.LocatedServer(
                    builders.make_server(f"{region}-{n}", f"{region}-1", load.slots),
                    ids.RegionName(region),
                )
            )
            for region, count in load.servers
            for n in range(count)
        ]
        self._gateways = [
            _Gateway(region, self._servers, f"{region}-{number}")
            for region in load.regions
            for number in range(1, load.gateways + 1)
        ]
        self._regions = {ids.DomainName(f"{region}-1"): region for region in load.regions}
        self._fleet = {
            gateway.name: ids.DomainName(f"{gateway.region}-1") for gateway in self._gateways
        }
        weights = [1 / (number + 1) ** load.skew for number in range(load.objects)]
        self._popularity = list(itertools.accumulate(weights))
        self._sequence = itertools.count()
        self._events: list[tuple] = []
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Runs the simulation to its end and returns the result counts."""
        self._schedule_all()
        while self._events:
            now, _, action, argument = heapq.heappop(self._events)
            action(now, argument)
        runs = [server.runs for server in self._servers]
        self.outcome.busiest = max(runs) * len(runs) / max(1, sum(runs))
        return self.outcome

    def _schedule_all(self) -> None:
        load, now = self._load, 0.0
        while now < load.seconds:
            now += self._random.expovariate(load.per_second)
            region = self._random.choices(load.regions, load.region_weights)[0]
            near = [item for item in self._gateways if item.region == region]
            self._push(now, self._arrive, self._random.choice(near))
        for interval, is_near in ((load.near_interval_s, True), (load.far_interval_s, False)):
            for step in range(int(load.seconds / interval)):
                self._push(step * interval, self._announce_loads, is_near)
        if load.crash[0] < load.seconds:
            self._push(load.crash[0], self._set_third_up, False)
            self._push(load.crash[1], self._set_third_up, True)
        if load.slow[0] < load.seconds:
            self._push(load.slow[0], self._slow_sixth_down, SLOW_FACTOR)
            self._push(load.slow[1], self._slow_sixth_down, 1.0)

    def _push(self, time: float, action, argument) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action, argument))

    def _arrive(self, now: float, gateway: _Gateway) -> None:
        self.outcome.requests += 1
        load = self._load
        if load.skew:
            number = self._random.choices(range(load.objects), cum_weights=self._popularity)[0]
        else:
            number = self._random.randrange(load.objects)
        key = ids.ObjectKey(
            str(number) if load.has_shared_objects else f"{gateway.region}-{number}"
        )
        self._submit(now, (gateway, _Caller(key, now, now)))

    def _submit(self, now: float, source: tuple[_Gateway, _Caller]) -> None:
        gateway, caller = source
        retry_after = self._dispatch(now, gateway, caller)
        if retry_after is not None:
            self._refuse(now, caller, retry_after, gateway)

    def _refuse(self, now: float, caller: _Caller, retry_after: float, gateway: _Gateway) -> None:
        if caller.is_retry:
            self.outcome.refused += 1
            return
        remaining_s = caller.first_at + self._load.deadline - now
        retry_at = now + min(
            retry_after * self._random.uniform(1.0, 1.5), remaining_s * RETRY_RATIO
        )
        self._push(
            retry_at, self._submit, (gateway, _Caller(caller.key, caller.first_at, retry_at))
        )

    def _dispatch(self, now: float, gateway: _Gateway, caller: _Caller) -> float | None:
        """Sends a request to a server; returns seconds until a retry if none accepts it."""
        tried: frozenset[ids.BackendId] = frozenset()
        retry_after = None
        while len(tried) < self._load.servers_max:
            view, is_queued, retry_after = self._select(now, gateway, caller, tried)
            if view is None:
                return retry_after
            server = gateway.servers[view.server.backend]
            self._record_arrival(now, server)
            is_full = len(server.waiting) >= QUEUE_PER_SLOT * self._load.slots
            if server.is_up and not is_full:
                self._send(now, gateway, server, caller, is_queued)
                return None
            self.outcome.rejected += 1
            tried |= {view.server.backend}
            if self._load.servers_max == 1 or not server.is_up:
                view.record_unreachable(now)
            else:
                view.record_reported_load(now, server.running + len(server.waiting))
                view.record_failure(now, 0.0)
            retry_after = selection.RETRY_AFTER_MIN_S
        return retry_after

    def _record_arrival(self, now: float, server: _Server) -> None:
        server.arrivals.append(now)
        while server.arrivals[0] <= now - BURST_WINDOW_S:
            server.arrivals.popleft()
        self.outcome.burst_max = max(self.outcome.burst_max, len(server.arrivals))

    def _send(
        self, now: float, gateway: _Gateway, server: _Server, caller: _Caller, is_queued: bool
    ) -> None:
        view = gateway.views[server.located.server.backend]
        pending = view.record_send(now)
        gateway.sent.record_send(now, view.server.backend)
        is_warm = view.is_warm(now, caller.key)
        request = _Request(gateway, server, caller, pending, is_queued, is_warm)
        if server.running < self._load.slots:
            self._run(now, request)
        else:
            server.waiting.append(request)

    def _select(
        self,
        now: float,
        gateway: _Gateway,
        caller: _Caller,
        tried: frozenset[ids.BackendId] = frozenset(),
    ):
        open_views = [
            view
            for view in gateway.views.values()
            if now >= view.suspended_until and self._may_send(now, gateway, view.server)
        ]
        retry_after = selection.RETRY_AFTER_MIN_S
        match self._policy:
            case Policy.LEAST_OUTSTANDING:
                best = min(open_views, key=lambda v: v.outstanding, default=None)
                return best, False, retry_after
            case Policy.RANDOM_TWO:
                pair = self._random.choices(open_views, k=2) if open_views else []
                return min(pair, key=lambda v: v.outstanding, default=None), False, retry_after
        candidates = [
            selection.Candidate(
                gateway.views[located.server.backend],
                located.region == gateway.region,
                0.0 if located.region == gateway.region else self._load.cross_region_rtt_s,
            )
            for located in gateway.rank(caller.key)
            if self._may_send(now, gateway, located.server)
        ]
        if len(candidates) > selection.CANDIDATES_MAX:
            return self._select_in_steps(now, gateway, caller, candidates, tried)
        return self._select_among(now, gateway, caller, candidates, tried)

    def _select_in_steps(self, now: float, gateway: _Gateway, caller: _Caller, candidates, tried):
        """Considers the servers that rank first, and all servers if none of these has capacity."""
        first = candidates[: selection.CANDIDATES_MAX]
        selected = self._select_among(now, gateway, caller, first, tried)
        if selected[0] is not None:
            return selected
        return self._select_among(now, gateway, caller, candidates, tried)

    def _select_among(self, now: float, gateway: _Gateway, caller: _Caller, candidates, tried):
        retry_after = selection.RETRY_AFTER_MIN_S
        load = self._load
        requirements = selection.Requirements(
            builders.SERVICE,
            caller.key,
            caller.first_at + load.deadline,
            caller.received_at + load.objective,
            selection.CROSS_DOMAIN_PENALTY_S,
            tried,
        )
        selected = selection.select_server(
            now, requirements, candidates, gateway.times.find(ROUTE, load.objective)
        )
        if isinstance(selected, selection.NoCapacity):
            return None, False, selected.retry_after
        return selected.view, selected.is_queued, retry_after

    def _may_send(self, now: float, gateway: _Gateway, server: backend.BackendServer) -> bool:
        load = self._load
        if not load.limited[0] <= now < load.limited[1]:
            return True
        index = [item.located.server for item in self._servers].index(server)
        if index % load.limited_step:
            return True
        fleet_view = shared_bounds.FleetView(gateway.name, self._fleet, 1.0)
        bound = shared_bounds.bound_advertised_limit(load.limit)
        position = gateway.positions.find(server.backend, server.domain, fleet_view, self._regions)
        quota = shared_bounds.compute_quota(bound, position, fleet_view)
        name = server.backend
        return quota > 0 and gateway.sent.find_next_send_time(now, name, quota, bound.window) <= now

    def _run(self, now: float, request: _Request) -> None:
        server, load = request.server, self._load
        server.running += 1
        key = request.caller.key
        is_warm = key in server.warm
        request.is_cold = not is_warm
        server.runs += 1
        self.outcome.cold_runs += not is_warm
        self.outcome.first_time_runs += key not in server.seen_objects
        server.seen_objects.add(key)
        self.outcome.far += server.located.region != request.gateway.region
        server.warm[key] = True
        server.warm.move_to_end(key)
        if len(server.warm) > load.warm_objects_max:
            server.warm.popitem(last=False)
        work = (load.warm if is_warm else load.cold) * self._random.uniform(0.85, 1.15)
        work *= server.factor
        self._push(now + work, self._finish, request)

    def _finish(self, now: float, request: _Request) -> None:
        server, gateway, load = request.server, request.gateway, self._load
        server.running -= 1
        view = gateway.views[server.located.server.backend]
        view.record_end(request.pending)
        view.record_reported_load(now, server.running + len(server.waiting))
        is_far = server.located.region != gateway.region
        elapsed_s = now - request.caller.first_at + (load.cross_region_rtt_s if is_far else 0.0)
        self.outcome.in_time += elapsed_s <= load.objective
        is_late = load.objective < elapsed_s <= load.deadline
        self.outcome.late += is_late
        self.outcome.late_cold += is_late and request.is_cold
        ratio = None
        if not request.is_queued:
            processing_s = now - request.pending.sent_at
            ratio = gateway.times.record(ROUTE, load.objective, request.is_known_warm, processing_s)
        view.record_answer(now, request.caller.key, ratio)
        if server.waiting:
            self._run(now, server.waiting.popleft())

    def _announce_loads(self, now: float, is_near: bool) -> None:
        loads: dict[ids.RegionName, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        for gateway in self._gateways:
            for name, view in gateway.views.items():
                if view.in_flight:
                    loads[gateway.region][name] += view.in_flight
        total = sum(loads.values(), collections.Counter())
        for gateway in self._gateways:
            for name, view in gateway.views.items():
                near = loads[gateway.region][name]
                if is_near:
                    gateway.near_load[name] = near - view.in_flight
                else:
                    gateway.far_load[name] = total[name] - near
                remote_load = gateway.near_load.get(name, 0) + gateway.far_load.get(name, 0)
                view.record_remote_load(now, remote_load)

    def _set_third_up(self, _now: float, is_up: bool) -> None:
        for server in self._servers[::3]:
            server.is_up = is_up
            server.warm.clear()

    def _slow_sixth_down(self, _now: float, factor: float) -> None:
        for server in self._servers[::6]:
            server.factor = factor
