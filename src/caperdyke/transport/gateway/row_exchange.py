"""Hands rows of the store that are known here to instances that lack them."""

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
# Longest time of one transfer in seconds; all rows of a thousand servers take a tenth of it.
FETCH_SECONDS = 1.0

Positions = dict[store_rows.StoreTable, store_rows.Position]


def make_app(
    list_changes_since: collections.abc.Callable[[Positions], list[store_rows.StoreChanges]],
) -> starlette.applications.Starlette:
    """Returns the application that hands out rows.

    :param list_changes_since: returns what changed in each table after a position.
    """

    async def answer(request: starlette.requests.Request) -> starlette.responses.Response:
        try:
            after = _read_query(request.query_params)
        except ValueError as error:
            return starlette.responses.Response(str(error), status_code=400)
        content = announcements.encode_table_changes(list_changes_since(after))
        return starlette.responses.Response(content, media_type="application/msgpack")

    return starlette.applications.Starlette(routes=[starlette.routing.Route(PATH, answer)])


async def fetch(address: ids.Address, after: Positions) -> list[store_rows.StoreChanges]:
    """Returns what another instance knows of tables beyond some positions.

    :raises errors.LinkClosedError: where it did not arrive.
    :raises errors.ProtocolError: where it cannot be read.
    """
    client = http_client.HttpClient(1, FETCH_SECONDS)
    query = "&".join(f"{table.value}={at}" for table, at in after.items())
    try:
        response, content = await client.fetch(
            http_client.Exchange(),
            "GET",
            f"http://{address}{PATH}?{query}",
            [],
            None,
            FETCH_SECONDS,
        )
    except http_client.FAILURES as error:
        raise errors.LinkClosedError(f"{address}: {error!r}") from error
    finally:
        await client.close()
    if response.status_code != 200:
        raise errors.LinkClosedError(f"{address}: status {response.status_code}, expected 200")
    return announcements.decode_table_changes(content)


def _read_query(params: collections.abc.Mapping[str, str]) -> Positions:
    """Returns the positions that a query names.

    :raises ValueError: where it names something else.
    """
    positions = {}
    for name, text in params.items():
        era, number = text.split(".")
        positions[store_rows.StoreTable(name)] = store_rows.Position(int(era), int(number))
    return positions
