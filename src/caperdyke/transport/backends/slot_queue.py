"""Queues of requests that wait for a free slot at a backend server."""

import asyncio
import collections
import dataclasses

from caperdyke import errors
from caperdyke.coordination import backend_record, backends
from caperdyke.state import ids, outcome

WAITING_REQUESTS_MAX = 500
# Largest share of the time to the deadline that a request waits for a slot.
WAIT_RATIO_MAX = 0.5
# A request is admitted only if its expected wait is below this share of the time to its deadline.
ADMITTED_WAIT_RATIO_MAX = 0.4
# Delay after which a request that got no slot may be retried.
RETRY_DELAY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiter:
    """A request that waits for a slot.

    :param granted: completed with the record of the backend server, or with a refusal.
    :param deadline: in seconds since 1970.
    """

    granted: asyncio.Future
    deadline: float


class SlotQueue:
    """Grants the slots of one service round robin by customer, in order of arrival for each."""

    def __init__(self, service: ids.ServiceName, table: backends.BackendTable) -> None:
        self._service = service
        self._table = table
        self._waiting: collections.OrderedDict[ids.CustomerName, collections.deque[_Waiter]] = (
            collections.OrderedDict()
        )

    def count_waiting(self) -> int:
        """Returns the number of waiting requests."""
        return sum(len(queue) for queue in self._waiting.values())

    async def acquire(
        self, now: float, customer: ids.CustomerName, deadline: float
    ) -> backend_record.BackendRecord:
        """Takes a slot, waiting if none is free, and returns the record of its backend server.

        :param now: current time, seconds since 1970.
        :param deadline: the caller's deadline, seconds since 1970.
        :raises errors.RefusalError: if no slot is available in time.
        """
        if not self._table.has_available(self._service):
            raise errors.RefusalError(outcome.refuse(outcome.Reason.NO_BACKEND, now + 1.0))
        waiting = self.count_waiting()
        latency = self._table.estimate_latency(now, self._service)
        record = self._table.choose(now, self._service) if waiting == 0 else None
        if record is not None and now + record.estimate_latency(now) < deadline:
            self._table.start(now, record)
            return record
        ahead = self._count_ahead(customer)
        wait = self._table.estimate_wait(now, self._service, ahead)
        is_wait_too_long = (
            wait >= (deadline - now) * ADMITTED_WAIT_RATIO_MAX or now + wait + latency >= deadline
        )
        if is_wait_too_long or ahead >= self._find_queue_limit():
            raise errors.RefusalError(outcome.refuse(outcome.Reason.BACKEND_BUSY, now + wait))
        return await self._wait(customer, deadline, (deadline - now) * WAIT_RATIO_MAX)

    def _count_ahead(self, customer: ids.CustomerName) -> int:
        """Returns how many waiting requests get a slot before a new one of a customer.

        Because of the round robin, each other customer counts with at most one request more than
        this customer has waiting.
        """
        own_count = len(self._waiting.get(customer, ()))
        others = (queue for name, queue in self._waiting.items() if name != customer)
        return own_count + sum(min(len(queue), own_count + 1) for queue in others)

    def _find_queue_limit(self) -> int:
        """Returns how many requests may wait; one per slot until a latency has been observed."""
        if self._table.is_observed(self._service):
            return WAITING_REQUESTS_MAX
        return self._table.count_slots(self._service)

    async def _wait(
        self, customer: ids.CustomerName, deadline: float, timeout: float
    ) -> backend_record.BackendRecord:
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(future, deadline)
        self._waiting.setdefault(customer, collections.deque()).append(waiter)
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError as error:
            self._return_slot(future)
            raise errors.RefusalError(_refuse_busy(deadline - timeout)) from error
        except asyncio.CancelledError:
            self._return_slot(future)
            raise
        finally:
            self._remove_waiter(customer, waiter)

    def _return_slot(self, future: asyncio.Future) -> None:
        # A slot may be granted in the same event-loop iteration in which the wait ends.
        if future.done() and not future.cancelled() and future.exception() is None:
            self._table.give_back(future.result())

    def serve_waiting(self, now: float) -> None:
        """Grants free slots to the waiting requests that can still be answered in time."""
        while self._waiting:
            record = self._table.choose(now, self._service)
            if record is None:
                break
            waiter = self._pop_next()
            if waiter is None:
                break
            if now + record.estimate_latency(now) >= waiter.deadline:
                # The answer would be late, and the slot would be lost to other requests.
                waiter.granted.set_exception(errors.RefusalError(_refuse_busy(now)))
                continue
            self._table.start(now, record)
            waiter.granted.set_result(record)
        if self._waiting and not self._table.has_available(self._service):
            self._refuse_all(now)

    def _pop_next(self) -> _Waiter | None:
        for customer in list(self._waiting):
            queue = self._waiting[customer]
            self._waiting.move_to_end(customer)
            while queue:
                waiter = queue.popleft()
                if not waiter.granted.done():
                    return waiter
        return None

    def _refuse_all(self, now: float) -> None:
        refusal = outcome.refuse(outcome.Reason.NO_BACKEND, now + 1.0)
        for queue in self._waiting.values():
            for waiter in queue:
                if not waiter.granted.done():
                    waiter.granted.set_exception(errors.RefusalError(refusal))

    def _remove_waiter(self, customer: ids.CustomerName, waiter: _Waiter) -> None:
        queue = self._waiting.get(customer)
        if queue is None:
            return
        if waiter in queue:
            queue.remove(waiter)
        if not queue:
            del self._waiting[customer]


def _refuse_busy(now: float) -> outcome.Refusal:
    return outcome.refuse(outcome.Reason.BACKEND_BUSY, now + RETRY_DELAY_SECONDS)
