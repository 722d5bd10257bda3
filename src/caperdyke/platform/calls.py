"""HTTP endpoints for readiness checks of the platform and look-ups of callers."""

import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from caperdyke.state import ids
from caperdyke.transport.gateway import context

ADDRESSES_MAX = 64
# Validity of a look-up response, bounded by the platform's limit. A failed instance stays in
# callers' caches for at most this long after the other instances detect the failure.
LOOKUP_TTL_S = 2.0


def make_readiness_app(node: context.GatewayContext) -> starlette.applications.Starlette:
    """Returns the application that reports whether this instance accepts requests."""

    async def answer(_request: starlette.requests.Request) -> starlette.responses.Response:
        return starlette.responses.Response(status_code=200 if node.fleet.is_ready else 503)

    route = starlette.routing.Route("/caperdyke/readiness", answer)
    return starlette.applications.Starlette(routes=[route])


def make_lookup_app(node: context.GatewayContext) -> starlette.applications.Starlette:
    """Returns the application that resolves look-ups to the instances that callers should use."""

    async def answer(request: starlette.requests.Request) -> starlette.responses.Response:
        query = request.query_params
        domain = ids.DomainName(query.get("zone", ""))
        region = ids.RegionName(query.get("region", ""))
        addresses = node.fleet.choose_for_caller(node.now(), domain, region, ADDRESSES_MAX)
        if not addresses:
            return starlette.responses.Response(status_code=503)
        ttl_s = min(LOOKUP_TTL_S, node.settings.bounds.lookup_seconds)
        return starlette.responses.JSONResponse({"addresses": addresses, "ttlS": ttl_s})

    route = starlette.routing.Route("/caperdyke/resolve", answer)
    return starlette.applications.Starlette(routes=[route])
