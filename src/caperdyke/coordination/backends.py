"""Selects backend servers for requests, and ejects failing and avoids slow ones."""

import enum
import math
import random
import statistics

from caperdyke.coordination import backend_record, overlay
from caperdyke.state import backend, ids, timing

# Consecutive failures after which a backend server is ejected, and for how long.
EJECT_FAILURES = 4
EJECT_SECONDS = 2.0
# Largest part of a service's backend servers that may be ejected at the same time.
EJECTED_RATIO_MAX = 0.5
# Weight of the newest observation in the latency estimate (a moving average).
LATENCY_WEIGHT = 0.2
# Multiple of the median latency above which a backend server is avoided, and the interval at which
# it still gets a probe request.
SLOW_LATENCY_RATIO = 3.0
PROBE_SECONDS = 4.0


class Policy(enum.Enum):
    """Load balancing policy among the backend servers with a free slot."""

    LEAST_WORK = "least-work"
    ROUND_ROBIN = "round-robin"
    RANDOM_TWO = "random-two"


class BackendTable:
    """All backend servers of one failure domain, grouped by service."""

    def __init__(self, policy: Policy, rng: random.Random) -> None:
        self.policy = policy
        self._rng = rng
        self._records: dict[ids.BackendId, backend_record.BackendRecord] = {}
        self._by_service: dict[ids.ServiceName, list[backend_record.BackendRecord]] = {}
        self._next_indexes: dict[ids.ServiceName, int] = {}

    def add(self, server: backend.BackendServer) -> backend_record.BackendRecord:
        """Adds a backend server, or returns its existing record."""
        record = self._records.get(server.backend)
        if record is None:
            record = backend_record.BackendRecord(server)
            self._records[server.backend] = record
            self._by_service.setdefault(server.service, []).append(record)
        return record

    def find(self, name: str) -> backend_record.BackendRecord | None:
        """Returns the record of a backend server, or None."""
        return self._records.get(ids.BackendId(name))

    def list_records(self) -> list[backend_record.BackendRecord]:
        """Returns all records."""
        return list(self._records.values())

    def list_service(self, service: ids.ServiceName) -> list[backend_record.BackendRecord]:
        """Returns the records of one service."""
        return self._by_service.get(service, [])

    def assign_slots(self, own_instance: ids.InstanceId, instances: list[ids.InstanceId]) -> None:
        """Assigns this instance its part of every backend server's slots."""
        for record in self._records.values():
            record.stats.owned_slots = count_owned_slots(record.server, own_instance, instances)

    def choose(self, now: float, service: ids.ServiceName) -> backend_record.BackendRecord | None:
        """Returns a backend server with a free slot, or None."""
        has_slow_start = self._has_slow_start(service)
        latency_limit = self._find_latency_limit(now, service)
        candidates = []
        for record in self.list_service(service):
            self._restore_ejected(now, record)
            is_free = record.is_open() and record.count_free_slots(has_slow_start) > 0
            if is_free and not _is_avoided(now, record, latency_limit):
                candidates.append(record)
        if not candidates:
            return None
        match self.policy:
            case Policy.LEAST_WORK:
                return min(candidates, key=lambda record: _estimate_work(now, record))
            case Policy.ROUND_ROBIN:
                index = self._next_indexes.get(service, 0)
                self._next_indexes[service] = index + 1
                return candidates[index % len(candidates)]
            case Policy.RANDOM_TWO:
                pair = self._rng.choices(candidates, k=2)
                return min(pair, key=lambda record: record.stats.in_flight)

    def has_available(self, service: ids.ServiceName) -> bool:
        """Returns whether any backend server of a service admits new work from this instance."""
        return any(
            record.is_open() and record.stats.owned_slots > 0
            for record in self.list_service(service)
        )

    def count_slots(self, service: ids.ServiceName) -> int:
        """Returns the slots of a service that this instance may fill."""
        return sum(
            record.stats.owned_slots for record in self.list_service(service) if record.is_open()
        )

    def start(self, now: float, record: backend_record.BackendRecord) -> None:
        """Counts a request that is about to be sent."""
        record.stats.in_flight += 1
        record.stats.running_since.append(now)
        record.stats.starts += 1
        record.stats.started_at = now

    def record_head(self, record: backend_record.BackendRecord) -> None:
        """Records that an answer's head arrived or never will; its body may take longer."""
        # Requests to one backend server are similar, so the oldest start time is removed, whichever
        # request the head belongs to.
        if record.stats.running_since:
            record.stats.running_since.popleft()

    def give_back(self, record: backend_record.BackendRecord) -> None:
        """Releases the slot of a request that was never sent."""
        self.record_head(record)
        record.stats.in_flight -= 1

    def finish_answer(self, record: backend_record.BackendRecord, latency: float) -> None:
        """Counts an answer and updates the latency estimate.

        :param latency: time from the start of the request to the answer's head, in seconds.
        """
        stats = record.stats
        record.stats.in_flight -= 1
        stats.answers += 1
        stats.failures = 0
        weight = LATENCY_WEIGHT if stats.is_observed else 1.0
        stats.is_observed = True
        stats.latency += weight * (latency - stats.latency)
        is_warming = record.state is backend.BackendState.WARMING
        if is_warming and stats.answers >= backend_record.WARM_ANSWERS:
            record.warm()

    def finish_failure(self, now: float, record: backend_record.BackendRecord) -> None:
        """Counts a failure, and ejects a backend server after consecutive failures."""
        stats = record.stats
        record.stats.in_flight -= 1
        stats.failures += 1
        is_failing = stats.failures >= EJECT_FAILURES and record.is_open()
        if is_failing and self._may_eject(record):
            stats.ejected_until = now + EJECT_SECONDS
            record.eject()

    def finish_refusal(self, record: backend_record.BackendRecord) -> None:
        """Releases the slot of a request that counts neither as answered nor as failed."""
        record.stats.in_flight -= 1

    def mark_leaving(self, now: float, record: backend_record.BackendRecord) -> None:
        """Stops new work for a backend server at the first indication that it is leaving."""
        if record.state is not backend.BackendState.LEAVING:
            record.leave()
            record.stats.leaving_at = now

    def mark_returned(self, record: backend_record.BackendRecord) -> None:
        """Readmits a backend server that had left; it counts as cold."""
        if record.state is backend.BackendState.LEAVING:
            record.come_back()
            record.stats.leaving_at = 0.0
            record.stats.answers = 0
            record.stats.failures = 0

    def estimate_latency(self, now: float, service: ids.ServiceName) -> float:
        """Returns the expected latency of one answer of a service in seconds."""
        records = [record for record in self.list_service(service) if record.is_open()]
        if not records:
            return timing.PERIOD_MAX_SECONDS
        return sum(record.estimate_latency(now) for record in records) / len(records)

    def is_observed(self, service: ids.ServiceName) -> bool:
        """Returns whether the latency estimate of a service is based on any answer."""
        return any(record.stats.is_observed for record in self.list_service(service))

    def estimate_wait(self, now: float, service: ids.ServiceName, queued: int) -> float:
        """Returns the expected wait in seconds behind a number of queued requests."""
        slots = self.count_slots(service)
        if slots == 0:
            return timing.PERIOD_MAX_SECONDS
        return (queued + 1) * self.estimate_latency(now, service) / slots

    def measure_load(self, queued: int) -> float:
        """Returns requests in flight and queued per slot of this instance.

        :param queued: requests of all services that wait for a slot.
        """
        slots = sum(item.stats.owned_slots for item in self._records.values() if item.is_open())
        if slots == 0:
            return 1.0
        in_flight = sum(item.stats.in_flight for item in self._records.values())
        return (in_flight + queued) / slots

    def _restore_ejected(self, now: float, record: backend_record.BackendRecord) -> None:
        if record.state is backend.BackendState.EJECTED and now >= record.stats.ejected_until:
            record.restore()
            record.stats.answers = 0
            # A single failure ejects it again.
            record.stats.failures = EJECT_FAILURES - 1

    def _has_slow_start(self, service: ids.ServiceName) -> bool:
        """Returns whether cold backend servers get fewer requests, which needs enough warm slots.

        Where most slots are cold, as after a shift, slow start would only waste their capacity.
        """
        if self.policy is not Policy.LEAST_WORK:
            return False
        warm = cold = 0
        for record in self.list_service(service):
            if record.state is backend.BackendState.SERVING:
                warm += record.stats.owned_slots
            elif record.state is backend.BackendState.WARMING:
                cold += record.stats.owned_slots
        return warm >= cold

    def _find_latency_limit(self, now: float, service: ids.ServiceName) -> float:
        """Returns the latency in seconds above which a backend server is avoided."""
        if self.policy is not Policy.LEAST_WORK:
            return math.inf
        latencies = [
            record.estimate_latency(now)
            for record in self.list_service(service)
            if record.is_open()
        ]
        return SLOW_LATENCY_RATIO * statistics.median_low(latencies) if latencies else math.inf

    def _may_eject(self, record: backend_record.BackendRecord) -> bool:
        if self.policy is not Policy.LEAST_WORK:
            return False
        records = self.list_service(record.server.service)
        ejected = sum(1 for item in records if item.state is backend.BackendState.EJECTED)
        return ejected + 1 <= len(records) * EJECTED_RATIO_MAX


def _is_avoided(now: float, record: backend_record.BackendRecord, latency_limit: float) -> bool:
    """Returns whether a request should wait for a faster backend server instead.

    A slow server without requests gets a single probe request every ``PROBE_SECONDS``, so that its
    recovery is detected.
    """
    if record.estimate_latency(now) <= latency_limit:
        return False
    is_probe_due = now >= record.stats.started_at + PROBE_SECONDS
    return record.stats.in_flight > 0 or not is_probe_due


def _estimate_work(now: float, record: backend_record.BackendRecord) -> float:
    stats = record.stats
    return record.estimate_latency(now) * (stats.in_flight + 1) / max(1, record.server.slots)


def count_owned_slots(
    server: backend.BackendServer, own_instance: ids.InstanceId, instances: list[ids.InstanceId]
) -> int:
    """Returns how many of a backend server's slots an instance may fill.

    Slots are assigned round-robin to the instances in the rendezvous order of the backend server,
    so the numbers of two instances differ by at most one and every slot has exactly one owner.
    """
    if own_instance not in instances:
        return 0
    order = overlay.rank_instances(server.backend, instances)
    position = order.index(own_instance)
    return len(range(position, server.slots, len(order)))
