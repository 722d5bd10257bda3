"""What is known of the limits that backend servers name."""

import dataclasses
import math

from caperdyke.coordination.placement import announcement_selection, shared_bounds
from caperdyke.state import header_fields, ids, name_hashes

# How much older the end of a limit counts when another instance tells of it: the way to this one
# takes time, and the server may have named its limit again meanwhile. In seconds.
TOLD_MARGIN_SECONDS = 0.5
# How long the end of a limit is remembered and told, in seconds: word of it reaches all instances
# by then, also where each announces itself once in 26 seconds.
ENDED_SECONDS = 60.0
# How long a limit holds that nobody has heard of again, in seconds; the server has gone, or nobody
# had a request for it.
FORGOTTEN_SECONDS = 300.0
# Highest limit that is told apart, in requests a second; more than any server takes.
LIMIT_MAX = 1e6
# Part of a limit to which it falls where it counts as named anew.
FALL_PART = 0.75
# How long a server that has just named its limit gets less, in seconds: what was sent by instances
# that had not heard of the limit yet counts in the first window.
FIRST_SECONDS = shared_bounds.LIMIT_WINDOW_SECONDS + shared_bounds.LIMIT_MARGIN_SECONDS


@dataclasses.dataclass(slots=True)
class KnownLimit(announcement_selection.AnnouncedEntry):
    """The latest word about one server's limit, or its end.

    :param per_second: requests a second that the server takes; None where it names no limit.
    :param known_at: time from which the word is.
    """

    per_second: float | None
    known_at: float


class AdvertisedLimits:
    """Limits of all servers, by the mark of the server's name.

    Pattern: a server in need names in its answers what it takes from all instances together, and
    just some instances get these answers; later just some get the first answer without a limit. The
    newest word counts, whoever heard it.
    """

    def __init__(self) -> None:
        self._known: dict[int, KnownLimit] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any limit."""
        return not self._known

    def find(self, server: ids.BackendId) -> float | None:
        """Returns the limit of a server in requests a second, or None where there is none."""
        known = self._known.get(name_hashes.hash_name(server))
        return known.per_second if known is not None else None

    def find_first_window_end(self, server: ids.BackendId) -> float:
        """Returns until when a server that has just named its limit gets less."""
        known = self._known.get(name_hashes.hash_name(server))
        if known is None or known.per_second is None:
            return -math.inf
        return known.since + FIRST_SECONDS

    def record_answer(
        self,
        now: float,
        server: ids.BackendId,
        report: header_fields.LimitReport,
        sent_at: float,
        is_sound: bool,
    ) -> bool:
        """Learns from an answer of a server; tells whether others should hear of it at once.

        A limit counts from any answer. That it ended counts from a sound answer alone, and just
        where the request was sent after the limit was last named: others may be older.

        :param sent_at: time at which the request was sent.
        :param is_sound: whether this is the server's own answer to that request.
        """
        mark = name_hashes.hash_name(server)
        known = self._known.get(mark)
        match report:
            case header_fields.AdvertisedLimit(per_second=per_second):
                return self._record_limit(now, mark, min(per_second, LIMIT_MAX), now)
            case header_fields.NoLimit():
                is_limited = known is not None and known.per_second is not None
                if is_limited and is_sound and sent_at > known.known_at:
                    self._known[mark] = KnownLimit(None, sent_at, since=now)
            case header_fields.UnreadableLimit():
                # The limit that was named before still holds.
                return False
        return False

    def merge_announced(self, now: float, mark: int, per_second: float | None, age: float) -> bool:
        """Learns from another instance; tells whether others should hear of it at once.

        :param age: how long ago that instance learnt it, in seconds.
        """
        known_at = now - age
        if per_second is None:
            known_at -= TOLD_MARGIN_SECONDS
        known = self._known.get(mark)
        if known is not None and known_at <= known.known_at:
            return False
        if per_second is not None:
            return self._record_limit(now, mark, per_second, known_at)
        if known is None or known.per_second is not None:
            self._known[mark] = KnownLimit(None, known_at, since=now)
        return False

    def restart(self, now: float, server: ids.BackendId) -> None:
        """Forgets the limit that an earlier start of a server named."""
        known = self._known.get(name_hashes.hash_name(server))
        if known is not None:
            self._known[name_hashes.hash_name(server)] = KnownLimit(None, now, since=now)

    def forget(self, server: ids.BackendId) -> None:
        """Forgets a server that has left."""
        self._known.pop(name_hashes.hash_name(server), None)

    def select_for_announcement(self, now: float) -> dict[int, tuple[float | None, float]]:
        """Returns limits and ages for one announcement: the newest, and others by turns."""
        for mark, known in list(self._known.items()):
            kept = ENDED_SECONDS if known.per_second is None else FORGOTTEN_SECONDS
            if now > known.known_at + kept:
                del self._known[mark]
        told = {
            mark: self._known[mark]
            for mark in announcement_selection.select_for_announcement(now, self._known)
        }
        return {
            mark: (known.per_second, max(0.0, now - known.known_at)) for mark, known in told.items()
        }

    def _record_limit(self, now: float, mark: int, per_second: float, known_at: float) -> bool:
        known = self._known.get(mark)
        is_held = known is not None and known.per_second is not None
        if is_held and per_second >= known.per_second * FALL_PART:
            known.per_second, known.known_at = per_second, known_at
            return False
        self._known[mark] = KnownLimit(per_second, known_at, since=now)
        return True
