"""Queues of requests that wait for a free slot at a backend server."""

import asyncio
import collections

from caperdyke import errors
from caperdyke.coordination import backends
from caperdyke.state import ids, outcome

QUEUE_MAX = 500


class SlotQueue:
    """Gives out the slots of one service; customers take turns, each in order of arrival."""

    def __init__(self, service: ids.ServiceName, table: backends.BackendTable) -> None:
        self._service = service
        self._table = table
        self._waiting: collections.OrderedDict[
            ids.CustomerName, collections.deque[asyncio.Future]
        ] = collections.OrderedDict()

    def count_waiting(self) -> int:
        """Returns the number of requests that wait."""
        return sum(len(queue) for queue in self._waiting.values())

    async def acquire(
        self, now: float, customer: ids.CustomerName, deadline: float
    ) -> backends.BackendRecord:
        """Returns a backend server with a slot taken.

        :param now: current time, seconds since 1970.
        :param deadline: the caller's deadline, seconds since 1970.
        :raises errors.RefusalError: where no slot can be had in time.
        """
        if not self._table.has_open(self._service):
            raise errors.RefusalError(outcome.refuse(outcome.Reason.NO_BACKEND, now + 1.0))
        waiting = self.count_waiting()
        record = self._table.choose(now, self._service) if waiting == 0 else None
        if record is not None:
            self._table.start(record)
            return record
        wait = self._table.estimate_wait(self._service, waiting)
        if waiting >= QUEUE_MAX or now + wait >= deadline:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.BACKEND_BUSY, now + wait))
        return await self._wait(customer, deadline - now, now + wait)

    async def _wait(
        self, customer: ids.CustomerName, timeout: float, retry_at: float
    ) -> backends.BackendRecord:
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(customer, collections.deque()).append(future)
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError as error:
            self._give_back(future)
            refusal = outcome.refuse(outcome.Reason.BACKEND_BUSY, retry_at)
            raise errors.RefusalError(refusal) from error
        except asyncio.CancelledError:
            self._give_back(future)
            raise
        finally:
            self._leave(customer, future)

    def _give_back(self, future: asyncio.Future) -> None:
        # A slot may have been granted in the same turn of the loop in which the waiter gave up.
        if future.done() and not future.cancelled() and future.exception() is None:
            self._table.finish_refusal(future.result())

    def serve_waiting(self, now: float) -> None:
        """Gives free slots to waiting requests."""
        while self._waiting:
            record = self._table.choose(now, self._service)
            if record is None:
                break
            future = self._pop_next()
            if future is None:
                break
            self._table.start(record)
            future.set_result(record)
        if self._waiting and not self._table.has_open(self._service):
            self._refuse_all(now)

    def _pop_next(self) -> asyncio.Future | None:
        for customer in list(self._waiting):
            queue = self._waiting[customer]
            self._waiting.move_to_end(customer)
            while queue:
                future = queue.popleft()
                if not future.done():
                    return future
        return None

    def _refuse_all(self, now: float) -> None:
        error = outcome.refuse(outcome.Reason.NO_BACKEND, now + 1.0)
        for queue in self._waiting.values():
            for future in queue:
                if not future.done():
                    future.set_exception(errors.RefusalError(error))

    def _leave(self, customer: ids.CustomerName, future: asyncio.Future) -> None:
        queue = self._waiting.get(customer)
        if queue is None:
            return
        if future in queue:
            queue.remove(future)
        if not queue:
            del self._waiting[customer]
