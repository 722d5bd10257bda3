"""Adds up what other instances tell of their requests under way."""

from caperdyke.state import ids

# Requests under way by mark of the backend server's name.
Load = dict[int, int]


class LoadSums:
    """Sums over all other instances that live, by mark of the backend server's name.

    Pattern: the fleet grows, and each instance tells of itself seldom; only what was told anew is
    added up anew, so that the cost follows the announcements that arrive and not the fleet.
    """

    def __init__(self) -> None:
        self._loads: dict[ids.InstanceId, Load] = {}
        self._sums: Load = {}

    def replace(self, name: ids.InstanceId, load: Load) -> None:
        """Takes over what an instance tells; it replaces what it told before."""
        self.forget(name)
        if not load:
            return
        self._loads[name] = load
        sums = self._sums
        for mark, count in load.items():
            sums[mark] = sums.get(mark, 0) + count

    def forget(self, name: ids.InstanceId) -> None:
        """Leaves out an instance that left or fell silent."""
        sums = self._sums
        for mark, count in self._loads.pop(name, {}).items():
            left = sums[mark] - count
            if left:
                sums[mark] = left
            else:
                del sums[mark]

    def keep_only(self, live: dict[ids.InstanceId, object]) -> None:
        """Leaves out every instance that is not among the live ones."""
        for name in [name for name in self._loads if name not in live]:
            self.forget(name)

    def find(self, mark: int) -> int:
        """Returns the requests of all others at one server."""
        return self._sums.get(mark, 0)
