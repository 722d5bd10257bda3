"""Chooses which other instances to request missing rows from."""

import collections.abc

from caperdyke.coordination.registry import fleet
from caperdyke.state import ids, store_rows

# Row requests in flight at a time.
REQUESTS_MAX = 3
# Minimum interval between the starts of two requests; an instance in the farthest region answers
# within it.
REQUEST_INTERVAL_SECONDS = 0.25
# Time for which an instance that did not answer is ranked after all others.
AVOID_SECONDS = 3.0


class RowSources:
    """Instances that this one requests rows from.

    Pattern: some of the instances that announced a change are dead, frozen or unreachable but still
    count as alive. A further instance gets a request while the first has not answered, and one that
    failed is ranked after all others.
    """

    def __init__(self) -> None:
        self._pending: set[ids.Address] = set()
        self._requested_at = 0.0
        self._avoided_until: dict[ids.Address, float] = {}

    def choose(
        self,
        now: float,
        ahead: collections.abc.Sequence[fleet.PeerInstance],
        domain: ids.DomainName,
        table: store_rows.StoreTable,
    ) -> ids.Address | None:
        """Returns the address of the instance to send a request to now, or None.

        Instances that did not fail recently come first, then those of the own failure domain, then
        the newest position, then the latest announcement.

        :param ahead: instances that announced a newer position of the table.
        :param domain: failure domain of this instance.
        """
        if not self.may_request(now):
            return None
        candidates = [source for source in ahead if source.record.peer_address not in self._pending]
        if not candidates:
            return None

        def rank(source: fleet.PeerInstance) -> tuple:
            changed = source.changed[table]
            return (
                now < self._avoided_until.get(source.record.peer_address, 0.0),
                source.record.domain != domain,
                (-changed.era, -changed.number),
                -source.last_seen_at,
            )

        return min(candidates, key=rank).record.peer_address

    def may_request(self, now: float) -> bool:
        """Returns whether a further request may start."""
        return (
            len(self._pending) < REQUESTS_MAX
            and now >= self._requested_at + REQUEST_INTERVAL_SECONDS
        )

    def record_request_start(self, now: float, address: ids.Address) -> None:
        """Records that a request starts."""
        self._requested_at = now
        self._pending.add(address)

    def record_answered(self, address: ids.Address) -> None:
        """Records that an instance answered."""
        self._pending.discard(address)
        self._avoided_until.pop(address, None)

    def record_failed(self, now: float, address: ids.Address) -> None:
        """Records that a request failed or got no answer."""
        self._pending.discard(address)
        self._avoided_until[address] = now + AVOID_SECONDS
        for expired_address in [
            avoided for avoided, until in self._avoided_until.items() if until < now
        ]:
            del self._avoided_until[expired_address]
