"""Replays arrivals and work times against the placing decisions alone: no network, no processes.

A load is a list of arrivals; servers have slots, a queue and objects that they keep warm; gateways
see their own requests at once and each other's with a delay. Time is simulated.
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

# Intervals in which a gateway hears of the requests of others in its region, and of all others, in
# seconds, as ten gateways announce themselves.
NEAR_SECONDS = 0.25
FAR_SECONDS = 1.4
QUEUE_PER_SLOT = 3
# Window in which the arrivals at one server are counted, in seconds.
HERD_SECONDS = 0.1
SLOW_FACTOR = 5.0
# A caller comes back no later than this part of the time that it has left.
RETRY_PART = 0.3
ROUTE = ids.RouteName("read")


class Policy(enum.Enum):
    """How a server is chosen; all but the first are baselines."""

    HOMES = "homes"
    LEAST_OUTSTANDING = "least outstanding"
    RANDOM_TWO = "random two"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load pattern.

    :param per_second: requests a second at each moment of the day.
    :param parts: how the callers are spread over the regions.
    :param gateways: gateways of each region.
    :param near_seconds: interval in which a gateway hears of others of its region; ``far_seconds``
        of all others.
    :param has_shared_objects: whether all regions ask for the same objects.
    :param skew: exponent of the popularity of objects; 0 where all are alike.
    :param distance: seconds to a server of another region and back.
    :param kept_warm: objects that a server keeps, those handled last.
    :param sends_max: servers that one request may be sent to.
    :param warm: seconds of work for a warm object; ``cold`` for any other.
    :param crash: time at which a third of the servers end, and at which they are back, cold.
    :param limited: time from which on, and until which, one in ``limited_step`` servers takes
        ``limit`` requests a second from all gateways together.
    :param slow: time from which on, and until which, a sixth of the servers takes ``SLOW_FACTOR``
        times as long.
    """

    per_second: float
    seconds: float = 20.0
    regions: tuple[str, ...] = ("north", "south", "east")
    parts: tuple[float, ...] = (1.0, 1.0, 1.0)
    objects: int = 26
    servers: tuple[tuple[str, int], ...] = (("north", 8), ("south", 8), ("east", 2))
    slots: int = 3
    kept_warm: int = 18
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
    near_seconds: float = NEAR_SECONDS
    far_seconds: float = FAR_SECONDS
    has_shared_objects: bool = False
    skew: float = 0.0
    distance: float = 0.0
    sends_max: int = 1


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got.

    :param cold_runs: runs for an object that was not warm there; ``first_runs`` those for which
        the server never had it.
    :param late_cold: late answers to cold runs.
    :param rejected: requests that a full server turned away.
    :param far: requests that ran in another region.
    :param herd_most: most arrivals at one server within ``HERD_SECONDS``.
    :param busiest: runs of the busiest server, as a multiple of the mean.
    """

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    cold_runs: int = 0
    first_runs: int = 0
    late_cold: int = 0
    rejected: int = 0
    far: int = 0
    herd_most: int = 0
    busiest: float = 0.0

    @property
    def score(self) -> float:
        """Part of the worth that was earned; a late answer is worth a fifth."""
        return (self.in_time + 0.2 * self.late) / max(1, self.requests)


@dataclasses.dataclass(slots=True)
class _Server:
    place: homes.LocatedServer
    is_up: bool = True
    factor: float = 1.0
    running: int = 0
    waiting: collections.deque = dataclasses.field(default_factory=collections.deque)
    warm: collections.OrderedDict = dataclasses.field(default_factory=collections.OrderedDict)
    known: set = dataclasses.field(default_factory=set)
    arrivals: collections.deque = dataclasses.field(default_factory=collections.deque)
    runs: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Caller:
    """A caller; it comes back once after it was turned away.

    :param first_at: time of its first request, from which its objective and its deadline count.
    :param received_at: time of this one, from which a gateway counts.
    """

    key: ids.ObjectKey
    first_at: float
    received_at: float

    @property
    def is_back(self) -> bool:
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
    """One gateway: its own views of all servers."""

    def __init__(self, region: str, servers: list[_Server], name: str) -> None:
        self.name = ids.InstanceId(name)
        self.places = shared_bounds.QuotaPositions()
        self.sends = shared_bounds.SendHistory()
        self.region = ids.RegionName(region)
        self.servers = {server.place.server.backend: server for server in servers}
        self.views = {
            name: server_view.ServerView(server.place.server)
            for name, server in self.servers.items()
        }
        self.times = processing_times.ProcessingTimes()
        places = [server.place for server in servers]
        self.locality = homes.Locality(ids.DomainName(""), self.region, False)
        self.weight = homes.compute_near_weight(self.locality, places)
        self.homes = places
        # Requests of others of the region, and of all others, when they were told last.
        self.heard_near: dict[ids.BackendId, int] = {}
        self.heard_far: dict[ids.BackendId, int] = {}
        self.orders: dict[ids.ObjectKey, list[homes.LocatedServer]] = {}

    def order(self, key: ids.ObjectKey) -> list[homes.LocatedServer]:
        """Returns the servers in the object's order."""
        if key not in self.orders:
            self.orders[key] = homes.rank_servers(key, self.locality, self.weight, self.homes)
        return self.orders[key]


class Simulation:
    """Plays one load under one policy."""

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
        self._order = itertools.count()
        self._events: list[tuple] = []
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Returns what callers got."""
        self._plan()
        while self._events:
            now, _, action, argument = heapq.heappop(self._events)
            action(now, argument)
        runs = [server.runs for server in self._servers]
        self.outcome.busiest = max(runs) * len(runs) / max(1, sum(runs))
        return self.outcome

    def _plan(self) -> None:
        load, now = self._load, 0.0
        while now < load.seconds:
            now += self._random.expovariate(load.per_second)
            region = self._random.choices(load.regions, load.parts)[0]
            near = [item for item in self._gateways if item.region == region]
            self._at(now, self._arrive, self._random.choice(near))
        for interval, is_near in ((load.near_seconds, True), (load.far_seconds, False)):
            for step in range(int(load.seconds / interval)):
                self._at(step * interval, self._spread, is_near)
        if load.crash[0] < load.seconds:
            self._at(load.crash[0], self._set_third, False)
            self._at(load.crash[1], self._set_third, True)
        if load.slow[0] < load.seconds:
            self._at(load.slow[0], self._set_sixth, SLOW_FACTOR)
            self._at(load.slow[1], self._set_sixth, 1.0)

    def _at(self, time: float, action, argument) -> None:
        heapq.heappush(self._events, (time, next(self._order), action, argument))

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
        self._ask(now, (gateway, _Caller(key, now, now)))

    def _ask(self, now: float, asking: tuple[_Gateway, _Caller]) -> None:
        gateway, caller = asking
        retry_after = self._place(now, gateway, caller)
        if retry_after is not None:
            self._refuse(now, caller, retry_after, gateway)

    def _refuse(self, now: float, caller: _Caller, retry_after: float, gateway: _Gateway) -> None:
        if caller.is_back:
            self.outcome.refused += 1
            return
        left = caller.first_at + self._load.deadline - now
        back_at = now + min(retry_after * self._random.uniform(1.0, 1.5), left * RETRY_PART)
        self._at(back_at, self._ask, (gateway, _Caller(caller.key, caller.first_at, back_at)))

    def _place(self, now: float, gateway: _Gateway, caller: _Caller) -> float | None:
        """Sends a request if a server has room; returns when to come back if none has."""
        tried: frozenset[ids.BackendId] = frozenset()
        retry_after = None
        while len(tried) < self._load.sends_max:
            view, is_queued, retry_after = self._choose(now, gateway, caller, tried)
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
            if self._load.sends_max == 1 or not server.is_up:
                view.record_unreachable(now)
            else:
                view.record_reported_load(now, server.running + len(server.waiting))
                view.record_failure(now, 0.0)
            retry_after = selection.RETRY_AFTER_MIN_S
        return retry_after

    def _record_arrival(self, now: float, server: _Server) -> None:
        server.arrivals.append(now)
        while server.arrivals[0] <= now - HERD_SECONDS:
            server.arrivals.popleft()
        self.outcome.herd_most = max(self.outcome.herd_most, len(server.arrivals))

    def _send(
        self, now: float, gateway: _Gateway, server: _Server, caller: _Caller, is_queued: bool
    ) -> None:
        view = gateway.views[server.place.server.backend]
        pending = view.record_send(now)
        gateway.sends.record_send(now, view.server.backend)
        known = view.is_warm(now, caller.key)
        request = _Request(gateway, server, caller, pending, is_queued, known)
        if server.running < self._load.slots:
            self._run(now, request)
        else:
            server.waiting.append(request)

    def _choose(
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
                best = min(open_views, key=lambda view: view.outstanding, default=None)
                return best, False, retry_after
            case Policy.RANDOM_TWO:
                pair = self._random.choices(open_views, k=2) if open_views else []
                return (
                    min(pair, key=lambda view: view.outstanding, default=None),
                    False,
                    retry_after,
                )
        candidates = [
            selection.Candidate(
                gateway.views[place.server.backend],
                place.region == gateway.region,
                0.0 if place.region == gateway.region else self._load.distance,
            )
            for place in gateway.order(caller.key)
            if self._may_send(now, gateway, place.server)
        ]
        if len(candidates) > selection.CANDIDATES_MAX:
            return self._choose_in_steps(now, gateway, caller, candidates, tried)
        return self._choose_among(now, gateway, caller, candidates, tried)

    def _choose_in_steps(self, now: float, gateway: _Gateway, caller: _Caller, candidates, tried):
        """Weighs the first servers of the object's order, and all where none of these has room."""
        few = candidates[: selection.CANDIDATES_MAX]
        chosen = self._choose_among(now, gateway, caller, few, tried)
        if chosen[0] is not None:
            return chosen
        return self._choose_among(now, gateway, caller, candidates, tried)

    def _choose_among(self, now: float, gateway: _Gateway, caller: _Caller, candidates, tried):
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
        chosen = selection.select_server(
            now, requirements, candidates, gateway.times.find(ROUTE, load.objective)
        )
        if isinstance(chosen, selection.NoCapacity):
            return None, False, chosen.retry_after
        return chosen.view, chosen.is_queued, retry_after

    def _may_send(self, now: float, gateway: _Gateway, server: backend.BackendServer) -> bool:
        load = self._load
        if not load.limited[0] <= now < load.limited[1]:
            return True
        position = [item.place.server for item in self._servers].index(server)
        if position % load.limited_step:
            return True
        fleet_view = shared_bounds.FleetView(gateway.name, self._fleet, 1.0)
        bound = shared_bounds.bound_advertised_limit(load.limit)
        place = gateway.places.find(server.backend, server.domain, fleet_view, self._regions)
        part = shared_bounds.compute_quota(bound, place, fleet_view)
        name = server.backend
        return part > 0 and gateway.sends.find_next_send_time(now, name, part, bound.window) <= now

    def _run(self, now: float, request: _Request) -> None:
        server, load = request.server, self._load
        server.running += 1
        key = request.caller.key
        is_warm = key in server.warm
        request.is_cold = not is_warm
        server.runs += 1
        self.outcome.cold_runs += not is_warm
        self.outcome.first_runs += key not in server.known
        server.known.add(key)
        self.outcome.far += server.place.region != request.gateway.region
        server.warm[key] = True
        server.warm.move_to_end(key)
        if len(server.warm) > load.kept_warm:
            server.warm.popitem(last=False)
        work = (load.warm if is_warm else load.cold) * self._random.uniform(0.85, 1.15)
        work *= server.factor
        self._at(now + work, self._finish, request)

    def _finish(self, now: float, request: _Request) -> None:
        server, gateway, load = request.server, request.gateway, self._load
        server.running -= 1
        view = gateway.views[server.place.server.backend]
        view.record_end(request.pending)
        view.record_reported_load(now, server.running + len(server.waiting))
        is_far = server.place.region != gateway.region
        took = now - request.caller.first_at + (load.distance if is_far else 0.0)
        self.outcome.in_time += took <= load.objective
        is_late = load.objective < took <= load.deadline
        self.outcome.late += is_late
        self.outcome.late_cold += is_late and request.is_cold
        ratio = None
        if not request.is_queued:
            worked = now - request.pending.sent_at
            ratio = gateway.times.record(ROUTE, load.objective, request.is_known_warm, worked)
        view.record_answer(now, request.caller.key, ratio)
        if server.waiting:
            self._run(now, server.waiting.popleft())

    def _spread(self, now: float, is_near: bool) -> None:
        sums: dict[ids.RegionName, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        for gateway in self._gateways:
            for name, view in gateway.views.items():
                if view.in_flight:
                    sums[gateway.region][name] += view.in_flight
        everywhere = sum(sums.values(), collections.Counter())
        for gateway in self._gateways:
            for name, view in gateway.views.items():
                near = sums[gateway.region][name]
                if is_near:
                    gateway.heard_near[name] = near - view.in_flight
                else:
                    gateway.heard_far[name] = everywhere[name] - near
                heard = gateway.heard_near.get(name, 0) + gateway.heard_far.get(name, 0)
                view.record_remote_load(now, heard)

    def _set_third(self, _now: float, is_up: bool) -> None:
        for server in self._servers[::3]:
            server.is_up = is_up
            server.warm.clear()

    def _set_sixth(self, _now: float, factor: float) -> None:
        for server in self._servers[::6]:
            server.factor = factor
