"""ASGI application on the peer address: relayed requests, and rows of the store."""

from caperdyke.protocol import relay_headers
from caperdyke.transport import events
from caperdyke.transport.gateway import context, request_app


class PeerApp:
    """Passes calls of other instances to the application that serves them.

    :param requests: serves relayed requests.
    :param rows: serves everything else.
    """

    def __init__(
        self, node: context.GatewayContext, requests: request_app.RequestApp, rows
    ) -> None:
        self._node = node
        self._requests = requests
        self._rows = rows

    async def __call__(self, scope, receive, send) -> None:
        """Handles one call; an ASGI application."""
        if scope["type"] != "http" or not relay_headers.is_relayed(scope["headers"]):
            await self._rows(scope, receive, send)
            return
        host = scope["client"][0]
        if not self._node.fleet.has_host(host):
            events.log(events.Event.RELAY_REFUSED, peer=host, cause="no instance has this address")
            await _send_refusal(send)
            return
        await self._requests(scope, receive, send)


async def _send_refusal(send) -> None:
    answer = relay_headers.RelayedAnswer(relay_headers.RelayOutcome.DECLINED, version=0)
    headers = [*relay_headers.encode_answer(answer), (b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 403, "headers": headers})
    await send({"type": "http.response.body", "body": b""})
