"""Infers how long a caller has waited before its request arrived."""

import collections

from caperdyke.state import ids

# A caller whose remaining time is below this part of the longest seen on its route lately has been
# turned away, or found nobody listening, before.
BACK_PART = 0.97
# Latest requests of a route among which the longest remaining time is looked for.
REQUESTS_MAX = 64


class CallerWaits:
    """Remaining times that callers name, by route.

    Pattern: callers come back once after they were turned away; a second refusal is final. They
    name the time that they still wait, which is longest on their first try.
    """

    def __init__(self) -> None:
        self._latest: dict[ids.RouteName, collections.deque[float]] = {}

    def note(self, route: ids.RouteName, wait_ms: float) -> bool:
        """Takes over what a caller says; tells whether it seems to be back.

        :param wait_ms: how long the caller will still wait, in milliseconds.
        """
        latest = self._latest.setdefault(route, collections.deque(maxlen=REQUESTS_MAX))
        latest.append(wait_ms)
        return wait_ms < BACK_PART * max(latest)
