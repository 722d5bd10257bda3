"""Backend servers that announced in an answer that they are leaving."""

import dataclasses

from caperdyke.coordination.placement import announcement_selection

# How long an entry is announced to other instances. It reaches all of them in this time, even if
# each instance sends an announcement only once in 26 seconds.
ANNOUNCEMENT_S = 60.0
# How long an entry is kept. A store that is restored from an older copy lists servers as ready that
# left long before.
RETENTION_S = 3600.0


@dataclasses.dataclass(slots=True)
class LeavingEntry(announcement_selection.AnnouncedEntry):
    """One start of a server that is leaving.

    :param reported_at: time at which the server reported it to the first instance, as far as known.
    """

    reported_at: float


class LeavingServers:
    """Starts of servers that are leaving, by the hash of the start.

    Pattern: a server reports in an answer that it is leaving before its registration does, or while
    the store is unavailable, and a registration that is read later may be older. An entry therefore
    applies to one start of a server for good: no registration of that start cancels it, and a
    restarted server has another hash.
    """

    def __init__(self) -> None:
        self._entries: dict[int, LeavingEntry] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there are no entries."""
        return not self._entries

    def contains(self, start_hash: int) -> bool:
        """Returns whether a start of a server is leaving."""
        return start_hash in self._entries

    def record(self, now: float, start_hash: int, age: float = 0.0) -> bool:
        """Records that a start of a server is leaving.

        :param age: how long ago the server reported it to another instance, in seconds; 0 if it
            reported it to this one.
        :returns: whether the entry is new.
        """
        if start_hash in self._entries or age >= RETENTION_S:
            return False
        self._entries[start_hash] = LeavingEntry(now - age, first_seen_at=now)
        return True

    def remove_expired(self, now: float) -> None:
        """Removes entries that are older than ``RETENTION_S``."""
        expired = [
            start_hash
            for start_hash, entry in self._entries.items()
            if now > entry.reported_at + RETENTION_S
        ]
        for start_hash in expired:
            del self._entries[start_hash]

    def select_for_announcement(self, now: float) -> dict[int, float]:
        """Returns the entries for one announcement: their ages in seconds by hash."""
        if not self._entries:
            return {}
        self.remove_expired(now)
        recent = {
            start_hash: entry
            for start_hash, entry in self._entries.items()
            if now <= entry.reported_at + ANNOUNCEMENT_S
        }
        return {
            start_hash: max(0.0, now - recent[start_hash].reported_at)
            for start_hash in announcement_selection.select_for_announcement(now, recent)
        }
