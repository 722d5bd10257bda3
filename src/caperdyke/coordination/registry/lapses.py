"""Tells registrations that lapsed during an outage of the store from those of servers that left."""

import collections
import collections.abc

from caperdyke.state import ids

# Share of the registrations of a failure domain, or of all, above which missing ones count as
# lapsed.
LAPSED_RATIO = 0.5
# Number of missing registrations above which the share in a failure domain counts.
DOMAIN_MISSING_MIN = 2


class LapseWindow:
    """Time after the store's recovery in which registrations that lapsed are written again.

    Pattern: a store that was unreachable reports live servers as removed, since none of them could
    renew its registration. Others leave at the same time, and a removal does not name its reason.
    An outage ends most registrations of the servers that it concerned, while servers leave a few at
    a time. So the missing registrations count as lapsed only if they are the majority, of all or of
    a failure domain that was cut off from the store.

    :param until: time from which a missing registration counts as removed.
    :param present: failure domain of each server that was registered when the store answered again.
    :param is_restored: whether the store came back from an older copy, which lacks what was written
        after it; each missing registration may be written again then.
    """

    def __init__(
        self,
        until: float,
        present: collections.abc.Mapping[ids.BackendId, ids.DomainName],
        is_restored: bool = False,
    ) -> None:
        self.until = until
        self._is_restored = is_restored
        self._present = dict(present)
        self._present_count = len(self._present)
        self._domain_counts = collections.Counter(self._present.values())
        self._missing: set[ids.BackendId] = set()
        self._missing_counts: collections.Counter[ids.DomainName] = collections.Counter()
        self._lapsed_domains: set[ids.DomainName] = set()
        self._are_all_lapsed = False

    def record_missing(self, name: ids.BackendId) -> None:
        """Records that the store lists a server as removed."""
        domain = self._present.get(name)
        if domain is None or name in self._missing:
            return
        self._missing.add(name)
        self._missing_counts[domain] += 1
        count = self._missing_counts[domain]
        if count >= DOMAIN_MISSING_MIN and count > LAPSED_RATIO * self._domain_counts[domain]:
            self._lapsed_domains.add(domain)
        if len(self._missing) > LAPSED_RATIO * self._present_count:
            self._are_all_lapsed = True

    def is_lapsed(self, domain: ids.DomainName) -> bool:
        """Returns whether missing registrations of a failure domain count as lapsed."""
        return self._is_restored or self._are_all_lapsed or domain in self._lapsed_domains
