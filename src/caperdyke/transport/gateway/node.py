"""Starts the components and tasks of a gateway, and shuts them down gracefully."""

import asyncio
import collections.abc
import functools

import starlette.applications
import starlette.responses
import starlette.routing

from caperdyke.coordination import connection_table
from caperdyke.state import ids
from caperdyke.transport import events, metrics
from caperdyke.transport.gateway import (
    announcer,
    caller_policy,
    context,
    crash_exchange,
    dispatcher,
    greeter,
    path_monitor,
    peer_app,
    request_app,
    row_exchange,
    store_sync,
)
from caperdyke.transport.http import (
    caller_protocol,
    client_connection,
    http_server,
    pipelining,
    server_protocol,
)

RESTART_SECONDS = 0.5
POLL_SECONDS = 0.05
# Interval between updates of readiness, servers, evacuations and idle connections.
UPKEEP_SECONDS = 0.2
# Interval between measurements of the memory of the process.
MEMORY_INTERVAL_SECONDS = 1.0
# Interval between log lines about the configuration in force. It is short enough that a collector
# which keeps only the last lines has one of them.
CONFIGURATION_LOG_SECONDS = 2.0
# Time after the stop signal for which requests still arrive: look-ups return other instances by
# then, but callers cache an earlier answer for this long.
LOOKUP_EXPIRY_SECONDS = 2.2

MakeApps = collections.abc.Callable[[context.GatewayContext], dict[ids.Address, object]]


class GatewayNode:
    """Connects the components of a gateway and runs them.

    :param make_apps: returns the applications for the platform's calls by listen address.
    :ivar is_listening: whether all servers accept connections.
    """

    def __init__(self, node: context.GatewayContext, make_apps: MakeApps) -> None:
        self.node = node
        self._make_apps = make_apps
        self.store_sync = store_sync.StoreSync(node)
        self.announcer = announcer.Announcer(node, self.store_sync)
        self.store_sync.on_servers_read = self.announcer.announce_to_domain
        self.store_sync.on_configuration_changed = self.announcer.announce_change
        node.bounds.on_urgent_change = self.announcer.announce_server_state
        self._greeter = greeter.Greeter(node, self.announcer)
        self._crash_exchange = crash_exchange.CrashExchange(node, self.announcer)
        self._dispatcher = dispatcher.Dispatcher(node)
        self._dispatcher.quotas.connect(self.announcer)
        self.requests = request_app.RequestApp(node, self._dispatcher)
        self._path_monitor = path_monitor.PathMonitor(
            node, self._dispatcher, self.announcer.announce_path
        )
        self._tasks: list[asyncio.Task] = []
        self.is_listening = False
        self._servers: list[tuple[http_server.Server, asyncio.Task]] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until a stop is requested, and returns after the graceful shutdown.

        :param stop: set to request the stop.
        """
        settings = self.node.settings
        await self.announcer.listen()
        apps = {
            settings.caller_address: self.requests,
            settings.metrics_address: make_metrics_app(),
            settings.peer_address: peer_app.PeerApp(
                self.node,
                request_app.RequestApp(self.node, self._dispatcher, is_for_peers=True),
                row_exchange.make_app(self.store_sync.list_changes_since),
            ),
            **self._make_apps(self.node),
        }
        for address, app in apps.items():
            server = http_server.make_server(
                app,
                address,
                self._find_protocol(address),
                settings.bounds.stop_seconds,
                self.node.resources,
                self._find_share(address),
            )
            self._servers.append((server, asyncio.create_task(server.serve())))
        self._start_tasks()
        while not all(server.started for server, _ in self._servers):
            await asyncio.sleep(POLL_SECONDS)
        self.is_listening = True
        events.log(
            events.Event.STARTED, program="caperdyke-gateway", address=settings.caller_address
        )
        await stop.wait()
        await self._stop()

    def _find_protocol(self, address: ids.Address) -> http_server.Protocol:
        settings = self.node.settings
        if address == settings.caller_address:
            policy = caller_policy.CallerPolicy(self.node)
            return functools.partial(caller_protocol.CallerProtocol, policy=policy)
        # Instances relay one request at a time on a connection.
        policy = pipelining.SequentialPolicy(request_bytes=client_connection.EXCHANGE_BYTES)
        return functools.partial(caller_protocol.CallerProtocol, policy=policy)

    def _find_share(self, address: ids.Address) -> float:
        """Returns the share of the sockets that a server may use."""
        if address == self.node.settings.caller_address:
            return connection_table.CALLERS_SHARE
        if address == self.node.settings.lookup_address:
            return connection_table.LOOKUPS_SHARE
        return connection_table.OTHERS_SHARE

    def _start_tasks(self) -> None:
        loops = {
            "configuration": self.store_sync.watch.follow,
            "servers": self.store_sync.sync_servers,
            "peers": self.store_sync.peer_sync.follow,
            "announcements": self.announcer.announce,
            "upkeep": self._run_upkeep,
            "enrolment": self.announcer.enrol,
            "path": self._path_monitor.run,
            "quotas": self._dispatcher.quotas.run,
            "greetings": self._greeter.run,
            "crashes": self._crash_exchange.run,
        }
        for name, run_task in loops.items():
            self._tasks.append(asyncio.create_task(_run_forever(name, run_task)))

    async def _run_upkeep(self) -> None:
        node = self.node
        log_at = node.now() + CONFIGURATION_LOG_SECONDS
        measure_at = node.now()
        while True:
            if node.now() >= measure_at:
                measure_at = node.now() + MEMORY_INTERVAL_SECONDS
                node.resources.apply_memory(node.settings.memory_bytes)
            self.store_sync.update_evacuations()
            self.store_sync.confirm_configuration()
            if node.now() >= log_at and node.routes is not None:
                log_at = node.now() + CONFIGURATION_LOG_SECONDS
                origin = node.provenance.describe(node.now())
                events.log(events.Event.CONFIGURATION_KNOWN, version=node.routes.version, **origin)
            node.refresh_servers()
            node.pool.drop_expired()
            node.metrics.record_blocked(node.crashing_requests.count_blocked(node.now()))
            self._dispatcher.relay.drop_expired()
            self._apply_limits()
            is_ready = node.routes is not None and node.registrations_at is not None
            if is_ready and not node.fleet.is_ready and not node.is_stopping:
                node.fleet.is_ready = True
                events.log(events.Event.READY, revision=node.routes.version)
            await asyncio.sleep(UPKEEP_SECONDS)

    def _apply_limits(self) -> None:
        """Applies the timeouts and connection limits of the configuration in force."""
        node, table = self.node, self.node.routes
        if table is None:
            return
        self._servers[0][0].config.timeout_keep_alive = table.limits.idle_timeout_ms / 1000
        node.resources.limits.header_bytes = table.limits.header_bytes
        server_protocol.ServerProtocol.header_timeout_s = table.limits.header_timeout_ms / 1000
        longest_ms = max((item.timeout_ms for item in table.routes), default=0.0)
        server_protocol.ServerProtocol.stalled_max_s = max(
            server_protocol.STALLED_MAX_S, longest_ms / 1000
        )
        idle_limit = min((item.connections_max for item in table.services.values()), default=0)
        node.pool.set_idle_limit(idle_limit, node.fleet.count_recent(node.now()))

    async def _stop(self) -> None:
        """Shuts down gracefully: announces it, then drains requests until the deadline."""
        node = self.node
        stop_started_at = node.now()
        node.stop()
        deadline, exit_at = node.planned_stop.deadline, node.planned_stop.exit_at
        events.log(events.Event.STOPPING, deadline=round(deadline, 2))
        node.fleet.is_ready = False
        self.announcer.announce_leaving()
        self._dispatcher.waiting.stop()
        withdrawal = asyncio.create_task(self.announcer.withdraw(node.settings.instance))
        await self._wait_until(
            lambda: False, min(deadline, stop_started_at + LOOKUP_EXPIRY_SECONDS)
        )
        self._servers[0][0].should_exit = True
        await self._wait_until(lambda: node.active_requests == 0, deadline)
        unfinished = node.active_requests
        # Requests that are left end now, with answers of this instance.
        await self._wait_until(lambda: node.active_requests == 0, exit_at)
        events.log(events.Event.STOPPED, unfinished=unfinished)
        for server, _task in self._servers:
            server.should_exit = True
        for task in (*self._tasks, withdrawal):
            task.cancel()
        node.pool.close()
        self._dispatcher.relay.close()
        # Connections close when their callers, or the instances that relay requests here, have
        # received all answers.
        await asyncio.wait(
            [task for _server, task in self._servers],
            timeout=max(0.0, exit_at - node.now()),
        )
        self.node.resources.lingering.log_undelivered()
        self.announcer.close()

    async def _wait_until(
        self, is_done: collections.abc.Callable[[], bool], deadline: float
    ) -> None:
        while not is_done() and self.node.now() < deadline:
            await asyncio.sleep(POLL_SECONDS)


def make_metrics_app() -> starlette.applications.Starlette:
    """Returns the application that serves the metrics."""

    async def handle(_request) -> starlette.responses.Response:
        return starlette.responses.Response(metrics.render(), media_type="text/plain")

    route = starlette.routing.Route("/metrics", handle)
    return starlette.applications.Starlette(routes=[route])


async def _run_forever(
    name: str, run_task: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    """Restarts a task after a failure, so that one fault does not stop the instance.

    :param name: name of the task in log lines.
    """
    while True:
        await _run_once(name, run_task)
        await asyncio.sleep(RESTART_SECONDS)


async def _run_once(
    name: str, run_task: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    try:
        await run_task()
    except Exception as error:
        events.log(events.Event.TASK_FAILED, task=name, error=repr(error))
