"""Instances that exchange tokens of one team in memory, on the clock of a simulated event loop."""

import asyncio
import collections
import dataclasses
import random
import types

from caperdyke.coordination.placement import shared_bounds
from caperdyke.protocol import instance_messages
from caperdyke.state import gateway_settings, ids, member, name_hashes, routes, teams
from caperdyke.transport.gateway import team_quotas
from testing.knowledge import simulated_loop

REGIONS = {
    ids.DomainName(f"hall-{number}"): ids.RegionName(f"region-{number // 2}") for number in range(6)
}
TOLERANCE = gateway_settings.QuotaTolerance(5.0, 0.1, 20.0)
OBJECTIVE_SECONDS = 0.6
DEADLINE_SECONDS = 3.0
# One-way delays of datagrams within a region and between regions.
NEAR_DELAY_SECONDS = 0.0015
FAR_DELAY_SECONDS = 0.02
# Interval between updates of the instances' views; shorter than a pause.
TICK_SECONDS = 0.8
# Time after which an instance that has started or was frozen takes part again.
SETTLE_SECONDS = 1.5


def compute_allowed(team: teams.Team) -> float:
    """Returns the bound of docs/design/teams-and-load.md, section 2, in any window."""
    allowed = team.rate_per_second * TOLERANCE.window_s + team.burst
    return allowed * (1 + TOLERANCE.overrun) + TOLERANCE.slack


def count_allowed_by_one_bucket(team: teams.Team, arrivals: list[float]) -> int:
    """Returns how many requests one bucket for the whole fleet would admit."""
    stored, updated_at, admitted = team.burst, 0.0, 0
    for at in sorted(arrivals):
        stored = min(team.burst, stored + team.rate_per_second * (at - updated_at))
        updated_at = at
        if stored >= 1.0:
            stored, admitted = stored - 1.0, admitted + 1
    return admitted


class Instance:
    """One instance: its quotas and what it sees of the fleet.

    :ivar group: instances of other groups are cut off from it.
    :ivar unheard: instances that it does not hear, beside those of other groups.
    :ivar unknown: instances that it has never heard of.
    """

    def __init__(self, fleet: "QuotaFleet", number: int) -> None:
        self._fleet = fleet
        self.name = ids.InstanceId(f"gateway-{number}")
        self.name_hash = name_hashes.hash_name(self.name)
        self.domain = list(REGIONS)[number % len(REGIONS)]
        self.region = REGIONS[self.domain]
        self.group = 0
        self.unheard: set[ids.InstanceId] = set()
        self.unknown: set[ids.InstanceId] = set()
        self.is_alive = True
        self.is_frozen = False
        self.is_leaving = False
        self.settled_at = 0.0
        self._starts = 0
        self.delayed: list = []
        self.start()

    def start(self) -> None:
        """Starts the process, without any state of an earlier start."""
        self._starts += 1
        self.tick = -1
        self.message_handlers = {}
        self.node = types.SimpleNamespace(
            now=self._fleet.now,
            settings=types.SimpleNamespace(
                instance=self.name,
                region=self.region,
                domains=REGIONS,
                quota_tolerance=TOLERANCE,
            ),
            fleet=self,
            round_trips={
                domain: 2 * self._fleet.find_delay(self.region, region)
                for domain, region in REGIONS.items()
            },
            routes=self._fleet.table,
            metrics=types.SimpleNamespace(count_quota_decision=lambda *_: None),
        )
        self.own = member.Member(
            self.name,
            ids.Incarnation(1_000_000 * self._starts),
            self.domain,
            ids.Address(self.name),
            ids.Address(""),
            member.MemberState.LIVE,
        )
        self.quotas = team_quotas.TeamQuotas(self.node)
        self.quotas.connect(self)

    def kill(self) -> None:
        """Ends the process without notice."""
        self.is_alive = False

    def restart(self) -> None:
        """Starts the process again under the same name."""
        self.is_alive, self.settled_at = True, self._fleet.now() + SETTLE_SECONDS
        self.start()

    def resume(self) -> None:
        """Lets a frozen process go on, with the datagrams that arrived meanwhile."""
        self.is_frozen, self.settled_at = False, self._fleet.now() + SETTLE_SECONDS
        # The datagrams are handled before its view of the fleet is updated.
        self.tick = self._fleet.tick
        delayed, self.delayed = self.delayed, []
        for data in delayed:
            self.receive(data)

    def send_message(self, address: ids.Address, data: bytes) -> None:
        """Sends a datagram, as the announcer does."""
        if self.is_alive and not self.is_frozen:
            self._fleet.send(self, address, data)

    def receive(self, data: bytes) -> None:
        """Passes a datagram on, as the announcer does."""
        if self.is_frozen:
            self.delayed.append(data)
            return
        self.update_view()
        kind, items = instance_messages.decode_message(data)
        self.message_handlers[kind](items, ids.Address(""))

    def update_view(self) -> None:
        """Updates the view of the fleet unless that was done since the last tick.

        Updates of instances that do nothing are left out; with 750 they would take most of the
        time of a test.
        """
        if self.tick != self._fleet.tick:
            self.tick = self._fleet.tick
            self.quotas.update()

    def build_fleet_view(self, now: float) -> shared_bounds.FleetView:
        """Returns the live instances, as ``fleet.Fleet`` does."""
        live = self._fleet.find_live(now, self)
        own = self.name if now >= self.settled_at and not self.is_leaving else None
        return shared_bounds.FleetView(own, live, 1.0)

    def list_others(self) -> list:
        """Returns the records of the others, as ``fleet.Fleet`` does."""
        others = self._fleet.records
        if self.unknown:
            others = [item for item in others if item.record.instance not in self.unknown]
        return others


class QuotaFleet:
    """Instances, the datagrams between them, and the requests of one team.

    :param team: its limit.
    :param callers: numbers of the instances that its callers use; all if empty.
    """

    def __init__(
        self, count: int, team: teams.Team, callers: tuple[int, ...] = (), seed: int = 1
    ) -> None:
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.table = make_table(1, team)
        self.team = team
        self.loss = 0.0
        self.duplicates = 0.0
        self.extra_delay = 0.0
        self.records: list = []
        self.datagrams = 0
        self.tick = 0
        self._live_cache: dict = {}
        self.instances: list[Instance] = []
        self.instances = [Instance(self, number) for number in range(count)]
        self.by_name = {item.name: item for item in self.instances}
        self.callers = [self.instances[number] for number in callers] or list(self.instances)
        self.arrivals: list[float] = []
        self.granted: list[float] = []
        self.rejected: list[float] = []
        self.delays: list[float] = []
        self._tasks: set[asyncio.Task] = set()
        self.refresh()
        self.update_views()

    def now(self) -> float:
        """Returns the simulated time."""
        return self.loop.time()

    def find_delay(self, region: ids.RegionName, other: ids.RegionName) -> float:
        """Returns the one-way delay between two regions."""
        return NEAR_DELAY_SECONDS if region == other else FAR_DELAY_SECONDS

    def refresh(self) -> None:
        """Applies changes of the instances' state to what the others see."""
        self._live_cache.clear()
        self.records = [
            types.SimpleNamespace(
                record=dataclasses.replace(
                    item.own,
                    state=member.MemberState.LEAVING if item.is_leaving else item.own.state,
                ),
                alive_until=0.0,
            )
            for item in self.instances
        ]

    def find_live(self, now: float, observer: Instance) -> dict[ids.InstanceId, ids.DomainName]:
        """Returns the failure domains of the instances that an observer hears."""
        key = observer.group
        if key not in self._live_cache:
            self._live_cache[key] = {
                item.name: item.domain
                for item in self.instances
                if item.group == key
                and item.is_alive
                and not item.is_frozen
                and not item.is_leaving
            }
        live = self._live_cache[key]
        hidden = observer.unheard | observer.unknown
        if hidden or observer.name not in live:
            live = {name: at for name, at in live.items() if name not in hidden}
            live[observer.name] = observer.domain
        return live

    def find_holders(self) -> list[Instance]:
        """Returns the holders of the team as the first live instance sees them."""
        observer = next(item for item in self.instances if item.is_alive and not item.is_frozen)
        observer.update_view()
        directory = observer.quotas._exchange.directory
        return [self.by_name[name] for name in directory.list_holders(self.team.name).values()]

    async def rest(self, seconds: float) -> None:
        """Lets time pass without requests; views are updated at its end."""
        await asyncio.sleep(seconds)
        self.update_views()

    def update_views(self) -> None:
        """Updates each instance's view of the fleet."""
        self.tick += 1
        for item in self.instances:
            if item.is_alive and not item.is_frozen:
                item.update_view()

    def send(self, sender: Instance, address: ids.Address, data: bytes) -> None:
        """Delivers a datagram after its delay, unless it is lost."""
        self.datagrams += 1
        receiver = self.by_name[ids.InstanceId(address)]
        copies = 1 + (self.random.random() < self.duplicates)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = self.find_delay(sender.region, receiver.region)
            delay += self.random.random() * self.extra_delay
            self.loop.call_later(delay, self._deliver, sender, receiver, data)

    def _deliver(self, sender: Instance, receiver: Instance, data: bytes) -> None:
        if receiver.is_alive and sender.group == receiver.group:
            receiver.receive(data)

    async def run(self, seconds: float, rate: float, step=None) -> None:
        """Sends requests of the team at a mean rate, at random times and instances.

        :param step: called every ``TICK_SECONDS`` with the time since the start.
        """
        self.refresh()
        self.update_views()
        started = self.now()
        next_tick = started + TICK_SECONDS
        next_arrival = started + self._draw_interval(rate)
        while self.now() < started + seconds:
            at = min(next_tick, next_arrival, started + seconds)
            await asyncio.sleep(at - self.now())
            if self.now() >= next_tick:
                next_tick += TICK_SECONDS
                if step is not None:
                    step(self.now() - started)
                    self.refresh()
                self.tick += 1
            while self.now() >= next_arrival:
                next_arrival += self._draw_interval(rate)
                self._send_request(self.random.choice(self.callers))

    async def finish(self) -> None:
        """Waits until all requests are decided."""
        await asyncio.gather(*self._tasks)

    def _draw_interval(self, rate: float) -> float:
        return self.random.expovariate(rate) if rate > 0 else 1e9

    def _send_request(self, instance: Instance) -> None:
        if not instance.is_alive or instance.is_frozen:
            return
        task = asyncio.ensure_future(self._request(instance))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, instance: Instance) -> None:
        at = self.now()
        instance.update_view()
        self.arrivals.append(at)
        result = await instance.quotas.acquire(
            instance.node.routes.teams.find_by_name(self.team.name),
            at + DEADLINE_SECONDS,
            at + OBJECTIVE_SECONDS,
        )
        self.delays.append(self.now() - at)
        is_granted = isinstance(result, team_quotas.Granted)
        (self.granted if is_granted else self.rejected).append(self.now())

    def count_most(self, since: float = 0.0) -> int:
        """Returns the most granted requests in any window."""
        window: collections.deque[float] = collections.deque()
        most = 0
        for at in sorted(self.granted):
            if at < since:
                continue
            window.append(at)
            while window[0] <= at - TOLERANCE.window_s:
                window.popleft()
            most = max(most, len(window))
        return most


def make_table(version: int, *members: teams.Team) -> routes.RouteTable:
    """Returns a configuration with some teams."""
    return routes.RouteTable(
        version,
        (),
        {},
        routes.CallerLimits(1, 1, 1.0, 1.0),
        teams.make_directory([(team, [f"key-{team.name}"]) for team in members]),
    )


def simulate(scenario) -> None:
    """Runs a coroutine function on the simulated clock."""
    simulated_loop.run(scenario())
