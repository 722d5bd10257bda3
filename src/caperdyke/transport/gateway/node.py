"""One gateway: its parts, its tasks and its planned stop."""

import asyncio
import collections.abc

import starlette.applications
import starlette.responses
import starlette.routing

from caperdyke.state import ids
from caperdyke.transport import events, metrics
from caperdyke.transport.gateway import (
    announcer,
    context,
    request_app,
    row_exchange,
    store_sync,
)
from caperdyke.transport.http import caller_protocol, http_server

RESTART_SECONDS = 0.5
STEP_SECONDS = 0.05
# Interval between two looks at readiness and idle connections, in seconds.
UPKEEP_SECONDS = 0.2
# Interval between two log lines that say what is known, in seconds: a collector that keeps the
# last lines only holds one of them.
KNOWN_SECONDS = 2.0
# After the signal to stop, callers are named other instances and requests still arrive: as long as
# a look-up answer is kept. In seconds.
LINGER_SECONDS = 2.2
# Time before the process is killed at which it ends by itself, in seconds.
STOP_MARGIN_SECONDS = 0.25

MakeApps = collections.abc.Callable[[context.GatewayContext], dict[ids.Address, object]]


class GatewayNode:
    """Wires the parts of a gateway together and runs them.

    :param make_apps: returns the platform's own applications by the address they listen on.
    """

    def __init__(self, node: context.GatewayContext, make_apps: MakeApps) -> None:
        self.node = node
        self._make_apps = make_apps
        self.store_sync = store_sync.StoreSync(node)
        self.announcer = announcer.Announcer(node, self.store_sync)
        self.store_sync.on_servers_read = self.announcer.announce_to_domain
        self.store_sync.on_configuration_changed = self.announcer.announce_change
        node.bounds.on_urgent_change = self.announcer.tell_server_word
        self.requests = request_app.RequestApp(node)
        self._tasks: list[asyncio.Task] = []
        self.is_listening = False
        self._servers: list[tuple[http_server.Server, asyncio.Task]] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until a planned stop is asked for and done."""
        settings = self.node.settings
        await self.announcer.listen()
        apps = {
            settings.caller_address: self.requests,
            settings.metrics_address: make_metrics_app(),
            settings.peer_address: row_exchange.make_app(self.store_sync.list_changes_since),
            **self._make_apps(self.node),
        }
        for address, app in apps.items():
            is_for_callers = address == settings.caller_address
            protocol = caller_protocol.CallerProtocol if is_for_callers else "httptools"
            server = http_server.make_server(app, address, protocol, settings.bounds.stop_seconds)
            self._servers.append((server, asyncio.create_task(server.serve())))
        self._start_tasks()
        while not all(server.started for server, _ in self._servers):
            await asyncio.sleep(STEP_SECONDS)
        self.is_listening = True
        events.log(
            events.Event.STARTED, program="caperdyke-gateway", address=settings.caller_address
        )
        await stop.wait()
        await self._stop()

    def _start_tasks(self) -> None:
        loops = {
            "configuration": self.store_sync.watch.follow,
            "servers": self.store_sync.sync_servers,
            "peers": self.store_sync.peer_sync.follow,
            "announcements": self.announcer.announce,
            "upkeep": self._keep_up,
            "enrolment": self.announcer.enrol,
        }
        for name, loop in loops.items():
            self._tasks.append(asyncio.create_task(_run_forever(name, loop)))

    async def _keep_up(self) -> None:
        node = self.node
        log_at = node.now() + KNOWN_SECONDS
        while True:
            self.store_sync.update_evacuations()
            if node.now() >= log_at and node.routes is not None:
                log_at = node.now() + KNOWN_SECONDS
                known = node.provenance.describe(node.now())
                events.log(events.Event.CONFIGURATION_KNOWN, version=node.routes.version, **known)
            node.refresh_servers()
            node.pool.drop_expired()
            self._apply_limits()
            is_ready = node.routes is not None and node.registrations_at is not None
            if is_ready and not node.fleet.is_ready and not node.is_stopping:
                node.fleet.is_ready = True
                events.log(events.Event.READY, revision=node.routes.version)
            await asyncio.sleep(UPKEEP_SECONDS)

    def _apply_limits(self) -> None:
        """Brings limits of connections in step with configuration and fleet."""
        node, table = self.node, self.node.routes
        if table is None:
            return
        self._servers[0][0].config.timeout_keep_alive = table.limits.idle_timeout_ms / 1000
        caller_protocol.CallerProtocol.head_seconds = table.limits.header_timeout_ms / 1000
        fewest = min((item.connections_max for item in table.services.values()), default=0)
        node.pool.set_idle_limit(fewest, node.fleet.count_recent(node.now()))

    async def _stop(self) -> None:
        """Leaves without cutting off a request."""
        node = self.node
        began = node.now()
        deadline = began + node.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        events.log(events.Event.STOPPING, deadline=round(deadline, 2))
        node.fleet.is_ready = False
        node.is_stopping = True
        self.announcer.say_goodbye()
        leaving = asyncio.create_task(self.announcer.withdraw(node.settings.instance))
        await self._wait_until(lambda: False, min(deadline, began + LINGER_SECONDS))
        callers, serving = self._servers[0]
        callers.should_exit = True
        await self._wait_until(lambda: node.active_requests == 0, deadline)
        events.log(events.Event.STOPPED, unfinished=node.active_requests)
        for server, _task in self._servers:
            server.should_exit = True
        for task in (*self._tasks, leaving):
            task.cancel()
        node.pool.close()
        await asyncio.wait([serving], timeout=max(0.0, deadline - node.now()) + STEP_SECONDS)

    async def _wait_until(
        self, is_done: collections.abc.Callable[[], bool], deadline: float
    ) -> None:
        while not is_done() and self.node.now() < deadline:
            await asyncio.sleep(STEP_SECONDS)


def make_metrics_app() -> starlette.applications.Starlette:
    """Returns the application that shows counters and histograms."""

    async def answer(_request) -> starlette.responses.Response:
        return starlette.responses.Response(metrics.render(), media_type="text/plain")

    route = starlette.routing.Route("/metrics", answer)
    return starlette.applications.Starlette(routes=[route])


async def _run_forever(
    name: str, loop: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    """Runs a task again after a failure, so that one fault does not stop the instance."""
    while True:
        await _run_once(name, loop)
        await asyncio.sleep(RESTART_SECONDS)


async def _run_once(
    name: str, loop: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    try:
        await loop()
    except Exception as error:
        events.log(events.Event.TASK_FAILED, task=name, error=repr(error))
