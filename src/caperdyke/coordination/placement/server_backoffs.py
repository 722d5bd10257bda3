"""What is known of the rests that backend servers ask for when they turn a request away."""

import dataclasses
import math

from caperdyke.coordination.placement import announcement_selection
from caperdyke.state import header_fields, ids, name_hashes

# Shortest rest that others are told of, in seconds; a shorter one is over when they hear of it.
TOLD_SECONDS_MIN = 1.0


@dataclasses.dataclass(slots=True)
class KnownRest(announcement_selection.AnnouncedEntry):
    """A rest of one server.

    :param ends_at: time until which the server wants nothing.
    """

    ends_at: float


class ServerBackoffs:
    """Rests of all servers, by the mark of the server's name.

    Pattern: a server that has more than it can work on turns requests away, and names the time for
    which it wants none from the instance that sent them. That instance sends nothing until the
    latest end that was named, whatever answers to earlier requests say. The server asked nothing of
    the others; they use it where no other server has room, so that it does not turn each of them
    away in turn, and does not stand idle where all servers rest.

    :param max_backoff_s: longest rest that is believed, in seconds.
    """

    def __init__(self, max_backoff_s: float) -> None:
        self.max_backoff_s = max_backoff_s
        self._own: dict[int, KnownRest] = {}
        self._told: dict[int, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no rest is known, of this instance or another."""
        return not self._own and not self._told

    def record_answer(
        self, now: float, server: ids.BackendId, report: header_fields.BackoffReport
    ) -> bool:
        """Learns from an answer of a server; tells whether others should hear of it at once."""
        match report:
            case header_fields.RequestedBackoff(seconds=seconds):
                return self._record_rest(now, name_hashes.hash_name(server), seconds)
            case header_fields.NoBackoff() | header_fields.UnreadableBackoff():
                return False

    def merge_announced(self, now: float, mark: int, seconds: float) -> None:
        """Learns from another instance of the rest that a server asked of it.

        :param seconds: time left, in seconds.
        """
        ends_at = now + min(seconds, self.max_backoff_s)
        self._told[mark] = max(ends_at, self._told.get(mark, -math.inf))

    def find_backoff_end(self, server: ids.BackendId) -> float:
        """Returns until when this instance sends a server nothing."""
        if not self._own:
            return -math.inf
        known = self._own.get(name_hashes.hash_name(server))
        return known.ends_at if known is not None else -math.inf

    def is_deprioritized(self, now: float, server: ids.BackendId) -> bool:
        """Tells whether a server asked another instance for a rest that has not ended."""
        if not self._told:
            return False
        return now < self._told.get(name_hashes.hash_name(server), -math.inf)

    def forget(self, server: ids.BackendId) -> None:
        """Forgets what an earlier start of a server asked for, or one that has left."""
        mark = name_hashes.hash_name(server)
        self._own.pop(mark, None)
        self._told.pop(mark, None)

    def drop_ended(self, now: float) -> None:
        """Forgets rests that have ended."""
        self._own = {mark: known for mark, known in self._own.items() if now < known.ends_at}
        self._told = {mark: ends_at for mark, ends_at in self._told.items() if now < ends_at}

    def select_for_announcement(self, now: float) -> dict[int, float]:
        """Returns rests of this instance for one announcement, in seconds left."""
        self.drop_ended(now)
        worth = {
            mark: known
            for mark, known in self._own.items()
            if known.ends_at >= now + TOLD_SECONDS_MIN
        }
        return {
            mark: worth[mark].ends_at - now
            for mark in announcement_selection.select_for_announcement(now, worth)
        }

    def _record_rest(self, now: float, mark: int, seconds: float) -> bool:
        ends_at = now + min(seconds, self.max_backoff_s)
        known = self._own.get(mark)
        if known is not None and now < known.ends_at:
            known.ends_at = max(known.ends_at, ends_at)
            return False
        self._own[mark] = KnownRest(ends_at, since=now)
        is_known_to_others = now < self._told.get(mark, -math.inf)
        return seconds >= TOLD_SECONDS_MIN and not is_known_to_others
