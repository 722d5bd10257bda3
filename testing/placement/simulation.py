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
    load_estimate,
    processing_times,
    selection,
    server_view,
    shared_bounds,
)
from caperdyke.state import backend, header_fields, ids
from testing.placement import builders, uneven_servers

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
# Requests that must not run twice, and are lost if they exceed their timeout.
BOOKING_ROUTE = ids.RouteName("booking")


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
    :param paces: how the pace of each server changes, and the heavy tail of its runs.
    :param bookings: requests that must not run twice; None if there are none.
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
    paces: uneven_servers.Paces | None = None
    bookings: uneven_servers.Bookings | None = None


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
    :param herded: arrivals at a server that had got 1.5 times its slots within ``BURST_WINDOW_S``
        while another one in the region had a free slot.
    :param bookings: bookings of callers; ``bookings_placed`` those sent to a server.
    :param bookings_lost: bookings that were placed and did not complete within their timeout.
    :param bookings_misplaced: those of them for which another server had a free slot, the warm
        object, and a pace at which it would have completed them.
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
    herded: int = 0
    bookings: int = 0
    bookings_placed: int = 0
    bookings_lost: int = 0
    bookings_misplaced: int = 0

    @property
    def score(self) -> float:
        """Ratio of the highest possible score; a late answer scores a fifth of one in time."""
        return (self.in_time + 0.2 * self.late) / max(1, self.requests)


@dataclasses.dataclass(slots=True)
class _Server:
    located: homes.LocatedServer
    pace: uneven_servers.PaceCourse
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
    is_booking: bool = False

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
    is_expected_warm: bool = True
    tried: frozenset[ids.BackendId] = frozenset()
    is_cold: bool = False
    has_better: bool = False


class _Gateway:
    """A gateway with its own view of every server."""

    def __init__(self, region: str, servers: list[_Server], name: str) -> None:
        self.name = ids.InstanceId(name)
        self.positions = shared_bounds.QuotaPositions()
        self.sent = shared_bounds.SendHistory()
        self.region = ids.RegionName(region)
        self.servers = {server.located.server.backend: server for server in servers}
        self.service_loads = load_estimate.ServiceLoads()
        service_load = self.service_loads.find(builders.SERVICE)
        self.views = {
            name: server_view.ServerView(server.located.server, service_load=service_load)
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
        # Separate, so that loads with even servers are drawn as without these features.
        self._uneven_random = random.Random(seed + 1_000_000)
        self._servers = [
            _Server(
                homes.LocatedServer(
                    builders.make_server(f"{region}-{n}", f"{region}-1", load.slots),
                    ids.RegionName(region),
                ),
                uneven_servers.PaceCourse(load.paces, self._uneven_random),
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
        is_booking = False
        if load.bookings is not None and now >= load.bookings.start_s:
            is_booking = self._uneven_random.random() < load.bookings.share
            self.outcome.bookings += is_booking
        self._submit(now, (gateway, _Caller(key, now, now, is_booking)))

    def _submit(self, now: float, source: tuple[_Gateway, _Caller]) -> None:
        gateway, caller = source
        retry_after = self._dispatch(now, gateway, caller)
        if retry_after is not None:
            self._refuse(now, caller, retry_after, gateway)

    def _refuse(self, now: float, caller: _Caller, retry_after: float, gateway: _Gateway) -> None:
        if caller.is_retry:
            self.outcome.refused += 1
            return
        remaining_s = caller.first_at + self._find_deadline(caller) - now
        retry_at = now + min(
            retry_after * self._random.uniform(1.0, 1.5), remaining_s * RETRY_RATIO
        )
        self._push(
            retry_at, self._submit, (gateway, dataclasses.replace(caller, received_at=retry_at))
        )

    def _dispatch(self, now: float, gateway: _Gateway, caller: _Caller) -> float | None:
        """Sends a request to a server; returns seconds until a retry if none accepts it."""
        tried: frozenset[ids.BackendId] = frozenset()
        retry_after = None
        while len(tried) < self._load.servers_max:
            placement, retry_after = self._select(now, gateway, caller, tried)
            if placement is None:
                return retry_after
            view = placement.view
            server = gateway.servers[view.server.backend]
            self._record_arrival(now, server, gateway)
            is_full = len(server.waiting) >= QUEUE_PER_SLOT * self._load.slots
            if server.is_up and not is_full:
                self._send(now, gateway, server, caller, placement)
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

    def _find_deadline(self, caller: _Caller) -> float:
        return self._load.bookings.timeout_s if caller.is_booking else self._load.deadline

    def _record_arrival(self, now: float, server: _Server, gateway: _Gateway) -> None:
        server.arrivals.append(now)
        while server.arrivals[0] <= now - BURST_WINDOW_S:
            server.arrivals.popleft()
        self.outcome.burst_max = max(self.outcome.burst_max, len(server.arrivals))
        if len(server.arrivals) >= 1.5 * self._load.slots:
            self.outcome.herded += any(
                other.running < self._load.slots
                for other in self._servers
                if other is not server and other.located.region == gateway.region
            )

    def _send(
        self,
        now: float,
        gateway: _Gateway,
        server: _Server,
        caller: _Caller,
        placement: selection.Placement,
    ) -> None:
        view = gateway.views[server.located.server.backend]
        pending = view.record_send(now)
        gateway.sent.record_send(now, view.server.backend)
        is_warm = view.is_warm(now, caller.key)
        request = _Request(
            gateway, server, caller, pending, placement.is_queued, is_warm, placement.is_warm
        )
        if caller.is_booking:
            self.outcome.bookings_placed += 1
            request.has_better = any(
                self._would_complete(now, other, caller)
                for other in self._servers
                if other is not server
            )
        if server.running < self._load.slots:
            self._run(now, request)
        else:
            server.waiting.append(request)

    def _would_complete(self, now: float, server: _Server, caller: _Caller) -> bool:
        """Returns whether a server with a free slot would complete a booking of average work."""
        if server.running >= self._load.slots or caller.key not in server.warm:
            return False
        ends_at = server.pace.find_end(now, self._load.bookings.warm)
        return ends_at + self._load.cross_region_rtt_s <= caller.first_at + self._find_deadline(
            caller
        )

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
                return _place(best), retry_after
            case Policy.RANDOM_TWO:
                pair = self._random.choices(open_views, k=2) if open_views else []
                best = min(pair, key=lambda v: v.outstanding, default=None)
                return _place(best), retry_after
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
        route, objective = self._find_route(caller)
        requirements = selection.Requirements(
            builders.SERVICE,
            caller.key,
            caller.first_at + self._find_deadline(caller),
            caller.received_at + objective,
            selection.CROSS_DOMAIN_PENALTY_S,
            tried,
            not caller.is_booking,
            self._find_deadline(caller),
        )
        selected = selection.select_server(
            now,
            requirements,
            candidates,
            gateway.times.find(route, objective),
            self._uneven_random,
        )
        if isinstance(selected, selection.NoCapacity):
            return None, selected.retry_after
        return selected, retry_after

    def _find_route(self, caller: _Caller) -> tuple[ids.RouteName, float]:
        """Returns the route of a request and its latency objective in seconds."""
        if caller.is_booking:
            return BOOKING_ROUTE, self._load.bookings.objective_s
        return ROUTE, self._load.objective

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
        warm_s, cold_s = load.warm, load.cold
        if request.caller.is_booking:
            warm_s, cold_s = load.bookings.warm, load.bookings.cold
        work = (warm_s if is_warm else cold_s) * self._random.uniform(0.85, 1.15)
        work *= server.factor * server.pace.draw_tail()
        self._push(server.pace.find_end(now, work), self._finish, request)

    def _finish(self, now: float, request: _Request) -> None:
        server, gateway, load = request.server, request.gateway, self._load
        server.running -= 1
        view = gateway.views[server.located.server.backend]
        view.record_end(request.pending)
        report = header_fields.ServerLoad(
            server.running, len(server.waiting), load.slots, server.pace.find(now)
        )
        delay_s = load.paces.report_delay_s if load.paces is not None else 0.0
        if delay_s:
            self._push(now + delay_s, self._report, (view, report))
        else:
            view.record_load_report(now, report)
        view.record_activity(now)
        is_far = server.located.region != gateway.region
        elapsed_s = now - request.caller.first_at + (load.cross_region_rtt_s if is_far else 0.0)
        route, objective = self._find_route(request.caller)
        deadline = self._find_deadline(request.caller)
        self.outcome.in_time += elapsed_s <= objective
        is_late = objective < elapsed_s <= deadline
        if request.caller.is_booking and elapsed_s > deadline:
            self.outcome.bookings_lost += 1
            self.outcome.bookings_misplaced += request.has_better
        self.outcome.late += is_late
        self.outcome.late_cold += is_late and request.is_cold
        ratio = None
        if not request.is_queued:
            sent_at = request.pending.sent_at
            run_pace = view.pace.find_run_pace(sent_at, now)
            ratio = gateway.times.record(
                route,
                objective,
                request.is_known_warm,
                now - sent_at,
                run_pace,
                now,
                not request.is_expected_warm,
            )
        view.record_answer(now, request.caller.key, ratio)
        if server.waiting:
            self._run(now, server.waiting.popleft())

    def _report(
        self, now: float, report: tuple[server_view.ServerView, header_fields.ServerLoad]
    ) -> None:
        view, load = report
        view.record_load_report(now, load)

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
            announced = []
            for name, view in gateway.views.items():
                near = loads[gateway.region][name]
                if is_near:
                    gateway.near_load[name] = near - view.in_flight
                else:
                    gateway.far_load[name] = total[name] - near
                remote_load = gateway.near_load.get(name, 0) + gateway.far_load.get(name, 0)
                view.record_remote_load(now, remote_load)
                announced.append((view.server, remote_load))
            gateway.service_loads.apply_announced(now, {builders.SERVICE: announced})

    def _set_third_up(self, _now: float, is_up: bool) -> None:
        for server in self._servers[::3]:
            server.is_up = is_up
            server.warm.clear()

    def _slow_sixth_down(self, _now: float, factor: float) -> None:
        for server in self._servers[::6]:
            server.factor = factor


def _place(view: server_view.ServerView | None) -> selection.Placement | None:
    """Returns the placement of a baseline, which expects nothing of the server."""
    return None if view is None else selection.Placement(view, 0.0, math.inf, True, False)
