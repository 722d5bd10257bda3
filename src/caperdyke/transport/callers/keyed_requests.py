"""Runs requests with a key, which must run at most once."""

import asyncio

from caperdyke import errors
from caperdyke.coordination import ownership
from caperdyke.protocol import messages
from caperdyke.state import keys, outcome
from caperdyke.transport import context
from caperdyke.transport.callers import answers, steering
from caperdyke.transport.peers import links

# Largest answer body that is stored for replay to callers that repeat the request.
STORED_BODY_MAX_BYTES = 64 * 1024
KEY_RECORDS_MAX = 200_000


class KeyedRequests:
    """Runs each key's request in its own task, which goes on when the caller disconnects."""

    def __init__(
        self, node: context.NodeContext, link_set: links.LinkSet, steerer: steering.Steering
    ) -> None:
        self._node = node
        self._links = link_set
        self._steering = steerer
        self._tasks: dict[keys.RequestKey, asyncio.Task[keys.KeyRecord]] = {}

    def count_running(self) -> int:
        """Returns the number of requests in progress."""
        return len(self._tasks)

    async def serve(
        self, request: answers.IncomingRequest, steps: list[str], is_forwarded: bool
    ) -> answers.Answer:
        """Returns the answer to a request with a key, running it only if the key is unused.

        :param is_forwarded: whether another instance forwarded the request to this one as the
            owner of the key.
        :raises errors.RefusalError: if there is no answer; states whether the request may have run.
        """
        node = self._node
        fingerprint = request.compute_fingerprint()
        decision = ownership.decide_key(
            node.clock(), request.key, fingerprint, node.key_table, node.members
        )
        steps.append(f"key: {type(decision).__name__}")
        match decision:
            case ownership.RunHere():
                return await self._start(request, fingerprint, steps)
            case ownership.Replay(record):
                return _replay(record)
            case ownership.Join(record):
                return await self._join(record.key)
            case ownership.Delegate(instance, _) if not is_forwarded or node.key_table.is_sealed:
                target = node.members.find(instance)
                return await self._links.forward(request, target, messages.Role.KEY_OWNER)
            case ownership.Decline(refusal):
                raise errors.RefusalError(refusal)
            case _:
                refusal = outcome.report_unknown(outcome.Reason.KEY_OWNER_GONE)
                raise errors.RefusalError(refusal)

    async def _start(
        self, request: answers.IncomingRequest, fingerprint: bytes, steps: list[str]
    ) -> answers.Answer:
        node = self._node
        now = node.clock()
        if len(node.key_table) >= KEY_RECORDS_MAX:
            refusal = outcome.refuse(outcome.Reason.BACKEND_BUSY, now + 1.0, "key memory is full")
            raise errors.RefusalError(refusal)
        forget_at = ownership.compute_forget_time(request.key, now, request.deadline)
        record = keys.KeyRecord(request.key, fingerprint, keys.KeyState.RUNNING, forget_at)
        node.key_table.put(record)
        task = asyncio.create_task(self._run(request, record, steps))
        self._tasks[request.key] = task
        task.add_done_callback(lambda _: self._tasks.pop(request.key, None))
        return _replay(await asyncio.shield(task))

    async def _join(self, key: keys.RequestKey) -> answers.Answer:
        task = self._tasks.get(key)
        if task is None:
            refusal = outcome.report_unknown(outcome.Reason.KEY_OUTCOME_LOST)
            raise errors.RefusalError(refusal)
        return _replay(await asyncio.shield(task))

    async def _run(
        self, request: answers.IncomingRequest, record: keys.KeyRecord, steps: list[str]
    ) -> keys.KeyRecord:
        try:
            answer = await self._steering.serve(request, steps)
            body = await answer.read_all(STORED_BODY_MAX_BYTES)
        except errors.RefusalError as error:
            if error.refusal.outcome is outcome.Outcome.NOT_RUN:
                self._node.key_table.remove(record.key)
            else:
                record.state = keys.KeyState.UNKNOWN
            raise
        except (errors.LinkClosedError, errors.BackendFailedError) as error:
            record.state = keys.KeyState.UNKNOWN
            refusal = outcome.report_unknown(outcome.Reason.BACKEND_FAILED, str(error))
            raise errors.RefusalError(refusal) from error
        except BaseException:
            record.state = keys.KeyState.UNKNOWN
            raise
        record.head = answer.head
        record.body = body
        record.state = keys.KeyState.ANSWERED
        if body is None:
            refusal = outcome.report_unknown(outcome.Reason.KEY_OUTCOME_LOST, "answer too large")
            raise errors.RefusalError(refusal)
        return record


def _replay(record: keys.KeyRecord) -> answers.Answer:
    """Returns the stored answer with a new body iterator."""
    return answers.make_complete(record.head, record.body)
