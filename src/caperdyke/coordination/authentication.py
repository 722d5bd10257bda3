"""Decides whether a request may be served, and for which team."""

import dataclasses

from caperdyke.state import header_fields, ids, routes, teams


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be served.

    :param team: the team that the request belongs to; None if there is none.
    """

    team: teams.Team | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request needs a key that some team holds, and has none.

    :param cause: for the log; never contains the key.
    """

    cause: str


Authentication = Admitted | Rejected


def needs_key(table: routes.RouteTable, route: routes.Route) -> bool:
    """Returns whether requests of a route are served only with a key that some team holds."""
    return table.teams is not None and not route.is_public


def authenticate(
    table: routes.RouteTable, route: routes.Route, credential: header_fields.Credential
) -> Authentication:
    """Returns the team of a request, or why the request is rejected.

    Pattern: keys are added and taken away while their holders have open connections and requests in
    flight, so this is decided by the configuration in force at each send. It costs one look-up in a
    hash table, however many teams there are.
    """
    if table.teams is None:
        return Admitted(None)
    team = None
    if isinstance(credential, header_fields.KeyCredential):
        team = table.teams.find(credential.digest)
    if team is not None or route.is_public:
        return Admitted(team)
    match credential:
        case header_fields.NoCredential():
            return Rejected("no key")
        case header_fields.MalformedCredential():
            return Rejected("malformed key")
        case _:
            return Rejected("unknown key")


def authenticate_relayed(table: routes.RouteTable, name: ids.TeamName) -> Authentication:
    """Returns the team of a request whose key another instance has checked."""
    team = table.teams.find_by_name(name) if table.teams is not None else None
    return Admitted(team) if team is not None else Rejected("unknown team")
