"""Steers a request to a failure domain that is allowed and able to serve it."""

import collections
import collections.abc

from caperdyke import errors
from caperdyke.coordination import retries, routing
from caperdyke.protocol import messages
from caperdyke.state import contract, ids, member, outcome
from caperdyke.transport import context
from caperdyke.transport.callers import answers, local_service
from caperdyke.transport.peers import links

# Bytes of an answer to a cheap request that are read ahead, so that the request can be retried
# when the answer breaks off.
PREFETCH_MAX_BYTES = 128 * 1024
SERVER_ERROR_STATUS_MIN = 500
DOMAIN_LOADS_CACHE_S = 0.1


class Steering:
    """Tries destinations in order until one answers or no retry is allowed."""

    def __init__(
        self,
        node: context.NodeContext,
        link_set: links.LinkSet,
        local: local_service.LocalService,
    ) -> None:
        self._node = node
        self._links = link_set
        self._local = local
        self._rotation = 0
        self._cached_loads: dict[ids.DomainName, routing.DomainLoad] = {}
        self._cached_loads_expire_at = 0.0
        # Forwarded requests in progress by instance.
        self._forwarded: collections.Counter[ids.InstanceId] = collections.Counter()

    async def serve(self, request: answers.IncomingRequest, steps: list[str]) -> answers.Answer:
        """Returns the answer to a request.

        :raises errors.RefusalError: if no destination answered; has the refusal for the caller.
        """
        node = self._node
        customer = request.contract.customer
        node.retries.count_request(node.clock(), customer, request.service.name)
        refusals = []
        failed: answers.Answer | None = None
        for attempt, target in enumerate(self._list_targets(request), start=1):
            if attempt > 1 and not self._may_retry(request, refusals[-1], attempt - 1):
                break
            try:
                answer = await self._try_target(request, target, steps)
            except errors.RefusalError as error:
                refusals.append(error.refusal)
                steps.append(f"{target.instance}: {context.describe_refusal(error.refusal)}")
                continue
            if not _is_retryable(request, answer):
                return answer
            failed = answer
            refusals.append(outcome.report_unknown(outcome.Reason.BACKEND_FAILED))
            steps.append(f"{target.instance}: status {answer.head.status}")
        if failed is not None:
            return failed
        raise errors.RefusalError(_select_refusal(node.clock(), refusals))

    def get_domain_loads(self) -> dict[ids.DomainName, routing.DomainLoad]:
        """Returns the cached load of every failure domain.

        Loads arrive with heartbeats, so they are recomputed periodically and not per request.
        """
        now = self._node.clock()
        if now >= self._cached_loads_expire_at:
            self._cached_loads = self._compute_domain_loads(now)
            self._cached_loads_expire_at = now + DOMAIN_LOADS_CACHE_S
        return self._cached_loads

    def _compute_domain_loads(self, now: float) -> dict[ids.DomainName, routing.DomainLoad]:
        node = self._node
        loads = {}
        for operator_places in node.configuration_table.newest.places.values():
            for domain in operator_places.domains:
                usable = node.members.list_usable(now, domain.name)
                reported_loads = [
                    node.load_by_instance[record.instance]
                    for record in usable
                    if record.instance in node.load_by_instance
                ]
                busy = (
                    sum(reported_loads) / len(reported_loads)
                    if reported_loads
                    else routing.UNKNOWN_LOAD.busy
                )
                loads[domain.name] = routing.DomainLoad(busy, bool(usable))
        return loads

    def _list_targets(
        self, request: answers.IncomingRequest
    ) -> collections.abc.Iterator[member.Member]:
        """Yields one instance of each destination in order, then a second one of each."""
        node = self._node
        configuration = node.configuration_table.newest
        home = configuration.find_domain(request.home)
        destinations = routing.list_destinations(
            configuration,
            request.contract,
            request.service.name,
            home.region if home else ids.RegionName(""),
            node.own.domain,
            self.get_domain_loads(),
            node.drains.list_active(),
        )
        self._rotation += 1
        for round_number in range(2):
            for domain in destinations:
                target = self._pick_instance(domain, request.service.name, round_number)
                if target is not None:
                    yield target

    def _pick_instance(
        self, domain: ids.DomainName, service: ids.ServiceName, round_number: int
    ) -> member.Member | None:
        node = self._node
        now = node.clock()
        usable = node.members.pick_usable(now, domain, self._rotation, 2)
        if domain == node.own.domain:
            siblings = [item for item in usable if item.instance != node.own.instance]
            # This instance comes first: a request in its own domain needs no forwarding.
            usable = [node.own, *siblings]
            if siblings and self._prefers_sibling(siblings[0], service):
                usable = [*siblings, node.own]
        return usable[round_number] if round_number < len(usable) else None

    def _prefers_sibling(self, sibling: member.Member, service: ids.ServiceName) -> bool:
        node = self._node
        has_free_slot = (
            node.find_queue(service).count_waiting() == 0
            and node.backends.choose(node.clock(), service) is not None
        )
        load = routing.InstanceLoad(
            node.load_by_instance.get(sibling.instance, routing.UNKNOWN_LOAD.busy),
            self._forwarded[sibling.instance],
            node.backends.count_slots(service),
        )
        return routing.prefers_sibling(node.measure_load(), has_free_slot, load)

    def _may_retry(
        self, request: answers.IncomingRequest, refusal: outcome.Refusal, attempt: int
    ) -> bool:
        node = self._node
        now = node.clock()
        repeatable = request.service.repeatable
        if not retries.may_retry(now, refusal, repeatable, attempt, request.deadline):
            return False
        customer = request.contract.customer
        percent = request.contract.retry_percent
        if refusal.outcome is outcome.Outcome.NOT_RUN:
            # No backend server ran the request, so the attempt took no capacity there.
            return True
        node.metrics.count_retry(customer, request.service.name)
        return node.retries.spend(now, customer, request.service.name, percent)

    async def _try_target(
        self, request: answers.IncomingRequest, target: member.Member, steps: list[str]
    ) -> answers.Answer:
        if target.instance == self._node.own.instance:
            answer = await self._local.serve(request, steps)
        else:
            steps.append(f"forwarded to {target.instance} in {target.domain}")
            self._forwarded[target.instance] += 1
            try:
                answer = await self._links.forward(request, target, messages.Role.DESTINATION)
            finally:
                self._forwarded[target.instance] -= 1
        if request.service.kind is contract.ServiceKind.DOWNLOAD:
            return answer
        try:
            return await answers.prefetch(answer, PREFETCH_MAX_BYTES)
        except (errors.LinkClosedError, errors.BackendFailedError) as error:
            refusal = outcome.report_unknown(outcome.Reason.BACKEND_FAILED, str(error))
            raise errors.RefusalError(refusal) from error


def _is_retryable(request: answers.IncomingRequest, answer: answers.Answer) -> bool:
    """Returns whether a request with an error answer may be retried."""
    is_error = answer.head.status >= SERVER_ERROR_STATUS_MIN
    return is_error and request.service.repeatable and answer.body is not None


def _select_refusal(now: float, refusals: list[outcome.Refusal]) -> outcome.Refusal:
    """Returns the most informative refusal for the caller.

    If any attempt may have run the request, the outcome is unknown; otherwise the refusal with the
    earliest retry time is returned.
    """
    if not refusals:
        return outcome.refuse(outcome.Reason.NO_BACKEND, now + 1.0, "no destination is reachable")
    unknown = [item for item in refusals if item.outcome is outcome.Outcome.UNKNOWN]
    if unknown:
        return unknown[-1]
    timed = [item for item in refusals if item.retry_at > 0]
    return min(timed, key=lambda item: item.retry_at) if timed else refusals[-1]
