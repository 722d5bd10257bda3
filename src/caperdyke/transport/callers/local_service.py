"""Serves requests with the backend servers of this instance's failure domain."""

import collections.abc

from caperdyke import errors
from caperdyke.coordination import backend_record
from caperdyke.state import ids, outcome, timing
from caperdyke.transport import context, events
from caperdyke.transport.callers import answers


class LocalService:
    """Admits requests under the contract's limits and sends them to backend servers."""

    def __init__(self, node: context.NodeContext) -> None:
        self._node = node

    async def serve(self, request: answers.IncomingRequest, steps: list[str]) -> answers.Answer:
        """Admits a request and returns the answer of a backend server.

        :param steps: list that receives a line per decision, for ``caperdyke explain``.
        :raises errors.RefusalError: if the request is not admitted or no complete response head
            arrived.
        """
        self._check_contract(request)
        node = self._node
        queue = node.find_queue(request.service.name)
        record = await queue.acquire(node.clock(), request.contract.customer, request.deadline)
        refusal = self._spend_quota(request)
        if refusal is not None:
            node.backends.give_back(record)
            queue.serve_waiting(node.clock())
            raise errors.RefusalError(refusal)
        steps.append(f"sent to {record.server.backend}")
        return await self._send(request, record)

    def _check_contract(self, request: answers.IncomingRequest) -> None:
        node = self._node
        now = node.clock()
        if now >= request.deadline:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.DEADLINE_PASSED))
        if node.own.domain in node.drains.list_active():
            refusal = outcome.refuse(outcome.Reason.NO_BACKEND, now + 1.0, "the domain is draining")
            raise errors.RefusalError(refusal)
        for configuration in node.configuration_table.list_effective(now):
            contract = configuration.contracts.get(request.contract.customer)
            domain = configuration.find_domain(node.own.domain)
            if (
                contract is None
                or domain is None
                or not contract.allows(domain.region, request.service.name)
            ):
                raise errors.RefusalError(outcome.refuse(outcome.Reason.REGION_FORBIDDEN))

    def _spend_quota(self, request: answers.IncomingRequest) -> outcome.Refusal | None:
        """Checks the deadline and counts the start against the limits."""
        node = self._node
        now = node.clock()
        if now >= request.deadline:
            return outcome.refuse(outcome.Reason.DEADLINE_PASSED)
        is_shifted = self._is_shifted(request)
        return node.shares.spend(
            now, node.configuration_table, request.contract.customer, is_shifted
        )

    def _is_shifted(self, request: answers.IncomingRequest) -> bool:
        configuration = self._node.configuration_table.newest
        home = configuration.find_domain(request.home)
        own = configuration.find_domain(self._node.own.domain)
        return home is None or own is None or home.region != own.region

    async def _send(
        self, request: answers.IncomingRequest, record: backend_record.BackendRecord
    ) -> answers.Answer:
        node = self._node
        started_at = node.clock()
        try:
            send_by = started_at + timing.SEND_DELAY_MAX_SECONDS
            answer = await node.client.send(record.server, request, send_by)
        except errors.RefusalError as error:
            node.backends.finish_refusal(record)
            self._record_leaving(record, error.refusal)
            self._free_slot(request.service.name)
            raise
        except errors.BackendFailedError as error:
            self._record_failure(record)
            self._free_slot(request.service.name)
            raise errors.RefusalError(_make_refusal(error)) from error
        except BaseException:
            node.backends.finish_refusal(record)
            self._free_slot(request.service.name)
            raise
        finally:
            node.backends.record_head(record)
        latency = node.clock() - started_at
        if answer.body is not None:
            self._record_end(record, answer.head.status >= 500, True, latency)
            self._free_slot(request.service.name)
            return answer
        chunks = self._track_body(request, record, answer, latency)

        async def release_slot() -> None:
            node.backends.finish_refusal(record)
            self._free_slot(request.service.name)
            await answer.close()

        return answers.Answer(answer.head, chunks, release_slot)

    async def _track_body(
        self,
        request: answers.IncomingRequest,
        record: backend_record.BackendRecord,
        answer: answers.Answer,
        latency: float,
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yields the body and frees the slot when it completes, fails or is closed."""
        is_failed = answer.head.status >= 500
        is_whole = False
        try:
            async for chunk in answer.iterate():
                yield chunk
            is_whole = True
        except errors.BackendFailedError:
            is_failed = True
            raise
        finally:
            self._record_end(record, is_failed, is_whole, latency)
            self._free_slot(request.service.name)
            await answer.close()

    def _record_end(
        self, record: backend_record.BackendRecord, is_failed: bool, is_whole: bool, latency: float
    ) -> None:
        if is_failed:
            self._record_failure(record)
        elif is_whole:
            self._node.backends.finish_answer(record, latency)
        else:
            self._node.backends.finish_refusal(record)

    def _free_slot(self, service: ids.ServiceName) -> None:
        self._node.find_queue(service).serve_waiting(self._node.clock())

    def _record_failure(self, record: backend_record.BackendRecord) -> None:
        was_open = record.is_open()
        self._node.backends.finish_failure(self._node.clock(), record)
        if was_open and not record.is_open():
            events.log(events.Event.BACKEND_EJECTED, backend=record.server.backend)

    def _record_leaving(
        self, record: backend_record.BackendRecord, refusal: outcome.Refusal
    ) -> None:
        if refusal.detail == "leaving" and record.is_open():
            self._node.backends.mark_leaving(self._node.clock(), record)
            events.log(
                events.Event.BACKEND_LEAVING, backend=record.server.backend, sign="own answer"
            )


def _make_refusal(error: errors.BackendFailedError) -> outcome.Refusal:
    if error.sent:
        return outcome.report_unknown(outcome.Reason.BACKEND_FAILED, str(error))
    return outcome.refuse(outcome.Reason.BACKEND_FAILED, detail=str(error))
