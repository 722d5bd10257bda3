"""Detects that this instance loses or regains its path to the backend servers."""

import asyncio
import collections
import collections.abc
import random

from caperdyke import errors
from caperdyke.state import backend, ids
from caperdyke.transport import events
from caperdyke.transport.gateway import context, dispatcher

TICK_SECONDS = 0.1
# Interval between attempts to open a connection while no path exists.
PROBE_INTERVAL_SECONDS = 0.2
# Connections that are opened at once when the path is suspected to be lost.
SUSPICION_PROBES = 3


class PathMonitor:
    """Opens connections on suspicion and while the path is lost, and announces each change.

    :param on_change: called after the path was lost or restored.
    :param rng: selects the servers to which connections are opened.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        requests: dispatcher.Dispatcher,
        on_change: collections.abc.Callable[[], None],
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._requests = requests
        self._on_change = on_change
        self._rng = rng or random.Random()
        self._next_probe_at = 0.0
        self._probes: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Checks the path at short intervals, forever."""
        while True:
            self.check(self._node.now())
            await asyncio.sleep(TICK_SECONDS)

    def check(self, now: float) -> None:
        """Announces a change of the path, and starts the probes that are due."""
        node = self._node
        if node.path.is_lost == node.fleet.has_path:
            self._apply_change(now)
        if node.path.is_lost and not node.path.can_use_kept(now):
            self._requests.abandon_waiting()
        is_suspect = node.path.is_suspect(now)
        if now < self._next_probe_at or not (node.path.is_lost or is_suspect):
            return
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
        for server in self._choose_servers(SUSPICION_PROBES if is_suspect else 1):
            probe = asyncio.create_task(self._probe(server))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    def _choose_servers(self, count: int) -> list[backend.BackendServer]:
        """Returns random servers, of as many failure domains as possible.

        Servers to which connections failed already come last.
        """
        servers = self._node.list_servers()
        self._rng.shuffle(servers)
        servers.sort(key=lambda server: self._node.path.has_failed(server.backend))
        in_domain: collections.Counter[ids.DomainName] = collections.Counter()
        ranked = []
        for server in servers:
            ranked.append((in_domain[server.domain], len(ranked), server))
            in_domain[server.domain] += 1
        return [server for _, _, server in sorted(ranked)[:count]]

    def _apply_change(self, now: float) -> None:
        node = self._node
        has_path = not node.path.is_lost
        node.fleet.record_path(now, has_path)
        node.metrics.record_path(has_path)
        if has_path:
            node.clear_failures()
            lost_s = round(now - node.path.lost_at, 2)
            events.log(events.Event.PATH_RESTORED, lost_s=lost_s)
        else:
            relays = len(node.fleet.list_relays(now))
            events.log(events.Event.PATH_LOST, relays=relays, **node.path.describe(now))
        self._on_change()

    async def _probe(self, server: backend.BackendServer) -> None:
        """Opens a connection to a server and keeps it for later requests."""
        node = self._node
        started_at = node.now()
        try:
            opened = await node.pool.open(server.address, node.settings.bounds.stop_seconds)
        except errors.BackendFailedError as error:
            is_refused = not isinstance(error, errors.ConnectTimeoutError)
            node.path.record_open_failed(node.now(), server, started_at, is_refused)
            return
        node.path.record_opened(node.now())
        node.pool.release(server.backend, opened, None)
