"""State that the tasks of one gateway share."""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import statistics
import time

from caperdyke.coordination.placement import (
    crashing_requests,
    last_servers,
    load_estimate,
    planned_stop,
    processing_times,
    region_overflow,
    selection,
    server_path,
    server_rankings,
    server_view,
    shared_bounds,
    shared_retry_budget,
    traffic_splits,
)
from caperdyke.coordination.registry import (
    fleet,
    initial_sync,
    pauses,
    provenance,
    server_registry,
)
from caperdyke.protocol import platform_interfaces
from caperdyke.state import (
    backend,
    clock,
    gateway_settings,
    ids,
    member,
    routes,
    store_rows,
)
from caperdyke.transport import events, metrics
from caperdyke.transport.backends import pool
from caperdyke.transport.gateway import server_bounds, server_headers, stop_limits
from caperdyke.transport.http import server_resources

# Assumed for a failure domain until a connection to it has been opened.
ROUND_TRIP_DEFAULT_SECONDS = 0.005
ROUND_TRIP_WEIGHT = 0.3


class GatewayContext:
    """State of one gateway, shared by all its tasks.

    :ivar registrations_at: time of the last answer about registrations, from the store or another
        instance; None before the first one.
    :ivar on_crash_news: called when this instance learned that a server ended under a request, or
        that a request is excused.
    :ivar find_registrations_confirmed_at: returns the time as of which the registrations are known.
    :ivar is_read_awaited: returns whether requests wait for a read of the registrations, after a
        pause of this instance.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        headers: platform_interfaces.HeaderTranslator,
        documents: platform_interfaces.DocumentDecoder,
        store: platform_interfaces.Store,
        now: collections.abc.Callable[[], float] = clock.read_clock,
    ) -> None:
        self.settings = settings
        self.headers = headers
        self.documents = documents
        self.store = store
        self.now = now
        own_member = member.Member(
            settings.instance,
            ids.Incarnation(int(time.time() * 1000)),
            settings.domain,
            settings.peer_address,
            settings.caller_address,
            member.MemberState.LIVE,
        )
        self.fleet = fleet.Fleet(own_member, settings.domains)
        self.servers = server_registry.ServerRegistry()
        self.routes: routes.RouteTable | None = None
        self.provenance = provenance.Provenance()
        self.evacuated: frozenset[ids.DomainName] = frozenset()
        # Time until which servers count as cold, by failure domain whose evacuation has ended.
        self.cold_domains: dict[ids.DomainName, float] = {}
        self.views: dict[ids.BackendId, server_view.ServerView] = {}
        self.path = server_path.ServerPath()
        self.pool = pool.ConnectionPool(now)
        self.splits = traffic_splits.WeightedRoundRobin()
        self.times = processing_times.ProcessingTimes()
        self.service_loads = load_estimate.ServiceLoads(
            settings.load_model is gateway_settings.LoadModel.BLENDED
        )
        self.bounds = server_bounds.ServerBounds(
            self.fleet, settings.domains, settings.backoff_seconds_max
        )
        bounds = settings.bounds
        self.header_handler = server_headers.ServerHeaderHandler(
            self.bounds, self.servers, self.pool, self.refresh_servers
        )
        self.retries = shared_retry_budget.SharedRetryBudget(
            bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window, now()
        )
        self.crashing_requests = crashing_requests.CrashingRequests(settings.crashes_max)
        self.on_crash_news: collections.abc.Callable[[ids.RequestDigest], None] = lambda _: None
        self.round_trips: dict[ids.DomainName, float] = {}
        self.initial_sync = initial_sync.InitialSync()
        self.initial_sync_finished = asyncio.Event()
        self.registrations_at: float | None = None
        self.find_registrations_confirmed_at: collections.abc.Callable[[], float] = (
            lambda: -math.inf
        )
        self.is_read_awaited: collections.abc.Callable[[], bool] = lambda: False
        self.pauses = pauses.PauseDetector()
        self.metrics = metrics.Metrics()
        self.active_requests = 0
        self.planned_stop: planned_stop.PlannedStop | None = None
        self.resources = server_resources.make_resources(
            settings.memory_bytes, settings.descriptors, now
        )
        self.stop_limits = stop_limits.StopLimits(now)
        self._services: dict[ids.ServiceName, list[server_registry.RegisteredServer]] = {}
        self._rankings = server_rankings.ServerRankings()
        self.last_servers = last_servers.LastServers()
        self.region_overflow = region_overflow.RegionOverflow(settings.overflow_ratio_max)

    @property
    def is_stopping(self) -> bool:
        """Whether this instance has been asked to stop."""
        return self.planned_stop is not None

    def stop(self) -> None:
        """Starts the planned stop, and limits what requests wait for."""
        self.planned_stop = planned_stop.plan(self.now(), self.settings.bounds.stop_seconds)
        self.stop_limits.apply()

    def find_stop_deadline(self) -> float:
        """Returns the time at which requests without an answer end; infinity without a stop."""
        return math.inf if self.planned_stop is None else self.planned_stop.deadline

    def find_latest_send(
        self, route: routes.Route, ends_at: float, expected_s: float | None = None
    ) -> float:
        """Returns the time until which a request may be sent; infinity without a stop.

        :param ends_at: time at which the request ends in any case.
        :param expected_s: expected time on the selected server; None if none is selected.
        """
        if self.planned_stop is None:
            return math.inf
        times = self.times.find(route.name, route.objective_ms / 1000)
        if expected_s is None:
            expected_s = times.mean if times.recent_ratios else times.cold
        work = planned_stop.Work(
            expected_s,
            times.spread,
            route.kind.is_repeatable,
            ends_at,
            self.times.list_related(route.objective_ms / 1000),
        )
        return self.planned_stop.find_latest_send(work)

    def apply_settings(self, changed: gateway_settings.GatewaySettings) -> None:
        """Applies changed limits and failure domains."""
        self.settings = changed
        self.resources.apply_memory(changed.memory_bytes)
        self.region_overflow.ratio_max = changed.overflow_ratio_max
        self.fleet.apply_regions(changed.domains)
        self.bounds.apply_regions(changed.domains)
        self.bounds.backoffs.max_backoff_s = changed.backoff_seconds_max
        self.service_loads.apply_setting(changed.load_model is gateway_settings.LoadModel.BLENDED)
        bounds = changed.bounds
        self.retries.apply_limits(bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window)
        self.crashing_requests.apply_limit(changed.crashes_max)
        self._rankings.clear()

    def may_check_keys(self) -> bool:
        """Returns whether the configuration is recent enough to decide about keys of teams."""
        teams = self.settings.teams
        if not teams.is_revocation_strict:
            return True
        return self.provenance.is_confirmed(self.now(), teams.revoke_seconds)

    def record_initial_read(self, read: initial_sync.SyncStep) -> None:
        """Records that one of the initial reads has succeeded."""
        self.initial_sync.record_read(read)
        self._publish_initial_sync()

    def record_initial_failure(self) -> None:
        """Records that a read failed, so that requests stop waiting for the initial reads."""
        self.initial_sync.record_failure()
        self._publish_initial_sync()

    def _publish_initial_sync(self) -> None:
        if self.initial_sync.is_settled:
            self.initial_sync_finished.set()

    def evacuate(self, domains: frozenset[ids.DomainName]) -> None:
        """Evacuates exactly these failure domains and takes all others into use.

        Servers of an evacuated domain are removed from the rankings of objects too, so that the
        rest of their region counts with its reduced capacity.
        """
        self.evacuated = domains
        self.refresh_servers()

    def refresh_servers(self) -> None:
        """Updates the usable servers of each service, and drops the state of removed ones."""
        now = self.now()
        usable = [
            registered
            for registered in self.servers.list_usable(now)
            if not self._is_out_of_service(registered)
        ]
        services = server_registry.list_services(usable)
        self.path.apply_servers(
            len(usable), len({item.registration.server.domain for item in usable})
        )
        self._rankings.apply_servers(
            {
                name: [registered.registration.server for registered in registered_servers]
                for name, registered_servers in services.items()
            }
        )
        self._services = services
        for registered in self.servers.take_released(now):
            events.log(
                events.Event.SERVER_RELEASED,
                backend=registered.registration.server.backend,
                last_request_ms=_compute_age_ms(now, registered.last_sent_at),
            )
        for name in self.servers.remove_gone(now):
            self.views.pop(name, None)
            self.bounds.remove_server(name)
            self.pool.drop(name)

    def is_in_service(self, now: float, registered: server_registry.RegisteredServer) -> bool:
        """Returns whether a server may get requests, apart from bounds on their number."""
        return self.servers.is_usable(now, registered) and not self._is_out_of_service(registered)

    def _is_out_of_service(self, registered: server_registry.RegisteredServer) -> bool:
        """Returns whether a server is evacuated, or has announced that it is leaving."""
        is_evacuated = registered.registration.server.domain in self.evacuated
        return is_evacuated or self.header_handler.is_leaving(registered)

    def find_registrations_age_ms(self) -> int:
        """Returns the age of the registrations in milliseconds; -1 before the first read.

        The age counts from the latest time as of which the store, or an instance of the failure
        domain that read it, has confirmed them.
        """
        return _compute_age_ms(self.now(), self.find_registrations_confirmed_at())

    def log_server_removed(
        self,
        registered: server_registry.RegisteredServer,
        removed: store_rows.Position,
        source: str,
        confirmed_at: float,
    ) -> None:
        """Logs a removal with what bounds the time for which the server was used after it.

        :param removed: position up to which the registration was removed.
        :param source: the store, or the address of the instance that sent the removal.
        :param confirmed_at: latest time as of which the server was still registered.
        """
        now, server = self.now(), registered.registration.server
        events.log(
            events.Event.SERVER_REMOVED,
            backend=server.backend,
            service=server.service,
            position=str(removed),
            source=source,
            registered_ms=_compute_age_ms(now, confirmed_at),
            last_request_ms=_compute_age_ms(now, registered.last_sent_at),
            held_ms=(
                round(max(0.0, registered.usable_until - now) * 1000) if registered.is_held else 0
            ),
        )

    def describe_path(self, service: ids.ServiceName) -> dict[str, int]:
        """Returns why servers of a service are not selected, and the path to all servers.

        :returns: number of servers by status, and the observations of ``ServerPath``.
        """
        now = self.now()
        views = [
            self.views.get(registered.registration.server.backend)
            for registered in self._services.get(service, ())
        ]
        statuses = collections.Counter(view.find_status(now).value for view in views if view)
        return dict(statuses) | self.path.describe(now)

    def find_server_by_start(self, start_hash: int) -> str:
        """Returns the name of the server with a start of this hash, or the hash if unknown."""
        for registered in self.servers.list_all():
            if registered.start_hash == start_hash:
                return registered.registration.server.backend
        return f"start {start_hash:08x}"

    def find_view(self, name: ids.BackendId) -> server_view.ServerView | None:
        """Returns the observations of a server, or None if the server is not registered."""
        registered = self.servers.find(name)
        if registered is None:
            return None
        server = registered.registration.server
        view = self.views.get(name)
        if view is None:
            view = self.views[name] = server_view.ServerView(
                server, service_load=self.service_loads.find(server.service)
            )
        elif view.server != server:
            view.server = server
        return view

    def clear_failures(self) -> None:
        """Discards failures of all servers that were due to the path of this instance."""
        for view in self.views.values():
            view.clear_failures()

    def list_servers(self) -> list[backend.BackendServer]:
        """Returns the servers of all services that may get requests."""
        return [
            registered.registration.server
            for registered_servers in self._services.values()
            for registered in registered_servers
        ]

    def reset_view(self, name: ids.BackendId) -> None:
        """Drops observations, connections and bounds of an earlier start of a server."""
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
        """Returns the servers of a service that may get a request now, in the object's ranking.

        :param count_max: largest number of servers, taken from the top of the ranking.
        """
        now = self.now()
        candidates = []
        is_large = route.kind is routes.RouteKind.DOWNLOAD
        for ranked in self._rankings.find(now, self.settings, service, key, is_large):
            server = ranked.server
            if route.homes and ranked.region not in route.homes:
                continue
            registered = self.servers.find(server.backend)
            if registered is None or self.find_next_send_time(now, registered) > now:
                continue
            candidates.append(
                selection.Candidate(
                    self.find_view(server.backend),
                    server.domain == self.settings.domain,
                    self.round_trips.get(server.domain, ROUND_TRIP_DEFAULT_SECONDS),
                    self.bounds.backoffs.is_deprioritized(now, server.backend),
                )
            )
            if len(candidates) >= count_max:
                return candidates + self._list_regional_homes(now, service, key, route, candidates)
        return candidates

    def _list_regional_homes(
        self,
        now: float,
        service: ids.ServiceName,
        key: ids.ObjectKey,
        route: routes.Route,
        candidates: list[selection.Candidate],
    ) -> list[selection.Candidate]:
        """Returns an object's homes in other regions that are not candidates already."""
        is_large = route.kind is routes.RouteKind.DOWNLOAD
        if not key or is_large or not self.region_overflow.allows(now):
            return []
        known = {item.view.server.backend for item in candidates}
        found = []
        for located in self._rankings.find_regional_homes(now, self.settings, service, key):
            server = located.server
            registered = self.servers.find(server.backend)
            is_allowed = not route.homes or located.region in route.homes
            if not is_allowed or server.backend in known or registered is None:
                continue
            if self.find_next_send_time(now, registered) > now:
                continue
            found.append(
                selection.Candidate(
                    self.find_view(server.backend),
                    False,
                    self.round_trips.get(server.domain, ROUND_TRIP_DEFAULT_SECONDS),
                    self.bounds.backoffs.is_deprioritized(now, server.backend),
                    True,
                )
            )
        return found

    def find_last_server(
        self, service: ids.ServiceName, key: ids.ObjectKey
    ) -> ids.BackendId | None:
        """Returns the server that last answered for an object, if requests are to stay there."""
        if not self.settings.stay_margin_seconds:
            return None
        return self.last_servers.find(self.now(), service, key)

    def record_region(self, server: backend.BackendServer, is_regional_home: bool) -> None:
        """Counts a request that was placed, for the part that may leave the region."""
        region = self.settings.domains.get(server.domain)
        has_left = is_regional_home and region != self.settings.region
        self.region_overflow.record(self.now(), has_left)

    def record_no_capacity(self, service: ids.ServiceName) -> bool:
        """Records that no server had capacity for a download; returns whether to select again."""
        return self._rankings.record_no_capacity(self.now(), service)

    def is_cold(self, now: float, registered: server_registry.RegisteredServer) -> bool:
        """Returns whether a server is cold, so that its requests are bounded."""
        domain = registered.registration.server.domain
        if now < registered.cold_until or now < self.cold_domains.get(domain, 0.0):
            return True
        return (
            not registered.is_preexisting
            and now < registered.first_seen + self._find_cold_seconds(registered)
        )

    def compute_service_failure_ratio(self, view: server_view.ServerView) -> float:
        """Returns the median failure ratio of all servers of a server's service."""
        failure_ratios = [
            self.views[registered.registration.server.backend].failure_ratio
            for registered in self._services.get(view.server.service, ())
            if registered.registration.server.backend in self.views
        ]
        return statistics.median(failure_ratios) if failure_ratios else 0.0

    def record_round_trip(self, domain: ids.DomainName, seconds: float) -> None:
        """Adds the time that a connection took to open to a moving average."""
        previous = self.round_trips.get(domain)
        average = (
            seconds if previous is None else previous + ROUND_TRIP_WEIGHT * (seconds - previous)
        )
        self.round_trips[domain] = min(average, 0.2)

    def log_server_avoided(self, view: server_view.ServerView, cause: str) -> None:
        """Logs that a server is temporarily avoided."""
        events.log(
            events.Event.SERVER_AVOIDED,
            backend=view.server.backend,
            cause=cause,
            failing=round(view.failure_ratio, 2),
            speed=round(view.slowdown, 2),
        )

    def find_next_send_time(
        self, now: float, registered: server_registry.RegisteredServer
    ) -> float:
        """Returns the earliest time at which this instance may send one more request to a server.

        :returns: infinity if the server is out of service or this instance has no quota of a bound.
        """
        if not self.is_in_service(now, registered):
            return math.inf
        is_cold = self.is_cold(now, registered)
        if not is_cold and self.bounds.is_empty:
            return now
        cold = self._make_cold_bound(registered) if is_cold else None
        return self.bounds.find_next_send_time(now, registered.registration.server, cold)

    def try_record_send(self, server: backend.BackendServer) -> bool:
        """Counts a request as sent; returns False if the server must not get it now.

        Pattern: a server leaves, moves or advertises a limit while requests assigned to it wait for
        a connection.

        :param server: the server as it was registered when it was selected.
        """
        now, registered = self.now(), self.servers.find(server.backend)
        if registered is None or registered.registration.server != server:
            return False
        if self.find_next_send_time(now, registered) > now:
            return False
        self.bounds.record_send(now, server.backend)
        self.servers.record_sent(now, server.backend)
        return True

    def adjust_retry_after(
        self, no_capacity: selection.NoCapacity, route: routes.Route, service: ids.ServiceName
    ) -> selection.NoCapacity:
        """Returns a result whose retry delay accounts for the servers excluded by their bounds.

        Pattern: all servers of a service advertise limits below the demand, or all have refused
        requests and asked for a backoff.
        """
        now = self.now()
        backoff_end = self.find_service_backoff_end(route, service)
        if backoff_end > now:
            return dataclasses.replace(
                no_capacity, retry_after=backoff_end - now, is_empty=False, is_advertised=True
            )
        waits = []
        for registered in self._list_servers_allowed(route, service):
            cold = self._make_cold_bound(registered) if self.is_cold(now, registered) else None
            waits.append(self.bounds.find_wait(now, registered.registration.server, cold))
        waits = [wait for wait in waits if wait > 0]
        if not waits:
            return no_capacity
        soonest = min(waits)
        retry_after = soonest if no_capacity.is_empty else min(soonest, no_capacity.retry_after)
        retry_after = min(
            selection.RETRY_AFTER_MAX_S, max(selection.RETRY_AFTER_MIN_S, retry_after)
        )
        return dataclasses.replace(no_capacity, retry_after=retry_after, is_empty=False)

    def find_service_backoff_end(self, route: routes.Route, service: ids.ServiceName) -> float:
        """Returns the time at which the first backoff among a service's servers ends.

        :returns: minus infinity if any server has no backoff, or if there is no server.
        """
        if self.bounds.backoffs.is_empty:
            return -math.inf
        ends = [
            self.bounds.backoffs.find_backoff_end(registered.registration.server.backend)
            for registered in self._list_servers_allowed(route, service)
        ]
        return min(ends, default=-math.inf)

    def _list_servers_allowed(
        self, route: routes.Route, service: ids.ServiceName
    ) -> list[server_registry.RegisteredServer]:
        """Returns the servers of a service in the regions that may serve a route."""
        regions = self.settings.domains
        return [
            registered
            for registered in self._services.get(service, ())
            if not route.homes
            or regions.get(registered.registration.server.domain, "") in route.homes
        ]

    def _find_service_limits(
        self, registered: server_registry.RegisteredServer
    ) -> routes.ServiceLimits | None:
        if self.routes is None:
            return None
        return self.routes.services.get(registered.registration.server.service)

    def _find_cold_seconds(self, registered: server_registry.RegisteredServer) -> float:
        limits = self._find_service_limits(registered)
        return limits.cold_ms / 1000 if limits else 0.0

    def _make_cold_bound(self, registered: server_registry.RegisteredServer) -> shared_bounds.Bound:
        limits, bounds = self._find_service_limits(registered), self.settings.bounds
        rate = limits.cold_per_second if limits else 0.0
        return shared_bounds.bound_cold_start(rate, bounds.cold_factor, bounds.cold_allowance)


def _compute_age_ms(now: float, event_at: float) -> int:
    """Returns the time since an event in milliseconds; -1 if there was none."""
    return -1 if event_at == -math.inf else round((now - event_at) * 1000)
