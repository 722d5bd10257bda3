"""Simulated network between failure domains: relays with delays and cuts."""

import asyncio
import contextlib
import json
import time

import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from caperdyke.state import settings

CHUNK_BYTES = 64 * 1024
CUT_POLL_INTERVAL_S = 0.02


class Network:
    """Relays connections; a cut between two places stalls them without closing them."""

    def __init__(self, plan: settings.NetworkSettings) -> None:
        self._routes = plan.routes
        self._places_by_host = {item.host: item.place for item in plan.places}
        self._delays = {
            frozenset((item.first, item.second)): item.one_way_us / 1_000_000
            for item in plan.delays
        }
        self._cuts: set[frozenset[str]] = set()

    async def listen(self) -> None:
        """Starts listening on every relay."""
        for route in self._routes:
            host, _, port = route.listen.rpartition(":")
            await asyncio.start_server(self._make_relay(route), host, int(port))

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the HTTP application that controls cuts."""
        return starlette.applications.Starlette(
            routes=[starlette.routing.Route("/cuts", self.set_cuts, methods=["PUT"])]
        )

    async def set_cuts(self, request: starlette.requests.Request):
        """Replaces the set of cut pairs."""
        pairs = json.loads(await request.body())["pairs"]
        self._cuts = {frozenset(pair) for pair in pairs}
        return starlette.responses.Response(b"{}", media_type="application/json")

    def _make_relay(self, route: settings.NetworkRoute):
        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            source = self._places_by_host.get(writer.get_extra_info("peername")[0], "")
            pair = frozenset((source, route.place))
            host, _, port = route.target.rpartition(":")
            try:
                await self._wait_uncut(pair)
                target_reader, target_writer = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.close()
                return
            await asyncio.gather(
                self._copy(pair, reader, target_writer), self._copy(pair, target_reader, writer)
            )

        return relay

    async def _copy(
        self, pair: frozenset[str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        delay = self._delays.get(pair, 0.0)
        pending: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=512)
        sending = asyncio.create_task(self._send(pair, pending, writer))
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                await pending.put((time.monotonic() + delay, data))
                if not data:
                    break
            await sending
        except OSError:
            sending.cancel()
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def _send(
        self, pair: frozenset[str], pending: asyncio.Queue, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                due_at, data = await pending.get()
                wait = due_at - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                await self._wait_uncut(pair)
                if not data:
                    return
                writer.write(data)
                await writer.drain()

    async def _wait_uncut(self, pair: frozenset[str]) -> None:
        while pair in self._cuts:
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
