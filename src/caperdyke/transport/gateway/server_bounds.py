"""What this instance may send to servers that bound it by their own word."""

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

# How long the view of the fleet is used before it is made again, in seconds.
SIGHT_SECONDS = 0.05
# Shortest time between two log lines about one server's limit, in seconds.
LOG_SECONDS = 2.0
# Longest part of a text that is no number in a log line, in characters.
TEXT_MAX = 40
# Shortest time between two announcements at once of rests or leaving servers, in seconds: where a
# whole service is full, each of its servers names a rest.
NEWS_SECONDS = 0.5


class ServerBounds:
    """Keeps what servers say of the work they want, and counts what is sent to each server.

    :param regions: the region of each failure domain.
    :param backoff_seconds_max: longest rest that is believed, in seconds.
    :ivar on_news: called where others should hear at once of what a server said.
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
        self._sends = shared_bounds.SendHistory()
        self._places = shared_bounds.QuotaPositions()
        self._sight = shared_bounds.FleetView(None, {}, 0.0)
        self._sight_until = -math.inf
        # Limits as they were logged last, and when.
        self._logged: dict[ids.BackendId, tuple[header_fields.LimitReport, float]] = {}
        # When a rest of a server was logged last.
        self._rest_logged_at: dict[ids.BackendId, float] = {}
        self._news_at = -math.inf

    def apply_regions(self, regions: dict[ids.DomainName, ids.RegionName]) -> None:
        """Takes over a changed map of failure domains."""
        self._regions = regions
        self._places = shared_bounds.QuotaPositions()

    def record_send(self, now: float, server: ids.BackendId) -> None:
        """Counts a request that is sent."""
        self._sends.record_send(now, server)

    def record_answer(
        self,
        now: float,
        server: ids.BackendId,
        report: header_fields.LimitReport,
        sent_at: float,
        is_sound: bool,
    ) -> None:
        """Learns what an answer of a server says of its limit; see `named_limits`."""
        if self.limits.record_answer(now, server, report, sent_at, is_sound):
            self.on_urgent_change()
        logged, logged_at = self._logged.get(server, (header_fields.NoLimit(), -math.inf))
        if report == logged or now < logged_at + LOG_SECONDS:
            return
        match report:
            case header_fields.AdvertisedLimit(per_second=per_second):
                events.log(events.Event.LIMIT_NAMED, backend=server, per_second=per_second)
            case header_fields.UnreadableLimit(text=text):
                events.log(events.Event.LIMIT_UNREADABLE, backend=server, text=text[:TEXT_MAX])
            case header_fields.NoLimit():
                if self.limits.find(server) is not None:
                    return
                events.log(events.Event.LIMIT_ENDED, backend=server)
        self._logged[server] = (report, now)

    def record_rest(
        self, now: float, server: ids.BackendId, report: header_fields.BackoffReport
    ) -> None:
        """Learns for how long a server wants nothing from this instance."""
        if isinstance(report, header_fields.NoBackoff):
            return
        if self.backoffs.record_answer(now, server, report):
            self._tell_soon(now)
        if now < self._rest_logged_at.get(server, -math.inf) + LOG_SECONDS:
            return
        self._rest_logged_at[server] = now
        match report:
            case header_fields.RequestedBackoff(seconds=seconds):
                events.log(events.Event.SERVER_RESTS, backend=server, seconds=seconds)
            case header_fields.UnreadableBackoff(text=text):
                events.log(events.Event.REST_UNREADABLE, backend=server, text=text[:TEXT_MAX])

    def record_leaving(self, now: float, server: ids.BackendId, mark: int) -> bool:
        """Learns that a start of a server leaves, from its answer; tells whether it is news."""
        if not self.leaving.record(now, mark):
            return False
        events.log(events.Event.SERVER_LEAVING, backend=server)
        self._tell_soon(now)
        return True

    def merge_announced(
        self,
        now: float,
        limits: dict[int, tuple[float | None, float]],
        backoffs: dict[int, float],
        leaving: dict[int, float],
    ) -> bool:
        """Learns what servers said to another instance; tells whether one leaves by that word.

        :param limits: limits that they named, and how long ago, in seconds.
        :param backoffs: rests that they asked for, in seconds left.
        :param leaving: how long ago they said that they leave, in seconds.
        """
        news = [self.limits.merge_announced(now, mark, *limit) for mark, limit in limits.items()]
        if any(news):
            self.on_urgent_change()
        for mark, seconds in backoffs.items():
            self.backoffs.merge_announced(now, mark, seconds)
        left = [self.leaving.record(now, mark, age) for mark, age in leaving.items()]
        if any(left):
            self._tell_soon(now)
        return any(left)

    def restart(self, now: float, server: ids.BackendId) -> None:
        """Forgets what an earlier start of a server said."""
        self.limits.restart(now, server)
        self.backoffs.forget(server)

    def forget(self, server: ids.BackendId) -> None:
        """Forgets a server that has left."""
        self._sends.forget(server)
        self.limits.forget(server)
        self.backoffs.forget(server)
        self._logged.pop(server, None)
        self._rest_logged_at.pop(server, None)

    @property
    def is_empty(self) -> bool:
        """Whether no server has named a limit or a rest."""
        return self.limits.is_empty and self.backoffs.is_empty

    def find_next_send_time(
        self, now: float, server: backend.BackendServer, cold: shared_bounds.Bound | None
    ) -> float:
        """Returns from when on a server may get one more request of this instance.

        :param cold: what holds while the server is cold; None where it is not.
        :returns: infinite where this instance has no part of a bound.
        """
        room_at = max(now, self.backoffs.find_backoff_end(server.backend))
        for bound in self._list_bounds(now, server, cold):
            sight = self._find_sight(now)
            place = self._places.find(server.backend, server.domain, sight, self._regions)
            part = shared_bounds.compute_quota(bound, place, sight)
            if part == 0:
                return math.inf
            bound_room_at = self._sends.find_next_send_time(now, server.backend, part, bound.window)
            room_at = max(room_at, bound_room_at)
        return room_at

    def find_wait(
        self, now: float, server: backend.BackendServer, cold: shared_bounds.Bound | None
    ) -> float:
        """Returns the time until some instance may send one more request, in seconds."""
        room_at = self.find_next_send_time(now, server, cold)
        if room_at < math.inf:
            return room_at - now
        # The parts of other instances come free one by one in the course of a window.
        bounds = self._list_bounds(now, server, cold)
        wait = max(item.window / max(1, item.count) for item in bounds)
        return max(wait, self.backoffs.find_backoff_end(server.backend) - now)

    def _tell_soon(self, now: float) -> None:
        if now >= self._news_at + NEWS_SECONDS:
            self._news_at = now
            self.on_urgent_change()

    def _list_bounds(
        self, now: float, server: backend.BackendServer, cold: shared_bounds.Bound | None
    ) -> list[shared_bounds.Bound]:
        found = [] if cold is None else [cold]
        limit = self.limits.find(server.backend)
        if limit is not None:
            bound = shared_bounds.bound_advertised_limit(limit)
            if now < self.limits.find_first_window_end(server.backend):
                bound = shared_bounds.bound_first_window(bound)
            found.append(bound)
        return found

    def _find_sight(self, now: float) -> shared_bounds.FleetView:
        if not self._sight_until - SIGHT_SECONDS <= now < self._sight_until:
            self._sight = self._fleet.build_fleet_view(now)
            self._sight_until = now + SIGHT_SECONDS
        return self._sight
