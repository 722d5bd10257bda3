"""Requests that an instance may send for a team while no holder replies."""

import collections
import zlib

from caperdyke.coordination.placement import shared_bounds
from caperdyke.coordination.quotas import limits
from caperdyke.state import gateway_settings, ids, teams


class FallbackShares:
    """Counts the requests that were sent without a holder.

    Pattern: all holders are dead or cut off. Each instance has an equal share of half of the
    tolerance, and the sides of a partition share it, so the fleet stays under the bound.
    """

    def __init__(self) -> None:
        self._sends: dict[ids.TeamName, collections.deque[float]] = {}
        # Shares by team, with the view of the fleet and the limit for which they were computed.
        self._shares: dict[ids.TeamName, tuple[shared_bounds.FleetView, teams.Team, int]] = {}

    def try_send(
        self,
        now: float,
        team: teams.Team,
        tolerance: gateway_settings.QuotaTolerance,
        view: shared_bounds.FleetView,
    ) -> bool:
        """Counts a request; returns False if the share of this window is used up."""
        sends = self._sends.setdefault(team.name, collections.deque())
        while sends and sends[0] <= now - tolerance.window_s:
            sends.popleft()
        share = self._shares.get(team.name)
        if share is None or share[0] is not view or share[1] is not team:
            share = view, team, compute_share(team, tolerance, view)
            self._shares[team.name] = share
        if len(sends) >= share[2]:
            return False
        sends.append(now)
        return True

    def put_back(self, team: ids.TeamName) -> None:
        """Takes back the last count of a team, whose request was not executed."""
        sends = self._sends.get(team)
        if sends:
            sends.pop()

    def remove(self, team: ids.TeamName) -> None:
        """Removes the counts of a team that has no limit any more."""
        self._sends.pop(team, None)
        self._shares.pop(team, None)


def compute_share(
    team: teams.Team, tolerance: gateway_settings.QuotaTolerance, view: shared_bounds.FleetView
) -> int:
    """Returns the requests in a window that one instance may send without a holder."""
    count = limits.compute_fallback_count(team, tolerance)
    bound = shared_bounds.Bound(count, tolerance.window_s)
    return shared_bounds.compute_quota(bound, _find_position(team.name, view), view)


def _find_position(
    team: ids.TeamName, view: shared_bounds.FleetView
) -> shared_bounds.QuotaPosition | None:
    """Returns the position of this instance among all, which have equal shares."""
    if view.own is None:
        return None

    def sort_key(name: ids.InstanceId) -> tuple[int, ids.InstanceId]:
        return zlib.crc32(f"{team}/{name}".encode()), name

    own_key = sort_key(view.own)
    rank = sum(sort_key(name) < own_key for name in view.domains)
    return shared_bounds.QuotaPosition(rank, 0, (len(view.domains), 0, 0))
