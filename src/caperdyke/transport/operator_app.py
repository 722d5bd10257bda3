"""HTTP interface for operators and monitoring."""

import json

import starlette.requests
import starlette.responses
import starlette.routing

from caperdyke.state import member
from caperdyke.transport import context, metrics
from caperdyke.transport.store import platform_watch

# Longest body of an operator's call.
BODY_MAX_BYTES = 64 * 1024


class OperatorApp:
    """Handles status, drains, explanations, health and metrics."""

    def __init__(self, node: context.NodeContext, watch: platform_watch.PlatformWatch) -> None:
        self._node = node
        self._watch = watch

    def list_routes(self) -> list[starlette.routing.Route]:
        """Returns the routes for operators."""
        return [
            starlette.routing.Route("/status", self.report_status),
            starlette.routing.Route("/drains", self.list_drains),
            starlette.routing.Route("/drains", self.announce_drain, methods=["POST"]),
            starlette.routing.Route("/explain/{label}", self.explain),
            starlette.routing.Route("/healthz", self.report_health),
            starlette.routing.Route("/readyz", self.report_ready),
            starlette.routing.Route("/metrics", self.report_metrics),
        ]

    async def report_status(self, request) -> starlette.responses.Response:
        """Reports the configuration, leases, limits, backend servers and members seen here."""
        node = self._node
        now = node.clock()
        is_current = node.configuration_table.is_current(now)
        holdings = node.shares.list_holdings(now, node.configuration_table)
        return _reply(
            {
                "instance": node.own.instance,
                "failure_domain": node.own.domain,
                "state": node.own.state.name.lower(),
                "is_ready": node.is_ready,
                "revision": node.configuration_table.revision,
                "in_force_revision": node.configuration_table.find_in_force(now).revision,
                "is_current": is_current,
                "active_requests": node.active_requests,
                "key_records": len(node.key_table),
                "slices": [
                    {"index": holding.slice_index, "floor": holding.floor, "rest": holding.rest}
                    for holding in holdings
                ],
                "limits": self._report_limits(now),
                "backends": [_describe_backend(record) for record in node.backends.list_records()],
                "members": [
                    {
                        "instance": record.instance,
                        "failure_domain": record.domain,
                        "state": record.state.name.lower(),
                        "is_usable": node.members.is_usable(now, record),
                        "caller_address": record.caller_address,
                    }
                    for record in node.members.list_all()
                ],
            }
        )

    async def list_drains(self, request) -> starlette.responses.Response:
        """Reports the drains and the requests in flight at each leaving backend server."""
        node = self._node
        marks = [
            {"subject": mark.subject, "active": mark.active, "version": mark.version}
            for mark in node.drains.list_marks()
        ]
        leaving = [
            {
                "backend": record.server.backend,
                "in_flight": record.stats.in_flight,
                "leaving_at": record.stats.leaving_at,
            }
            for record in node.backends.list_records()
            if context.is_leaving(record)
        ]
        return _reply({"drains": marks, "leaving": leaving})

    async def announce_drain(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Starts or ends the drain of a failure domain or backend server."""
        try:
            body = json.loads(await _read_body(request))
            subject = body["subject"]
            active = body["active"]
        except (ValueError, KeyError, TypeError, RecursionError):
            return _reply({"error": "expected {subject: text, active: true or false}"}, 400)
        problem = self._check_subject(subject, active)
        if problem:
            return _reply({"error": problem}, 404)
        mark = self._watch.announce(subject, active)
        return _reply({"subject": mark.subject, "active": mark.active, "version": mark.version})

    async def explain(self, request: starlette.requests.Request) -> starlette.responses.Response:
        """Reports how one request was handled."""
        explanation = self._node.find_explanation(request.path_params["label"])
        if explanation is None:
            return _reply({"error": "this instance does not know the request (any more)"}, 404)
        return _reply(
            {
                "request": explanation.request,
                "customer": explanation.customer,
                "service": explanation.service,
                "at": explanation.at,
                "steps": list(explanation.steps),
            }
        )

    async def report_health(self, request) -> starlette.responses.Response:
        """Reports that the process is running."""
        return _reply({"status": "running"})

    async def report_ready(self, request) -> starlette.responses.Response:
        """Reports whether this instance accepts callers."""
        is_ready = self._node.is_ready and self._node.own.state is member.MemberState.LIVE
        return _reply({"is_ready": is_ready}, 200 if is_ready else 503)

    async def report_metrics(self, request) -> starlette.responses.Response:
        """Reports all metrics in the text format of Prometheus."""
        return starlette.responses.Response(metrics.render(), media_type="text/plain")

    def _report_limits(self, now: float) -> dict[str, dict[str, int]]:
        node = self._node
        report = {}
        for customer in node.configuration_table.newest.contracts:
            limits = node.shares.find_limits(now, node.configuration_table, customer)
            report[customer] = {
                "share": limits.share,
                "shift": limits.shift,
                "step": limits.step,
                "used": node.shares.count(now, customer),
            }
        return report

    def _check_subject(self, subject, active) -> str:
        """Returns what is wrong with a requested drain, or an empty string."""
        if not isinstance(subject, str) or not isinstance(active, bool):
            return "subject is a name and active is true or false"
        node = self._node
        subjects = {mark.subject for mark in node.drains.list_marks()}
        subjects |= {record.server.backend for record in node.backends.list_records()}
        for operator_places in node.configuration_table.newest.places.values():
            subjects |= {domain.name for domain in operator_places.domains}
        if subject in subjects:
            return ""
        return f"{subject} is neither a failure domain nor a backend server of {node.own.domain}"


def _describe_backend(record) -> dict:
    stats = record.stats
    return {
        "backend": record.server.backend,
        "service": record.server.service,
        "state": record.state.value,
        "in_flight": stats.in_flight,
        "owned_slots": stats.owned_slots,
        "latency_ms": round(stats.latency * 1000, 2),
        "starts": stats.starts,
    }


async def _read_body(request: starlette.requests.Request) -> bytes:
    """Returns the body of a call.

    :raises ValueError: if it is too long.
    """
    body = b""
    async for part in request.stream():
        body += part
        if len(body) > BODY_MAX_BYTES:
            raise ValueError(f"got over {BODY_MAX_BYTES} bytes")
    return body


def _reply(body: dict, status: int = 200) -> starlette.responses.Response:
    return starlette.responses.Response(json.dumps(body), status, media_type="application/json")
