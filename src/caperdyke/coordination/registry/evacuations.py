"""Failure domains whose backend servers are to get nothing."""

import dataclasses
import math

from caperdyke.state import ids, store_rows

# Time within which an operator writes again what a store that came back from an older copy has
# lost, as the platform says of registrations; half a second more for the read that sees it.
REWRITE_SECONDS = 2.5


@dataclasses.dataclass(slots=True)
class _Evacuation:
    """One order of the operator.

    :param ends_at: time at which the domain is taken back; infinite while it is evacuated.
    """

    changed: store_rows.Position
    ends_at: float


class Evacuations:
    """Orders to evacuate failure domains, by the newest position that is known of each.

    Pattern: the store comes back from an older copy, which lacks an evacuation until the operator
    has written it again. What only a later era lacks is held for that time.
    """

    def __init__(self) -> None:
        self._known: dict[ids.DomainName, _Evacuation] = {}
        self._active: frozenset[ids.DomainName] = frozenset()

    def note(
        self, now: float, domain: ids.DomainName, changed: store_rows.Position, is_ordered: bool
    ) -> None:
        """Takes over an order, or its end.

        :param is_ordered: whether the domain is to be empty from this position on.
        """
        known = self._known.get(domain)
        if known is not None and changed <= known.changed:
            return
        if is_ordered:
            ends_at = math.inf
        elif known is None:
            return
        elif changed.era > known.changed.era and known.ends_at == math.inf:
            ends_at = now + REWRITE_SECONDS
        else:
            ends_at = min(now, known.ends_at)
        self._known[domain] = _Evacuation(changed, ends_at)

    def update(self, now: float) -> tuple[frozenset[ids.DomainName], frozenset[ids.DomainName]]:
        """Returns the domains that are evacuated now, and those taken back since the last call."""
        before = self._active
        self._active = frozenset(
            domain for domain, known in self._known.items() if now < known.ends_at
        )
        return self._active, before - self._active
