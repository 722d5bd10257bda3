"""Other instances of the system: which live, and which a caller should use."""

import dataclasses
import math

from caperdyke.coordination.placement import shared_bounds
from caperdyke.state import ids, member, name_hashes, store_rows

# Announcements that may be lost in a row before an instance counts as gone, and the shortest
# silence that counts, in seconds: several lost datagrams of a lossy link, or a slow turn.
LOST_MAX = 3
SILENCE_SECONDS = 1.6
# How long the part of a limit that an instance may have used is not dealt again, in seconds: above
# the windows in which limits count.
SHARE_SECONDS = 30.0
# Longest time for which an instance that has just started, or was paused, only listens before it
# takes a part of what is dealt out among all, in seconds: several announcements may be lost.
SETTLE_SECONDS = 1.5
# Time without a turn from which on an instance was paused, in seconds; shorter pauses do not make
# others look silent.
PAUSE_SECONDS = 1.0
# A silent instance that the store lists is tried again this often, in seconds.
SILENT_PEER_RETRY_SECONDS = 3.0
# An instance that was silent for this long is forgotten, in seconds.
FORGET_SECONDS = 60.0


@dataclasses.dataclass(slots=True)
class PeerInstance:
    """Another instance.

    :param alive_until: time until which it counts as alive without further word.
    :param announce_at: time at which this instance tells it of itself again.
    :param changed: position of the newest change that it knows of each table.
    :param read_at: time at which it read the registrations from the store.
    """

    record: member.Member
    is_ready: bool = False
    alive_until: float = 0.0
    last_seen_at: float = 0.0
    first_seen_at: float = 0.0
    announce_at: float = 0.0
    read_at: float = -math.inf
    changed: dict[store_rows.StoreTable, store_rows.Position] = dataclasses.field(
        default_factory=dict
    )


class Fleet:
    """All instances that are known, this one included.

    Pattern: instances die without a word, come back under their name, and are added; callers are
    to be told only of those that answer.

    :param regions: the region of each failure domain.
    """

    def __init__(self, own: member.Member, regions: dict[ids.DomainName, ids.RegionName]) -> None:
        self.own = own
        self.is_ready = False
        self._regions = regions
        self._others: dict[ids.InstanceId, PeerInstance] = {}
        # Names by the mark that stands for them in announcements.
        self._names: dict[int, ids.InstanceId] = {}
        self._is_listed = False
        # Time since which this instance listens for all others without a pause.
        self._listens_since = math.inf
        self._turn_at = -math.inf

    def apply_regions(self, regions: dict[ids.DomainName, ids.RegionName]) -> None:
        """Takes over a changed map of failure domains."""
        self._regions = regions

    def list_others(self) -> list[PeerInstance]:
        """Returns every other instance that is known."""
        return list(self._others.values())

    def merge(self, now: float, record: member.Member) -> bool:
        """Takes over a record; tells whether it was news."""
        if record.instance == self.own.instance:
            return False
        known = self._others.get(record.instance)
        if known is None:
            self._names[name_hashes.hash_name(record.instance)] = record.instance
            self._others[record.instance] = PeerInstance(record, first_seen_at=now)
            return True
        if record.rank <= known.record.rank:
            return False
        if record.incarnation != known.record.incarnation:
            self._others[record.instance] = PeerInstance(record, first_seen_at=now)
        else:
            known.record = record
        return True

    def record_members_read(self, now: float) -> None:
        """Records that the store has told which instances there are."""
        if not self._is_listed:
            self._is_listed = True
            self._listens_since = now

    def record_tick(self, now: float) -> None:
        """Records that this instance runs; called more often than pauses last."""
        if self._is_listed and now > self._turn_at + PAUSE_SECONDS:
            self._listens_since = max(self._listens_since, now)
        self._turn_at = now

    def is_alive(self, now: float, mark: int) -> bool:
        """Tells whether an instance counts as alive without further word."""
        known = self._others.get(self._names.get(mark, ids.InstanceId("")))
        return known is not None and now < known.alive_until

    def record_announcement(
        self, now: float, mark: int, incarnation: ids.Incarnation, is_ready: bool, interval: float
    ) -> PeerInstance | None:
        """Records an announcement, or returns None where this start of its sender is not known.

        :param mark: mark of the sender's name.
        :param interval: time until the sender's next announcement, in seconds.
        """
        known = self._others.get(self._names.get(mark, ids.InstanceId("")))
        if known is None or incarnation != known.record.incarnation:
            return None
        known.is_ready = is_ready
        known.last_seen_at = now
        known.alive_until = now + max(SILENCE_SECONDS, LOST_MAX * interval)
        return known

    def list_live(self, now: float) -> list[PeerInstance]:
        """Returns the other instances that are alive and not leaving."""
        return [
            other
            for other in self._others.values()
            if now < other.alive_until and other.record.state is member.MemberState.LIVE
        ]

    def list_domain_peers(self, now: float) -> list[PeerInstance]:
        """Returns the other live instances of the own failure domain."""
        domain = self.own.domain
        return [other for other in self.list_live(now) if other.record.domain == domain]

    def list_names(self, now: float) -> list[ids.InstanceId]:
        """Returns the names of all live instances, this one included, sorted."""
        return sorted([self.own.instance, *(o.record.instance for o in self.list_live(now))])

    def count_recent(self, now: float) -> int:
        """Returns how many instances were heard of lately, this one included.

        Parts of a limit are dealt by this count, which falls only a while after an instance died.
        """
        since = now - SHARE_SECONDS
        return 1 + sum(max(o.last_seen_at, o.first_seen_at) > since for o in self._others.values())

    def compute_limit_fraction(self, now: float) -> float:
        """Returns the part of a limit of all instances that this one may use, 0 to 1.

        Pattern: an instance starts while the store is away, hears of nobody or of a few, and is not
        the only one.
        """
        if not self._is_listed:
            return 0.0
        return 1 / self.count_recent(now)

    def build_fleet_view(self, now: float) -> shared_bounds.FleetView:
        """Returns the fleet as it matters for what is dealt out among all instances.

        Pattern: an instance that has just started, or that was paused, hears of nobody yet, and
        would take everything for itself; one that leaves has been replaced by the others.
        """
        live = {other.record.instance: other.record.domain for other in self.list_live(now)}
        live[self.own.instance] = self.own.domain
        since = now - SHARE_SECONDS
        silent = {
            name: other.record.domain
            for name, other in self._others.items()
            if name not in live
            and other.record.state is member.MemberState.LIVE
            and max(other.last_seen_at, other.first_seen_at) > since
        }
        sight = shared_bounds.make_fleet_view(self.own.instance, live, silent)
        if self._is_settled(now) and self.own.state is member.MemberState.LIVE:
            return sight
        return dataclasses.replace(sight, own=None)

    def _is_settled(self, now: float) -> bool:
        """Tells whether this instance has heard all others that live since it began to listen."""
        if not self._is_listed or now > self._turn_at + PAUSE_SECONDS:
            return False
        if now >= self._listens_since + SETTLE_SECONDS:
            return True
        return all(other.last_seen_at >= self._listens_since for other in self._others.values())

    def remove_silent(self, now: float) -> list[member.Member]:
        """Forgets instances that were silent for long, or that left, and returns them."""
        gone = [
            other
            for other in self._others.values()
            if now > max(other.last_seen_at, other.first_seen_at) + FORGET_SECONDS
        ]
        for other in gone:
            del self._others[other.record.instance]
            del self._names[name_hashes.hash_name(other.record.instance)]
        return [other.record for other in gone]

    def choose_for_caller(
        self, now: float, domain: ids.DomainName, region: ids.RegionName, count_max: int
    ) -> list[ids.Address]:
        """Returns where a caller should connect: the nearest group with a ready instance.

        Pattern: callers pick one of the addresses at random, so a farther address in the answer
        costs every request its distance; a failure domain without instances falls back to its
        region, and a region without instances to all.
        """
        ready = [other.record for other in self.list_live(now) if other.is_ready]
        if self.is_ready and self.own.state is member.MemberState.LIVE:
            ready.append(self.own)
        groups = (
            [record for record in ready if record.domain == domain],
            [record for record in ready if self._regions.get(record.domain) == region],
            ready,
        )
        chosen = next((group for group in groups if group), [])
        return [record.caller_address for record in chosen[:count_max]]
