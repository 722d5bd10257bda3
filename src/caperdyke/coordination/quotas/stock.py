"""Tokens of one team that an instance has for its requests, and the demand for them."""

import dataclasses
import math

from caperdyke.state import ids

# Time constant of the moving average of the demand.
DEMAND_TIME_CONSTANT_S = 1.0


@dataclasses.dataclass(slots=True)
class Token:
    """One request of a team that may be executed.

    :param holder: who granted it; None for one of the instance's own share.
    :param request_number: last request to the holder when the token was taken.
    """

    team: ids.TeamName
    expires_at: float
    holder: ids.InstanceId | None = None
    request_number: int = 0


@dataclasses.dataclass(slots=True)
class _Lot:
    holder: ids.InstanceId
    count: int
    expires_at: float


class Stock:
    """Unused tokens of one team, by holder and expiry."""

    def __init__(self) -> None:
        # In the order of expiry; few at a time.
        self._lots: list[_Lot] = []

    def add(self, holder: ids.InstanceId, count: int, expires_at: float) -> None:
        """Adds granted or returned tokens."""
        if count > 0:
            self._lots.append(_Lot(holder, count, expires_at))
            self._lots.sort(key=lambda lot: lot.expires_at)

    def take(self, now: float) -> tuple[ids.InstanceId, float] | None:
        """Takes the token that expires first.

        :returns: its holder and its expiry, or None if there is none.
        """
        lots = self._lots
        while lots:
            lot = lots[0]
            if lot.expires_at <= now:
                del lots[0]
                continue
            lot.count -= 1
            if lot.count == 0:
                del lots[0]
            return lot.holder, lot.expires_at
        return None

    def count(self, now: float, holder: ids.InstanceId | None = None) -> int:
        """Returns the number of tokens, of one holder or of all."""
        return sum(
            lot.count for lot in self._lots if lot.expires_at > now and holder in (None, lot.holder)
        )


class DemandEstimate:
    """Moving average of the requests per second of one team at this instance."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        """Counts a request."""
        self._rate = self.compute(now) + 1.0 / DEMAND_TIME_CONSTANT_S
        self._updated_at = now

    def compute(self, now: float) -> float:
        """Returns requests per second."""
        elapsed = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
