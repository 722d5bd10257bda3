"""Which instances hold the tokens of a team: one in each region."""

import dataclasses
import hashlib
import math

from caperdyke.state import ids

# Time for which an instance that is silent keeps its role, so that a short fault moves none.
ROLE_RETENTION_S = 30.0
# Time for which an instance that went silent without leaving may still be alive on the other side
# of a network partition.
SILENT_RETENTION_S = 600.0
# Time for which an instance that takes over a role adds no tokens. It is longer than the lifetime
# of tokens that the holder before it granted, and than an announcement of a newcomer takes.
TAKEOVER_S = 1.5
# Part of a region's instances from which a holder uses its whole part. The other side of a
# partition then has no more than a quarter and uses nothing; in between, each uses its part.
FULL_PART_RATIO = 0.75
_NO_REGION = ids.RegionName("")


@dataclasses.dataclass(frozen=True, slots=True)
class FleetReport:
    """The instances as one instance sees them now.

    :param is_active: whether this instance has a complete view and may hold tokens.
    :param live: failure domain of each live instance, this one included.
    :param silent: failure domain of each instance that may be alive and is not heard.
    :param withdrawn: instances that have left or have no path to the servers.
    """

    is_active: bool
    live: dict[ids.InstanceId, ids.DomainName]
    silent: dict[ids.InstanceId, ids.DomainName]
    withdrawn: frozenset[ids.InstanceId] = frozenset()


@dataclasses.dataclass(slots=True)
class _KnownInstance:
    region: ids.RegionName
    last_live_at: float


class HolderDirectory:
    """Finds the holders of each team in the fleet as this instance sees it.

    Pattern: holders are killed, restarted and cut off, and instances see this at different times.
    The role of a silent instance moves only after a while. Each side of a partition uses only as
    much of a region's part as it sees of the region's instances, since the others may be alive too:
    all sides together never hold more than one part.

    :ivar is_active: whether this instance may hold tokens.
    """

    def __init__(self, own: ids.InstanceId) -> None:
        self._own = own
        self.is_active = False
        self._active_since = math.inf
        self._known: dict[ids.InstanceId, _KnownInstance] = {}
        # The last report, and when it was last repeated.
        self._report = FleetReport(False, {}, {})
        self._regions: dict[ids.DomainName, ids.RegionName] = {}
        self._seen_at = -math.inf
        self._next_expiry_at = -math.inf
        self._candidates: dict[ids.RegionName, frozenset[ids.InstanceId]] = {}
        self._live_ratios: dict[ids.RegionName, float] = {}
        self._shrunk_at: dict[ids.RegionName, float] = {}
        # Times at which this instance took over the roles that it has.
        self._role_starts: dict[ids.TeamName, float] = {}
        # Holder of each team in each region, until a candidate comes before it or it goes.
        self._holders: dict[ids.RegionName, dict[ids.TeamName, ids.InstanceId]] = {}

    def update(
        self, now: float, report: FleetReport, regions: dict[ids.DomainName, ids.RegionName]
    ) -> None:
        """Applies what this instance sees of the fleet.

        :param regions: region of each failure domain.
        """
        if report.is_active and not self.is_active:
            self._active_since = now
        self.is_active = report.is_active
        is_unchanged = report == self._report and regions == self._regions
        if is_unchanged and now < self._next_expiry_at:
            self._seen_at = now
            return
        self._record_live_until(now, report)
        self._report, self._regions, self._seen_at = report, regions, now
        for name, domain in (report.silent | report.live).items():
            region = regions.get(domain, _NO_REGION)
            known = self._known.get(name)
            if known is None:
                self._known[name] = _KnownInstance(region, now)
            else:
                known.region = region
        for name in report.withdrawn:
            self._known.pop(name, None)
        for name, known in list(self._known.items()):
            if now > known.last_live_at + SILENT_RETENTION_S:
                del self._known[name]
        self._update_regions(now, report)
        self._next_expiry_at = self._find_next_expiry(now, report)

    def _record_live_until(self, now: float, report: FleetReport) -> None:
        """Records when the instances of the last report were last live."""
        for name in self._report.live:
            if name in self._known:
                self._known[name].last_live_at = self._seen_at
        for name in report.live:
            if name in self._known:
                self._known[name].last_live_at = now

    def _find_next_expiry(self, now: float, report: FleetReport) -> float:
        """Returns when an instance that is silent loses its role or is forgotten."""
        expiries = [
            known.last_live_at + retention
            for name, known in self._known.items()
            if name not in report.live
            for retention in (ROLE_RETENTION_S, SILENT_RETENTION_S)
        ]
        return min((at for at in expiries if at >= now), default=math.inf)

    def _update_regions(self, now: float, report: FleetReport) -> None:
        members: dict[ids.RegionName, list[ids.InstanceId]] = {}
        for name, known in self._known.items():
            members.setdefault(known.region, []).append(name)
        for region in self._candidates.keys() - members.keys():
            del self._candidates[region]
            self._holders.pop(region, None)
        for region, names in members.items():
            live = sum(name in report.live for name in names)
            self._live_ratios[region] = live / len(names)
            candidates = frozenset(
                name
                for name in names
                if now <= self._known[name].last_live_at + ROLE_RETENTION_S
                and (name != self._own or report.is_active)
            )
            before = self._candidates.get(region, frozenset())
            if candidates != before:
                self._candidates[region] = candidates
                self._replace_candidates(now, region, candidates - before, before - candidates)

    def _replace_candidates(
        self,
        now: float,
        region: ids.RegionName,
        added: frozenset[ids.InstanceId],
        removed: frozenset[ids.InstanceId],
    ) -> None:
        holders = self._holders.setdefault(region, {})
        if removed:
            self._shrunk_at[region] = now
        for team, holder in list(holders.items()):
            if holder in removed:
                del holders[team]
            elif added:
                holders[team] = max((holder, *added), key=lambda name: _compute_score(team, name))
            if holder == self._own and holders.get(team) != holder:
                self._role_starts.pop(team, None)

    def count_regions(self) -> int:
        """Returns the number of regions with instances: the parts of each limit."""
        return len(self._candidates)

    def find_in_region(self, team: ids.TeamName, region: ids.RegionName) -> ids.InstanceId | None:
        """Returns the holder of a team in a region, or None if the region has no instance."""
        holders = self._holders.get(region)
        if holders is None:
            return None
        holder = holders.get(team)
        if holder is None:
            candidates = self._candidates[region]
            if not candidates:
                return None
            holder = max(candidates, key=lambda name: _compute_score(team, name))
            holders[team] = holder
        return holder

    def list_holders(self, team: ids.TeamName) -> dict[ids.RegionName, ids.InstanceId]:
        """Returns the holder of a team in each region."""
        found = {region: self.find_in_region(team, region) for region in self._candidates}
        return {region: holder for region, holder in found.items() if holder is not None}

    def find_role_start(self, team: ids.TeamName) -> float:
        """Returns the time since which this instance may add tokens for a team.

        :returns: infinity if it is not the holder.
        """
        known = self._known.get(self._own)
        if not self.is_active or known is None:
            return math.inf
        if self.find_in_region(team, known.region) != self._own:
            return math.inf
        start = self._role_starts.get(team)
        if start is None:
            # It may have been another instance's until the region last lost one.
            start = max(self._active_since, self._shrunk_at.get(known.region, -math.inf))
            self._role_starts[team] = start
        return start + TAKEOVER_S

    def compute_own_ratio(self) -> float:
        """Returns the part of each limit that this instance holds where it is the holder."""
        known = self._known.get(self._own)
        if known is None or not self._candidates:
            return 0.0
        ratio = self._live_ratios[known.region]
        if ratio >= FULL_PART_RATIO:
            ratio = 1.0
        elif ratio <= 1.0 - FULL_PART_RATIO:
            ratio = 0.0
        return ratio / len(self._candidates)

    def compute_live_ratio(self, live: int) -> float:
        """Returns the ratio of live instances to all that may be alive."""
        return live / max(live, len(self._known), 1)


def _compute_score(team: ids.TeamName, instance: ids.InstanceId) -> bytes:
    """Returns a hash by which the holder of a team is chosen; the highest one holds."""
    return hashlib.blake2b(f"{team}\n{instance}".encode(), digest_size=8).digest()
