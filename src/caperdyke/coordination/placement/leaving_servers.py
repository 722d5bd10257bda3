"""Backend servers that say in their answers that they leave."""

import dataclasses

from caperdyke.coordination.placement import announcement_selection

# How long the word is told to others, in seconds: it reaches all instances by then, also where each
# announces itself once in 26 seconds.
TOLD_SECONDS = 60.0
# How long it is remembered, in seconds: a store that comes back from an older copy shows servers as
# ready that left long before.
KEPT_SECONDS = 3600.0


@dataclasses.dataclass(slots=True)
class KnownLeaving(announcement_selection.AnnouncedEntry):
    """A start of a server that leaves.

    :param known_at: time at which an instance heard it first from the server, as far as told.
    """

    known_at: float


class LeavingServers:
    """Starts of servers that leave, by their marks.

    Pattern: a server says in an answer that it leaves before its registration does, or while the
    store is away, and the registration that is read later may be older. The word belongs to one
    start of a server and does not end with it: no registration of the same start takes it back,
    and another start has another mark.
    """

    def __init__(self) -> None:
        self._known: dict[int, KnownLeaving] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no server is known to leave."""
        return not self._known

    def contains(self, mark: int) -> bool:
        """Tells whether a start of a server leaves."""
        return mark in self._known

    def record(self, now: float, mark: int, age: float = 0.0) -> bool:
        """Learns that a start of a server leaves; tells whether it is news.

        :param age: how long ago another instance heard of it, in seconds; 0 for an own answer.
        """
        if mark in self._known or age >= KEPT_SECONDS:
            return False
        self._known[mark] = KnownLeaving(now - age, since=now)
        return True

    def drop_old(self, now: float) -> None:
        """Forgets what was heard long ago."""
        old = [mark for mark, known in self._known.items() if now > known.known_at + KEPT_SECONDS]
        for mark in old:
            del self._known[mark]

    def select_for_announcement(self, now: float) -> dict[int, float]:
        """Returns marks and ages in seconds for one announcement."""
        if not self._known:
            return {}
        self.drop_old(now)
        fresh = {
            mark: known
            for mark, known in self._known.items()
            if now <= known.known_at + TOLD_SECONDS
        }
        return {
            mark: max(0.0, now - fresh[mark].known_at)
            for mark in announcement_selection.select_for_announcement(now, fresh)
        }
