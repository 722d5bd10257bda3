"""HTTP interface for callers: look-up and requests."""

import asyncio
import collections.abc
import urllib.parse

import starlette.requests
import starlette.responses
import starlette.routing

from caperdyke import errors
from caperdyke.coordination import lookup
from caperdyke.protocol import keytext, refusals
from caperdyke.state import blockmap, contract, ids, outcome, timing
from caperdyke.transport import answers, claims, context, events, key_runs, steering

# How long look-ups share an answer, and how many answers take turns for one home.
ANSWERS_SECONDS = 0.1
ANSWER_TURNS = 16
# Methods that the client library never sends twice by itself.
ONCE_METHODS = frozenset(("POST", "PATCH"))
ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class CallerApp:
    """Handles look-ups and requests."""

    def __init__(
        self,
        node: context.NodeContext,
        steerer: steering.Steering,
        runs: key_runs.KeyRuns,
        claim_book: claims.ClaimBook,
    ) -> None:
        self._node = node
        self._steering = steerer
        self._runs = runs
        self._claims = claim_book
        self._turn = 0
        self._answers: dict[tuple, lookup.LookupAnswer] = {}
        self._answers_until = 0.0

    def list_routes(self) -> list[starlette.routing.Route]:
        """Returns the routes for callers, but for the look-up."""
        path = "/serve/{customer}/{service}{rest:path}"
        return [
            starlette.routing.Route(path, self.serve, methods=ALL_METHODS),
        ]

    async def look_up(self, scope, receive, send) -> None:
        """Answers which entry instances a caller is to use.

        Look-ups are by far the most frequent calls, so this is a bare ASGI application.
        """
        parameters = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        answered = self._answer_lookup(parameters, scope.get("client"))
        if isinstance(answered, outcome.Refusal):
            await self._refuse(answered, "")(scope, receive, send)
            return
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", str(len(answered)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": answered})

    def _answer_lookup(
        self, parameters: dict[str, str], client: tuple[str, int] | None
    ) -> bytes | outcome.Refusal:
        node = self._node
        now = node.clock()
        if not node.is_ready:
            return outcome.refuse(outcome.Reason.NOT_READY, now + 1.0)
        found = node.book.newest.contracts.get(parameters.get("customer", ""))
        if found is None:
            return outcome.refuse(outcome.Reason.UNKNOWN_CUSTOMER)
        home = self._find_home(found, parameters.get("client") or (client[0] if client else ""))
        answer = self._find_entries(now, found, home)
        if not answer.entries:
            return outcome.refuse(outcome.Reason.NO_BACKEND, now + 1.0)
        node.metrics.count_lookup(found.customer)
        key = node.make_key(home, now + timing.KEY_SECONDS)
        return refusals.encode_lookup(answer, keytext.format_key(key))

    def _find_entries(
        self, now: float, found: contract.Contract, home: ids.DomainName
    ) -> lookup.LookupAnswer:
        """Returns the entries for callers of a home; few answers in turn serve many look-ups."""
        node = self._node
        self._turn += 1
        if now >= self._answers_until:
            self._answers.clear()
            self._answers_until = now + ANSWERS_SECONDS
        slot = (found.customer, home, self._turn % ANSWER_TURNS)
        answer = self._answers.get(slot)
        if answer is None:
            draining = node.drains.list_active()
            answer = lookup.choose_entries(
                now, node.book.newest, found, home, node.members, draining, self._turn
            )
            self._answers[slot] = answer
        return answer

    async def serve(self, request: starlette.requests.Request) -> starlette.responses.Response:
        """Serves one request and returns its whole answer or a refusal."""
        node = self._node
        label = node.make_label()
        steps: list[str] = []
        customer = request.path_params["customer"]
        service = request.path_params["service"]
        started_at = node.clock()
        node.active_requests += 1
        try:
            incoming = await self._open(request, label, started_at)
            answer = await self._run_watched(request, incoming, steps)
            response = self._make_response(incoming, answer, started_at, label)
        except errors.RefusalError as error:
            refusal = error.refusal
            steps.append(context.describe_refusal(refusal))
            self._count_refusal(customer, service, refusal, label)
            return self._refuse(refusal, label)
        except starlette.requests.ClientDisconnect:
            steps.append("the caller went away")
            return self._refuse(outcome.report_unknown(outcome.Reason.PEER_LOST), label)
        except Exception as error:
            events.log(events.Event.REQUEST_FAILED, request=label, error=repr(error))
            return self._refuse(outcome.report_unknown(outcome.Reason.BACKEND_FAILED), label)
        finally:
            node.active_requests -= 1
            node.explain(label, customer, service, steps)
        return response

    def _find_home(self, found: contract.Contract, address: str) -> ids.DomainName:
        node = self._node
        number = blockmap.parse_address(address)
        mapped = node.blocks.find(number) if number is not None else None
        return lookup.choose_home(found, node.book.newest, mapped, node.own.domain)

    async def _open(
        self, request: starlette.requests.Request, label: str, now: float
    ) -> answers.IncomingRequest:
        """Checks a request and reads its body."""
        node = self._node
        if not node.is_ready:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.NOT_READY, now + 1.0))
        found = node.book.newest.contracts.get(request.path_params["customer"])
        if found is None:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.UNKNOWN_CUSTOMER))
        service = found.find_service(request.path_params["service"])
        if service is None:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.UNKNOWN_SERVICE))
        if not service.repeatable and request.method not in ONCE_METHODS:
            detail = f"method {request.method}, expected POST or PATCH for this service"
            raise errors.RefusalError(outcome.refuse(outcome.Reason.BAD_REQUEST, detail=detail))
        deadline = _read_deadline(request, service, now)
        body = await self._read_body(request)
        key = await self._find_key(request, found, service)
        address = request.client.host if request.client else ""
        home = key.home if key else self._find_home(found, address)
        query = request.url.query
        target = (request.path_params["rest"] or "/") + (f"?{query}" if query else "")
        headers = tuple(
            (name, value)
            for name, value in request.headers.items()
            if not name.startswith("caperdyke-")
        )
        return answers.IncomingRequest(
            label, found, service, request.method, target, headers, body, key, home, deadline
        )

    async def _read_body(self, request: starlette.requests.Request) -> bytes:
        limit = self._node.settings.body_max
        refusal = outcome.refuse(
            outcome.Reason.BODY_TOO_LARGE, detail=f"expected at most {limit} bytes"
        )
        if int(request.headers.get("content-length") or 0) > limit:
            raise errors.RefusalError(refusal)
        parts = []
        size = 0
        async for part in request.stream():
            size += len(part)
            if size > limit:
                raise errors.RefusalError(refusal)
            parts.append(part)
        return b"".join(parts)

    async def _find_key(
        self,
        request: starlette.requests.Request,
        found: contract.Contract,
        service: contract.Service,
    ):
        text = request.headers.get(refusals.KEY_HEADER)
        if text is not None:
            key = keytext.parse_key(text)
            if key is None:
                raise errors.RefusalError(outcome.refuse(outcome.Reason.KEY_MALFORMED))
            return key
        token = request.headers.get(refusals.IDEMPOTENCY_HEADER)
        if service.repeatable:
            return None
        if token is None:
            detail = "send the key of a look-up, or an Idempotency-Key of your own"
            raise errors.RefusalError(outcome.refuse(outcome.Reason.KEY_REQUIRED, detail=detail))
        address = request.client.host if request.client else ""
        home = self._find_home(found, address)
        return await self._claims.claim(found.customer, service.name, token, home)

    async def _run_watched(
        self,
        request: starlette.requests.Request,
        incoming: answers.IncomingRequest,
        steps: list[str],
    ) -> answers.Answer:
        """Serves a request and gives it up when its caller goes away."""
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
            if self._node.memory.is_sealed:
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
            self._count_latency(incoming, started_at)
            response = starlette.responses.Response(answer.body, answer.head.status)
        else:
            body = self._count_answer(incoming, answer, started_at, label)
            response = AnswerResponse(body, answer)
        for name, value in answer.head.headers:
            response.headers.append(name, value)
        response.headers[refusals.OUTCOME_HEADER] = outcome.Outcome.ANSWERED.value
        response.headers[refusals.REQUEST_HEADER] = label
        return response

    async def _count_answer(
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
            self._count_latency(incoming, started_at)
        except (errors.LinkClosedError, errors.BackendFailedError) as error:
            events.log(events.Event.ANSWER_CUT, request=label, error=error)
            raise
        finally:
            node.active_requests -= 1
            await answer.close()

    def _count_latency(self, incoming: answers.IncomingRequest, started_at: float) -> None:
        self._node.metrics.count_answer(
            incoming.contract.customer,
            incoming.service.name,
            incoming.service.kind.value,
            self._node.clock() - started_at,
        )

    def _count_refusal(
        self, customer: str, service: str, refusal: outcome.Refusal, label: str
    ) -> None:
        events.log(
            events.Event.REQUEST_REFUSED,
            request=label,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
        )
        if self._node.book.newest.contracts.get(customer) is not None:
            self._node.metrics.count_refusal(
                customer, service, refusal.outcome.value, refusal.reason.value
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


def _read_deadline(
    request: starlette.requests.Request, service: contract.Service, now: float
) -> float:
    longest = now + service.deadline_ms / 1000
    text = request.headers.get(refusals.DEADLINE_HEADER)
    if text is None:
        return longest
    try:
        deadline = int(text) / 1000
    except ValueError as error:
        detail = f"{refusals.DEADLINE_HEADER}: got {text!r}, expected milliseconds since 1970"
        refusal = outcome.refuse(outcome.Reason.BAD_REQUEST, detail=detail)
        raise errors.RefusalError(refusal) from error
    if deadline <= now:
        raise errors.RefusalError(outcome.refuse(outcome.Reason.DEADLINE_PASSED))
    return min(longest, deadline)


async def _wait_for_disconnect(request: starlette.requests.Request) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


class AnswerResponse(starlette.responses.StreamingResponse):
    """A streamed answer that is ended even where its body is never asked for."""

    def __init__(
        self, body: collections.abc.AsyncGenerator[bytes, None], answer: answers.Answer
    ) -> None:
        super().__init__(body, answer.head.status)
        self._body = body
        self._answer = answer

    async def __call__(self, scope, receive, send) -> None:
        """Sends the answer."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            await self._body.aclose()
            await self._answer.close()
