"""Tokens that one holder has for one team."""

import dataclasses
import math

from caperdyke.coordination.quotas import limits

# Longest time from the sending of a token request to the receipt of its grant; later grants are
# dropped, so this is also the margin by which holders count lifetimes longer.
GRANT_DELAY_MAX_S = 0.15
# Lifetime of tokens in stock, from the receipt of the grant.
TOKEN_LIFETIME_S = 1.0
# Longest time until a token that a holder names; requesters ask again after it.
NEXT_TOKEN_MAX_S = 0.5
# Time for which the number of a requester's last request is kept: no datagram is under way longer.
SENDER_RETENTION_S = 5.0
# Shortest interval between searches for expired tokens; until then they count as unused.
EXPIRY_INTERVAL_S = 0.02
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class _Lot:
    count: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Sender:
    """One requester: its last request, its unused tokens, and when it last got none."""

    last_number: int
    seen_at: float
    lots: list[_Lot] = dataclasses.field(default_factory=list)
    refused_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a requester needs.

    :param number: increases with each request of the sender.
    :param wanted: tokens for its waiting requests and its stock.
    :param waiting: requests that wait for a token now.
    :param in_stock: unused tokens that the sender has of this holder; None if unknown.
    """

    number: int
    wanted: int
    waiting: int
    in_stock: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens for a requester.

    :param next_token_s: time until a token is expected, in seconds; 0 if there is one now.
    """

    count: int
    next_token_s: float


class TokenBucket:
    """Adds tokens at a rate and grants them.

    Pattern: requesters die, freeze and lose datagrams with tokens in their stock. Granted tokens
    count against the capacity until they expire or their holder is told that they were used, so
    the tokens in a window are at most the capacity and what the rate adds in it.

    :param part: limits of the holder.
    """

    def __init__(self, now: float, part: limits.HolderPart) -> None:
        self._part = part
        self._updated_at = now
        self.stored = 0.0
        self._outstanding = 0
        self._senders: dict[int, _Sender] = {}
        # Time from which lots may have expired; they are looked through only then.
        self._next_expiry = math.inf

    @property
    def outstanding(self) -> int:
        """Granted tokens that may be unused."""
        return self._outstanding

    def apply_part(self, now: float, part: limits.HolderPart) -> None:
        """Applies a changed limit. A raised one adds no tokens; a lowered one takes some away."""
        self.refill(now)
        self._part = part
        self._clip()

    def empty(self, now: float) -> None:
        """Drops the stored tokens, as another instance may hold them now."""
        self._expire(now)
        self.stored = 0.0
        self._updated_at = now

    def refill(self, now: float) -> None:
        """Adds the tokens since the last call."""
        self._expire(now)
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self.stored += self._part.rate * elapsed
        self._clip()

    def grant(self, now: float, sender: int, demand: Demand) -> Grant | None:
        """Deducts and returns tokens for a requester.

        :param sender: hash of the requester's name.
        :returns: None if the request was repeated or overtaken by a later one.
        """
        self.refill(now)
        state = self._senders.get(sender)
        if state is None:
            state = self._senders[sender] = _Sender(demand.number, now)
        elif demand.number <= state.last_number:
            return None
        state.last_number, state.seen_at = demand.number, now
        self._next_expiry = min(self._next_expiry, now + SENDER_RETENTION_S)
        if demand.in_stock is not None:
            self._keep_lots(state, demand.in_stock)
        available = math.floor(self.stored + _ROUNDING)
        # Not more than half of what is left goes to one requester's stock.
        for_waiting = min(demand.waiting, available)
        for_stock = max(0, min(demand.wanted - demand.waiting, (available - for_waiting) // 2))
        self._add_lot(state, for_waiting, now + GRANT_DELAY_MAX_S)
        self._add_lot(state, for_stock, now + TOKEN_LIFETIME_S + GRANT_DELAY_MAX_S)
        is_refused = demand.waiting > 0 and for_waiting == 0
        state.refused_at = now if is_refused else -math.inf
        return Grant(for_waiting + for_stock, self._find_next_token_s(now))

    def _add_lot(self, state: _Sender, count: int, expires_at: float) -> None:
        if count > 0:
            state.lots.append(_Lot(count, expires_at))
            self._outstanding += count
            self.stored = max(0.0, self.stored - count)
            self._next_expiry = min(self._next_expiry, expires_at)

    def _keep_lots(self, state: _Sender, in_stock: int) -> None:
        """Counts all tokens of a requester as used but those that expire last."""
        state.lots.sort(key=lambda lot: -lot.expires_at)
        left = in_stock
        for lot in state.lots:
            kept = min(lot.count, left)
            self._outstanding -= lot.count - kept
            lot.count, left = kept, left - kept
        state.lots = [lot for lot in state.lots if lot.count]

    def _find_next_token_s(self, now: float) -> float:
        """Returns when a requester that got too few tokens should ask again.

        Pattern: a team is far over its quota everywhere. If each instance asked again for each
        token, the holder would get instances x rate requests a second, so those that ask are
        spread over the tokens to come. The bucket does not fill up meanwhile.
        """
        if self.stored + _ROUNDING >= 1.0:
            return 0.0
        if self._part.rate <= 0:
            return NEXT_TOKEN_MAX_S
        first = (1.0 - self.stored) / self._part.rate
        refused = sum(state.refused_at > now - NEXT_TOKEN_MAX_S for state in self._senders.values())
        spread = min(refused, self._part.capacity / 2) / self._part.rate
        return min(NEXT_TOKEN_MAX_S, max(first, spread))

    def _clip(self) -> None:
        self.stored = max(0.0, min(self.stored, self._part.capacity - self._outstanding))

    def _expire(self, now: float) -> None:
        if now < self._next_expiry:
            return
        self._next_expiry = math.inf
        for sender, state in list(self._senders.items()):
            kept = [lot for lot in state.lots if lot.expires_at > now]
            self._outstanding -= sum(lot.count for lot in state.lots if lot.expires_at <= now)
            state.lots = kept
            forget_at = state.seen_at + SENDER_RETENTION_S
            if not kept and now >= forget_at:
                del self._senders[sender]
                continue
            expiries = [lot.expires_at for lot in kept] or [forget_at]
            self._next_expiry = min(self._next_expiry, *expiries)
        self._next_expiry = max(self._next_expiry, now + EXPIRY_INTERVAL_S)
