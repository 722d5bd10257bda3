"""Relays requests through other instances while this one has no path to the backend servers."""

import asyncio
import collections
import collections.abc
import dataclasses
import random

from caperdyke import errors
from caperdyke.coordination.registry import fleet
from caperdyke.protocol import relay_headers
from caperdyke.state import header_fields, ids, routes
from caperdyke.transport.backends import pool
from caperdyke.transport.gateway import context, sender
from caperdyke.transport.http import client_connection

# Time for which an instance that did not accept a connection, or that declined a request, gets no
# relayed requests.
UNREACHABLE_SECONDS = 1.0
DECLINED_SECONDS = 0.5
# Instances through which one request is tried.
RELAYS_MAX = 3
# Instances of which the one with the fewest relayed requests is chosen.
CHOICES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """An instance refused a request, and no server has run it there.

    :param answer: its answer to the caller.
    :param has_no_capacity: whether it sent the request to no server, so that others may.
    """

    answer: sender.ServerAnswer
    has_no_capacity: bool


RelayResult = sender.Result | NotRun


class Relay:
    """Sends requests to other instances, which serve them like those of their own callers.

    :param rng: selects the instances among which the least used one is chosen.
    """

    def __init__(self, node: context.GatewayContext, rng: random.Random | None = None) -> None:
        self._node = node
        self._rng = rng or random.Random()
        self._pool = pool.ConnectionPool(node.now)
        self._in_flight: collections.Counter[ids.InstanceId] = collections.Counter()
        self._unusable_until: dict[ids.InstanceId, float] = {}
        # Newest configuration by which any instance handled a relayed request. Older ones must not
        # handle later requests: callers would see the configuration change back.
        self._version = 0

    def choose(
        self,
        route: routes.Route,
        tried: collections.abc.Set[ids.InstanceId],
        has_team: bool = False,
    ) -> fleet.PeerInstance | None:
        """Returns the instance through which a request should go, or None if there is none.

        :param tried: instances that are not chosen.
        :param has_team: whether the request belongs to a team, whose name only instances that
            support teams pass to the server.
        """
        if len(tried) >= RELAYS_MAX:
            return None
        now = self._node.now()
        unusable = {name for name, until in self._unusable_until.items() if now < until}
        usable = self._node.fleet.list_relays(now, route.homes, unusable | tried, has_team)
        if not usable:
            return None
        choices = self._rng.sample(usable, min(CHOICES, len(usable)))
        return min(choices, key=lambda peer: self._in_flight[peer.record.instance])

    async def send(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        peer: fleet.PeerInstance,
        reached: int,
        counted: bool,
    ) -> RelayResult:
        """Sends a request to an instance and returns what it answers.

        :param reached: number of servers that the request has reached already.
        :param counted: whether the request counts in the retry budget of this instance.
        """
        name = peer.record.instance
        self._in_flight[name] += 1
        try:
            return await self._exchange(request, route, peer, reached, counted)
        finally:
            self._in_flight[name] -= 1

    def drop_expired(self) -> None:
        """Closes idle connections that have expired."""
        self._pool.drop_expired()

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()

    async def _exchange(
        self,
        request: sender.CallerRequest,
        route: routes.Route,
        peer: fleet.PeerInstance,
        reached: int,
        counted: bool,
    ) -> RelayResult:
        now, address = self._node.now, peer.record.peer_address
        conn = self._pool.acquire(address)
        if conn is None:
            try:
                conn = await self._pool.open(address, max(0.0, request.deadline - now()))
            except errors.BackendFailedError as error:
                self._unusable_until[peer.record.instance] = now() + UNREACHABLE_SECONDS
                return sender.Failure(sender.FailureKind.UNREACHABLE, str(error))
        # The configuration may have changed while the connection was opened.
        if self._node.routes is not request.table:
            self._pool.release(address, conn, None)
            return sender.Failure(sender.FailureKind.NOT_SENT, "the configuration changed")
        if now() > self._node.find_latest_send(route, request.deadline):
            self._pool.release(address, conn, None)
            return sender.make_stopping_failure()
        is_done = False
        try:
            async with asyncio.timeout(max(0.0, request.deadline - now())):
                result = await self._exchange_on_connection(request, peer, conn, reached, counted)
            is_done = True
            return result
        except errors.BackendFailedError as error:
            return sender.Failure(sender.FailureKind.BROKEN, str(error))
        except TimeoutError:
            return sender.Failure(sender.FailureKind.LATE, "no answer by the deadline")
        finally:
            if not is_done:
                conn.close()

    async def _exchange_on_connection(
        self,
        request: sender.CallerRequest,
        peer: fleet.PeerInstance,
        conn: client_connection.ServerConnection,
        reached: int,
        counted: bool,
    ) -> RelayResult:
        node, address = self._node, peer.record.peer_address
        caller_wait_ms = None
        if request.caller_timeout_at is not None:
            caller_wait_ms = (request.caller_timeout_at - node.now()) * 1000
        headers = node.headers.make_relayed_headers(
            request.headers, caller_wait_ms, request.identity
        )
        team = None
        if isinstance(request.identity, header_fields.TeamIdentity):
            team = request.identity.team
        headers += relay_headers.encode_request(
            relay_headers.RelayedRequest(
                node.settings.instance,
                (request.deadline - node.now()) * 1000,
                reached,
                counted,
                max(self._version, request.table.version),
                team,
            )
        )
        if request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        conn.send(request.method, request.target, headers, request.body)
        head = await conn.read_head()
        raw_headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        try:
            fields = relay_headers.decode_answer(raw_headers)
        except errors.ProtocolError as error:
            raise errors.BackendFailedError(str(error), True) from error
        header_map = dict(raw_headers)
        length = sender.parse_content_length(header_map)
        body, is_whole = await sender.buffer_body(conn, request.reservation)
        if is_whole and conn.finish():
            self._pool.release(address, conn, None)
        if fields.outcome is relay_headers.RelayOutcome.DECLINED:
            self._unusable_until[peer.record.instance] = node.now() + DECLINED_SECONDS
            return sender.Failure(sender.FailureKind.REFUSED, "declined")
        self._version = max(self._version, fields.version)
        forwarded = [
            item
            for item in relay_headers.strip(raw_headers)
            if item[0] not in sender.HOP_BY_HOP_HEADERS
        ]
        if is_whole:
            answer = sender.ServerAnswer(head.status_code, forwarded, body, None, len(body), None)
            if fields.outcome is relay_headers.RelayOutcome.FINAL:
                return answer
            return NotRun(answer, fields.outcome is relay_headers.RelayOutcome.NO_CAPACITY)
        rest = self._stream_remaining_body(conn, address)
        return sender.ServerAnswer(head.status_code, forwarded, body, rest, length, None)

    async def _stream_remaining_body(
        self, conn: client_connection.ServerConnection, address: ids.Address
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yields the remaining chunks of a long body.

        :raises errors.BackendFailedError: if the body breaks off.
        """
        is_whole = False
        try:
            while (chunk := await conn.read_chunk()) is not None:
                yield chunk
            is_whole = True
            if conn.finish():
                self._pool.release(address, conn, None)
        finally:
            if not is_whole:
                conn.close()
