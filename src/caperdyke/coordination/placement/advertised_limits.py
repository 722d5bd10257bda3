"""Request rate limits that backend servers advertise in their answers."""

import dataclasses
import math

from caperdyke.coordination.placement import announcement_selection, shared_bounds
from caperdyke.state import header_fields, ids, name_hashes

# By how much the end of a limit is dated back when another instance announced it. The announcement
# takes time to arrive, and the server may have advertised a limit again in the meantime.
ANNOUNCED_END_MARGIN_S = 0.5
# How long the end of a limit is kept and announced. It reaches all instances in this time, even if
# each sends an announcement only once in 26 seconds.
ENDED_RETENTION_S = 60.0
# How long a limit is kept after it was last reported to any instance: the server is gone, or no
# instance had a request for it.
LIMIT_RETENTION_S = 300.0
# Higher limits are reduced to this value, which exceeds what any server can process.
LIMIT_MAX_PER_S = 1e6
# A limit that is reduced to less than this part of its earlier value counts as a new limit.
LOWERED_LIMIT_RATIO = 0.75
# How long a server gets fewer requests after it advertised a new limit. Requests of instances that
# had not received the limit yet count towards its first window.
FIRST_WINDOW_S = shared_bounds.LIMIT_WINDOW_S + shared_bounds.LIMIT_MARGIN_S


@dataclasses.dataclass(slots=True)
class LimitEntry(announcement_selection.AnnouncedEntry):
    """The latest report of one server's limit, or of its end.

    :param per_second: requests a second that the server accepts; None if it advertises no limit.
    :param reported_at: time of the report, as far as known.
    """

    per_second: float | None
    reported_at: float


class AdvertisedLimits:
    """Limits of all servers, by the hash of the server's name.

    Pattern: an overloaded server advertises in its answers how much it accepts from all instances
    together. Only some instances receive these answers, and later only some receive the first
    answer without a limit. The newest report counts, whichever instance received it.
    """

    def __init__(self) -> None:
        self._entries: dict[int, LimitEntry] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no entry for any server."""
        return not self._entries

    def find(self, server: ids.BackendId) -> float | None:
        """Returns the limit of a server in requests a second, or None if there is none."""
        entry = self._entries.get(name_hashes.hash_name(server))
        return entry.per_second if entry is not None else None

    def find_first_window_end(self, server: ids.BackendId) -> float:
        """Returns the end of the first window of a server's limit, in which it gets less.

        :returns: minus infinity if the server has no limit.
        """
        entry = self._entries.get(name_hashes.hash_name(server))
        if entry is None or entry.per_second is None:
            return -math.inf
        return entry.first_seen_at + FIRST_WINDOW_S

    def record_answer(
        self,
        now: float,
        server: ids.BackendId,
        report: header_fields.LimitReport,
        sent_at: float,
        is_verified: bool,
    ) -> bool:
        """Records what an answer of a server reports about its limit.

        A limit is accepted from any answer. The end of a limit is accepted only from a verified
        answer to a request that was sent after the limit was last reported, since the server may
        have sent any other answer before it advertised the limit.

        :param sent_at: time at which the request was sent.
        :param is_verified: whether this is the server's own answer to that request.
        :returns: whether other instances should be informed at once.
        """
        name_hash = name_hashes.hash_name(server)
        entry = self._entries.get(name_hash)
        match report:
            case header_fields.AdvertisedLimit(per_second=per_second):
                return self._record_limit(now, name_hash, min(per_second, LIMIT_MAX_PER_S), now)
            case header_fields.NoLimit():
                has_limit = entry is not None and entry.per_second is not None
                if has_limit and is_verified and sent_at > entry.reported_at:
                    self._entries[name_hash] = LimitEntry(None, sent_at, first_seen_at=now)
            case header_fields.UnreadableLimit():
                # The limit that was advertised before remains in force.
                return False
        return False

    def merge_announced(
        self, now: float, name_hash: int, per_second: float | None, age: float
    ) -> bool:
        """Merges an entry that another instance announced.

        :param per_second: limit in requests a second; None for the end of a limit.
        :param age: how long ago the server reported it, in seconds.
        :returns: whether other instances should be informed at once.
        """
        reported_at = now - age
        if per_second is None:
            reported_at -= ANNOUNCED_END_MARGIN_S
        entry = self._entries.get(name_hash)
        if entry is not None and reported_at <= entry.reported_at:
            return False
        if per_second is not None:
            return self._record_limit(now, name_hash, per_second, reported_at)
        if entry is None or entry.per_second is not None:
            self._entries[name_hash] = LimitEntry(None, reported_at, first_seen_at=now)
        return False

    def restart(self, now: float, server: ids.BackendId) -> None:
        """Ends the limit that a server advertised before it was restarted."""
        entry = self._entries.get(name_hashes.hash_name(server))
        if entry is not None:
            self._entries[name_hashes.hash_name(server)] = LimitEntry(None, now, first_seen_at=now)

    def remove_server(self, server: ids.BackendId) -> None:
        """Removes a server that has left."""
        self._entries.pop(name_hashes.hash_name(server), None)

    def select_for_announcement(self, now: float) -> dict[int, tuple[float | None, float]]:
        """Returns the entries for one announcement: limits and their ages in seconds, by hash."""
        for name_hash, entry in list(self._entries.items()):
            retention_s = ENDED_RETENTION_S if entry.per_second is None else LIMIT_RETENTION_S
            if now > entry.reported_at + retention_s:
                del self._entries[name_hash]
        announced = {
            name_hash: self._entries[name_hash]
            for name_hash in announcement_selection.select_for_announcement(now, self._entries)
        }
        return {
            name_hash: (entry.per_second, max(0.0, now - entry.reported_at))
            for name_hash, entry in announced.items()
        }

    def _record_limit(
        self, now: float, name_hash: int, per_second: float, reported_at: float
    ) -> bool:
        entry = self._entries.get(name_hash)
        has_limit = entry is not None and entry.per_second is not None
        if has_limit and per_second >= entry.per_second * LOWERED_LIMIT_RATIO:
            entry.per_second, entry.reported_at = per_second, reported_at
            return False
        self._entries[name_hash] = LimitEntry(per_second, reported_at, first_seen_at=now)
        return True
