"""HTTP interface for callers: look-up and requests."""

import asyncio
import collections.abc
import urllib.parse

import starlette.requests
import starlette.responses

from caperdyke import errors
from caperdyke.coordination import lookup, memory_account
from caperdyke.protocol import keytext, refusals
from caperdyke.state import contract, ids, outcome, timing
from caperdyke.transport import context, events
from caperdyke.transport.callers import answers, keyed_requests, request_reader, steering
from caperdyke.transport.http import caller_protocol

# How long look-ups of one home share cached answers, and how many answers alternate.
LOOKUP_CACHE_S = 0.1
LOOKUP_CACHE_VARIANTS = 16
SERVE_PREFIX = "/serve/"


class CallerApp:
    """Handles look-ups and requests."""

    def __init__(
        self,
        node: context.NodeContext,
        steerer: steering.Steering,
        runs: keyed_requests.KeyedRequests,
        reader: request_reader.RequestReader,
    ) -> None:
        self._node = node
        self._steering = steerer
        self._runs = runs
        self._reader = reader
        self._rotation = 0
        self._cached_lookups: dict[tuple, lookup.LookupAnswer] = {}
        self._cached_lookups_expire_at = 0.0

    async def handle(self, scope, receive, send) -> bool:
        """Handles a call to a path for callers and returns whether the path is one.

        Look-ups and requests are by far the most frequent calls, so they bypass the router.
        """
        path = scope["path"]
        if path == "/lookup":
            await self.look_up(scope, receive, send)
            return True
        if path.startswith(SERVE_PREFIX):
            request = starlette.requests.Request(scope, receive)
            call_path = request_reader.split_path(path[len(SERVE_PREFIX) :])
            response = await self.serve(request, call_path)
            await response(scope, receive, send)
            return True
        return False

    async def look_up(self, scope, receive, send) -> None:
        """Responds with the entry instances that a caller should use."""
        parameters = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        result = self._answer_lookup(parameters, scope.get("client"))
        if isinstance(result, outcome.Refusal):
            await self._refuse(result, "")(scope, receive, send)
            return
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", str(len(result)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": result})

    def _answer_lookup(
        self, parameters: dict[str, str], client: tuple[str, int] | None
    ) -> bytes | outcome.Refusal:
        node = self._node
        now = node.clock()
        if not node.is_ready:
            return outcome.refuse(outcome.Reason.NOT_READY, now + 1.0)
        customer_contract = node.configuration_table.newest.contracts.get(
            parameters.get("customer", "")
        )
        if customer_contract is None:
            return outcome.refuse(outcome.Reason.UNKNOWN_CUSTOMER)
        home = self._reader.find_home(
            customer_contract, parameters.get("client") or (client[0] if client else "")
        )
        answer = self._find_entries(now, customer_contract, home)
        if not answer.entries:
            return outcome.refuse(outcome.Reason.NO_BACKEND, now + 1.0)
        node.metrics.count_lookup(customer_contract.customer)
        key = node.make_key(home, now + timing.KEY_TTL_SECONDS)
        return refusals.encode_lookup(answer, keytext.format_key(key))

    def _find_entries(
        self, now: float, customer_contract: contract.Contract, home: ids.DomainName
    ) -> lookup.LookupAnswer:
        """Returns the entries for callers of a home, alternating between cached answers."""
        node = self._node
        self._rotation += 1
        if now >= self._cached_lookups_expire_at:
            self._cached_lookups.clear()
            self._cached_lookups_expire_at = now + LOOKUP_CACHE_S
        cache_key = (customer_contract.customer, home, self._rotation % LOOKUP_CACHE_VARIANTS)
        answer = self._cached_lookups.get(cache_key)
        if answer is None:
            draining = node.drains.list_active()
            answer = lookup.choose_entries(
                now,
                node.configuration_table.newest,
                customer_contract,
                home,
                node.members,
                draining,
                self._rotation,
            )
            self._cached_lookups[cache_key] = answer
        return answer

    async def serve(
        self, request: starlette.requests.Request, path: request_reader.CallPath
    ) -> starlette.responses.Response:
        """Serves one request and returns the response with its answer or a refusal."""
        node = self._node
        label = node.make_label()
        steps: list[str] = []
        started_at = node.clock()
        node.active_requests += 1
        reservation = memory_account.Reservation(request.scope[caller_protocol.HOLDING_KEY])
        try:
            incoming = await self._reader.read(request, path, label, started_at, reservation)
            answer = await self._run_until_disconnect(request, incoming, steps)
            response = self._make_response(incoming, answer, started_at, label)
        except errors.RefusalError as error:
            refusal = error.refusal
            steps.append(context.describe_refusal(refusal))
            self._count_refusal(path, refusal, label)
            return self._refuse(refusal, label)
        except starlette.requests.ClientDisconnect:
            steps.append("the caller went away")
            return self._refuse(outcome.report_unknown(outcome.Reason.PEER_LOST), label)
        except Exception as error:
            events.log(events.Event.REQUEST_FAILED, request=label, error=repr(error))
            return self._refuse(outcome.report_unknown(outcome.Reason.BACKEND_FAILED), label)
        finally:
            reservation.release()
            node.active_requests -= 1
            node.record_explanation(label, path.customer, path.service, steps)
        return response

    async def _run_until_disconnect(
        self,
        request: starlette.requests.Request,
        incoming: answers.IncomingRequest,
        steps: list[str],
    ) -> answers.Answer:
        """Serves a request and cancels it when its caller disconnects."""
        serving = asyncio.create_task(self._run(incoming, steps))
        watching = asyncio.create_task(_wait_for_disconnect(request))
        try:
            await asyncio.wait({serving, watching}, return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                serving.cancel()
                raise starlette.requests.ClientDisconnect()
            return serving.result()
        finally:
            watching.cancel()
            if not serving.done():
                serving.cancel()

    async def _run(self, incoming: answers.IncomingRequest, steps: list[str]) -> answers.Answer:
        if incoming.service.repeatable:
            if self._node.key_table.is_sealed:
                refusal = outcome.refuse(outcome.Reason.INSTANCE_LEAVING, self._node.clock())
                raise errors.RefusalError(refusal)
            return await self._steering.serve(incoming, steps)
        return await self._runs.serve(incoming, steps, is_forwarded=False)

    def _make_response(
        self,
        incoming: answers.IncomingRequest,
        answer: answers.Answer,
        started_at: float,
        label: str,
    ) -> starlette.responses.Response:
        if answer.body is not None:
            self._record_latency(incoming, started_at)
            response = starlette.responses.Response(answer.body, answer.head.status)
        else:
            body = self._track_answer(incoming, answer, started_at, label)
            response = AnswerResponse(body, answer)
        for name, value in answer.head.headers:
            response.headers.append(name, value)
        response.headers[refusals.OUTCOME_HEADER] = outcome.Outcome.ANSWERED.value
        response.headers[refusals.REQUEST_HEADER] = label
        return response

    async def _track_answer(
        self,
        incoming: answers.IncomingRequest,
        answer: answers.Answer,
        started_at: float,
        label: str,
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        node = self._node
        node.active_requests += 1
        try:
            async for chunk in answer.iterate():
                yield chunk
            self._record_latency(incoming, started_at)
        except (errors.LinkClosedError, errors.BackendFailedError) as error:
            events.log(events.Event.ANSWER_CUT, request=label, error=error)
            raise
        finally:
            node.active_requests -= 1
            await answer.close()

    def _record_latency(self, incoming: answers.IncomingRequest, started_at: float) -> None:
        self._node.metrics.count_answer(
            incoming.contract.customer,
            incoming.service.name,
            incoming.service.kind.value,
            self._node.clock() - started_at,
        )

    def _count_refusal(
        self, path: request_reader.CallPath, refusal: outcome.Refusal, label: str
    ) -> None:
        events.log(
            events.Event.REQUEST_REFUSED,
            request=label,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
        )
        if self._node.configuration_table.newest.contracts.get(path.customer) is not None:
            self._node.metrics.count_refusal(
                path.customer, path.service, refusal.outcome.value, refusal.reason.value
            )

    def _refuse(self, refusal: outcome.Refusal, label: str) -> starlette.responses.Response:
        headers = {refusals.OUTCOME_HEADER: refusal.outcome.value, refusals.REQUEST_HEADER: label}
        retry_after = refusals.make_retry_after(refusal, self._node.clock())
        if retry_after is not None:
            headers["retry-after"] = retry_after
        return starlette.responses.Response(
            refusals.encode_refusal(refusal, label),
            refusal.status,
            headers,
            media_type="application/json",
        )


async def _wait_for_disconnect(request: starlette.requests.Request) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


class AnswerResponse(starlette.responses.StreamingResponse):
    """A streamed answer that is closed even if its body is never iterated."""

    def __init__(
        self, body: collections.abc.AsyncGenerator[bytes, None], answer: answers.Answer
    ) -> None:
        super().__init__(body, answer.head.status)
        self._body = body
        self._answer = answer

    async def __call__(self, scope, receive, send) -> None:
        """Sends the answer and closes it."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            await self._body.aclose()
            await self._answer.close()
