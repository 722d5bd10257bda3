"""Requests that wait at this instance until a server has capacity for them."""

import asyncio
import collections
import collections.abc
import contextlib

from caperdyke.coordination.placement import selection, team_shares, waiting_queue
from caperdyke.state import ids, routes
from caperdyke.transport.gateway import context, local_reply, sender, service_capacities

# Shortest time between two tries of a request without a response of the service, and the longest
# time after which a waiting request notices a changed configuration or a lost path.
RETRY_MIN_SECONDS = 0.02
CHECK_SECONDS = 0.05

Select = collections.abc.Callable[[], selection.Selection]


class WaitingRequests:
    """Holds requests without capacity, and tries them again in their order.

    :ivar capacities: who uses each service.
    """

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        self.capacities = service_capacities.ServiceCapacities(node, self._start_round)
        self._queues: dict[ids.ServiceName, waiting_queue.WaitingQueue] = collections.defaultdict(
            waiting_queue.WaitingQueue
        )
        # Completed to wake the request that waits for it.
        self._wakers: dict[waiting_queue.WaitingRequest, asyncio.Future] = {}
        # Route of each waiting request.
        self._routes: dict[waiting_queue.WaitingRequest, routes.Route] = {}

    def may_be_queued(
        self,
        service: ids.ServiceName,
        route: routes.Route,
        claim: team_shares.Claim,
        deadline: float,
        received_at: float,
    ) -> bool:
        """Returns whether a request may be sent to a server without a free slot.

        :param deadline: time after which the response is useless.
        """
        if self._node.settings.waiting_max <= 0:
            return True
        if self._node.now() > self._find_latest_start(route, received_at):
            return False
        must_yield = self.capacities.must_yield(service, claim)
        return not self._queues[service].is_preceded(claim, must_yield, deadline)

    async def wait(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        trace: local_reply.RequestTrace,
        no_capacity: selection.NoCapacity,
        select: Select,
    ) -> selection.Selection | None:
        """Waits for capacity as long as that serves the caller.

        :param no_capacity: why the request was not sent yet.
        :param select: selects a server for the request now.
        :returns: None if the configuration or the path has changed, so that the request must be
            considered anew.
        """
        if not self.capacities.is_competing(service):
            return no_capacity
        claim = service_capacities.make_claim(request, route)
        entry = self._make_entry(request, route, service, trace, claim)
        queue = self._queues[service]
        ahead = queue.count_ahead(entry)
        size_max = self._node.settings.waiting_max
        if size_max > 0 and not no_capacity.is_empty:
            decision = self._decide(service, entry, no_capacity, trace.waited_s == 0)
            if isinstance(decision, waiting_queue.Hold):
                self._evict(service, queue.offer(entry, size_max))
                self._routes[entry] = route
                no_capacity = await self._hold(
                    request, service, entry, decision, trace, no_capacity, select
                )
                if not isinstance(no_capacity, selection.NoCapacity):
                    return no_capacity
        return self.capacities.record_rejection(service, claim, no_capacity, ahead, trace)

    def stop(self) -> None:
        """Rejects waiting requests as soon as they cannot be served before the planned stop."""
        for entry, route in self._routes.items():
            latest_send = self._node.find_latest_send(route, entry.deadline)
            entry.latest_start = min(entry.latest_start, latest_send)

    def _make_entry(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        service: ids.ServiceName,
        trace: local_reply.RequestTrace,
        claim: team_shares.Claim,
    ) -> waiting_queue.WaitingRequest:
        allowance_s = waiting_queue.UNEXPECTED_WAIT_RATIO * route.objective_ms / 1000
        return waiting_queue.WaitingRequest(
            claim,
            request.deadline,
            min(
                self._find_latest_start(route, trace.received_at),
                self._node.find_latest_send(route, request.deadline),
            ),
            self._node.now() + allowance_s - trace.waited_s,
            self.capacities.must_yield(service, claim),
        )

    def _find_latest_start(self, route: routes.Route, received_at: float) -> float:
        """Returns the time until which a request must be sent to meet its objective."""
        objective = route.objective_ms / 1000
        times = self._node.times.find(route.name, objective)
        return received_at + objective - min(times.warm, times.mean)

    def _decide(
        self,
        service: ids.ServiceName,
        entry: waiting_queue.WaitingRequest,
        no_capacity: selection.NoCapacity,
        is_new: bool,
    ) -> waiting_queue.Decision:
        expected_s = None
        interval = self.capacities.find(service).find_response_interval()
        if interval is not None:
            expected_s = (self._queues[service].count_ahead(entry) + 1) * interval
        if not no_capacity.open_servers:
            # The servers' bounds or backoffs end at a known time.
            expected_s = no_capacity.retry_after
        return waiting_queue.decide(self._node.now(), entry, expected_s, is_new)

    async def _hold(
        self,
        request: sender.CallerRequest,
        service: ids.ServiceName,
        entry: waiting_queue.WaitingRequest,
        decision: waiting_queue.Hold,
        trace: local_reply.RequestTrace,
        no_capacity: selection.NoCapacity,
        select: Select,
    ) -> selection.Selection | None:
        node, queue = self._node, self._queues[service]
        waiting_since = node.now()
        capacity = self.capacities.find(service)
        cause = "the request was cancelled"
        retry_at = max(waiting_since + RETRY_MIN_SECONDS, decision.retry_at)
        capacity.record_wait(waiting_since, entry.claim)
        try:
            while entry in queue:
                is_woken = await self._sleep(entry, min(retry_at, decision.until))
                if self._must_be_considered_anew(request):
                    cause = "the configuration or the path changed"
                    return None
                if entry not in queue:
                    break
                now = node.now()
                capacity.record_wait(now, entry.claim)
                is_tried = is_woken or now >= min(retry_at, decision.until)
                if is_tried:
                    entry.must_yield = self.capacities.must_yield(service, entry.claim)
                    selected = select()
                    if isinstance(selected, selection.Placement):
                        cause = "capacity came free"
                        return selected
                    no_capacity = selected
                    queue.record_failed_try()
                    self._wake_next(service)
                decision = self._decide(service, entry, no_capacity, False)
                if isinstance(decision, waiting_queue.Reject):
                    cause = decision.cause
                    return no_capacity
                if is_tried:
                    retry_at = max(now + RETRY_MIN_SECONDS, decision.retry_at)
            cause = "others have precedence in the full queue"
            return no_capacity
        finally:
            queue.remove(entry)
            self._wakers.pop(entry, None)
            self._routes.pop(entry, None)
            self._wake_next(service)
            waited_s = node.now() - waiting_since
            trace.waited_s += waited_s
            trace.sends.append(f"waited {round(waited_s * 1000)} ms for capacity: {cause}")

    async def _sleep(self, entry: waiting_queue.WaitingRequest, until: float) -> bool:
        """Waits until a request may be tried, at most for ``CHECK_SECONDS``.

        :returns: whether the request was woken before ``until``.
        """
        waker = self._wakers[entry] = asyncio.get_running_loop().create_future()
        delay = min(CHECK_SECONDS, max(0.0, until - self._node.now()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await waker
        return waker.done() and not waker.cancelled()

    def _must_be_considered_anew(self, request: sender.CallerRequest) -> bool:
        node = self._node
        has_path = node.path.can_use_kept(node.now()) and not node.path.is_lost
        return node.routes is not request.table or not has_path

    def _evict(self, service: ids.ServiceName, entry: waiting_queue.WaitingRequest | None) -> None:
        """Wakes a request that lost its place in the full queue, so that it is rejected."""
        if entry is not None:
            self._wake(entry)

    def _start_round(self, service: ids.ServiceName) -> None:
        queue = self._queues.get(service)
        if queue:
            queue.start_round()
            self._wake_next(service)

    def _wake_next(self, service: ids.ServiceName) -> None:
        """Wakes the request that is tried next; it wakes the one after it."""
        entry = self._queues[service].find_next()
        if entry is not None:
            self._wake(entry)

    def _wake(self, entry: waiting_queue.WaitingRequest) -> None:
        waker = self._wakers.get(entry)
        if waker is not None and not waker.done():
            waker.set_result(None)
