"""The instances of the system: which are alive, and which ones a caller should use."""

import collections.abc
import dataclasses
import math

from caperdyke.coordination.placement import shared_bounds
from caperdyke.state import ids, member, name_hashes, store_rows

# Consecutive announcements that may be missing before an instance counts as silent, and the
# shortest silence that counts: a lossy link drops several datagrams, or the event loop is slow.
LOST_ANNOUNCEMENTS_MAX = 3
SILENCE_MIN_SECONDS = 1.6
# Time for which the fraction of a limit that a silent instance may have used is not given to
# others; longer than the windows in which limits count.
LIMIT_RELEASE_SECONDS = 30.0
# Longest time for which an instance that has just started or was paused only receives announcements
# before it takes its quota of fleet-wide limits; several announcements may be lost.
SETTLE_MAX_SECONDS = 1.5
# Time between two ticks above which an instance counts as paused; after shorter pauses the other
# instances do not look silent.
PAUSE_MIN_SECONDS = 1.0
# Interval of announcements to a silent instance that the store lists.
SILENT_PEER_RETRY_SECONDS = 3.0
# Instances without a path to the servers for each instance with one, up to which a group of
# instances serves the callers of all. A larger group is used above that, if there is one.
STRANDED_PER_INSTANCE_MAX = 2.0
# Time after which the quota of an instance without a path to the servers passes to the others, and
# for which it waits when the path is back: longer than the window in which limits count, so that no
# window contains requests of both.
QUOTA_TRANSFER_SECONDS = shared_bounds.LIMIT_WINDOW_S + 0.5
# Time of silence after which an instance is removed.
SILENT_PEER_EXPIRY_SECONDS = 60.0


@dataclasses.dataclass(slots=True)
class PeerInstance:
    """Another instance, from its record and its announcements; times are in seconds.

    :param has_path: whether it can open connections to backend servers.
    :param path_lost_at: time at which it announced that it has none; infinity if it has one.
    :param alive_until: time until which it counts as alive without a further announcement.
    :param last_seen_at: time of its latest announcement.
    :param first_seen_at: time at which this start of the instance was added.
    :param announce_at: time of the next announcement to it.
    :param changed: position of the newest change of each table that it announced.
    :param read_at: time at which it read the registrations from the store.
    :param supports_teams: whether this start of it has said so; builds before teams do not.
    :param greeted_at: time of the latest greeting to it.
    """

    record: member.Member
    is_ready: bool = False
    has_path: bool = True
    path_lost_at: float = math.inf
    alive_until: float = 0.0
    last_seen_at: float = 0.0
    first_seen_at: float = 0.0
    announce_at: float = 0.0
    read_at: float = -math.inf
    supports_teams: bool = False
    greeted_at: float = -math.inf
    changed: dict[store_rows.StoreTable, store_rows.Position] = dataclasses.field(
        default_factory=dict
    )


class Fleet:
    """All instances listed by the store or announced, this one included.

    Pattern: instances are killed without notice, restart under the same name, and are added.
    Callers get only the addresses of instances that answer.

    :param own: record of this instance.
    :param regions: region of each failure domain.
    """

    def __init__(self, own: member.Member, regions: dict[ids.DomainName, ids.RegionName]) -> None:
        self.own = own
        self.is_ready = False
        self.has_path = True
        self._path_restored_at = -math.inf
        self._regions = regions
        self._peers: dict[ids.InstanceId, PeerInstance] = {}
        # Names by the hash that replaces them in announcements.
        self._names_by_hash: dict[int, ids.InstanceId] = {}
        self._has_read_members = False
        # Time since which this instance has received announcements without a pause.
        self._listening_since = math.inf
        self._tick_at = -math.inf

    def apply_regions(self, regions: dict[ids.DomainName, ids.RegionName]) -> None:
        """Replaces the map from failure domains to regions."""
        self._regions = regions

    def record_path(self, now: float, has_path: bool) -> None:
        """Records that this instance has lost its path to the servers, or has it back."""
        if has_path and not self.has_path:
            self._path_restored_at = now
        self.has_path = has_path

    def list_others(self) -> list[PeerInstance]:
        """Returns all other instances, silent and leaving ones included."""
        return list(self._peers.values())

    def merge(self, now: float, record: member.Member) -> bool:
        """Adds or updates a record; returns whether it was newer than the present one."""
        if record.instance == self.own.instance:
            return False
        peer = self._peers.get(record.instance)
        if peer is None:
            self._names_by_hash[name_hashes.hash_name(record.instance)] = record.instance
            self._peers[record.instance] = PeerInstance(record, first_seen_at=now)
            return True
        if record.rank <= peer.record.rank:
            return False
        if record.incarnation != peer.record.incarnation:
            self._peers[record.instance] = PeerInstance(record, first_seen_at=now)
        else:
            peer.record = record
        return True

    def record_members_read(self, now: float) -> None:
        """Records that the list of instances was read from the store."""
        if not self._has_read_members:
            self._has_read_members = True
            self._listening_since = now

    def record_tick(self, now: float) -> None:
        """Records that this instance runs; called at intervals shorter than a pause."""
        if self._has_read_members and now > self._tick_at + PAUSE_MIN_SECONDS:
            self._listening_since = max(self._listening_since, now)
        self._tick_at = now

    def is_alive(self, now: float, name_hash: int) -> bool:
        """Returns whether an instance counts as alive without a further announcement.

        :param name_hash: hash of the instance's name.
        """
        peer = self._peers.get(self._names_by_hash.get(name_hash, ids.InstanceId("")))
        return peer is not None and now < peer.alive_until

    def record_announcement(
        self,
        now: float,
        name_hash: int,
        incarnation: ids.Incarnation,
        is_ready: bool,
        interval: float,
        has_path: bool = True,
    ) -> PeerInstance | None:
        """Records an announcement; returns None where there is no record of this incarnation.

        :param name_hash: hash of the sender's name.
        :param interval: time until the sender's next announcement, in seconds.
        :param has_path: whether the sender can open connections to backend servers.
        """
        peer = self._peers.get(self._names_by_hash.get(name_hash, ids.InstanceId("")))
        if peer is None or incarnation != peer.record.incarnation:
            return None
        peer.is_ready = is_ready
        if has_path != peer.has_path:
            peer.path_lost_at = math.inf if has_path else now
        peer.has_path = has_path
        peer.last_seen_at = now
        peer.alive_until = now + max(SILENCE_MIN_SECONDS, LOST_ANNOUNCEMENTS_MAX * interval)
        return peer

    def find_by_hash(self, name_hash: int) -> PeerInstance | None:
        """Returns another instance by the hash of its name, or None if it is not known."""
        return self._peers.get(self._names_by_hash.get(name_hash, ids.InstanceId("")))

    def list_live(self, now: float) -> list[PeerInstance]:
        """Returns the other instances that are alive and not leaving."""
        return [
            peer
            for peer in self._peers.values()
            if now < peer.alive_until and peer.record.state is member.MemberState.LIVE
        ]

    def list_domain_peers(self, now: float) -> list[PeerInstance]:
        """Returns the other live instances of this instance's failure domain."""
        domain = self.own.domain
        return [peer for peer in self.list_live(now) if peer.record.domain == domain]

    def list_names(self, now: float) -> list[ids.InstanceId]:
        """Returns the names of all live instances, this one included, sorted."""
        return sorted([self.own.instance, *(peer.record.instance for peer in self.list_live(now))])

    def count_recent(self, now: float) -> int:
        """Returns the number of recently seen instances, this one included.

        Limits are divided by this count, which falls only some time after an instance has died.
        """
        recent_since = now - LIMIT_RELEASE_SECONDS
        return 1 + sum(
            max(peer.last_seen_at, peer.first_seen_at) > recent_since
            for peer in self._peers.values()
        )

    def compute_limit_fraction(self, now: float) -> float:
        """Returns the fraction of a fleet-wide limit that this instance may use, 0 to 1.

        Pattern: an instance that starts while the store is unreachable receives no or few
        announcements and is not the only instance. It uses nothing of the limit until it has read
        the list of instances.
        """
        if not self._has_read_members:
            return 0.0
        return 1 / self.count_recent(now)

    def build_fleet_view(self, now: float) -> shared_bounds.FleetView:
        """Returns the view of the fleet by which fleet-wide limits are divided.

        Pattern: an instance that has just started or was paused has received no announcements yet
        and would take the whole limit for itself; the quota of one that leaves already belongs to
        the others. Neither takes part in the division. The quota of an instance without a path to
        the servers passes to those that serve its callers.
        """
        live = {
            peer.record.instance: peer.record.domain
            for peer in self.list_live(now)
            if now < peer.path_lost_at + QUOTA_TRANSFER_SECONDS
        }
        live[self.own.instance] = self.own.domain
        recent_since = now - LIMIT_RELEASE_SECONDS
        silent = {
            name: peer.record.domain
            for name, peer in self._peers.items()
            if name not in live
            and now >= peer.alive_until
            and peer.record.state is member.MemberState.LIVE
            and max(peer.last_seen_at, peer.first_seen_at) > recent_since
        }
        view = shared_bounds.make_fleet_view(self.own.instance, live, silent)
        is_using_path = self.has_path and now >= self._path_restored_at + QUOTA_TRANSFER_SECONDS
        is_live = self.own.state is member.MemberState.LIVE
        if is_using_path and is_live and self._is_settled(now):
            return view
        return dataclasses.replace(view, own=None)

    def _is_settled(self, now: float) -> bool:
        """Returns whether all instances have announced themselves since the start or last pause.

        Instances that stay silent are waited for only up to a limit.
        """
        if not self._has_read_members or now > self._tick_at + PAUSE_MIN_SECONDS:
            return False
        if now >= self._listening_since + SETTLE_MAX_SECONDS:
            return True
        return all(peer.last_seen_at >= self._listening_since for peer in self._peers.values())

    def remove_silent(self, now: float) -> list[member.Member]:
        """Removes instances that were silent for long or have left, and returns their records."""
        expired = [
            peer
            for peer in self._peers.values()
            if now > max(peer.last_seen_at, peer.first_seen_at) + SILENT_PEER_EXPIRY_SECONDS
        ]
        for peer in expired:
            del self._peers[peer.record.instance]
            del self._names_by_hash[name_hashes.hash_name(peer.record.instance)]
        return [peer.record for peer in expired]

    def choose_for_caller(
        self, now: float, domain: ids.DomainName, region: ids.RegionName, count_max: int
    ) -> list[ids.Address]:
        """Returns the addresses of the nearest group that has a ready instance.

        Pattern: callers choose one of the addresses at random, so each distant address in the
        answer adds its latency to the requests. A failure domain without ready instances falls back
        to its region, and a region without ready instances to all instances. Instances without a
        path to the servers are left out as long as any other is ready.

        :param domain: failure domain of the caller.
        :param region: region of the caller.
        :param count_max: maximum number of addresses.
        """
        ready = [peer for peer in self.list_live(now) if peer.is_ready]
        if self.is_ready and self.own.state is member.MemberState.LIVE:
            ready.append(PeerInstance(self.own, self.is_ready, self.has_path))
        groups = self._list_groups(ready, domain, region)
        chosen = _choose_connected(groups) or next((group for group in groups if group), [])
        return [peer.record.caller_address for peer in chosen[:count_max]]

    def list_relays(
        self,
        now: float,
        homes: frozenset[ids.RegionName] = frozenset(),
        excluded: collections.abc.Set[ids.InstanceId] = frozenset(),
        needs_teams: bool = False,
    ) -> list[PeerInstance]:
        """Returns the instances that may serve requests for this one, which has no path.

        Pattern: one, most or all instances of a failure domain lose their path to the servers. The
        callers of all of them are served by the nearest instances that are not too few.

        :param homes: regions to which the request is restricted; empty if it is not.
        :param excluded: instances that cannot be used.
        :param needs_teams: whether only instances that are known to support teams can be used.
        """
        ready = [
            peer
            for peer in self.list_live(now)
            if peer.is_ready
            and peer.record.instance not in excluded
            and (peer.supports_teams or not needs_teams)
            and (not homes or self._regions.get(peer.record.domain) in homes)
        ]
        ready.append(PeerInstance(self.own, self.is_ready, has_path=False))
        own_region = self._regions.get(self.own.domain, ids.RegionName(""))
        return _choose_connected(self._list_groups(ready, self.own.domain, own_region))

    def has_host(self, host: str) -> bool:
        """Returns whether any other instance has this host in its peer address."""
        return any(
            peer.record.peer_address.rpartition(":")[0] == host for peer in self._peers.values()
        )

    def _list_groups(
        self, instances: list[PeerInstance], domain: ids.DomainName, region: ids.RegionName
    ) -> tuple[list[PeerInstance], ...]:
        """Returns the instances of a failure domain, of its region, and all, in this order."""
        return (
            [item for item in instances if item.record.domain == domain],
            [item for item in instances if self._regions.get(item.record.domain) == region],
            instances,
        )


def _choose_connected(groups: tuple[list[PeerInstance], ...]) -> list[PeerInstance]:
    """Returns the instances with a path of the first group in which they are not too few.

    :param groups: each contains the one before it. The last one is used if all have too few.
    """
    for group in groups:
        connected = [item for item in group if item.has_path]
        if connected and len(group) - len(connected) <= STRANDED_PER_INSTANCE_MAX * len(connected):
            return connected
    return [item for item in groups[-1] if item.has_path]
