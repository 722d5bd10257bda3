"""Decides which accepted configurations bind at a moment; never goes back to a lower revision."""

from caperdyke.state import configuration as configurations
from caperdyke.state import ids, timing


class ConfigurationTable:
    """Accepted configurations that bind now or soon, and how recently they were confirmed."""

    def __init__(self) -> None:
        self._configurations: list[configurations.Configuration] = []
        self._confirmed_at = 0.0

    @property
    def revision(self) -> ids.Revision:
        """Highest revision that was adopted; 0 before the first."""
        if not self._configurations:
            return ids.Revision(0)
        return self._configurations[-1].revision

    @property
    def newest(self) -> configurations.Configuration:
        """Configuration with the highest revision, whether or not it is in force yet."""
        return self._configurations[-1] if self._configurations else configurations.EMPTY

    @property
    def confirmed_at(self) -> float:
        """Time at which the newest revision was last known to be the platform's newest."""
        return self._confirmed_at

    def adopt(self, now: float, configuration: configurations.Configuration) -> bool:
        """Takes over a configuration; a revision that is not higher is ignored."""
        if configuration.revision <= self.revision:
            return False
        self._configurations.append(configuration)
        self._remove_replaced(now)
        return True

    def confirm(self, revision: ids.Revision, confirmed_at: float) -> None:
        """Records that a revision was the platform's newest at a time.

        A confirmation of any other revision than the one adopted says nothing about it.
        """
        if revision == self.revision and revision > 0:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def is_current(self, now: float) -> bool:
        """Tells whether the newest revision was confirmed recently enough to spend above floors."""
        return now - self._confirmed_at < timing.CONFIRMATION_AGE_MAX_SECONDS

    def list_effective(self, now: float) -> list[configurations.Configuration]:
        """Returns every configuration that binds now, the newest last.

        Between the acceptance of a change and its stored time both old and new bind, and the
        stricter of the two decides.
        """
        self._remove_replaced(now)
        return list(self._configurations)

    def find_in_force(self, now: float) -> configurations.Configuration:
        """Returns the configuration that is fully in force."""
        effective = self.list_effective(now)
        return effective[0] if effective else configurations.EMPTY

    def _remove_replaced(self, now: float) -> None:
        for index in range(len(self._configurations) - 1, 0, -1):
            if self._configurations[index].in_force_at <= now:
                del self._configurations[:index]
                return
