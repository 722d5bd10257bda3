"""Sends and receives the datagrams by which instances request and grant tokens of teams."""

import collections.abc
import itertools

from caperdyke import errors
from caperdyke.coordination.placement import shared_bounds
from caperdyke.coordination.quotas import (
    fleet_reports,
    grantor,
    holders,
    token_bucket,
    token_requests,
)
from caperdyke.coordination.registry import fleet
from caperdyke.protocol import quota_messages
from caperdyke.state import ids, name_hashes, routes, teams
from caperdyke.transport import events
from caperdyke.transport.gateway import announcer, context

# Assumed round trip to a failure domain to which no connection was opened yet.
ROUND_TRIP_DEFAULT_SECONDS = 0.03
# Request numbers of one start begin at its time; more requests than this are never sent.
NUMBERS_PER_MILLISECOND = 1000

OnGrant = collections.abc.Callable[
    [teams.Team, ids.InstanceId, int, token_bucket.Grant | None], None
]


class TokenExchange:
    """Asks holders for tokens, and grants tokens to other instances as a holder.

    :param on_grant: called with the team, the holder, the number of the request and the grant,
        which is None if the asked instance holds no tokens of the team.
    :param apply_table: called with the time before a datagram is handled, to apply a changed
        configuration.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        on_grant: OnGrant,
        apply_table: collections.abc.Callable[[float], object],
    ) -> None:
        self._node = node
        self._on_grant = on_grant
        self._apply_table = apply_table
        own = node.fleet.own
        self._own_hash = name_hashes.hash_name(own.instance)
        self.directory = holders.HolderDirectory(own.instance)
        self.grantor = grantor.Grantor(self.directory, node.settings.quota_tolerance)
        self._table: routes.RouteTable | None = None
        self._limited: dict[ids.TeamName, teams.Team] = {}
        self._teams_by_hash: dict[int, teams.Team] = {}
        self._peers_by_hash: dict[int, ids.InstanceId] = {}
        self._peers: dict[ids.InstanceId, fleet.PeerInstance] = {}
        self._numbers = itertools.count(own.incarnation * NUMBERS_PER_MILLISECOND)
        self._messages: announcer.Announcer | None = None

    @property
    def has_teams(self) -> bool:
        """Whether the configuration in force has teams with limits."""
        return bool(self._teams_by_hash)

    def is_limited(self, team: ids.TeamName) -> bool:
        """Returns whether the configuration in force has a limit for a team."""
        return team in self._limited

    def connect(self, messages: announcer.Announcer) -> None:
        """Uses the socket of the announcements."""
        self._messages = messages
        messages.message_handlers[quota_messages.REQUEST_KIND] = self.handle_request
        messages.message_handlers[quota_messages.GRANT_KIND] = self.handle_grant

    def apply_table(self, now: float) -> bool:
        """Applies the limits of the configuration in force; returns whether it has changed."""
        table = self._node.routes
        if table is self._table:
            return False
        self._table = table
        directory = table.teams if table is not None else None
        by_name = directory.by_name if directory is not None else {}
        limited = {name: by_name[name] for name in sorted(by_name) if by_name[name].has_limit}
        self._teams_by_hash = {}
        for name, team in limited.items():
            self._teams_by_hash.setdefault(name_hashes.hash_name(name), team)
        self._limited = limited
        self.grantor.apply_teams(now, limited)
        return True

    def update(self, now: float, view: shared_bounds.FleetView) -> None:
        """Applies changes of the fleet and of the settings."""
        node = self._node
        peers = {peer.record.instance: peer for peer in node.fleet.list_others()}
        if peers.keys() != self._peers.keys():
            self._peers_by_hash = {name_hashes.hash_name(name): name for name in peers}
        self._peers = peers
        self.grantor.tolerance = node.settings.quota_tolerance
        report = fleet_reports.make_report(now, node.fleet, view)
        self.directory.update(now, report, node.settings.domains)
        self.grantor.update(now)

    def list_holders(self, team: teams.Team) -> list[tuple[ids.InstanceId, float]]:
        """Returns the holders of a team and the round trips to them, the nearest first."""
        settings, found = self._node.settings, []
        for region, name in self.directory.list_holders(team.name).items():
            if name == settings.instance:
                round_trip = 0.0
            elif name in self._peers:
                domain = self._peers[name].record.domain
                round_trip = self._node.round_trips.get(domain, ROUND_TRIP_DEFAULT_SECONDS)
            else:
                continue
            found.append((region != settings.region, round_trip, name))
        return [(name, round_trip) for _, round_trip, name in sorted(found)]

    def make_number(self) -> int:
        """Returns the number of the next request."""
        return next(self._numbers)

    def send(self, now: float, team: teams.Team, ask: token_requests.Ask) -> None:
        """Sends a request; a holder that is this instance itself grants at once."""
        if ask.holder == self._node.settings.instance:
            grant = self.grantor.grant(now, self._own_hash, team.name, ask.demand)
            self._on_grant(team, ask.holder, ask.demand.number, grant)
            return
        if self._messages is None:
            return
        request = quota_messages.TokenRequest(
            self._own_hash, ask.demand.number, {name_hashes.hash_name(team.name): ask.demand}
        )
        address = self._peers[ask.holder].record.peer_address
        self._messages.send_message(address, quota_messages.encode_request(request))

    def handle_request(self, items: list, address: ids.Address) -> None:
        """Grants tokens to another instance if this one holds tokens of the teams."""
        try:
            request = quota_messages.decode_request(items)
        except errors.ProtocolError as error:
            events.log(events.Event.FRAME_REJECTED, peer=address, error=str(error))
            return
        now = self._node.now()
        self._apply_table(now)
        sender = self._peers_by_hash.get(request.sender)
        if sender is None:
            # Tokens that nobody receives would be lost; it asks again when it is known here.
            return
        grants = {}
        for team_hash, demand in request.demands.items():
            team = self._teams_by_hash.get(team_hash)
            if team is None or not self.grantor.is_holding(now, team.name):
                grants[team_hash] = None
                continue
            grant = self.grantor.grant(now, request.sender, team.name, demand)
            if grant is not None:
                grants[team_hash] = grant
        if grants:
            reply = quota_messages.TokenGrant(self._own_hash, request.number, grants)
            address = self._peers[sender].record.peer_address
            self._messages.send_message(address, quota_messages.encode_grant(reply))

    def handle_grant(self, items: list, address: ids.Address) -> None:
        """Passes the tokens of a holder on."""
        try:
            message = quota_messages.decode_grant(items)
        except errors.ProtocolError as error:
            events.log(events.Event.FRAME_REJECTED, peer=address, error=str(error))
            return
        self._apply_table(self._node.now())
        holder = self._peers_by_hash.get(message.sender)
        if holder is None:
            return
        for team_hash, grant in message.grants.items():
            team = self._teams_by_hash.get(team_hash)
            if team is not None:
                self._on_grant(team, holder, message.number, grant)
