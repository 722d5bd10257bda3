"""Components, background tasks and graceful shutdown of one entry instance."""

import asyncio
import collections.abc

import starlette.applications

from caperdyke.coordination import membership
from caperdyke.protocol import messages
from caperdyke.state import member, settings, timing
from caperdyke.transport import context, events, metrics, operator_app
from caperdyke.transport.callers import (
    caller_app,
    claims,
    keyed_requests,
    local_service,
    request_reader,
    steering,
)
from caperdyke.transport.http import http_server, server_resources
from caperdyke.transport.peers import forwarded, handover, links, peerlink
from caperdyke.transport.store import config_sync, lease_keeper, platform_watch

TASK_RESTART_SECONDS = 0.5
WAIT_POLL_SECONDS = 0.05
SLOT_UPDATE_SECONDS = 0.5


class EntryNode:
    """Creates the components of an entry instance and runs them."""

    def __init__(self, node_settings: settings.EntrySettings) -> None:
        self.node = context.NodeContext(node_settings, metrics.Metrics())
        self.links = links.LinkSet(self.node, self._handle_message, self._send_initial_state)
        self.local = local_service.LocalService(self.node)
        self.steering = steering.Steering(self.node, self.links, self.local)
        self.runs = keyed_requests.KeyedRequests(self.node, self.links, self.steering)
        self.forwarded = forwarded.ForwardedRequests(self.node, self.local, self.runs)
        self.sync = config_sync.ConfigSync(self.node, self.links)
        self.keeper = lease_keeper.LeaseKeeper(self.node, self.links)
        self.watch = platform_watch.PlatformWatch(self.node, self.links)
        self.handover = handover.Handover(self.node, self.links)
        self._tasks: list[asyncio.Task] = []

    def make_app(self):
        """Returns the HTTP application."""
        reader = request_reader.RequestReader(self.node, claims.KeyClaims(self.node))
        callers = caller_app.CallerApp(self.node, self.steering, self.runs, reader)
        operators = operator_app.OperatorApp(self.node, self.watch)
        operator_routes = starlette.applications.Starlette(routes=operators.list_routes())

        async def app(scope, receive, send) -> None:
            if scope["type"] != "http" or not await callers.handle(scope, receive, send):
                await operator_routes(scope, receive, send)

        return app

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until ``stop`` is set and the graceful shutdown has finished."""
        node_settings = self.node.settings
        host, _, port = node_settings.peer_address.rpartition(":")
        listener = await self.links.listen(host, int(port))
        resources = server_resources.make_resources(
            node_settings.memory_bytes, node_settings.descriptors
        )
        server = http_server.make_server(
            self.make_app(), node_settings.caller_address, resources=resources
        )
        serving = asyncio.create_task(server.serve())
        self._start_tasks()
        events.log(
            events.Event.STARTED, program="caperdyke-entry", address=node_settings.caller_address
        )
        await stop.wait()
        await self._shut_down()
        server.should_exit = True
        await serving
        listener.close()
        self.links.close()
        for task in self._tasks:
            task.cancel()
        events.log(events.Event.STOPPED, unfinished=self.node.active_requests)

    def _start_tasks(self) -> None:
        loops = {
            "links": self.links.maintain_links,
            "configuration": self.sync.poll,
            "lease": self.keeper.renew,
            "platform": self.watch.watch,
            "slots": self._update_slots,
        }
        for name, loop in loops.items():
            self._tasks.append(asyncio.create_task(_run_forever(name, loop)))

    async def _update_slots(self) -> None:
        """Updates the slots of this instance, its queues and its readiness in a loop."""
        node = self.node
        while True:
            usable = node.members.list_usable(node.clock(), node.own.domain)
            names = [record.instance for record in usable]
            if node.own.instance not in names:
                names.append(node.own.instance)
            node.backends.assign_slots(node.own.instance, names)
            node.serve_queues()
            if not node.is_ready and node.configuration_table.revision > 0:
                node.is_ready = True
                events.log(events.Event.READY, revision=node.configuration_table.revision)
            await asyncio.sleep(SLOT_UPDATE_SECONDS if node.is_ready else WAIT_POLL_SECONDS)

    def _send_initial_state(self, link: peerlink.PeerLink) -> None:
        node = self.node
        node.members.merge(link.peer)
        link.send(messages.MemberNews(tuple(node.members.list_all())))
        marks = node.drains.list_marks()
        if marks:
            link.send(messages.DrainNews(marks))
        self.links.send_heartbeats()

    def _handle_message(self, link: peerlink.PeerLink, message: messages.Message) -> None:
        """Passes a message from a peer to the component that handles it."""
        node = self.node
        node.members.record_alive(node.clock(), link.peer.instance)
        match message:
            case messages.Forward():
                self.forwarded.start(link, message)
            case messages.Heartbeat():
                node.load_by_instance[link.peer.instance] = message.busy
                self.sync.handle_heartbeat(link, message)
            case messages.MemberNews():
                self._handle_member_news(link, message)
            case messages.PeerReport():
                self.links.handle_report(link, message)
            case messages.DrainNews():
                self.watch.apply_marks(message.marks, link)
            case messages.ChangesRequest():
                self.sync.handle_changes_request(link, message)
            case messages.ChangesReply():
                self.sync.handle_changes_reply(message)
            case messages.RenewRequest():
                self.keeper.handle_renew_request(link, message)
            case messages.LeaseRenewed():
                self.keeper.handle_renewal(link, message)
            case messages.LeaseNews():
                self.keeper.handle_row(message.row)
            case messages.RowRequest():
                self.keeper.handle_row_request(link, message)
            case messages.Handover():
                self.handover.handle_records(link, message)
            case messages.HandoverAck():
                self.handover.handle_ack(link, message)

    def _handle_member_news(self, link: peerlink.PeerLink, message: messages.MemberNews) -> None:
        accepted = tuple(record for record in message.members if self.node.members.merge(record))
        if accepted:
            self.links.broadcast(messages.MemberNews(accepted), link)

    async def _shut_down(self) -> None:
        """Shuts down gracefully: requests in progress may finish until the deadline."""
        node = self.node
        deadline = node.clock() + node.settings.stop_seconds
        events.log(events.Event.STOPPING, deadline=deadline)
        self._announce(membership.mark_leaving(node.own))
        # Lookup answers that name this instance expire before it refuses new requests.
        await self._wait_until(
            lambda: False, min(deadline, node.clock() + timing.LOOKUP_TTL_SECONDS)
        )
        node.key_table.seal()
        await self._wait_until(lambda: self.runs.count_running() == 0, deadline)
        await self.hand_over()
        await self._wait_until(self._is_idle, deadline)
        self._announce(membership.mark_gone(node.own))
        for link in self.links.list_open():
            await link.drain()

    async def hand_over(self) -> None:
        """Hands the key records over and releases the lease slices; no new request can start."""
        self.node.key_table.seal()
        successor = await self.handover.send()
        self._announce(membership.mark_successor(self.node.own, successor))
        await self.keeper.release()

    def _announce(self, record: member.Member) -> None:
        self.node.members.merge(record)
        self.links.broadcast(messages.MemberNews((record,)))

    def _is_idle(self) -> bool:
        return self.node.active_requests == 0 and self.runs.count_running() == 0

    async def _wait_until(
        self, is_done: collections.abc.Callable[[], bool], deadline: float
    ) -> None:
        while not is_done() and self.node.clock() < deadline:
            await asyncio.sleep(WAIT_POLL_SECONDS)


async def _run_forever(
    name: str, loop: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    """Restarts a task after a failure, so that one fault does not stop the instance."""
    while True:
        try:
            await loop()
        except Exception as error:
            events.log(events.Event.TASK_FAILED, task=name, error=repr(error))
        await asyncio.sleep(TASK_RESTART_SECONDS)
