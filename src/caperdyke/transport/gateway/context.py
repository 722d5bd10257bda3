"""What the tasks of one gateway share."""

import asyncio
import collections.abc
import dataclasses
import math
import statistics
import time

from caperdyke.coordination.placement import (
    processing_times,
    selection,
    server_rankings,
    server_view,
    shared_bounds,
    shared_retry_budget,
    traffic_splits,
)
from caperdyke.coordination.registry import fleet, initial_sync, provenance, server_registry
from caperdyke.protocol import platform_interfaces
from caperdyke.state import (
    clock,
    gateway_settings,
    ids,
    member,
    routes,
)
from caperdyke.transport import events, metrics
from caperdyke.transport.backends import pool
from caperdyke.transport.gateway import server_bounds, server_headers

# Round trip that is assumed for a failure domain before a connection was opened, in seconds.
ROUND_TRIP_FIRST = 0.005
ROUND_TRIP_WEIGHT = 0.3


class GatewayContext:
    """State of one gateway; every task gets it."""

    def __init__(
        self,
        checked: gateway_settings.GatewaySettings,
        headers: platform_interfaces.HeaderTranslator,
        documents: platform_interfaces.DocumentDecoder,
        store: platform_interfaces.Store,
        now: collections.abc.Callable[[], float] = clock.read_clock,
    ) -> None:
        self.settings = checked
        self.headers = headers
        self.documents = documents
        self.store = store
        self.now = now
        own = member.Member(
            checked.instance,
            ids.Incarnation(int(time.time() * 1000)),
            checked.domain,
            checked.peer_address,
            checked.caller_address,
            member.MemberState.LIVE,
        )
        self.fleet = fleet.Fleet(own, checked.domains)
        self.servers = server_registry.ServerRegistry()
        self.routes: routes.RouteTable | None = None
        self.provenance = provenance.Provenance()
        self.evacuated: frozenset[ids.DomainName] = frozenset()
        # Failure domains whose evacuation ended, and until when their servers count as cold.
        self.cold_domains: dict[ids.DomainName, float] = {}
        self.views: dict[ids.BackendId, server_view.ServerView] = {}
        self.pool = pool.ConnectionPool(now)
        self.splits = traffic_splits.WeightedRoundRobin()
        self.times = processing_times.ProcessingTimes()
        self.bounds = server_bounds.ServerBounds(
            self.fleet, checked.domains, checked.backoff_seconds_max
        )
        bounds = checked.bounds
        self.words = server_headers.ServerHeaderHandler(
            self.bounds, self.servers, self.pool, self.refresh_servers
        )
        self.retries = shared_retry_budget.SharedRetryBudget(
            bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window, now()
        )
        self.round_trips: dict[ids.DomainName, float] = {}
        self.initial_sync = initial_sync.InitialSync()
        self.initial_sync_finished = asyncio.Event()
        # Time of the latest answer about registrations, from the store or another instance.
        self.registrations_at: float | None = None
        self.metrics = metrics.Metrics()
        self.active_requests = 0
        self.is_stopping = False
        self._services: dict[ids.ServiceName, list[server_registry.RegisteredServer]] = {}
        self._orders = server_rankings.ServerRankings()

    def apply_settings(self, changed: gateway_settings.GatewaySettings) -> None:
        """Takes over changed limits and failure domains."""
        self.settings = changed
        self.fleet.apply_regions(changed.domains)
        self.bounds.apply_regions(changed.domains)
        self.bounds.backoffs.max_backoff_s = changed.backoff_seconds_max
        bounds = changed.bounds
        self.retries.apply_limits(bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window)
        self._orders.clear()

    def record_initial_read(self, read: initial_sync.SyncStep) -> None:
        """Records that one of the first reads has an answer."""
        self.initial_sync.record_read(read)
        self._publish_initial_sync()

    def record_initial_failure(self) -> None:
        """Records that a read failed."""
        self.initial_sync.record_failure()
        self._publish_initial_sync()

    def _publish_initial_sync(self) -> None:
        if self.initial_sync.is_settled:
            self.initial_sync_finished.set()

    def evacuate(self, domains: frozenset[ids.DomainName]) -> None:
        """Takes the servers of failure domains out of use, and those of all others back.

        They leave the order of homes too: what is left of their region counts as less room there.
        """
        self.evacuated = domains
        self.refresh_servers()

    def refresh_servers(self) -> None:
        """Groups the usable servers anew after a change."""
        now = self.now()
        usable = [
            known
            for known in self.servers.list_usable(now)
            if known.registration.server.domain not in self.evacuated
            and not self.words.is_leaving(known)
        ]
        services = server_registry.list_services(usable)
        self._orders.apply_servers(
            {
                name: [known.registration.server for known in group]
                for name, group in services.items()
            }
        )
        self._services = services
        for name in self.servers.remove_gone(now):
            self.views.pop(name, None)
            self.bounds.forget(name)
            self.pool.drop(name)

    def find_registrations_age_ms(self) -> int:
        """Returns how long ago registrations were read last, in milliseconds; -1 where never."""
        if self.registrations_at is None:
            return -1
        return round((self.now() - self.registrations_at) * 1000)

    def find_view(self, name: ids.BackendId) -> server_view.ServerView | None:
        """Returns what was observed of a server, or None where it is not known."""
        known = self.servers.find(name)
        if known is None:
            return None
        server = known.registration.server
        view = self.views.get(name)
        if view is None:
            view = self.views[name] = server_view.ServerView(server)
        elif view.server != server:
            view.server = server
        return view

    def restart_view(self, name: ids.BackendId) -> None:
        """Forgets what was observed of an earlier start of a server."""
        view = self.views.get(name)
        if view is not None:
            view.reset()
            self.pool.drop(name)
        self.bounds.restart(self.now(), name)

    def list_candidates(
        self,
        service: ids.ServiceName,
        key: ids.ObjectKey,
        route: routes.Route,
        count_max: float = selection.CANDIDATES_MAX,
    ) -> list[selection.Candidate]:
        """Returns servers of a service that a request may go to now, in the object's order.

        :param count_max: how many at most, the first ones of that order.
        """
        now = self.now()
        candidates = []
        is_large = route.kind is routes.RouteKind.DOWNLOAD
        for place in self._orders.find(now, self.settings, service, key, is_large):
            server = place.server
            if route.homes and place.region not in route.homes:
                continue
            known = self.servers.find(server.backend)
            if known is None or self.find_next_send_time(now, known) > now:
                continue
            candidates.append(
                selection.Candidate(
                    self.find_view(server.backend),
                    server.domain == self.settings.domain,
                    self.round_trips.get(server.domain, ROUND_TRIP_FIRST),
                    self.bounds.backoffs.is_deprioritized(now, server.backend),
                )
            )
            if len(candidates) >= count_max:
                break
        return candidates

    def record_no_capacity(self, service: ids.ServiceName) -> bool:
        """Learns that no server had room for a large answer; tells whether to choose once more."""
        return self._orders.record_no_capacity(self.now(), service)

    def is_cold(self, now: float, known: server_registry.RegisteredServer) -> bool:
        """Tells whether a server must be spared."""
        domain = known.registration.server.domain
        if now < known.cold_until or now < self.cold_domains.get(domain, 0.0):
            return True
        return not known.is_preexisting and now < known.first_seen + self._find_cold_seconds(known)

    def measure_failing(self, view: server_view.ServerView) -> float:
        """Returns the failed part of the answers of a server's whole service."""
        others = [
            self.views[known.registration.server.backend].failure_ratio
            for known in self._services.get(view.server.service, ())
            if known.registration.server.backend in self.views
        ]
        return statistics.median(others) if others else 0.0

    def record_round_trip(self, domain: ids.DomainName, seconds: float) -> None:
        """Learns from the time that a connection took to open."""
        known = self.round_trips.get(domain)
        new = seconds if known is None else known + ROUND_TRIP_WEIGHT * (seconds - known)
        self.round_trips[domain] = min(new, 0.2)

    def record_unusable(self, view: server_view.ServerView, cause: str) -> None:
        """Logs that a server is avoided for a while."""
        events.log(
            events.Event.SERVER_AVOIDED,
            backend=view.server.backend,
            cause=cause,
            failing=round(view.failure_ratio, 2),
            speed=round(view.slowdown, 2),
        )

    def find_next_send_time(self, now: float, known: server_registry.RegisteredServer) -> float:
        """Returns from when on a server may get one more request of this instance.

        :returns: infinite where this instance has no part of what the server may get.
        """
        if self.words.is_leaving(known):
            return math.inf
        is_cold = self.is_cold(now, known)
        if not is_cold and self.bounds.is_empty:
            return now
        cold = self._make_cold_bound(known) if is_cold else None
        return self.bounds.find_next_send_time(now, known.registration.server, cold)

    def admit(self, name: ids.BackendId) -> bool:
        """Counts a request that is sent now, or tells that the server's bounds have no room.

        Pattern: requests were placed, or waited for a connection, when a server named a limit.
        """
        now, known = self.now(), self.servers.find(name)
        if known is not None and self.find_next_send_time(now, known) > now:
            return False
        self.bounds.record_send(now, name)
        return True

    def correct_room(
        self, no_room: selection.NoCapacity, route: routes.Route, service: ids.ServiceName
    ) -> selection.NoCapacity:
        """Returns when to come back, with the servers in mind that their bounds kept out.

        Pattern: all servers of a service name limits, and more is asked for than they take; or all
        have turned requests away and want none for a while.
        """
        now = self.now()
        rest_end = self.find_rest_end(route, service)
        if rest_end > now:
            return dataclasses.replace(
                no_room, retry_after=rest_end - now, is_empty=False, is_named=True
            )
        waits = []
        for known in self._list_allowed(route, service):
            cold = self._make_cold_bound(known) if self.is_cold(now, known) else None
            waits.append(self.bounds.find_wait(now, known.registration.server, cold))
        waits = [wait for wait in waits if wait > 0]
        if not waits:
            return no_room
        soonest = min(waits)
        retry_after = soonest if no_room.is_empty else min(soonest, no_room.retry_after)
        retry_after = min(
            selection.RETRY_AFTER_MAX_S, max(selection.RETRY_AFTER_MIN_S, retry_after)
        )
        return dataclasses.replace(no_room, retry_after=retry_after, is_empty=False)

    def find_rest_end(self, route: routes.Route, service: ids.ServiceName) -> float:
        """Returns the time at which the first of a service's servers ends its rest.

        :returns: minus infinity where a server does not rest, or where there is none.
        """
        if self.bounds.backoffs.is_empty:
            return -math.inf
        ends = [
            self.bounds.backoffs.find_backoff_end(known.registration.server.backend)
            for known in self._list_allowed(route, service)
        ]
        return min(ends, default=-math.inf)

    def _list_allowed(
        self, route: routes.Route, service: ids.ServiceName
    ) -> list[server_registry.RegisteredServer]:
        """Returns the servers of a service in the regions where a route may be served."""
        regions = self.settings.domains
        return [
            known
            for known in self._services.get(service, ())
            if not route.homes or regions.get(known.registration.server.domain, "") in route.homes
        ]

    def _find_terms(self, known: server_registry.RegisteredServer) -> routes.ServiceLimits | None:
        if self.routes is None:
            return None
        return self.routes.services.get(known.registration.server.service)

    def _find_cold_seconds(self, known: server_registry.RegisteredServer) -> float:
        terms = self._find_terms(known)
        return terms.cold_ms / 1000 if terms else 0.0

    def _make_cold_bound(self, known: server_registry.RegisteredServer) -> shared_bounds.Bound:
        terms, bounds = self._find_terms(known), self.settings.bounds
        rate = terms.cold_per_second if terms else 0.0
        return shared_bounds.bound_cold_start(rate, bounds.cold_factor, bounds.cold_allowance)
