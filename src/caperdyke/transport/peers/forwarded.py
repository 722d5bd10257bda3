"""Serves requests that other instances forward to this one."""

import asyncio

from caperdyke import errors
from caperdyke.protocol import keytext, messages
from caperdyke.state import outcome
from caperdyke.transport import context, events
from caperdyke.transport.callers import answers, keyed_requests, local_service
from caperdyke.transport.peers import exchange, peerlink


class ForwardedRequests:
    """Runs one task per forwarded request, which streams the answer back."""

    def __init__(
        self,
        node: context.NodeContext,
        local: local_service.LocalService,
        runs: keyed_requests.KeyedRequests,
    ) -> None:
        self._node = node
        self._local = local
        self._runs = runs

    def start(self, link: peerlink.PeerLink, forward: messages.Forward) -> None:
        """Starts the task of one request."""
        task = asyncio.create_task(self._serve(link, forward))
        link.serving[forward.request] = task
        task.add_done_callback(lambda _: link.serving.pop(forward.request, None))

    async def _serve(self, link: peerlink.PeerLink, forward: messages.Forward) -> None:
        node = self._node
        node.active_requests += 1
        label = node.make_label()
        steps = [f"from {link.peer.instance} as {forward.role.name.lower()}"]
        window = exchange.SendWindow()
        link.send_windows[forward.request] = window
        try:
            answer = await self._run(label, forward, steps)
            await _send_answer(link, forward, answer, window)
        except errors.RefusalError as error:
            steps.append(context.describe_refusal(error.refusal))
            link.send(_make_refusal_message(forward, error.refusal))
        except (errors.LinkClosedError, errors.BackendFailedError) as error:
            events.log(events.Event.ANSWER_CUT, request=label, error=error)
            refusal = outcome.report_unknown(outcome.Reason.BACKEND_FAILED, str(error))
            link.send(_make_refusal_message(forward, refusal))
        except Exception as error:
            events.log(events.Event.REQUEST_FAILED, request=label, error=repr(error))
            refusal = outcome.report_unknown(outcome.Reason.BACKEND_FAILED, "internal error")
            link.send(_make_refusal_message(forward, refusal))
        finally:
            node.active_requests -= 1
            link.send_windows.pop(forward.request, None)
            node.record_explanation(label, forward.customer, forward.service, steps)

    async def _run(self, label: str, forward: messages.Forward, steps: list[str]) -> answers.Answer:
        request = self._make_incoming_request(label, forward)
        if forward.role is messages.Role.KEY_OWNER:
            return await self._runs.serve(request, steps, is_forwarded=True)
        if self._node.key_table.is_sealed:
            refusal = outcome.refuse(outcome.Reason.INSTANCE_LEAVING, self._node.clock())
            raise errors.RefusalError(refusal)
        return await self._local.serve(request, steps)

    def _make_incoming_request(
        self, label: str, forward: messages.Forward
    ) -> answers.IncomingRequest:
        contract = self._node.configuration_table.newest.contracts.get(forward.customer)
        if contract is None:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.UNKNOWN_CUSTOMER))
        service = contract.find_service(forward.service)
        if service is None:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.UNKNOWN_SERVICE))
        key = keytext.parse_key(forward.key) if forward.key else None
        if key is None and (forward.key or forward.role is messages.Role.KEY_OWNER):
            raise errors.RefusalError(outcome.refuse(outcome.Reason.KEY_MALFORMED))
        return answers.IncomingRequest(
            label,
            contract,
            service,
            forward.method,
            forward.target,
            forward.headers,
            forward.body,
            key,
            forward.home,
            forward.deadline,
        )


async def _send_answer(
    link: peerlink.PeerLink,
    forward: messages.Forward,
    answer: answers.Answer,
    window: exchange.SendWindow,
) -> None:
    link.send(messages.AnswerStart(forward.request, answer.head.status, answer.head.headers))
    sequence = 0
    try:
        async for chunk in answer.iterate():
            await window.consume(len(chunk))
            link.send(messages.AnswerChunk(forward.request, sequence, chunk))
            await link.drain()
            sequence += 1
    finally:
        await answer.close()
    link.send(messages.AnswerEnd(forward.request, sequence))


def _make_refusal_message(
    forward: messages.Forward, refusal: outcome.Refusal
) -> messages.AnswerRefused:
    return messages.AnswerRefused(
        forward.request,
        refusal.outcome.value,
        refusal.reason.value,
        refusal.retry_at,
        refusal.detail,
    )
