"""The token of one request: taken before it is sent, used by a send, or returned."""

from caperdyke.coordination.quotas import stock
from caperdyke.state import header_fields, ids, teams
from caperdyke.transport.gateway import context, sender, team_quotas

# Time for which a taken token covers a send. An instance that was frozen with it takes another.
TAKEN_MAX_SECONDS = 1.0


class RequestTokens:
    """Takes a token for each send of a request that may be executed.

    Pattern: a request is refused by a server, fails and is repeated, or its caller goes away. Each
    send that may be executed counts, and no other. Requests that another instance relayed were
    counted there.
    """

    def __init__(self, node: context.GatewayContext, quotas: team_quotas.TeamQuotas) -> None:
        self._node = node
        self._quotas = quotas
        self._token: stock.Token | None = None
        self._valid_until = 0.0
        # Token of the send under way; it counts as used until the send is known not to have run.
        self._sending: stock.Token | None = None

    async def acquire(
        self, request: sender.CallerRequest, objective_at: float
    ) -> team_quotas.Exceeded | None:
        """Makes sure that there is a token for the next send; returns None if there is.

        The limit is the one in the configuration by which the request is sent.
        """
        team = find_limited_team(request)
        if team is None:
            return None
        if self._token is not None and self._node.now() < self._valid_until:
            return None
        self._token = None
        result = await self._quotas.acquire(team, request.deadline, objective_at)
        match result:
            case team_quotas.Exceeded():
                return result
            case team_quotas.Granted(token=token):
                self._token = token
                self._valid_until = self._node.now() + TAKEN_MAX_SECONDS
                return None

    def start_send(self) -> None:
        """Uses the token for a send."""
        self._sending, self._token = self._token, None

    def end_send(self, may_have_run: bool) -> None:
        """Records whether the request may have been executed; its token is kept if not."""
        if not may_have_run:
            self._token = self._sending
        self._sending = None

    def release(self) -> None:
        """Returns a token that was not used."""
        if self._token is not None:
            self._quotas.release(self._token)
            self._token = None


def find_limited_team(request: sender.CallerRequest) -> teams.Team | None:
    """Returns the team against whose quota this instance counts a request, or None."""
    name = find_team_name(request)
    if name is None or request.table.teams is None:
        return None
    if request.relayed is not None and request.relayed.team is not None:
        return None
    team = request.table.teams.find_by_name(name)
    return team if team is not None and team.has_limit else None


def find_team_name(request: sender.CallerRequest) -> ids.TeamName | None:
    """Returns the name of the team that sent a request, or None."""
    match request.identity:
        case header_fields.TeamIdentity(team=name):
            return name
        case _:
            return None
