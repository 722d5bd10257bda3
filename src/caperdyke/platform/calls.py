"""Calls of the platform and of callers' look-ups that arrive at an instance."""

import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from caperdyke.state import ids
from caperdyke.transport.gateway import context

# Most addresses in the answer to a look-up.
ADDRESSES_MAX = 64
# How long callers may keep an answer, in seconds; at most what the platform allows. An instance
# that died is named no longer than this after the others miss it.
LOOKUP_SECONDS = 2.0


def make_readiness_app(node: context.GatewayContext) -> starlette.applications.Starlette:
    """Returns the application that says whether this instance takes requests."""

    async def answer(_request: starlette.requests.Request) -> starlette.responses.Response:
        return starlette.responses.Response(status_code=200 if node.fleet.is_ready else 503)

    route = starlette.routing.Route("/caperdyke/readiness", answer)
    return starlette.applications.Starlette(routes=[route])


def make_lookup_app(node: context.GatewayContext) -> starlette.applications.Starlette:
    """Returns the application that tells callers which instances to use."""

    async def answer(request: starlette.requests.Request) -> starlette.responses.Response:
        query = request.query_params
        domain = ids.DomainName(query.get("zone", ""))
        region = ids.RegionName(query.get("region", ""))
        addresses = node.fleet.choose_for_caller(node.now(), domain, region, ADDRESSES_MAX)
        if not addresses:
            return starlette.responses.Response(status_code=503)
        seconds = min(LOOKUP_SECONDS, node.settings.bounds.lookup_seconds)
        return starlette.responses.JSONResponse({"addresses": addresses, "ttlS": seconds})

    route = starlette.routing.Route("/caperdyke/resolve", answer)
    return starlette.applications.Starlette(routes=[route])
