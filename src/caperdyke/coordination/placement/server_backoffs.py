"""Backoffs that backend servers request when they reject a request."""

import dataclasses
import math

from caperdyke.coordination.placement import announcement_selection
from caperdyke.state import header_fields, ids, name_hashes

# Shortest backoff that is announced to other instances. A shorter one would have ended when the
# announcement arrives.
ANNOUNCED_BACKOFF_MIN_S = 1.0


@dataclasses.dataclass(slots=True)
class BackoffEntry(announcement_selection.AnnouncedEntry):
    """A backoff that one server requested from this instance.

    :param ends_at: time until which the server gets no requests.
    """

    ends_at: float


class ServerBackoffs:
    """Backoffs of all servers, by the hash of the server's name.

    Pattern: an overloaded server rejects requests, and specifies for how long it accepts none from
    the instance that sent them. That instance sends nothing until the latest end that was
    requested, whatever answers to earlier requests contain. Other instances received no such
    request. They use the server only if no other server has capacity, so that it does not have to
    reject a request of each of them, and is not idle if all servers requested backoffs.

    :param max_backoff_s: longest backoff that is accepted; a longer one is shortened to it.
    """

    def __init__(self, max_backoff_s: float) -> None:
        self.max_backoff_s = max_backoff_s
        self._local: dict[int, BackoffEntry] = {}
        self._announced: dict[int, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no backoff, of this instance or another."""
        return not self._local and not self._announced

    def record_answer(
        self, now: float, server: ids.BackendId, report: header_fields.BackoffReport
    ) -> bool:
        """Records the backoff that an answer of a server requests, if any.

        :returns: whether other instances should be informed at once.
        """
        match report:
            case header_fields.RequestedBackoff(seconds=seconds):
                return self._record_backoff(now, name_hashes.hash_name(server), seconds)
            case header_fields.NoBackoff() | header_fields.UnreadableBackoff():
                return False

    def merge_announced(self, now: float, name_hash: int, seconds: float) -> None:
        """Merges a backoff that a server requested from another instance.

        :param seconds: time until the end of the backoff.
        """
        ends_at = now + min(seconds, self.max_backoff_s)
        self._announced[name_hash] = max(ends_at, self._announced.get(name_hash, -math.inf))

    def find_backoff_end(self, server: ids.BackendId) -> float:
        """Returns the time until which this instance sends a server nothing.

        :returns: minus infinity if the server requested no backoff from this instance.
        """
        if not self._local:
            return -math.inf
        entry = self._local.get(name_hashes.hash_name(server))
        return entry.ends_at if entry is not None else -math.inf

    def is_deprioritized(self, now: float, server: ids.BackendId) -> bool:
        """Returns whether a backoff that a server requested from another instance is in force."""
        if not self._announced:
            return False
        return now < self._announced.get(name_hashes.hash_name(server), -math.inf)

    def remove_server(self, server: ids.BackendId) -> None:
        """Removes the backoffs of a server that was restarted or has left."""
        name_hash = name_hashes.hash_name(server)
        self._local.pop(name_hash, None)
        self._announced.pop(name_hash, None)

    def remove_expired(self, now: float) -> None:
        """Removes backoffs that have ended."""
        self._local = {
            name_hash: entry for name_hash, entry in self._local.items() if now < entry.ends_at
        }
        self._announced = {
            name_hash: ends_at for name_hash, ends_at in self._announced.items() if now < ends_at
        }

    def select_for_announcement(self, now: float) -> dict[int, float]:
        """Returns the backoffs for one announcement: the seconds left, by hash.

        Only backoffs that were requested from this instance are announced.
        """
        self.remove_expired(now)
        lasting = {
            name_hash: entry
            for name_hash, entry in self._local.items()
            if entry.ends_at >= now + ANNOUNCED_BACKOFF_MIN_S
        }
        return {
            name_hash: lasting[name_hash].ends_at - now
            for name_hash in announcement_selection.select_for_announcement(now, lasting)
        }

    def _record_backoff(self, now: float, name_hash: int, seconds: float) -> bool:
        ends_at = now + min(seconds, self.max_backoff_s)
        entry = self._local.get(name_hash)
        if entry is not None and now < entry.ends_at:
            entry.ends_at = max(entry.ends_at, ends_at)
            return False
        self._local[name_hash] = BackoffEntry(ends_at, first_seen_at=now)
        is_announced = now < self._announced.get(name_hash, -math.inf)
        return seconds >= ANNOUNCED_BACKOFF_MIN_S and not is_announced
