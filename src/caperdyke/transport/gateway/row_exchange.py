"""HTTP endpoint and client through which instances exchange rows of the store."""

import collections.abc

import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from caperdyke import errors
from caperdyke.protocol import announcements
from caperdyke.state import ids, store_rows
from caperdyke.transport.http import http_client

PATH = "/rows"
# All rows of a thousand servers take a tenth of this time.
FETCH_TIMEOUT_SECONDS = 1.0

# Largest answer; all rows of 10,000 servers and the largest configuration take less.
ANSWER_MAX_BYTES = 4 * 1024 * 1024

Positions = dict[store_rows.StoreTable, store_rows.Position]


def make_app(
    list_changes_since: collections.abc.Callable[[Positions], list[store_rows.StoreChanges]],
) -> starlette.applications.Starlette:
    """Returns the application that serves the rows of this instance.

    :param list_changes_since: returns the changes of each table after a position.
    """

    async def handle(request: starlette.requests.Request) -> starlette.responses.Response:
        try:
            after = _parse_positions(request.query_params)
        except ValueError as error:
            return starlette.responses.Response(str(error), status_code=400)
        content = announcements.encode_table_changes(list_changes_since(after))
        return starlette.responses.Response(content, media_type="application/msgpack")

    return starlette.applications.Starlette(routes=[starlette.routing.Route(PATH, handle)])


async def fetch(address: ids.Address, after: Positions) -> list[store_rows.StoreChanges]:
    """Fetches the changes after some positions from another instance.

    :param address: peer address of the instance.
    :param after: position of this instance in each table.
    :raises errors.LinkClosedError: if no complete answer with status 200 arrived in time.
    :raises errors.ProtocolError: if the answer cannot be decoded.
    """
    client = http_client.HttpClient(1, FETCH_TIMEOUT_SECONDS)
    query = "&".join(f"{table.value}={position}" for table, position in after.items())
    try:
        response, content = await client.fetch(
            http_client.Exchange(),
            "GET",
            address,
            f"{PATH}?{query}",
            [],
            None,
            FETCH_TIMEOUT_SECONDS,
            ANSWER_MAX_BYTES,
        )
    except http_client.FAILURES as error:
        raise errors.LinkClosedError(f"{address}: {error!r}") from error
    finally:
        await client.close()
    if response.status_code != 200:
        raise errors.LinkClosedError(f"{address}: status {response.status_code}, expected 200")
    return announcements.decode_table_changes(content)


def _parse_positions(params: collections.abc.Mapping[str, str]) -> Positions:
    """Returns the position of each table in a query.

    :raises ValueError: if the query contains anything else.
    """
    positions = {}
    for name, text in params.items():
        era, number = text.split(".")
        positions[store_rows.StoreTable(name)] = store_rows.Position(int(era), int(number))
    return positions
