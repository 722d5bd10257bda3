"""Sums the announced requests in flight of other instances, by backend server."""

from caperdyke.state import ids

# Requests in flight by 32-bit hash of the backend server's name.
Load = dict[int, int]


class LoadSums:
    """Sums over all other live instances, by hash of the backend server's name.

    Pattern: the fleet grows, and each instance announces its load rarely. The sums are updated
    incrementally, so that the cost depends on the announcements received, not on the fleet's size.
    """

    def __init__(self) -> None:
        self._loads: dict[ids.InstanceId, Load] = {}
        self._sums: Load = {}

    def replace(self, name: ids.InstanceId, load: Load) -> None:
        """Replaces the load of an instance by the one it has just announced."""
        self.remove_instance(name)
        if not load:
            return
        self._loads[name] = load
        sums = self._sums
        for name_hash, count in load.items():
            sums[name_hash] = sums.get(name_hash, 0) + count

    def remove_instance(self, name: ids.InstanceId) -> None:
        """Removes the load of an instance that left or is silent."""
        sums = self._sums
        for name_hash, count in self._loads.pop(name, {}).items():
            remaining = sums[name_hash] - count
            if remaining:
                sums[name_hash] = remaining
            else:
                del sums[name_hash]

    def keep_only(self, live: dict[ids.InstanceId, object]) -> None:
        """Removes the load of every instance that is not among the live ones."""
        for name in [name for name in self._loads if name not in live]:
            self.remove_instance(name)

    def find(self, name_hash: int) -> int:
        """Returns the requests in flight of all other instances at one server.

        :param name_hash: hash of the server's name.
        """
        return self._sums.get(name_hash, 0)
