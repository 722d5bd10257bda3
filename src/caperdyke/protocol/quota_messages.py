"""Datagrams by which instances request and grant tokens of teams.

A request is ``[101, sender, number, [[team, wanted, waiting, in stock], ...]]`` and its grant
``[102, sender, number, [[team, granted, milliseconds to the next token], ...]]``. Names are sent as
hashes. Items beyond these are ignored, so that later builds may add some.
"""

import dataclasses

from caperdyke import errors
from caperdyke.coordination.quotas import token_bucket
from caperdyke.protocol import instance_messages

REQUEST_KIND = 101
GRANT_KIND = 102
# Time to the next token in the reply of an instance that does not hold tokens of the team.
NOT_HOLDING_MS = -1
# Most teams in a datagram and tokens in a grant that are accepted.
TEAMS_MAX = 64
TOKENS_MAX = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A request for tokens.

    :param sender: hash of the sender's name.
    :param number: increases with each request of the sender.
    :param demands: what it needs, by the hash of the team's name.
    """

    sender: int
    number: int
    demands: dict[int, token_bucket.Demand]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """The reply to a request.

    :param number: number of the request.
    :param grants: tokens by the hash of the team's name; None where the sender holds none.
    """

    sender: int
    number: int
    grants: dict[int, token_bucket.Grant | None]


def encode_request(request: TokenRequest) -> bytes:
    """Returns the datagram of a request."""
    entries = [
        [team, demand.wanted, demand.waiting, demand.in_stock or 0]
        for team, demand in request.demands.items()
    ]
    return instance_messages.encode_message(REQUEST_KIND, request.sender, request.number, entries)


def encode_grant(grant: TokenGrant) -> bytes:
    """Returns the datagram of a grant."""
    entries = []
    for team, item in grant.grants.items():
        if item is None:
            entries.append([team, 0, NOT_HOLDING_MS])
        else:
            entries.append([team, item.count, round(item.next_token_s * 1000)])
    return instance_messages.encode_message(GRANT_KIND, grant.sender, grant.number, entries)


def decode_request(items: list) -> TokenRequest:
    """Returns a request from the items of a message.

    An entry without the waiting requests and the stock is one of which nothing is known to be used.

    :raises errors.ProtocolError: if an item is missing or invalid.
    """
    sender, number, entries = _split(items)
    demands = {}
    for entry in entries:
        team, wanted = _read_count(entry, 0), _read_count(entry, 1)
        waiting = _read_count(entry, 2) if len(entry) > 2 else wanted
        in_stock = _read_count(entry, 3) if len(entry) > 3 else None
        demands[team] = token_bucket.Demand(
            number, min(wanted, TOKENS_MAX), min(waiting, wanted, TOKENS_MAX), in_stock
        )
    return TokenRequest(sender, number, demands)


def decode_grant(items: list) -> TokenGrant:
    """Returns a grant from the items of a message.

    :raises errors.ProtocolError: if an item is missing or invalid.
    """
    sender, number, entries = _split(items)
    grants = {}
    for entry in entries:
        team, count = _read_count(entry, 0), _read_count(entry, 1)
        next_token_ms = _read_count(entry, 2, NOT_HOLDING_MS)
        if count > TOKENS_MAX:
            raise errors.ProtocolError(f"invalid number of tokens: {count}")
        is_held = next_token_ms != NOT_HOLDING_MS
        grants[team] = token_bucket.Grant(count, next_token_ms / 1000) if is_held else None
    return TokenGrant(sender, number, grants)


def _split(items: list) -> tuple[int, int, list]:
    if len(items) < 3 or not isinstance(items[2], list) or len(items[2]) > TEAMS_MAX:
        raise errors.ProtocolError("invalid entries of a quota message")
    return _read_count(items, 0), _read_count(items, 1), items[2]


def _read_count(items: object, position: int, low: int = 0) -> int:
    """Returns an item that must be an integer not below a limit."""
    if not isinstance(items, list) or len(items) <= position:
        raise errors.ProtocolError(f"item {position} of a quota message is missing")
    value = items[position]
    if not isinstance(value, int) or isinstance(value, bool) or value < low:
        raise errors.ProtocolError(f"item {position} of a quota message is invalid: {value!r}")
    return value
