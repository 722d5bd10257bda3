"""Finds the route and the team of a request in the configuration in force."""

import dataclasses

from caperdyke.coordination import authentication
from caperdyke.state import header_fields, ids, routes, teams
from caperdyke.transport.gateway import context, local_reply, sender

# Retry delay while the configuration is not confirmed, or while another instance that has a newer
# one does not know the team. Either ends with the next answer of the store.
UNCONFIRMED_RETRY_AFTER_SECONDS = 0.5


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
    is_confirmed: bool = True,
) -> AdmittedRequest | local_reply.LocalReply:
    """Returns the route and team of a request, or the reply that refuses it.

    :param checked_team: team of a relayed request, whose key the relaying instance has checked.
    :param is_confirmed: whether the configuration is recent enough to decide about keys.
    """
    route = table.find_route(host, path)
    if route is None:
        return local_reply.LocalReply(404, local_reply.LocalReplyReason.NO_ROUTE)
    if checked_team is not None:
        result = authentication.authenticate_relayed(table, checked_team)
    elif is_confirmed or not authentication.needs_key(table, route):
        result = authentication.authenticate(table, route, credential)
    else:
        return local_reply.LocalReply(
            503, local_reply.LocalReplyReason.UNCONFIRMED, UNCONFIRMED_RETRY_AFTER_SECONDS
        )
    match result:
        case authentication.Rejected(cause=cause) if checked_team is not None:
            # The key may belong to another team by now, which only the relaying instance can find.
            return local_reply.LocalReply(
                503,
                local_reply.LocalReplyReason.TEAM_UNKNOWN,
                UNCONFIRMED_RETRY_AFTER_SECONDS,
                cause,
            )
        case authentication.Rejected(cause=cause):
            return local_reply.LocalReply(401, local_reply.LocalReplyReason.NO_TEAM, cause=cause)
        case authentication.Admitted(team=team):
            return AdmittedRequest(route.apply_team(team), team, _make_identity(table, team))


def admit_again(
    request: sender.CallerRequest, node: context.GatewayContext, trace: local_reply.RequestTrace
) -> AdmittedRequest | local_reply.LocalReply:
    """Decides by the configuration in force whether a request may still be sent.

    Pattern: keys are removed, or move to another team, while their holders' requests wait.
    """
    admitted = admit(
        node.routes,
        request.host,
        request.path,
        request.caller_headers.credential,
        request.relayed.team if request.relayed is not None else None,
        node.may_check_keys(),
    )
    if isinstance(admitted, AdmittedRequest):
        trace.team = admitted.team.name if admitted.team is not None else ""
    return admitted


def _make_identity(table: routes.RouteTable, team: teams.Team | None) -> header_fields.Identity:
    if table.teams is None:
        return header_fields.UnmanagedIdentity()
    return header_fields.TeamIdentity(team.name if team is not None else None)
