"""Discrete-event simulation of several kinds of requests that compete for one service.

Instances decide by the code of the gateway: selection of a server, restrictions by rank and team,
and waiting at the instance. Rejected callers come back once, to any instance.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from caperdyke.coordination.placement import (
    admission,
    processing_times,
    selection,
    server_view,
    team_shares,
    waiting_queue,
)
from caperdyke.state import ids
from testing.placement import builders

QUEUE_PER_SLOT = 3
# A caller retries at the latest after this part of the time until its deadline.
RETRY_RATIO = 0.3
LOAD_ANNOUNCEMENT_S = 0.5
ROUND_TRIP_S = 0.002
LATE_VALUE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one route and team.

    :param per_second: mean rate of all callers.
    :param work: mean processing time in seconds.
    :param during: from when until when requests are sent.
    """

    name: str
    rank: int
    per_second: float
    work: float = 0.2
    objective: float = 0.6
    timeout: float = 3.0
    team: str | None = None
    during: tuple[float, float] = (0.0, 20.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Instances and servers of one service.

    :param waiting_max: size of the waiting queue of an instance; 0 for none.
    :param is_competing: whether ranks and teams count.
    :param is_queued_at_servers: whether requests may wait at servers.
    :param announces_load: whether instances learn the load of others but by responses.
    """

    instances: int = 8
    servers: int = 10
    slots: int = 4
    waiting_max: int = 64
    is_competing: bool = True
    announces_load: bool = True
    is_queued_at_servers: bool = True


@dataclasses.dataclass(slots=True)
class Outcome:
    """Counts of one kind.

    :param held_s: longest wait at an instance without a response in time.
    """

    sent: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0
    held_s: float = 0.0
    queued: int = 0

    @property
    def served_ratio(self) -> float:
        """Ratio of callers that got a response."""
        return (self.in_time + self.late) / max(1, self.sent)

    @property
    def in_time_ratio(self) -> float:
        """Ratio of callers that got a response within the objective."""
        return self.in_time / max(1, self.sent)


@dataclasses.dataclass(slots=True, eq=False)
class _Caller:
    kind: Kind
    first_at: float
    received_at: float
    is_retry: bool = False
    entry: waiting_queue.WaitingRequest | None = None
    hold: waiting_queue.Hold | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Server:
    server: object
    running: int = 0
    waiting: collections.deque = dataclasses.field(default_factory=collections.deque)


class _Instance:
    def __init__(self, servers: list) -> None:
        self.views = [server_view.ServerView(item.server) for item in servers]
        self.candidates = [selection.Candidate(view, True, ROUND_TRIP_S) for view in self.views]
        self.times = processing_times.ProcessingTimes()
        self.capacity = admission.ServiceCapacity()
        self.queue = waiting_queue.WaitingQueue()
        self.callers: dict[waiting_queue.WaitingRequest, _Caller] = {}


class CompetingLoad:
    """Simulates a fleet under several kinds of requests.

    :param seed: seed of arrivals and processing times.
    """

    def __init__(self, fleet: Fleet, kinds: list[Kind], seed: int = 1) -> None:
        self._fleet = fleet
        self._kinds = kinds
        self._random = random.Random(seed)
        self._servers = [
            _Server(builders.make_server(f"s{number}", slots=fleet.slots))
            for number in range(fleet.servers)
        ]
        self._instances = [_Instance(self._servers) for _ in range(fleet.instances)]
        self._sequence = itertools.count()
        self._events: list[tuple] = []
        self.outcomes = {kind.name: Outcome() for kind in kinds}

    def run(self) -> dict[str, Outcome]:
        """Runs to the end and returns the outcome of each kind."""
        for kind in self._kinds:
            now, until = kind.during
            while (now := now + self._random.expovariate(kind.per_second)) < until:
                self._push(now, self._arrive, _Caller(kind, now, now))
        end = max(kind.during[1] for kind in self._kinds)
        if self._fleet.announces_load:
            for step in range(int(end / LOAD_ANNOUNCEMENT_S)):
                self._push(step * LOAD_ANNOUNCEMENT_S, self._announce_loads, None)
        while self._events:
            now, _, action, argument = heapq.heappop(self._events)
            action(now, argument)
        return self.outcomes

    def _push(self, at: float, action, argument) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action, argument))

    def _arrive(self, now: float, caller: _Caller) -> None:
        if not caller.is_retry:
            self.outcomes[caller.kind.name].sent += 1
        instance = self._random.choice(self._instances)
        selected = self._select(now, instance, caller)
        if isinstance(selected, selection.Placement):
            self._send(now, instance, caller, selected)
            return
        instance.capacity.record_wait(now, _claim(caller))
        if not self._fleet.waiting_max:
            self._reject(now, instance, caller, selected)
            return
        self._enqueue(now, instance, caller, selected)

    def _enqueue(self, now: float, instance: _Instance, caller: _Caller, selected) -> None:
        objective_at = caller.received_at + caller.kind.objective
        entry = waiting_queue.WaitingRequest(
            _claim(caller),
            caller.first_at + caller.kind.timeout,
            objective_at - self._estimate(instance, caller),
            now + waiting_queue.UNEXPECTED_WAIT_RATIO * caller.kind.objective,
            instance.capacity.shares.must_yield(now, _claim(caller)),
        )
        caller.entry = entry
        decision = self._decide(now, instance, caller, True)
        if isinstance(decision, waiting_queue.Reject):
            self._reject(now, instance, caller, selected)
            return
        instance.callers[entry] = caller
        last = instance.queue.offer(entry, self._fleet.waiting_max)
        if last is not None:
            self._reject(now, instance, instance.callers.pop(last), selected)
        if last is not entry:
            self._hold(now, instance, caller, decision)

    def _hold(self, now: float, instance: _Instance, caller: _Caller, hold) -> None:
        caller.hold = hold
        at = max(now + 0.02, min(hold.until, hold.retry_at))
        self._push(at, self._check, (instance, caller, hold))

    def _check(self, now: float, argument) -> None:
        instance, caller, hold = argument
        if caller.entry in instance.callers and caller.hold is hold:
            self._try_waiting(now, instance, caller)

    def _try_waiting(self, now: float, instance: _Instance, caller: _Caller) -> bool:
        entry = caller.entry
        selected = self._select(now, instance, caller)
        if isinstance(selected, selection.Placement):
            instance.queue.remove(entry)
            del instance.callers[entry]
            self._send(now, instance, caller, selected)
            return True
        instance.capacity.record_wait(now, _claim(caller))
        decision = self._decide(now, instance, caller, False)
        if isinstance(decision, waiting_queue.Reject):
            instance.queue.remove(entry)
            del instance.callers[entry]
            outcome = self.outcomes[caller.kind.name]
            outcome.held_s = max(outcome.held_s, now - caller.received_at)
            self._reject(now, instance, caller, selected)
        else:
            self._hold(now, instance, caller, decision)
        return False

    def _decide(self, now: float, instance: _Instance, caller: _Caller, is_new: bool):
        interval = instance.capacity.find_response_interval()
        ahead = instance.queue.count_ahead(caller.entry)
        expected = None if interval is None else (ahead + 1) * interval
        return waiting_queue.decide(now, caller.entry, expected, is_new)

    def _estimate(self, instance: _Instance, caller: _Caller) -> float:
        times = instance.times.find(ids.RouteName(caller.kind.name), caller.kind.objective)
        return min(times.warm, times.mean)

    def _select(self, now: float, instance: _Instance, caller: _Caller):
        kind, claim = caller.kind, _claim(caller)
        objective_at = caller.received_at + kind.objective
        deadline = caller.first_at + kind.timeout
        restriction = admission.NO_RESTRICTION
        if self._fleet.is_competing:
            restriction = instance.capacity.restrict(now, claim, True, True)
        may_be_queued = self._fleet.is_queued_at_servers and restriction.may_be_queued
        if self._fleet.waiting_max:
            is_hopeless = now + self._estimate(instance, caller) > objective_at
            yields = instance.capacity.shares.must_yield(now, claim)
            is_preceded = instance.queue.is_preceded(claim, yields, deadline)
            may_be_queued = may_be_queued and not is_hopeless and not is_preceded
        needs = selection.Requirements(
            builders.SERVICE,
            ids.ObjectKey(""),
            deadline,
            objective_at,
            0.0,
            reserved_ratio=restriction.reserved_ratio,
            may_be_queued=may_be_queued,
        )
        times = instance.times.find(ids.RouteName(kind.name), kind.objective)
        candidates = self._random.sample(instance.candidates, len(instance.candidates))
        return selection.select_server(now, needs, candidates, times)

    def _reject(self, now: float, instance: _Instance, caller: _Caller, selected) -> None:
        instance.capacity.record_shortage(now, _claim(caller))
        if caller.is_retry:
            self.outcomes[caller.kind.name].rejected += 1
            return
        remaining_s = caller.first_at + caller.kind.timeout - now
        delay = selected.retry_after * self._random.uniform(1.0, 1.5)
        if self._fleet.is_competing:
            ahead = len(instance.queue)
            plan = instance.capacity.plan_return(now, selected.retry_after, _claim(caller), ahead)
            delay = plan.seconds * self._random.uniform(1.0, 1.5)
            delay += plan.spread_s * self._random.random()
        retry_at = now + min(delay, remaining_s * RETRY_RATIO)
        self._push(retry_at, self._arrive, _Caller(caller.kind, caller.first_at, retry_at, True))

    def _send(self, now: float, instance: _Instance, caller: _Caller, placement) -> None:
        server = self._servers[instance.views.index(placement.view)]
        pending = placement.view.record_send(now)
        instance.capacity.record_start(now, _claim(caller))
        self.outcomes[caller.kind.name].queued += placement.is_queued
        run = (instance, server, caller, placement, pending, now)
        if server.running < self._fleet.slots:
            self._run(now, run)
        elif len(server.waiting) < QUEUE_PER_SLOT * self._fleet.slots:
            server.waiting.append(run)
        else:
            self._end(now, run, False)

    def _run(self, now: float, run) -> None:
        run[1].running += 1
        work = run[2].kind.work * self._random.uniform(0.7, 1.3)
        self._push(now + work + ROUND_TRIP_S, self._finish, run)

    def _finish(self, now: float, run) -> None:
        server = run[1]
        server.running -= 1
        if server.waiting:
            self._run(now, server.waiting.popleft())
        self._end(now, run, True)

    def _end(self, now: float, run, is_served: bool) -> None:
        instance, server, caller, placement, pending, sent_at = run
        view, kind = placement.view, caller.kind
        view.record_end(pending)
        view.record_reported_load(now, server.running + len(server.waiting) + len(view.pending))
        view.others = max(0, server.running + len(server.waiting) - view.in_flight)
        response_s = now - sent_at if is_served else None
        instance.capacity.record_end(now, _claim(caller), response_s)
        if not is_served:
            no_capacity = selection.NoCapacity(selection.RETRY_AFTER_MIN_S, False)
            self._reject(now, instance, caller, no_capacity)
            return
        outcome = self.outcomes[kind.name]
        is_in_time = now - caller.received_at <= kind.objective
        outcome.in_time += is_in_time
        outcome.late += not is_in_time
        if not placement.is_queued:
            instance.times.record(ids.RouteName(kind.name), kind.objective, True, response_s)
        instance.queue.start_round()
        while (entry := instance.queue.find_next()) is not None:
            if not self._try_waiting(now, instance, instance.callers[entry]):
                instance.queue.record_failed_try()

    def _announce_loads(self, now: float, _argument) -> None:
        for index in range(len(self._servers)):
            total = sum(instance.views[index].in_flight for instance in self._instances)
            for instance in self._instances:
                view = instance.views[index]
                view.record_remote_load(now, total - view.in_flight)


def _claim(caller: _Caller) -> team_shares.Claim:
    team = caller.kind.team
    return team_shares.Claim(caller.kind.rank, ids.TeamName(team) if team else None)
