"""Decides which accepted configurations are in effect; the adopted revision never decreases."""

from caperdyke.state import configuration as configurations
from caperdyke.state import ids, timing


class ConfigurationTable:
    """Accepted configurations that are in effect now or soon, and when they were last confirmed."""

    def __init__(self) -> None:
        self._configurations: list[configurations.Configuration] = []
        self._confirmed_at = 0.0

    @property
    def revision(self) -> ids.Revision:
        """Highest adopted revision; 0 before the first."""
        if not self._configurations:
            return ids.Revision(0)
        return self._configurations[-1].revision

    @property
    def newest(self) -> configurations.Configuration:
        """Configuration with the highest revision, whether or not it is in force yet."""
        return self._configurations[-1] if self._configurations else configurations.EMPTY

    @property
    def confirmed_at(self) -> float:
        """Time at which the newest adopted revision was last confirmed to be the platform's."""
        return self._confirmed_at

    def adopt(self, now: float, configuration: configurations.Configuration) -> bool:
        """Adopts a configuration of a higher revision; returns whether it was adopted."""
        if configuration.revision <= self.revision:
            return False
        self._configurations.append(configuration)
        self._remove_replaced(now)
        return True

    def confirm(self, revision: ids.Revision, confirmed_at: float) -> None:
        """Records that a revision was the platform's newest at a time.

        Confirmations of any revision but the newest adopted one are ignored.
        """
        if revision == self.revision and revision > 0:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def is_current(self, now: float) -> bool:
        """Returns whether the newest revision was confirmed recently enough to exceed floors."""
        return now - self._confirmed_at < timing.CONFIRMATION_AGE_MAX_SECONDS

    def list_effective(self, now: float) -> list[configurations.Configuration]:
        """Returns every configuration that is in effect now, the newest last.

        From the acceptance of a change until its ``in_force_at``, the old and the new configuration
        are both in effect, and the stricter of their limits applies.
        """
        self._remove_replaced(now)
        return list(self._configurations)

    def find_in_force(self, now: float) -> configurations.Configuration:
        """Returns the newest configuration whose ``in_force_at`` has passed.

        Where there is none, returns the oldest configuration, or an empty one before the first.
        """
        effective = self.list_effective(now)
        return effective[0] if effective else configurations.EMPTY

    def _remove_replaced(self, now: float) -> None:
        for index in range(len(self._configurations) - 1, 0, -1):
            if self._configurations[index].in_force_at <= now:
                del self._configurations[:index]
                return
