"""Merges announcements of planned drains."""

from caperdyke.state import backend


class DrainTable:
    """The newest announcement for each subject; merging is idempotent and commutative."""

    def __init__(self) -> None:
        self._marks: dict[str, backend.DrainMark] = {}

    def merge(self, mark: backend.DrainMark) -> bool:
        """Stores an announcement that outranks the stored one; returns whether it does."""
        current = self._marks.get(mark.subject)
        if current is not None and _rank(mark) <= _rank(current):
            return False
        self._marks[mark.subject] = mark
        return True

    def list_marks(self) -> tuple[backend.DrainMark, ...]:
        """Returns every announcement, ordered by subject."""
        return tuple(self._marks[subject] for subject in sorted(self._marks))

    def list_active(self) -> frozenset[str]:
        """Returns the subjects that are to get no new work."""
        return frozenset(mark.subject for mark in self._marks.values() if mark.active)

    def is_newer(self, subject: str, version: int) -> bool:
        """Returns whether a version is higher than that of the stored announcement."""
        current = self._marks.get(subject)
        return current is None or version > current.version

    def find_next_version(self, subject: str, now: float) -> int:
        """Returns a version for a new announcement, higher than that of the stored one."""
        current = self._marks.get(subject)
        return max(int(now * 1000), current.version + 1 if current else 0)


def _rank(mark: backend.DrainMark) -> tuple[int, bool]:
    # Of two announcements with the same version, the active one, which stops work, wins.
    return (mark.version, mark.active)
