"""Finds out whether a backend server ended while it ran a request."""

import asyncio
import collections.abc
import hashlib

from caperdyke import errors
from caperdyke.coordination.placement import rendezvous, selection, server_view
from caperdyke.protocol import crash_messages
from caperdyke.state import header_fields, ids
from caperdyke.transport import events
from caperdyke.transport.gateway import context, crash_exchange, sender

# Longest time to open a connection that shows whether the server still runs; a lost packet between
# regions would take longer. A server that does not answer is not known to have ended.
PROBE_TIMEOUT_SECONDS = 0.25
# Time for which it is remembered that a start of a server has ended.
ENDED_VALID_SECONDS = 0.5
AUTHORIZATION = b"authorization"


class CrashDetector:
    """Counts the servers that end under requests, and tells which requests are suspected.

    Pattern: a connection breaks because the server ended, forgot an idle connection, lost an
    answer, or because the path broke. Only a server that ended refuses the next connection.
    """

    def __init__(self, node: context.GatewayContext) -> None:
        self._node = node
        # Probes by the start of the server, with the time until which they are remembered.
        self._probes: dict[int, tuple[asyncio.Task[bool], float]] = {}
        self._background: set[asyncio.Task] = set()

    def is_blocked(self, request: sender.CallerRequest) -> bool:
        """Returns whether a request must not be sent to any server."""
        records = self._node.crashing_requests
        return not records.is_empty and records.is_blocked(self._node.now(), make_digest(request))

    def find_block_end(self, request: sender.CallerRequest) -> float:
        """Returns the time until which a request is rejected."""
        return self._node.crashing_requests.find_block_end(make_digest(request))

    def restrict(
        self,
        request: sender.CallerRequest,
        candidates: list[selection.Candidate],
        tried: collections.abc.Set[ids.BackendId],
    ) -> list[selection.Candidate]:
        """Returns the candidates that a request should be sent to.

        Pattern: several instances send a suspected request at the same time. All send it to the
        same server as long as that has capacity, so that it ends only that one.

        :param tried: servers to which it was sent before.
        """
        records = self._node.crashing_requests
        if records.is_empty or not candidates:
            return candidates
        digest = make_digest(request)
        if not records.count_crashes(self._node.now(), digest):
            return candidates
        now, key = self._node.now(), ids.ObjectKey(digest.hex())
        usable = [
            item
            for item in candidates
            if item.view.server.backend not in tried
            and item.view.find_status(now) is server_view.ServerStatus.OPEN
        ]
        if not usable:
            return candidates
        return [
            max(usable, key=lambda item: rendezvous.hash_to_unit(key, item.view.server.backend))
        ]

    def record_answered(self, request: sender.CallerRequest) -> None:
        """Records that a server answered a request."""
        records = self._node.crashing_requests
        if records.is_empty:
            return
        digest = make_digest(request)
        if records.record_success(self._node.now(), digest):
            self._node.on_crash_news(digest)

    async def record_broken(
        self, request: sender.CallerRequest, placement: selection.Placement
    ) -> None:
        """Records that the connection broke while a server ran a request.

        Returns when it is known whether the server ended, for requests that may be sent again.
        """
        registered = self._node.servers.find(placement.view.server.backend)
        if registered is None or self._node.path.is_lost:
            return
        if not self._node.is_in_service(self._node.now(), registered):
            # The server left as announced.
            return
        checking = asyncio.create_task(
            self._record_if_ended(request, placement, registered.start_hash)
        )
        self._background.add(checking)
        checking.add_done_callback(self._background.discard)
        if request.is_repeatable:
            await asyncio.shield(checking)

    async def _record_if_ended(
        self, request: sender.CallerRequest, placement: selection.Placement, start_hash: int
    ) -> None:
        node = self._node
        if not await asyncio.shield(self._probe(placement, start_hash)):
            return
        digest, now = make_digest(request), node.now()
        if not node.crashing_requests.record_crash(now, digest, start_hash):
            return
        node.on_crash_news(digest)
        events.log(
            events.Event.SERVER_ENDED,
            backend=placement.view.server.backend,
            digest=digest.hex(),
            count=node.crashing_requests.count_crashes(now, digest),
        )
        if node.crashing_requests.is_blocked(now, digest):
            crash_exchange.log_blocked(node, digest)

    def _probe(self, placement: selection.Placement, start_hash: int) -> asyncio.Task[bool]:
        """Returns a task that finds out whether a start of a server has ended.

        Requests that broke together share a probe. A server that was found running may end later.
        """
        now = self._node.now()
        self._probes = {
            key: (probe, until)
            for key, (probe, until) in self._probes.items()
            if not probe.done() or (probe.result() and now < until)
        }
        if start_hash not in self._probes:
            probe = asyncio.create_task(self._has_ended(placement))
            self._probes[start_hash] = probe, now + ENDED_VALID_SECONDS
        return self._probes[start_hash][0]

    async def _has_ended(self, placement: selection.Placement) -> bool:
        node, server = self._node, placement.view.server
        try:
            conn = await node.pool.open(server.address, PROBE_TIMEOUT_SECONDS)
        except errors.ConnectTimeoutError:
            return False
        except errors.BackendFailedError:
            placement.view.record_unreachable(node.now())
            return True
        node.pool.release(server.backend, conn, None)
        return False


def make_digest(request: sender.CallerRequest) -> ids.RequestDigest:
    """Returns the digest by which all instances know a request of the same caller again."""
    match request.identity:
        case header_fields.TeamIdentity(team=team):
            caller = (team or "").encode("utf-8", "surrogatepass")
        case header_fields.UnmanagedIdentity():
            caller = b"\n".join(value for name, value in request.headers if name == AUTHORIZATION)
    digest = hashlib.blake2b(digest_size=crash_messages.DIGEST_BYTES)
    method, host = request.method.encode(), request.host.encode("latin-1")
    for part in (method, host, request.target, caller, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return ids.RequestDigest(digest.digest())
