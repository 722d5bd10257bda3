"""Runs one schedule: gateway processes, store, servers and callers under external faults."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import pathlib
import random
import signal

from bench.soak import gateways, records, relay, schedule
from testing import servers
from testing.platform import path_cuts, soak_gateway, soak_parts

SERVERS = 8
CALLERS = 16
CALLER_PAUSE_S = 0.05
# One caller in so many sends reads ahead on its connection, and the number that it sends ahead. Its
# pause is longer, so that it sends as many requests in a second as the others.
AHEAD_CALLER_STEP = 4
AHEAD_REQUESTS = 3
REQUEST_DEADLINE_S = 3.0
PROCESSING_S = 0.08
PROBE_INTERVAL_S = 0.25
# Interval between requests with a key that no team holds.
INTRUDER_INTERVAL_S = 0.1
SETTLE_PERIOD_S = 3.0
START_TIMEOUT_S = 20.0
# Time from the end of a process until it is restarted.
RESTART_DELAY_S = 0.5
# Interval between two measurements of the lateness.
SAMPLE_INTERVAL_S = 0.05
# Window over which the time that a process waits for a processor is summed, in samples.
WAIT_SAMPLES = 50
SLOW_STORE_DELAY_S = 0.3
# One-way latency between the gateways of a region and the store.
STORE_ONE_WAY_DELAYS_S = {"north": 0.001, "south": 0.055}
CLOSE_DELAY_S = 0.2
# Limits that servers advertise, in requests per second, and the shortest time that they do so.
ADVERTISED_LIMITS = (0.0, 0.7, 2.0, 4.7)
LIMIT_DURATION_MIN_S = 5.0
# Backoffs that servers request.
BACKOFFS_S = (0.8, 2.0, 5.0)
# Time after the end of a limit, fault or evacuation in which the servers concerned are not yet used
# fully: the window of a limit.
SHORTAGE_GRACE_S = 4.5
# Time from a server's announcement that it leaves until its registration is marked as draining.
REGISTRATION_DELAY_S = 6.0
# Duration of the cuts from all servers that are repeated without other faults.
CALM_CUT_S = 6.0
# Teams of the callers in turn. Those with odd numbers purchase, which needs a key.
TEAMS_OF_CALLERS = ("team-a", "team-a", "", "team-b")
NEVER = float("inf")
CUT_MANNERS = {
    schedule.Kind.PATH_HANGING: path_cuts.CutManner.HANGING,
    schedule.Kind.PATH_RESET: path_cuts.CutManner.RESET,
    schedule.Kind.PATH_NEW_REFUSED: path_cuts.CutManner.NEW_REFUSED,
}


class SoakRun:
    """The gateways of one run and their environment: store, relays, servers and callers."""

    def __init__(self, plan: schedule.Schedule, folder: pathlib.Path) -> None:
        self.plan = plan
        self.observed = records.Records()
        self._random = random.Random(plan.seed)
        self._store = soak_parts.make_store()
        self._relays: list[relay.Relay] = []
        self._gateways = [gateways.Gateway(n, folder) for n in range(plan.gateways)]
        self._servers: list[soak_parts.SoakServer] = []
        self._sequences = itertools.count(1)
        self._version = 0
        self._read_service = "reader"
        self._numbers = itertools.count(1)
        self._is_finished = False
        self._store_fault_until = 0.0

    @property
    def now(self) -> float:
        """Time on the event loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    async def run_schedule(self) -> records.Records:
        """Runs the schedule and returns the observations."""
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(servers.serve_app(self._store.make_app()))
            stack.callback(self._kill_all)
            await self._start_environment(stack, address)
            tasks = [asyncio.create_task(self._call(n)) for n in range(CALLERS)]
            tasks += [asyncio.create_task(self._probe(g)) for g in self._gateways]
            tasks.append(asyncio.create_task(self._intrude()))
            tasks.append(asyncio.create_task(self._measure_lateness()))
            await asyncio.sleep(SETTLE_PERIOD_S)
            await self._execute_actions()
            self.observed.faults_end_at = self.now
            await asyncio.sleep(schedule.RECOVERY_PERIOD_S)
            self.observed.recovery_ends_at = self.now
            await self._repeat_path_cuts()
            self._is_finished = True
            await asyncio.gather(*tasks)
            self._measure_processes()
            self._kill_all()
            # A last change completes the pending long polls before the store stops.
            await soak_parts.write_evacuation(self._store, gateways.DOMAINS[0], True)
            await asyncio.sleep(CLOSE_DELAY_S)
        self._read_logs()
        return self.observed

    async def _start_environment(self, stack, store_address: str) -> None:
        for number in range(SERVERS):
            server = soak_parts.SoakServer(
                f"server-{number}", self._make_run_recorder(number), PROCESSING_S
            )
            server.on_arrival = self._make_arrival_recorder(number)
            server.on_team = self._make_team_recorder(number)
            self._servers.append(await stack.enter_async_context(server.listen()))
            await self._register(number, "ready")
        await self._confirm_version()
        for gateway in self._gateways:
            region = gateways.REGIONS[gateway.domain]
            item = relay.Relay(store_address, STORE_ONE_WAY_DELAYS_S[region])
            await item.listen()
            stack.callback(item.close)
            self._relays.append(item)
            self._launch(gateway)
        async with asyncio.timeout(START_TIMEOUT_S):
            for gateway in self._gateways:
                while not await soak_parts.ask_ready(gateway.addresses["readiness"]):
                    await asyncio.sleep(0.1)

    def _make_run_recorder(self, number: int):
        def record(request: str) -> None:
            self.observed.runs.append(records.Run(request, number, self.now))

        return record

    def _make_arrival_recorder(self, number: int):
        def record(request: str, backoff_s: float | None, announces_leaving: bool) -> None:
            self.observed.arrivals.append(
                records.Arrival(request, number, self.now, backoff_s, announces_leaving)
            )

        return record

    def _make_team_recorder(self, number: int):
        def record(request: str, team: str, has_key: bool) -> None:
            self.observed.named_teams.append(records.NamedTeam(request, number, team, has_key))

        return record

    def _launch(self, gateway: gateways.Gateway) -> None:
        seeds = [other.addresses["peer"] for other in self._gateways[:2]]
        gateway.launch(self._relays[gateway.number].address, seeds)

    # Callers.

    async def _call(self, number: int) -> None:
        """Sends requests over one connection at a time, each to a random gateway."""
        connection, gateway, start = None, None, 0
        count = AHEAD_REQUESTS if number % AHEAD_CALLER_STEP == 0 else 1
        pause_s = count * CALLER_PAUSE_S + (count - 1) * PROCESSING_S
        while not self._is_finished:
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))
            if connection is None or not connection.is_usable:
                gateway = self._random.choice(self._gateways)
                if not gateway.is_running:
                    continue
                connection = soak_parts.CallerConnection(gateway.addresses["requests"])
                start = gateway.start
            is_buy = number % 2 == 1
            kind = records.RequestKind.BUY if is_buy else records.RequestKind.READ
            path = soak_parts.BUY_PATH if is_buy else soak_parts.READ_PATH
            team = TEAMS_OF_CALLERS[number % len(TEAMS_OF_CALLERS)]
            await self._send_requests(connection, gateway, start, kind, path, 0, count, team)

    async def _intrude(self) -> None:
        """Sends requests with a key that no team holds, each to a random gateway."""
        while not self._is_finished:
            await asyncio.sleep(INTRUDER_INTERVAL_S)
            gateway = self._random.choice(self._gateways)
            if not gateway.is_running:
                continue
            connection = soak_parts.CallerConnection(gateway.addresses["requests"])
            request = f"intruder-{next(self._numbers)}"
            self.observed.intruders[request] = -1
            answer = await connection.send_request(
                "POST", soak_parts.BUY_PATH, request, REQUEST_DEADLINE_S, soak_parts.UNKNOWN_KEY
            )
            self.observed.intruders[request] = answer.status
            connection.close()

    async def _probe(self, gateway: gateways.Gateway) -> None:
        """Requests the routes that the latest versions added from one gateway."""
        while not self._is_finished:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for version in sorted(self.observed.confirmed)[-3:]:
                if not gateway.is_running:
                    break
                start = gateway.start
                connection = soak_parts.CallerConnection(gateway.addresses["requests"])
                path = soak_parts.make_probe_path(version)
                kind = records.RequestKind.PROBE
                await self._send_requests(connection, gateway, start, kind, path, version, 1)
                connection.close()

    async def _send_requests(
        self, connection, gateway, start, kind, path, version, count, team=""
    ) -> None:
        """Sends requests ahead on a connection and records their answers."""
        requests = [f"{kind.value}-{next(self._numbers)}" for _ in range(count)]
        self.observed.teams |= dict.fromkeys(requests, team)
        key = soak_parts.TEAM_KEYS.get(team, "")
        method = "POST" if kind is records.RequestKind.BUY else "GET"
        sent_at = self.now
        answers = await connection.send_ahead(method, path, requests, REQUEST_DEADLINE_S, key)
        for request, answer in zip(requests, answers, strict=True):
            self.observed.attempts.append(
                records.Attempt(
                    request,
                    kind,
                    gateway.number,
                    start,
                    version,
                    sent_at,
                    self.now,
                    answer.status,
                    answer.body == soak_parts.make_body(request),
                )
            )

    # Operators.

    async def _confirm_version(self, dropped: tuple[int, ...] = ()) -> None:
        """Writes the next version and records the time of the store's acknowledgement.

        :param dropped: versions whose routes are removed; a removed route stays removed.
        """
        self._version += self._random.choice((1, 1, 2, 3))
        recent = sorted(self.observed.confirmed)[-soak_parts.ROUTES_KEPT_VERSIONS + 1 :]
        until = self.observed.routes_until
        kept = [
            item for item in recent if item not in dropped and until[item] == records.NEVER_DROPPED
        ]
        for number in set(self.observed.confirmed) - set(kept):
            until[number] = min(until[number], self._version - 1)
        until[self._version] = records.NEVER_DROPPED
        await soak_parts.write_configuration(
            self._store, self._version, self._read_service, [*kept, self._version]
        )
        self.observed.confirmed[self._version] = self.now

    def _find_domain(self, number: int) -> str:
        """Returns the failure domain of a server."""
        return gateways.DOMAINS[number // 2 % len(gateways.DOMAINS)]

    async def _register(self, number: int, state: str) -> None:
        server = self._servers[number]
        service = "reader" if number % 2 == 0 else "writer"
        await server.write_entry(
            self._store, self._find_domain(number), service, state, next(self._sequences)
        )

    # Faults.

    async def _execute_actions(self) -> None:
        began_at = self.now
        action_tasks = []
        for action in self.plan.actions:
            await asyncio.sleep(max(0.0, began_at + action.at - self.now))
            action_tasks.append(asyncio.create_task(self._execute(action)))
        await asyncio.gather(*action_tasks)

    async def _execute(self, action: schedule.Action) -> None:
        kinds = schedule.Kind
        match action.kind:
            case kinds.KILL | kinds.TERM | kinds.FREEZE | kinds.HANGUP:
                await asyncio.gather(
                    *(self._inject_gateway_fault(self._gateways[n], action) for n in action.targets)
                )
            case (
                kinds.STORE_SILENT
                | kinds.STORE_RESET
                | kinds.STORE_CUT
                | kinds.STORE_ONE_WAY
                | kinds.STORE_DELAY
            ):
                await asyncio.gather(*(self._inject_path_fault(n, action) for n in action.targets))
            case kinds.PATH_HANGING | kinds.PATH_RESET | kinds.PATH_NEW_REFUSED:
                await asyncio.gather(*(self._cut_path(n, action) for n in action.targets))
            case kinds.STORE_DOWN | kinds.STORE_SLOW | kinds.STORE_FORGETS | kinds.STORE_COPY:
                await self._inject_store_fault(action)
            case kinds.SERVER_LIMITS:
                await asyncio.gather(*(self._advertise_limit(n, action) for n in action.targets))
            case kinds.SERVER_RESTS:
                await asyncio.gather(*(self._request_backoff(n, action) for n in action.targets))
            case kinds.SERVER_SAYS_LEAVING:
                await self._announce_leaving(SERVERS - 2)
            case (
                kinds.SERVER_HANGS | kinds.SERVER_CRASHES | kinds.SERVER_LIES | kinds.SERVER_LEAVES
            ):
                # One server of each service stays unaffected.
                targets = [number for number in action.targets if number > 1]
                await asyncio.gather(*(self._inject_server_fault(n, action) for n in targets))
            case kinds.CHANGE_ADD:
                await self._confirm_version()
            case kinds.CHANGE_MOVE:
                self._read_service = "writer" if self._read_service == "reader" else "reader"
                await self._confirm_version()
            case kinds.CHANGE_DROP:
                await self._confirm_version(tuple(sorted(self.observed.confirmed)[:-2]))
            case kinds.EVACUATE:
                domain = gateways.DOMAINS[1 + action.targets[0] % 2]
                shortages = [
                    self._begin_shortage(number)
                    for number in range(SERVERS)
                    if self._find_domain(number) == domain
                ]
                await soak_parts.write_evacuation(self._store, domain, True)
                await asyncio.sleep(action.seconds)
                await soak_parts.write_evacuation(self._store, domain, False)
                for shortage in shortages:
                    shortage.ended_at = self.now + SHORTAGE_GRACE_S

    @contextlib.contextmanager
    def _disrupt(self, gateway: int | None, is_process: bool = False):
        item = records.Disruption(gateway, self.now, NEVER, is_process)
        self.observed.disruptions.append(item)
        try:
            yield
        finally:
            item.ended_at = self.now

    async def _inject_gateway_fault(
        self, gateway: gateways.Gateway, action: schedule.Action
    ) -> None:
        if not gateway.is_running or self._is_disrupted(gateway.number):
            return
        with self._disrupt(gateway.number, action.kind is not schedule.Kind.HANGUP):
            match action.kind:
                case schedule.Kind.KILL:
                    self.observed.killed.add((gateway.number, gateway.start))
                    gateway.send(signal.SIGKILL)
                    await self._restart(gateway)
                case schedule.Kind.TERM:
                    await self._stop(gateway)
                case schedule.Kind.FREEZE:
                    gateway.send(signal.SIGSTOP)
                    await asyncio.sleep(action.seconds)
                    gateway.send(signal.SIGCONT)
                case schedule.Kind.HANGUP:
                    gateway.send(signal.SIGHUP)

    def _is_disrupted(self, number: int) -> bool:
        """Returns whether a fault of a gateway is still active."""
        return any(
            item.gateway == number and item.ended_at == NEVER for item in self.observed.disruptions
        )

    async def _stop(self, gateway: gateways.Gateway) -> None:
        began_at, start = self.now, gateway.start
        gateway.send(signal.SIGTERM)
        is_ended = await asyncio.to_thread(
            gateways.wait_for_exit, gateway.process, gateways.STOP_TIMEOUT_S
        )
        if not is_ended:
            self.observed.error_lines.append(f"gateway {gateway.number} did not stop in time")
            gateway.kill()
        self.observed.stops.append((gateway.number, start, began_at, self.now))
        await self._restart(gateway)

    async def _restart(self, gateway: gateways.Gateway) -> None:
        await asyncio.to_thread(gateways.wait_for_exit, gateway.process, gateways.STOP_TIMEOUT_S)
        await asyncio.sleep(RESTART_DELAY_S)
        self._launch(gateway)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await soak_parts.ask_ready(gateway.addresses["readiness"]):
                    await asyncio.sleep(0.1)

    async def _inject_path_fault(self, number: int, action: schedule.Action) -> None:
        item = self._relays[number]
        with self._disrupt(number):
            match action.kind:
                case schedule.Kind.STORE_SILENT:
                    item.blackhole()
                    return
                case schedule.Kind.STORE_RESET:
                    item.reset()
                    return
                case schedule.Kind.STORE_CUT:
                    item.is_partitioned = True
                case schedule.Kind.STORE_ONE_WAY:
                    item.drops_responses = True
                case schedule.Kind.STORE_DELAY:
                    item.delay = SLOW_STORE_DELAY_S
            await asyncio.sleep(action.seconds)
            item.restore()

    async def _cut_path(self, number: int, action: schedule.Action) -> None:
        """Cuts a gateway off from all servers; callers, store and other gateways reach it."""
        addresses = frozenset(server.address for server in self._servers)
        item = records.PathCut(number, self.now, NEVER)
        self.observed.path_cuts.append(item)
        self._gateways[number].cut(soak_gateway.Cut(CUT_MANNERS[action.kind], addresses))
        await asyncio.sleep(action.seconds)
        item.ended_at = self.now
        self._gateways[number].cut(None)

    async def _repeat_path_cuts(self) -> None:
        """Cuts the same gateways off once more, after all other faults have ended."""
        cuts = [item for item in self.plan.actions if item.kind in schedule.PATH_CUTS]
        for action in cuts:
            calm_cut = dataclasses.replace(action, seconds=CALM_CUT_S)
            await asyncio.gather(*(self._cut_path(n, calm_cut) for n in action.targets))

    async def _inject_store_fault(self, action: schedule.Action) -> None:
        if self._store_fault_until > self.now:
            return
        self._store_fault_until = self.now + action.seconds
        with self._disrupt(None):
            match action.kind:
                case schedule.Kind.STORE_DOWN:
                    self._store.is_down = True
                    await asyncio.sleep(action.seconds)
                    self._store.is_down = False
                case schedule.Kind.STORE_SLOW:
                    self._store.answers_allowed.clear()
                    await asyncio.sleep(min(action.seconds, 1.0))
                    self._store.answers_allowed.set()
                case schedule.Kind.STORE_FORGETS:
                    await self._store.cut_watches()
                case schedule.Kind.STORE_COPY:
                    copy = self._store.copy()
                    await asyncio.sleep(action.seconds)
                    await self._store.restore_copy(copy)
                    await self._rewrite_lost_rows()

    async def _rewrite_lost_rows(self) -> None:
        """Writes again what the restored older copy of the store lost."""
        await asyncio.sleep(RESTART_DELAY_S)
        await self._confirm_version()
        for number in range(SERVERS):
            if number not in self.observed.left_at_by_server:
                await self._register(number, "ready")

    async def _inject_server_fault(self, number: int, action: schedule.Action) -> None:
        server = self._servers[number]
        shortage = self._begin_shortage(number)
        match action.kind:
            case schedule.Kind.SERVER_HANGS:
                server.processing_s = action.seconds
            case schedule.Kind.SERVER_CRASHES:
                server.is_down = True
            case schedule.Kind.SERVER_LIES:
                server.is_faulty = True
            case schedule.Kind.SERVER_LEAVES if (
                number == SERVERS - 1 and number not in self.observed.left_at_by_server
            ):
                await self._register(number, "draining")
                self.observed.left_at_by_server[number] = self.now
        await asyncio.sleep(action.seconds)
        server.processing_s, server.is_down, server.is_faulty = PROCESSING_S, False, False
        if number not in self.observed.left_at_by_server:
            shortage.ended_at = self.now + SHORTAGE_GRACE_S

    async def _advertise_limit(self, number: int, action: schedule.Action) -> None:
        server = self._servers[number]
        if server.limit is not None:
            return
        server.limit = self._random.choice(ADVERTISED_LIMITS)
        item = records.AdvertisedLimit(number, server.limit, self.now, NEVER)
        self.observed.limits.append(item)
        shortage = self._begin_shortage(number)
        # The check applies only from some seconds after the first advertisement.
        await asyncio.sleep(LIMIT_DURATION_MIN_S + action.seconds)
        item.ended_at = self.now
        shortage.ended_at = self.now + SHORTAGE_GRACE_S
        server.limit = None

    def _begin_shortage(self, number: int) -> records.Shortage:
        """Records that a server accepts less from now on."""
        shortage = records.Shortage(number, self.now, NEVER)
        self.observed.shortages.append(shortage)
        return shortage

    async def _request_backoff(self, number: int, action: schedule.Action) -> None:
        server = self._servers[number]
        backoff_s = server.backoff_s = self._random.choice(BACKOFFS_S)
        shortage = self._begin_shortage(number)
        await asyncio.sleep(action.seconds)
        shortage.ended_at = self.now + backoff_s
        server.backoff_s = None

    async def _announce_leaving(self, number: int) -> None:
        """Lets a server announce in its answers that it leaves; its registration follows later."""
        server = self._servers[number]
        if server.announces_leaving:
            return
        server.announces_leaving = True
        self._begin_shortage(number)
        await asyncio.sleep(REGISTRATION_DELAY_S)
        await self._register(number, "draining")
        self.observed.left_at_by_server.setdefault(number, self.now)

    # Measurements.

    async def _measure_lateness(self) -> None:
        """Measures how late timers fire and how long processes wait for a processor."""
        samples_by_pid: dict[int, collections.deque[float]] = {}
        while not self._is_finished:
            due_at = self.now + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.observed.lateness = max(self.observed.lateness, self.now - due_at)
            for gateway in self._gateways:
                if gateway.is_running:
                    samples = samples_by_pid.setdefault(
                        gateway.process.pid, collections.deque(maxlen=WAIT_SAMPLES)
                    )
                    samples.append(gateway.measure_cpu_wait())
                    delay = samples[-1] - samples[0]
                    self.observed.lateness = max(self.observed.lateness, delay)

    def _measure_processes(self) -> None:
        for gateway in self._gateways:
            if gateway.is_running:
                self.observed.descriptors[gateway.number] = gateway.count_descriptors()
                self.observed.memory_mb[gateway.number] = gateway.measure_memory_mb()
            else:
                self.observed.error_lines.append(
                    f"gateway {gateway.number} is not there at the end"
                )

    def _read_logs(self) -> None:
        for gateway in self._gateways:
            for line in gateway.read_lines():
                if soak_parts.contains_key(str(line)):
                    self.observed.error_lines.append(f"gateway {gateway.number}: key in a line")
                match line.get("name"):
                    case "REQUEST_ENDED":
                        request = line["fields"]["request"]
                        self.observed.logged_requests.add(request)
                        if line["fields"].get("relayed_by"):
                            self.observed.relayed_to[request] = gateway.number
                    case "TASK_FAILED" | "REQUEST_FAILED" | "NO_EVENT":
                        self.observed.error_lines.append(
                            f"gateway {gateway.number}: {line['message']}"
                        )

    def _kill_all(self) -> None:
        for gateway in self._gateways:
            gateway.kill()
