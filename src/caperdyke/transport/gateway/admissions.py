"""Finds the route and the team of a request in the configuration in force."""

import dataclasses

from caperdyke.coordination import authentication
from caperdyke.state import header_fields, ids, routes, teams
from caperdyke.transport.gateway import local_reply, sender


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that the configuration allows.

    :param route: as it applies to the team.
    :param team: None if the request belongs to no team.
    """

    route: routes.Route
    team: teams.Team | None
    identity: header_fields.Identity


def admit(
    table: routes.RouteTable,
    host: str,
    path: str,
    credential: header_fields.Credential,
    checked_team: ids.TeamName | None = None,
) -> AdmittedRequest | local_reply.LocalReply:
    """Returns the route and team of a request, or the reply that refuses it.

    :param checked_team: team of a relayed request, whose key the relaying instance has checked.
    """
    route = table.find_route(host, path)
    if route is None:
        return local_reply.LocalReply(404, local_reply.LocalReplyReason.NO_ROUTE)
    if checked_team is not None:
        result = authentication.authenticate_relayed(table, checked_team)
    else:
        result = authentication.authenticate(table, route, credential)
    match result:
        case authentication.Rejected():
            return local_reply.LocalReply(401, local_reply.LocalReplyReason.NO_TEAM)
        case authentication.Admitted(team=team):
            return AdmittedRequest(route.apply_team(team), team, _make_identity(table, team))


def admit_again(
    request: sender.CallerRequest, table: routes.RouteTable
) -> AdmittedRequest | local_reply.LocalReply:
    """Decides by a changed configuration whether a request in flight may still be sent."""
    return admit(
        table,
        request.host,
        request.path,
        request.caller_headers.credential,
        request.relayed.team if request.relayed is not None else None,
    )


def _make_identity(table: routes.RouteTable, team: teams.Team | None) -> header_fields.Identity:
    if table.teams is None:
        return header_fields.UnmanagedIdentity()
    return header_fields.TeamIdentity(team.name if team is not None else None)
