"""State shared by the tasks of one entry instance."""

import collections
import dataclasses
import itertools
import random
import time

from caperdyke.coordination import (
    adoption,
    backend_record,
    backends,
    drains,
    membership,
    overlay,
    retries,
    shares,
)
from caperdyke.state import backend, blockmap, ids, keys, member, outcome, settings
from caperdyke.transport import metrics
from caperdyke.transport.backends import backend_client, slot_queue
from caperdyke.transport.store import platform_client

EXPLANATIONS_MAX = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """How one request was handled, for ``caperdyke explain``.

    :param request: identifier of the request.
    :param at: time of the record, seconds since 1970.
    :param steps: one line for each decision.
    """

    request: str
    customer: str
    service: str
    at: float
    steps: tuple[str, ...]


class NodeContext:
    """State of one entry instance, passed to each of its tasks."""

    def __init__(self, node_settings: settings.EntrySettings, metric_set: metrics.Metrics) -> None:
        now = time.time()
        self.settings = node_settings
        self.metrics = metric_set
        self.clock = time.time
        own_record = member.Member(
            node_settings.instance,
            ids.Incarnation(int(now * 1000)),
            node_settings.domain,
            node_settings.advertised_address,
            node_settings.caller_address,
            member.MemberState.LIVE,
        )
        self.set_own_record(own_record)
        self.configuration_table = adoption.ConfigurationTable()
        self.key_table = keys.KeyTable()
        self.drains = drains.DrainTable()
        self.retries = retries.RetryBudget()
        policy = backends.Policy(node_settings.policy)
        self.backends = backends.BackendTable(policy, random.Random(int(now)))
        self.blocks = blockmap.BlockMap()
        self.platform = platform_client.PlatformClient(node_settings.platform_address)
        self.client = backend_client.BackendClient()
        self.load_by_instance: dict[ids.InstanceId, float] = {}
        self.active_requests = 0
        self.is_ready = False
        # Peer addresses of the live entry instances in the platform's instance list.
        self.listed_seeds: tuple[ids.Address, ...] = ()
        self.is_platform_unavailable = False
        self._queues: dict[ids.ServiceName, slot_queue.SlotQueue] = {}
        self._labels = itertools.count(1)
        self._key_numbers = itertools.count(1)
        self._explanations: collections.OrderedDict[str, Explanation] = collections.OrderedDict()
        for server in node_settings.backends:
            self.backends.add(server)

    def set_own_record(self, own_record: member.Member) -> None:
        """Creates the member table and the lease shares with this process as the only member."""
        self.members = membership.MemberTable(own_record)
        self.shares = shares.ShareLimiter(own_record.holder, own_record.domain)

    @property
    def own(self) -> member.Member:
        """Member record of this instance."""
        return self.members.own

    def find_poll_interval(self, interval: float) -> float:
        """Returns the interval between two reads of the platform by this instance, in seconds.

        :param interval: interval of the few instances that read at the full rate, in seconds.
        """
        usable = self.members.list_usable(self.clock(), self.own.domain)
        names = [record.instance for record in usable]
        return overlay.find_poll_interval(self.own.instance, self.own.domain, names, interval)

    def find_queue(self, service: ids.ServiceName) -> slot_queue.SlotQueue:
        """Returns the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = slot_queue.SlotQueue(service, self.backends)
            self._queues[service] = queue
        return queue

    def measure_load(self) -> float:
        """Returns requests in flight and queued per slot of this instance."""
        queued = sum(queue.count_waiting() for queue in self._queues.values())
        return self.backends.measure_load(queued)

    def serve_queues(self) -> None:
        """Grants free slots to the waiting requests of every service."""
        now = self.clock()
        for queue in self._queues.values():
            queue.serve_waiting(now)

    def make_label(self) -> str:
        """Returns a new request identifier."""
        return f"{self.settings.instance}-{self.own.incarnation:x}-{next(self._labels)}"

    def make_key(self, home: ids.DomainName, expires_at: float) -> keys.RequestKey:
        """Returns a new request key of this incarnation."""
        return keys.RequestKey(
            self.own.holder, next(self._key_numbers), home, int(expires_at * 1000)
        )

    def record_explanation(self, label: str, customer: str, service: str, steps: list[str]) -> None:
        """Stores how a request was handled; drops the oldest explanation above the limit."""
        explanation = Explanation(label, customer, service, self.clock(), tuple(steps))
        self._explanations[label] = explanation
        while len(self._explanations) > EXPLANATIONS_MAX:
            self._explanations.popitem(last=False)

    def find_explanation(self, label: str) -> Explanation | None:
        """Returns how a request was handled, or None if that is no longer stored."""
        return self._explanations.get(label)


def describe_refusal(refusal: outcome.Refusal) -> str:
    """Returns a refusal as one line for operators."""
    return f"{refusal.outcome.value}: {refusal.reason.value} {refusal.detail}".strip()


def is_leaving(record: backend_record.BackendRecord) -> bool:
    """Returns whether a backend server gets no new requests because it is leaving."""
    return record.state is backend.BackendState.LEAVING
