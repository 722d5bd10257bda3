"""Hands all known rows of the store to instances that cannot reach it."""

import starlette.applications
import starlette.responses
import starlette.routing

from caperdyke import errors
from caperdyke.state import ids
from caperdyke.transport.http import http_client

PATH = "/snapshot"
# Longest time of one transfer in seconds; a snapshot of a thousand rows takes a tenth of it.
FETCH_SECONDS = 1.0


def make_app(make_snapshot) -> starlette.applications.Starlette:
    """Returns the application that hands out snapshots.

    :param make_snapshot: returns the bytes of the present snapshot.
    """

    async def answer(_request) -> starlette.responses.Response:
        return starlette.responses.Response(make_snapshot(), media_type="application/msgpack")

    return starlette.applications.Starlette(routes=[starlette.routing.Route(PATH, answer)])


async def fetch(address: ids.Address) -> bytes:
    """Returns the snapshot of another instance.

    :raises errors.LinkClosedError: where it did not arrive.
    """
    client = http_client.HttpClient(1, FETCH_SECONDS)
    try:
        response, content = await client.fetch(
            http_client.Exchange(), "GET", f"http://{address}{PATH}", [], None, FETCH_SECONDS
        )
    except http_client.FAILURES as error:
        raise errors.LinkClosedError(f"{address}: {error!r}") from error
    finally:
        await client.close()
    if response.status_code != 200:
        raise errors.LinkClosedError(f"{address}: status {response.status_code}, expected 200")
    return content
