"""Bounds the requests to servers that are cold, advertise a limit or ask for a backoff."""

import collections.abc
import math

from caperdyke.coordination.placement import (
    advertised_limits,
    leaving_servers,
    server_backoffs,
    shared_bounds,
)
from caperdyke.coordination.registry import fleet
from caperdyke.state import backend, header_fields, ids
from caperdyke.transport import events

FLEET_VIEW_TTL_SECONDS = 0.05
# Shortest interval between log lines about the limit, or the backoff, of one server.
LOG_INTERVAL_SECONDS = 2.0
# Characters of an unreadable header value that are logged.
LOGGED_TEXT_MAX = 40
# Shortest interval between urgent announcements of backoffs or leaving servers: when a whole
# service is overloaded, each of its servers requests a backoff.
URGENT_INTERVAL_SECONDS = 0.5


class ServerBounds:
    """Records limits, backoffs and drains of servers, and counts the requests sent to each.

    :param regions: the region of each failure domain.
    :param backoff_seconds_max: longest backoff that is accepted, in seconds.
    :ivar on_urgent_change: called when a change should be announced to other instances at once.
    """

    def __init__(
        self,
        instances: fleet.Fleet,
        regions: dict[ids.DomainName, ids.RegionName],
        backoff_seconds_max: float,
    ) -> None:
        self.limits = advertised_limits.AdvertisedLimits()
        self.backoffs = server_backoffs.ServerBackoffs(backoff_seconds_max)
        self.leaving = leaving_servers.LeavingServers()
        self.on_urgent_change: collections.abc.Callable[[], None] = lambda: None
        self._fleet = instances
        self._regions = regions
        self._send_history = shared_bounds.SendHistory()
        self._quota_positions = shared_bounds.QuotaPositions()
        self._fleet_view = shared_bounds.FleetView(None, {}, 0.0)
        self._fleet_view_until = -math.inf
        # Limit of each server as last logged, and the time of that log line.
        self._logged_limits: dict[ids.BackendId, tuple[header_fields.LimitReport, float]] = {}
        # Time of the last log line about the backoff of each server.
        self._backoff_logged_at: dict[ids.BackendId, float] = {}
        self._urgent_change_at = -math.inf

    def apply_regions(self, regions: dict[ids.DomainName, ids.RegionName]) -> None:
        """Applies a changed mapping of failure domains to regions."""
        self._regions = regions
        self._quota_positions = shared_bounds.QuotaPositions()

    def record_send(self, now: float, server: ids.BackendId) -> None:
        """Counts a request that is sent to a server."""
        self._send_history.record_send(now, server)

    def record_answer(
        self,
        now: float,
        server: ids.BackendId,
        report: header_fields.LimitReport,
        sent_at: float,
        is_sound: bool,
    ) -> None:
        """Records the limit that an answer advertises; see `advertised_limits`.

        :param sent_at: time at which the request was sent.
        :param is_sound: whether this is a signed, successful answer to that request. Only such an
            answer can end a limit.
        """
        if self.limits.record_answer(now, server, report, sent_at, is_sound):
            self.on_urgent_change()
        logged, logged_at = self._logged_limits.get(server, (header_fields.NoLimit(), -math.inf))
        if report == logged or now < logged_at + LOG_INTERVAL_SECONDS:
            return
        match report:
            case header_fields.AdvertisedLimit(per_second=per_second):
                events.log(events.Event.LIMIT_NAMED, backend=server, per_second=per_second)
            case header_fields.UnreadableLimit(text=text):
                events.log(
                    events.Event.LIMIT_UNREADABLE, backend=server, text=text[:LOGGED_TEXT_MAX]
                )
            case header_fields.NoLimit():
                if self.limits.find(server) is not None:
                    return
                events.log(events.Event.LIMIT_ENDED, backend=server)
        self._logged_limits[server] = (report, now)

    def record_backoff(
        self, now: float, server: ids.BackendId, report: header_fields.BackoffReport
    ) -> None:
        """Records the backoff that a server requests from this instance."""
        if isinstance(report, header_fields.NoBackoff):
            return
        if self.backoffs.record_answer(now, server, report):
            self._signal_urgent_change(now)
        if now < self._backoff_logged_at.get(server, -math.inf) + LOG_INTERVAL_SECONDS:
            return
        self._backoff_logged_at[server] = now
        match report:
            case header_fields.RequestedBackoff(seconds=seconds):
                events.log(events.Event.SERVER_RESTS, backend=server, seconds=seconds)
            case header_fields.UnreadableBackoff(text=text):
                events.log(
                    events.Event.REST_UNREADABLE, backend=server, text=text[:LOGGED_TEXT_MAX]
                )

    def record_leaving(self, now: float, server: ids.BackendId, start_hash: int) -> bool:
        """Records an answer that announces that a server is leaving; returns whether this is new.

        :param start_hash: identifies the start of the server, see `name_hashes.hash_start`.
        """
        if not self.leaving.record(now, start_hash):
            return False
        events.log(events.Event.SERVER_LEAVING, backend=server)
        self._signal_urgent_change(now)
        return True

    def merge_announced(
        self,
        now: float,
        limits: dict[int, tuple[float | None, float]],
        backoffs: dict[int, float],
        leaving: dict[int, float],
    ) -> bool:
        """Merges announced limits, backoffs and drains; returns whether a server newly leaves.

        :param limits: limit in requests per second, None where it ended, and its age in seconds,
            by hash of the server's name.
        :param backoffs: remaining backoff in seconds, by hash of the server's name.
        :param leaving: age of the first sign of leaving in seconds, by hash of the server's start.
        """
        are_urgent = [
            self.limits.merge_announced(now, name_hash, *limit)
            for name_hash, limit in limits.items()
        ]
        if any(are_urgent):
            self.on_urgent_change()
        for name_hash, seconds in backoffs.items():
            self.backoffs.merge_announced(now, name_hash, seconds)
        are_new = [self.leaving.record(now, start_hash, age) for start_hash, age in leaving.items()]
        if any(are_new):
            self._signal_urgent_change(now)
        return any(are_new)

    def restart(self, now: float, server: ids.BackendId) -> None:
        """Drops the limit and the backoff of an earlier start of a server."""
        self.limits.restart(now, server)
        self.backoffs.remove_server(server)

    def remove_server(self, server: ids.BackendId) -> None:
        """Removes all state of a server that has left."""
        self._send_history.remove_server(server)
        self.limits.remove_server(server)
        self.backoffs.remove_server(server)
        self._logged_limits.pop(server, None)
        self._backoff_logged_at.pop(server, None)

    @property
    def is_empty(self) -> bool:
        """Whether no server has a limit or a backoff."""
        return self.limits.is_empty and self.backoffs.is_empty

    def find_next_send_time(
        self, now: float, server: backend.BackendServer, cold: shared_bounds.Bound | None
    ) -> float:
        """Returns the earliest time at which this instance may send one more request to a server.

        :param cold: bound that applies while the server is cold; None if it is not cold.
        :returns: infinity if this instance has no quota of a bound.
        """
        next_send_at = max(now, self.backoffs.find_backoff_end(server.backend))
        for bound in self._list_bounds(now, server, cold):
            fleet_view = self._get_fleet_view(now)
            quota_position = self._quota_positions.find(
                server.backend, server.domain, fleet_view, self._regions
            )
            quota = shared_bounds.compute_quota(bound, quota_position, fleet_view)
            if quota == 0:
                return math.inf
            bound_next_send_at = self._send_history.find_next_send_time(
                now, server.backend, quota, bound.window
            )
            next_send_at = max(next_send_at, bound_next_send_at)
        return next_send_at

    def find_wait(
        self, now: float, server: backend.BackendServer, cold: shared_bounds.Bound | None
    ) -> float:
        """Returns the time until any instance may send one more request, in seconds."""
        next_send_at = self.find_next_send_time(now, server, cold)
        if next_send_at < math.inf:
            return next_send_at - now
        # The quotas of the other instances become available one by one within a window.
        bounds = self._list_bounds(now, server, cold)
        wait = max(item.window / max(1, item.count) for item in bounds)
        return max(wait, self.backoffs.find_backoff_end(server.backend) - now)

    def _signal_urgent_change(self, now: float) -> None:
        if now >= self._urgent_change_at + URGENT_INTERVAL_SECONDS:
            self._urgent_change_at = now
            self.on_urgent_change()

    def _list_bounds(
        self, now: float, server: backend.BackendServer, cold: shared_bounds.Bound | None
    ) -> list[shared_bounds.Bound]:
        active_bounds = [] if cold is None else [cold]
        limit = self.limits.find(server.backend)
        if limit is not None:
            bound = shared_bounds.bound_advertised_limit(limit)
            if now < self.limits.find_first_window_end(server.backend):
                bound = shared_bounds.bound_first_window(bound)
            active_bounds.append(bound)
        return active_bounds

    def _get_fleet_view(self, now: float) -> shared_bounds.FleetView:
        if not self._fleet_view_until - FLEET_VIEW_TTL_SECONDS <= now < self._fleet_view_until:
            self._fleet_view = self._fleet.build_fleet_view(now)
            self._fleet_view_until = now + FLEET_VIEW_TTL_SECONDS
        return self._fleet_view
