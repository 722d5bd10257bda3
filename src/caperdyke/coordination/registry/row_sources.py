"""Decides which other instances are asked for rows that this one lacks."""

import collections.abc

from caperdyke.coordination.registry import fleet
from caperdyke.state import ids, store_rows

# Requests for rows under way at a time.
ASKS_MAX = 3
# Least time between the starts of two requests, in seconds; an instance in the farthest region has
# answered by then.
ASK_SECONDS = 0.25
# Time for which an instance that did not answer is asked after all others, in seconds.
AVOID_SECONDS = 3.0


class RowSources:
    """The instances that one instance asks.

    Pattern: of those that told of a change some are lost, frozen or cannot be reached, and still
    count as alive. Another one is asked while the first has not answered, and one that failed comes
    after all others.
    """

    def __init__(self) -> None:
        self._asked: set[ids.Address] = set()
        self._asked_at = 0.0
        self._avoided_until: dict[ids.Address, float] = {}

    def choose(
        self,
        now: float,
        ahead: collections.abc.Sequence[fleet.PeerInstance],
        domain: ids.DomainName,
        table: store_rows.StoreTable,
    ) -> ids.Address | None:
        """Returns the instance to ask now, or None.

        :param ahead: instances that know more of a table.
        :param domain: failure domain of this instance.
        """
        if not self.may_request(now):
            return None
        open_sources = [o for o in ahead if o.record.peer_address not in self._asked]
        if not open_sources:
            return None

        def rank(other: fleet.PeerInstance) -> tuple:
            changed = other.changed[table]
            return (
                now < self._avoided_until.get(other.record.peer_address, 0.0),
                other.record.domain != domain,
                (-changed.era, -changed.number),
                -other.last_seen_at,
            )

        return min(open_sources, key=rank).record.peer_address

    def may_request(self, now: float) -> bool:
        """Tells whether a further request may start."""
        return len(self._asked) < ASKS_MAX and now >= self._asked_at + ASK_SECONDS

    def record_request_start(self, now: float, address: ids.Address) -> None:
        """Records that a request starts."""
        self._asked_at = now
        self._asked.add(address)

    def record_answered(self, address: ids.Address) -> None:
        """Records an answer."""
        self._asked.discard(address)
        self._avoided_until.pop(address, None)

    def record_failed(self, now: float, address: ids.Address) -> None:
        """Records that a request got no answer."""
        self._asked.discard(address)
        self._avoided_until[address] = now + AVOID_SECONDS
        for other in [o for o, until in self._avoided_until.items() if until < now]:
            del self._avoided_until[other]
