"""Merges registrations of backend servers into the set that may get new requests."""

import dataclasses
import math

from caperdyke.coordination.registry import lapses
from caperdyke.state import ids, name_hashes, registration, store_rows

# Registrations that lapsed while the store was unreachable are written again within about 2 s of
# its recovery, as the platform states; the other 0.5 s cover the read that returns them.
LAPSE_GRACE_SECONDS = 2.5


@dataclasses.dataclass(slots=True)
class RegisteredServer:
    """A backend server and its latest registration; times are in seconds.

    :param changed: store position of the registration's last change.
    :param cold_until: time until which the server is cold, as it reports itself.
    :param first_seen: time at which this start of the server was first seen.
    :param is_preexisting: whether the server served before this instance started.
    :param removed: store position of the registration's removal; the first position if there was
        none.
    :param usable_until: time from which a removed server gets no new requests; infinite while it is
        registered.
    :param window: decides whether a removed server stays in use until then; None if it does not
        depend on that.
    :param last_sent_at: time of the latest request to it; minus infinity if there was none.
    """

    registration: registration.Registration
    changed: store_rows.Position
    cold_until: float
    first_seen: float
    is_preexisting: bool = False
    removed: store_rows.Position = store_rows.FIRST_POSITION
    usable_until: float = math.inf
    window: lapses.LapseWindow | None = None
    last_sent_at: float = -math.inf

    @property
    def is_held(self) -> bool:
        """Whether the server stays in use although its registration is missing."""
        return self.window is not None and self.window.is_lapsed(self.registration.server.domain)

    @property
    def start_hash(self) -> int:
        """Hash of this start of the server."""
        entry = self.registration
        return name_hashes.hash_start(entry.server.backend, entry.started_ms)


class ServerRegistry:
    """Registrations by backend server.

    Pattern: servers are added, drain and leave during the day, and a store that was unreachable
    reports servers as removed whose registrations only lapsed. A store restored from an older copy
    returns servers as ready that have drained or left since, until they have written again. A write
    that a server gave up may be performed seconds later, after its next one. A registration with a
    lower sequence number than the present one of the same start is therefore ignored. In a later
    era so is one of an older start, and one of a removed or unknown server is accepted only after
    the time in which its removal would be written again.
    """

    def __init__(self) -> None:
        self._servers: dict[ids.BackendId, RegisteredServer] = {}
        # Time in which a removal may stem from a registration that lapsed during a store outage.
        self._lapse_window = lapses.LapseWindow(0.0, {})
        # Removed servers that stay in use, until that ends.
        self._held: set[ids.BackendId] = set()
        # Servers whose address is in use by another server, with the position of their registration
        # when this was detected.
        self._misdirected: dict[ids.BackendId, store_rows.Position] = {}
        # Position up to which the newest later era showed registrations at first.
        self._restored_position = store_rows.FIRST_POSITION
        # Registrations of removed and of unknown servers that a later era of the store returned.
        # They are withheld until the time in which a removal would be written again has passed.
        self._unconfirmed: dict[
            ids.BackendId, tuple[registration.Registration, store_rows.Position]
        ] = {}

    def record_store_recovery(
        self, now: float, restored_position: store_rows.Position | None = None
    ) -> None:
        """Records that the store answers again after an outage, or answers in a later era.

        The time in which registrations are written again counts from the first sign of that.

        :param restored_position: position of the first read of a later era; None after an outage.
        """
        is_restored = restored_position is not None
        if now < self._lapse_window.until and not is_restored:
            return
        present = {
            name: server.registration.server.domain
            for name, server in self._servers.items()
            if server.usable_until == math.inf
            and server.registration.state is registration.RegistrationState.READY
        }
        self._lapse_window = lapses.LapseWindow(now + LAPSE_GRACE_SECONDS, present, is_restored)
        if is_restored:
            self._restored_position = restored_position

    def merge(
        self, now: float, entry: registration.Registration, changed: store_rows.Position
    ) -> bool:
        """Applies a registration; returns whether it belongs to a new start of the server."""
        name = entry.server.backend
        current = self._servers.get(name)
        if current is not None:
            is_applied = changed <= max(current.changed, current.removed)
            if is_applied or _is_outdated(current, entry, changed):
                return False
        if self._is_unconfirmed(now, current, entry, changed):
            self._unconfirmed[name] = (entry, changed)
            return False
        self._unconfirmed.pop(name, None)
        is_new_start = current is None or current.registration.started_ms != entry.started_ms
        cold_until = now + entry.cold_ms / 1000 if entry.cold_ms > 0 else 0.0
        first_seen = now if is_new_start else current.first_seen
        is_preexisting = not is_new_start and current.is_preexisting
        self._servers[name] = RegisteredServer(
            entry, changed, cold_until, first_seen, is_preexisting
        )
        if current is not None:
            self._servers[name].last_sent_at = current.last_sent_at
        return is_new_start

    def mark_all_preexisting(self) -> None:
        """Records that all present servers served before this instance started."""
        for server in self._servers.values():
            server.is_preexisting = True

    def remove(self, now: float, name: ids.BackendId, removed: store_rows.Position) -> bool:
        """Applies a removal; returns whether the server was registered until now."""
        unconfirmed = self._unconfirmed.get(name)
        if unconfirmed is not None and removed > unconfirmed[1]:
            del self._unconfirmed[name]
        current = self._servers.get(name)
        if current is None or removed <= current.changed or removed <= current.removed:
            return False
        is_already_removed = current.removed > current.changed
        current.removed = removed
        if is_already_removed:
            return False
        is_draining = current.registration.state is registration.RegistrationState.DRAINING
        if is_draining or now >= self._lapse_window.until:
            current.usable_until = now
            return True
        current.usable_until, current.window = self._lapse_window.until, self._lapse_window
        self._lapse_window.record_missing(name)
        self._held.add(name)
        return True

    def record_sent(self, now: float, name: ids.BackendId) -> None:
        """Records that a request is sent to a server."""
        current = self._servers.get(name)
        if current is not None:
            current.last_sent_at = now

    def take_released(self, now: float) -> list[RegisteredServer]:
        """Returns the servers that have been held and no longer are, once each."""
        ended = [
            name
            for name in self._held
            if (server := self._servers.get(name)) is None
            or server.window is None
            or now >= server.usable_until
        ]
        self._held.difference_update(ended)
        servers = [self._servers[name] for name in ended if name in self._servers]
        return [server for server in servers if server.is_held]

    def record_cold(self, now: float, name: ids.BackendId, seconds: float) -> None:
        """Records a server's own report that it is cold, which arrives before its registration."""
        current = self._servers.get(name)
        if current is not None:
            current.cold_until = max(current.cold_until, now + seconds)

    def mark_misdirected(self, name: ids.BackendId) -> None:
        """Records that another server answers at the address of this server."""
        current = self._servers.get(name)
        if current is not None:
            self._misdirected[name] = current.changed

    def list_usable(self, now: float) -> list[RegisteredServer]:
        """Returns the servers that may get new requests according to their registrations."""
        if self._unconfirmed and now >= self._lapse_window.until:
            for entry, changed in list(self._unconfirmed.values()):
                self.merge(now, entry, changed)
        return [server for server in self._servers.values() if self.is_usable(now, server)]

    def find(self, name: ids.BackendId) -> RegisteredServer | None:
        """Returns a server, or None."""
        return self._servers.get(name)

    def list_all(self) -> list[RegisteredServer]:
        """Returns all servers, whether they may get new requests or not."""
        return list(self._servers.values())

    def list_by_address(self, address: ids.Address, other: ids.BackendId) -> list[RegisteredServer]:
        """Returns the servers registered at an address.

        :param other: server to leave out, as it is no longer at the address.
        """
        return [
            server
            for name, server in self._servers.items()
            if name != other and server.registration.server.address == address
        ]

    def remove_gone(self, now: float) -> list[ids.BackendId]:
        """Removes servers that left some time ago and returns their names."""
        cutoff = now - 10 * LAPSE_GRACE_SECONDS
        names = [name for name, server in self._servers.items() if server.usable_until < cutoff]
        for name in names:
            del self._servers[name]
            self._misdirected.pop(name, None)
        return names

    def _is_unconfirmed(
        self,
        now: float,
        current: RegisteredServer | None,
        entry: registration.Registration,
        changed: store_rows.Position,
    ) -> bool:
        """Returns whether a registration may come from an older copy of the store.

        A removal that was forgotten leaves no trace, so an unknown server counts as removed.
        """
        if current is None:
            return changed <= self._restored_position and now < self._lapse_window.until
        is_removed = current.removed > current.changed
        is_same_start = entry.started_ms <= current.registration.started_ms
        is_of_later_era = changed.era > current.removed.era
        return is_removed and is_same_start and is_of_later_era and now < self._lapse_window.until

    def is_usable(self, now: float, server: RegisteredServer) -> bool:
        """Returns whether a server may get new requests according to its registration."""
        if now >= server.usable_until or (server.window is not None and not server.is_held):
            return False
        entry = server.registration
        if self._misdirected.get(entry.server.backend) == server.changed:
            return False
        return entry.state is registration.RegistrationState.READY


def _is_outdated(
    current: RegisteredServer, entry: registration.Registration, changed: store_rows.Position
) -> bool:
    """Returns whether a registration is older than the present one, by the server's own order."""
    previous = current.registration
    if not entry.started_ms or not previous.started_ms:
        return False
    if entry.started_ms == previous.started_ms:
        return entry.sequence < previous.sequence
    # Within an era, a restart whose clock was set back cannot be told from a late write.
    return changed.era != current.changed.era and entry.started_ms < previous.started_ms


def list_services(servers: list[RegisteredServer]) -> dict[ids.ServiceName, list[RegisteredServer]]:
    """Groups servers by service, each group sorted by name."""
    groups: dict[ids.ServiceName, list[RegisteredServer]] = {}
    for server in sorted(servers, key=lambda item: item.registration.server.backend):
        groups.setdefault(server.registration.server.service, []).append(server)
    return groups
