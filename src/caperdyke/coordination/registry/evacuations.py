"""Tracks evacuated failure domains, whose backend servers get no requests."""

import dataclasses
import math

from caperdyke.state import ids, store_rows

# Time for which an evacuation that is missing from a restored store stays in force. The operator
# writes it again within about 2 s, which the platform states for registrations; the other 0.5 s
# cover the read that returns it.
REWRITE_SECONDS = 2.5


@dataclasses.dataclass(slots=True)
class _Evacuation:
    """State of one failure domain.

    :param changed: store position of the latest change.
    :param ends_at: time at which the evacuation ends, in seconds; infinite while it is in force.
    """

    changed: store_rows.Position
    ends_at: float


class Evacuations:
    """Evacuations by failure domain; of several changes the one at the newest position counts.

    Pattern: the store is restored from an older copy, which lacks an evacuation until the operator
    has written it again. An evacuation that is missing only in a later era of the store stays in
    force for that time.
    """

    def __init__(self) -> None:
        self._evacuations: dict[ids.DomainName, _Evacuation] = {}
        self._active: frozenset[ids.DomainName] = frozenset()

    def apply_change(
        self, now: float, domain: ids.DomainName, changed: store_rows.Position, is_evacuated: bool
    ) -> None:
        """Applies the start or the end of an evacuation; older changes are ignored.

        :param changed: store position of the change.
        :param is_evacuated: whether the domain is evacuated from this position on.
        """
        evacuation = self._evacuations.get(domain)
        if evacuation is not None and changed <= evacuation.changed:
            return
        if is_evacuated:
            ends_at = math.inf
        elif evacuation is None:
            return
        elif changed.era > evacuation.changed.era and evacuation.ends_at == math.inf:
            ends_at = now + REWRITE_SECONDS
        else:
            ends_at = min(now, evacuation.ends_at)
        self._evacuations[domain] = _Evacuation(changed, ends_at)

    def update(self, now: float) -> tuple[frozenset[ids.DomainName], frozenset[ids.DomainName]]:
        """Returns the evacuated domains, and those whose evacuation ended since the last call."""
        previous = self._active
        self._active = frozenset(
            domain for domain, evacuation in self._evacuations.items() if now < evacuation.ends_at
        )
        return self._active, previous - self._active
