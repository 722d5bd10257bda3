"""Validates callers' requests and reads their bodies."""

import asyncio
import dataclasses

import starlette.requests

from caperdyke import errors
from caperdyke.coordination import lookup, memory_account
from caperdyke.protocol import keytext, refusals
from caperdyke.state import blockmap, contract, ids, keys, outcome
from caperdyke.transport import context
from caperdyke.transport.callers import answers, claims

ALLOWED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
# Methods that HTTP client libraries never retry on their own.
NON_IDEMPOTENT_METHODS = frozenset(("POST", "PATCH"))
# Delay after which a caller whose body found no memory may return.
NO_MEMORY_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CallPath:
    """Components of the path of a caller's request.

    :param rest: path on the backend server.
    """

    customer: str
    service: str
    rest: str


def split_path(path: str) -> CallPath:
    """Splits ``CUSTOMER/SERVICE/REST``."""
    customer, _, rest = path.partition("/")
    service, _, rest = rest.partition("/")
    return CallPath(customer, service, f"/{rest}")


class RequestReader:
    """Converts an HTTP request into a validated request, or refuses it as not run."""

    def __init__(self, node: context.NodeContext, key_claims: claims.KeyClaims) -> None:
        self._node = node
        self._claims = key_claims

    def find_home(self, customer_contract: contract.Contract, address: str) -> ids.DomainName:
        """Returns the failure domain that is the home of a client address."""
        node = self._node
        number = blockmap.parse_address(address)
        mapped = node.blocks.find(number) if number is not None else None
        return lookup.choose_home(
            customer_contract, node.configuration_table.newest, mapped, node.own.domain
        )

    async def read(
        self,
        request: starlette.requests.Request,
        path: CallPath,
        label: str,
        now: float,
        reservation: memory_account.Reservation,
    ) -> answers.IncomingRequest:
        """Validates a request and reads its body.

        :param reservation: memory of the request.
        :raises errors.RefusalError: if the request is invalid; it did not run.
        """
        node = self._node
        if not node.is_ready:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.NOT_READY, now + 1.0))
        customer_contract = node.configuration_table.newest.contracts.get(path.customer)
        if customer_contract is None:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.UNKNOWN_CUSTOMER))
        service = customer_contract.find_service(path.service)
        if service is None:
            raise errors.RefusalError(outcome.refuse(outcome.Reason.UNKNOWN_SERVICE))
        if request.method not in ALLOWED_METHODS:
            detail = f"method {request.method}, expected one of {', '.join(ALLOWED_METHODS)}"
            raise errors.RefusalError(outcome.refuse(outcome.Reason.BAD_REQUEST, detail=detail))
        if not service.repeatable and request.method not in NON_IDEMPOTENT_METHODS:
            detail = f"method {request.method}, expected POST or PATCH for this service"
            raise errors.RefusalError(outcome.refuse(outcome.Reason.BAD_REQUEST, detail=detail))
        deadline = _read_deadline(request, service, now)
        body = await self._read_body(request, reservation, now, deadline)
        key = await self._find_key(request, customer_contract, service)
        address = request.client.host if request.client else ""
        home = key.home if key else self.find_home(customer_contract, address)
        query = request.url.query
        target = path.rest + (f"?{query}" if query else "")
        headers = tuple(
            (name, value)
            for name, value in request.headers.items()
            if not name.startswith("caperdyke-")
        )
        return answers.IncomingRequest(
            label,
            customer_contract,
            service,
            request.method,
            target,
            headers,
            body,
            key,
            home,
            deadline,
        )

    async def _read_body(
        self,
        request: starlette.requests.Request,
        reservation: memory_account.Reservation,
        now: float,
        deadline: float,
    ) -> bytes:
        limit = self._node.settings.body_max
        refusal = outcome.refuse(
            outcome.Reason.BODY_TOO_LARGE, detail=f"expected at most {limit} bytes"
        )
        if int(request.headers.get("content-length") or 0) > limit:
            raise errors.RefusalError(refusal)
        parts = []
        size = 0
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                async for part in request.stream():
                    size += len(part)
                    if size > limit:
                        raise errors.RefusalError(refusal)
                    if not reservation.try_add_body(len(part)):
                        retry_at = now + NO_MEMORY_RETRY_SECONDS
                        raise errors.RefusalError(
                            outcome.refuse(outcome.Reason.NO_MEMORY, retry_at)
                        )
                    parts.append(part)
        except TimeoutError as error:
            refusal = outcome.refuse(outcome.Reason.DEADLINE_PASSED, detail="body incomplete")
            raise errors.RefusalError(refusal) from error
        return b"".join(parts)

    async def _find_key(
        self,
        request: starlette.requests.Request,
        customer_contract: contract.Contract,
        service: contract.Service,
    ) -> keys.RequestKey | None:
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
        home = self.find_home(customer_contract, address)
        return await self._claims.claim(customer_contract.customer, service.name, token, home)


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
