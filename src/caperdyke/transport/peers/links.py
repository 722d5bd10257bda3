"""Opens, maintains and closes the links of one instance to its peers."""

import asyncio
import collections.abc
import socket

from caperdyke import errors
from caperdyke.coordination import overlay
from caperdyke.protocol import keytext, messages
from caperdyke.state import ids, member, outcome, timing
from caperdyke.transport import context, events, listening
from caperdyke.transport.callers import answers
from caperdyke.transport.peers import peerlink

DIAL_TIMEOUT_SECONDS = 1.0
# Delay before an address that could not be reached is dialled again for a control link.
REDIAL_DELAY_SECONDS = 1.0
# Accepted connections whose peer may be introducing itself at once; above it the oldest ends.
GREETING_MAX = 64

OpenHandler = collections.abc.Callable[[peerlink.PeerLink], None]


class LinkSet:
    """All links of one instance.

    :param handle: called with each control message and each forwarded request.
    :param on_open: called with each link that opens.
    """

    def __init__(
        self, node: context.NodeContext, handle: peerlink.Handler, on_open: OpenHandler
    ) -> None:
        self._node = node
        self._handle = handle
        self._on_open = on_open
        # Accepted connections whose peer has not introduced itself, the oldest first.
        self._greeting: dict[asyncio.StreamWriter, None] = {}
        self._links: dict[ids.InstanceId, peerlink.PeerLink] = {}
        self._dials: dict[ids.Address, asyncio.Task[peerlink.PeerLink | None]] = {}
        self._redial_at: dict[ids.Address, float] = {}
        self._background_tasks: set[asyncio.Task] = set()
        self._control_peers: set[ids.InstanceId] = set()
        # Version of the member table that the control peers were chosen from.
        self._control_peers_version = -1

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Accepts links from peers."""
        server = await asyncio.start_server(
            self._accept, host, port, backlog=listening.ACCEPTED_AT_ONCE
        )
        listening.lengthen_queue(server)
        return server

    def list_open(self) -> list[peerlink.PeerLink]:
        """Returns the open links."""
        return [link for link in self._links.values() if link.is_open]

    def find(self, instance: ids.InstanceId) -> peerlink.PeerLink | None:
        """Returns the open link to an instance, or None."""
        link = self._links.get(instance)
        return link if link is not None and link.is_open else None

    def broadcast(
        self, message: messages.Message, excluded: peerlink.PeerLink | None = None
    ) -> None:
        """Sends a message on every open link except one."""
        for link in self.list_open():
            if link is not excluded:
                link.send(message)

    async def ensure_link(self, record: member.Member) -> peerlink.PeerLink | None:
        """Returns the open link to an instance, dialling if there is none; None on failure."""
        link = self.find(record.instance)
        if link is not None:
            return link
        return await self._dial_once(record.peer_address, record.instance)

    async def maintain_links(self) -> None:
        """Opens missing control links, sends heartbeats and closes silent links, in a loop."""
        while True:
            self._close_silent()
            self._open_missing()
            self._send_due_heartbeats()
            await asyncio.sleep(timing.HEARTBEAT_INTERVAL_SECONDS)

    def send_heartbeats(self) -> None:
        """Sends a heartbeat on every open link."""
        self.broadcast(self._make_heartbeat())

    def _send_due_heartbeats(self) -> None:
        """Sends a heartbeat on each link that had none for half an interval."""
        due_before = asyncio.get_running_loop().time() - timing.HEARTBEAT_INTERVAL_SECONDS / 2
        heartbeat = self._make_heartbeat()
        for link in self.list_open():
            if link.heartbeat_sent_at <= due_before:
                link.send(heartbeat)

    def _make_heartbeat(self) -> messages.Heartbeat:
        node = self._node
        return messages.Heartbeat(
            node.configuration_table.revision,
            node.configuration_table.confirmed_at,
            node.measure_load(),
        )

    async def forward(
        self, request: answers.IncomingRequest, target: member.Member, role: messages.Role
    ) -> answers.Answer:
        """Forwards a request to another instance and returns the answer.

        :raises errors.RefusalError: if the instance refuses, fails or is too slow to answer.
        """
        link = await self.ensure_link(target)
        now = self._node.clock()
        if link is None:
            refusal = outcome.refuse(outcome.Reason.PEER_LOST, now, f"{target.instance}")
            raise errors.RefusalError(refusal)
        forward = make_forward(request, link.make_request_number(), role)
        pending = link.open_exchange(forward)
        try:
            async with asyncio.timeout(max(0.0, request.deadline - now)):
                head = await pending.read_head()
        except errors.LinkClosedError as error:
            refusal = outcome.report_unknown(outcome.Reason.PEER_LOST, str(error))
            raise errors.RefusalError(refusal) from error
        except TimeoutError as error:
            pending.cancel()
            refusal = outcome.report_unknown(outcome.Reason.DEADLINE_PASSED, f"{target.instance}")
            raise errors.RefusalError(refusal) from error
        except asyncio.CancelledError:
            pending.cancel()
            raise
        return answers.Answer(head, pending.iterate_body(), pending.abandon)

    def close(self) -> None:
        """Closes every link and cancels the dialling."""
        for link in self.list_open():
            link.close()
        for task in self._dials.values():
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._greeting[writer] = None
        if len(self._greeting) > GREETING_MAX:
            oldest = next(iter(self._greeting))
            del self._greeting[oldest]
            oldest.transport.abort()
        try:
            link = await self._open_link(reader, writer)
        finally:
            self._greeting.pop(writer, None)
        if link is not None:
            await self._run(link)

    async def _open_link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> peerlink.PeerLink | None:
        try:
            peer = await peerlink.handshake(reader, writer, self._node.own)
        except (errors.ProtocolError, OSError, EOFError) as error:
            address = writer.get_extra_info("peername")
            events.log(events.Event.FRAME_REJECTED, peer=address, error=repr(error))
            writer.close()
            return None
        link = peerlink.PeerLink(reader, writer, peer, self._handle)
        self._links[peer.instance] = link
        self._node.members.record_alive(self._node.clock(), peer.instance)
        events.log(events.Event.LINK_OPENED, peer=peer.instance)
        self._on_open(link)
        return link

    async def _run(self, link: peerlink.PeerLink) -> None:
        cause = await link.run()
        events.log(events.Event.LINK_CLOSED, peer=link.peer.instance, cause=cause)
        if self._links.get(link.peer.instance) is link:
            del self._links[link.peer.instance]
            self._report_unreachable(link.peer.instance)

    def handle_report(self, link: peerlink.PeerLink, report: messages.PeerReport) -> None:
        """Merges a report that an instance is unreachable and forwards it if it is new."""
        now = self._node.clock()
        if self._node.members.apply_report(
            now, report.holder, report.reporter_domain, report.until
        ):
            self.broadcast(report, link)

    def _report_unreachable(self, instance: ids.InstanceId) -> None:
        """Records that an instance is unreachable and broadcasts a report of it."""
        node = self._node
        now = node.clock()
        node.members.mark_failed(now, instance)
        record = node.members.find(instance)
        if record is None or not node.members.needs_report(now, instance):
            return
        until = now + timing.REPORT_TTL_SECONDS
        if node.members.apply_report(now, record.holder, node.own.domain, until):
            self.broadcast(messages.PeerReport(record.holder, node.own.domain, until))

    async def _dial_once(
        self, address: ids.Address, instance: ids.InstanceId | None
    ) -> peerlink.PeerLink | None:
        """Dials an address; concurrent callers share one attempt."""
        task = self._dials.get(address)
        if task is None:
            task = asyncio.create_task(self._dial(address, instance))
            self._dials[address] = task
            task.add_done_callback(lambda _: self._dials.pop(address, None))
        return await asyncio.shield(task)

    async def _dial(
        self, address: ids.Address, instance: ids.InstanceId | None
    ) -> peerlink.PeerLink | None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                sock = await _connect(host, int(port), self._find_own_host())
                reader, writer = await asyncio.open_connection(sock=sock)
        except OSError:
            self._redial_at[address] = self._node.clock() + REDIAL_DELAY_SECONDS
            if instance is not None:
                self._report_unreachable(instance)
            return None
        link = await self._open_link(reader, writer)
        if link is None:
            return None
        task = asyncio.create_task(self._run(link))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return link

    def _find_own_host(self) -> str:
        return self._node.settings.peer_address.rpartition(":")[0]

    def _open_missing(self) -> None:
        node = self._node
        now = node.clock()
        records = [
            record
            for record in node.members.list_all()
            if record.state is not member.MemberState.GONE
        ]
        if node.members.version != self._control_peers_version:
            self._control_peers = set(overlay.choose_links(node.own, records))
            self._control_peers_version = node.members.version
        missing: dict[ids.Address, ids.InstanceId | None] = {
            record.peer_address: record.instance
            for record in records
            if record.instance in self._control_peers and self.find(record.instance) is None
        }
        known_addresses = {record.peer_address for record in records}
        for seed in (*node.settings.seeds, *node.listed_seeds):
            if seed not in known_addresses:
                missing[seed] = None
        for address, instance in missing.items():
            if now >= self._redial_at.get(address, 0.0) and address not in self._dials:
                task = asyncio.create_task(self._dial_once(address, instance))
                self._background_tasks.add(task)
                task.add_done_callback(self._background_tasks.discard)

    def _close_silent(self) -> None:
        node = self._node
        now = node.clock()
        for link in self.list_open():
            if node.members.is_lost(now, link.peer.instance):
                events.log(events.Event.PEER_LOST, peer=link.peer.instance)
                link.close()


async def _connect(host: str, port: int, own_host: str) -> socket.socket:
    """Connects from an own address.

    :raises OSError: if the peer cannot be reached.
    """
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(own_host, 0, type=socket.SOCK_STREAM)
    family, _, _, _, local = found[0]
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        # The system chooses the port. Without this option no server could listen on it while the
        # link is open, and for a minute after its end.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(local)
        await loop.sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def make_forward(
    request: answers.IncomingRequest, number: ids.RequestId, role: messages.Role
) -> messages.Forward:
    """Returns the message that carries a request to another instance."""
    return messages.Forward(
        number,
        role,
        request.contract.customer,
        request.service.name,
        request.method,
        request.target,
        request.headers,
        request.body,
        keytext.format_key(request.key) if request.key else "",
        request.home,
        request.deadline,
    )
