"""Plays one schedule: gateways, store, servers and callers, with faults from outside."""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import random
import signal

from bench.soak import gateways, records, relay, schedule
from testing import servers
from testing.platform import soak_parts

SERVERS = 8
CALLERS = 16
CALLER_PAUSE_SECONDS = 0.05
WAIT_SECONDS = 3.0
WORK_SECONDS = 0.08
PROBE_SECONDS = 0.25
SETTLE_SECONDS = 3.0
START_SECONDS_MAX = 20.0
# Time after which a killed process is started again, in seconds.
RESTART_SECONDS = 0.5
# Interval between two looks at how late timers are, in seconds.
LOOK_SECONDS = 0.05
# Window in which the time that processes wait for a processor is summed, in looks.
WAITED_LOOKS = 50
SLOW_STORE_SECONDS = 0.3
# One way between the gateways of a region and the store, in seconds.
STORE_DISTANCES = {"north": 0.001, "south": 0.055}
CLOSING_SECONDS = 0.2
# Limits that servers name, in requests a second, and how long they do at least, in seconds.
LIMITS = (0.0, 0.7, 2.0, 4.7)
LIMITED_SECONDS = 5.0
# Rests that servers name, in seconds.
RESTS = (0.8, 2.0, 5.0)
# Time between the word of a server that it leaves and its registration that says so, in seconds.
SAYS_BEFORE_SECONDS = 6.0
NEVER = float("inf")


class World:
    """Everything around the gateways of one run."""

    def __init__(self, plan: schedule.Schedule, folder: pathlib.Path) -> None:
        self.plan = plan
        self.seen = records.Records()
        self._chance = random.Random(plan.seed)
        self._store = soak_parts.make_store()
        self._relays: list[relay.Relay] = []
        self._gateways = [gateways.Gateway(n, folder) for n in range(plan.gateways)]
        self._servers: list[soak_parts.SoakServer] = []
        self._sequences = itertools.count(1)
        self._version = 0
        self._read_service = "reader"
        self._numbers = itertools.count(1)
        self._is_over = False
        self._store_harmed_until = 0.0

    @property
    def now(self) -> float:
        """Seconds on the clock of the run."""
        return asyncio.get_running_loop().time()

    async def play(self) -> records.Records:
        """Plays the schedule and returns what was seen."""
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(servers.serve_app(self._store.make_app()))
            stack.callback(self._kill_all)
            await self._open_world(stack, address)
            tasks = [asyncio.create_task(self._call(n)) for n in range(CALLERS)]
            tasks += [asyncio.create_task(self._probe(g)) for g in self._gateways]
            tasks.append(asyncio.create_task(self._watch()))
            await asyncio.sleep(SETTLE_SECONDS)
            await self._play_actions()
            self.seen.faults_end_at = self.now
            await asyncio.sleep(schedule.RECOVERY_SECONDS)
            self._is_over = True
            await asyncio.gather(*tasks)
            self._measure_processes()
            self._kill_all()
            # A last change ends the calls that wait at the store before it does.
            await soak_parts.write_evacuation(self._store, gateways.DOMAINS[0], True)
            await asyncio.sleep(CLOSING_SECONDS)
        self._read_logs()
        return self.seen

    async def _open_world(self, stack, store_address: str) -> None:
        for number in range(SERVERS):
            server = soak_parts.SoakServer(
                f"server-{number}", self._make_note(number), WORK_SECONDS
            )
            server.on_arrival = self._make_arrival_note(number)
            self._servers.append(await stack.enter_async_context(server.listen()))
            await self._register(number, "ready")
        await self._confirm_version()
        for gateway in self._gateways:
            region = gateways.REGIONS[gateway.domain]
            item = relay.Relay(store_address, STORE_DISTANCES[region])
            await item.listen()
            stack.callback(item.close)
            self._relays.append(item)
            self._launch(gateway)
        async with asyncio.timeout(START_SECONDS_MAX):
            for gateway in self._gateways:
                while not await soak_parts.ask_ready(gateway.addresses["readiness"]):
                    await asyncio.sleep(0.1)

    def _make_note(self, number: int):
        def note(request: str) -> None:
            self.seen.runs.append(records.Run(request, number, self.now))

        return note

    def _make_arrival_note(self, number: int):
        def note(request: str, rest_seconds: float | None, says_leaving: bool) -> None:
            self.seen.arrivals.append(
                records.Arrival(request, number, self.now, rest_seconds, says_leaving)
            )

        return note

    def _launch(self, gateway: gateways.Gateway) -> None:
        seeds = [other.addresses["peer"] for other in self._gateways[:2]]
        gateway.launch(self._relays[gateway.number].address, seeds)

    # Callers.

    async def _call(self, number: int) -> None:
        """Sends requests on open connections until they end."""
        connection, gateway, start = None, None, 0
        while not self._is_over:
            await asyncio.sleep(CALLER_PAUSE_SECONDS * self._chance.uniform(0.5, 1.5))
            if connection is None or not connection.is_usable:
                gateway = self._chance.choice(self._gateways)
                if not gateway.is_running:
                    continue
                connection = soak_parts.CallerConnection(gateway.addresses["requests"])
                start = gateway.start
            is_buy = number % 2 == 1
            kind = records.RequestKind.BUY if is_buy else records.RequestKind.READ
            path = soak_parts.BUY_PATH if is_buy else soak_parts.READ_PATH
            await self._ask(connection, gateway, start, kind, path, 0)

    async def _probe(self, gateway: gateways.Gateway) -> None:
        """Asks a gateway for the routes that the latest versions brought."""
        while not self._is_over:
            await asyncio.sleep(PROBE_SECONDS)
            for version in sorted(self.seen.confirmed)[-3:]:
                if not gateway.is_running:
                    break
                start = gateway.start
                connection = soak_parts.CallerConnection(gateway.addresses["requests"])
                path = soak_parts.make_probe_path(version)
                kind = records.RequestKind.PROBE
                await self._ask(connection, gateway, start, kind, path, version)
                connection.close()

    async def _ask(self, connection, gateway, start, kind, path, version) -> None:
        request = f"{kind.value}-{next(self._numbers)}"
        method = "POST" if kind is records.RequestKind.BUY else "GET"
        sent_at = self.now
        answer = await connection.ask(method, path, request, WAIT_SECONDS)
        is_right = answer.body == soak_parts.make_body(request)
        self.seen.attempts.append(
            records.Attempt(
                request,
                kind,
                gateway.number,
                start,
                version,
                sent_at,
                self.now,
                answer.status,
                is_right,
            )
        )

    # Operators.

    async def _confirm_version(self, dropped: tuple[int, ...] = ()) -> None:
        """Writes the next version; the store's acknowledgement counts.

        :param dropped: versions whose routes it leaves out; a route that was dropped stays out.
        """
        self._version += self._chance.choice((1, 1, 2, 3))
        recent = sorted(self.seen.confirmed)[-soak_parts.ROUTES_KEPT + 1 :]
        until = self.seen.routes_until
        kept = [item for item in recent if item not in dropped and until[item] == records.OPEN]
        for number in set(self.seen.confirmed) - set(kept):
            until[number] = min(until[number], self._version - 1)
        until[self._version] = records.OPEN
        await soak_parts.write_configuration(
            self._store, self._version, self._read_service, [*kept, self._version]
        )
        self.seen.confirmed[self._version] = self.now

    async def _register(self, number: int, state: str) -> None:
        server = self._servers[number]
        service = "reader" if number % 2 == 0 else "writer"
        domain = gateways.DOMAINS[number // 2 % len(gateways.DOMAINS)]
        await server.write_entry(self._store, domain, service, state, next(self._sequences))

    # Faults.

    async def _play_actions(self) -> None:
        began_at = self.now
        playing = []
        for action in self.plan.actions:
            await asyncio.sleep(max(0.0, began_at + action.at - self.now))
            playing.append(asyncio.create_task(self._act(action)))
        await asyncio.gather(*playing)

    async def _act(self, action: schedule.Action) -> None:
        kinds = schedule.Kind
        match action.kind:
            case kinds.KILL | kinds.TERM | kinds.FREEZE | kinds.HANGUP:
                await asyncio.gather(
                    *(self._harm(self._gateways[n], action) for n in action.targets)
                )
            case (
                kinds.STORE_SILENT
                | kinds.STORE_RESET
                | kinds.STORE_CUT
                | kinds.STORE_ONE_WAY
                | kinds.STORE_DELAY
            ):
                await asyncio.gather(*(self._harm_path(n, action) for n in action.targets))
            case kinds.STORE_DOWN | kinds.STORE_SLOW | kinds.STORE_FORGETS | kinds.STORE_COPY:
                await self._harm_store(action)
            case kinds.SERVER_LIMITS:
                await asyncio.gather(*(self._name_limit(n, action) for n in action.targets))
            case kinds.SERVER_RESTS:
                await asyncio.gather(*(self._name_rest(n, action) for n in action.targets))
            case kinds.SERVER_SAYS_LEAVING:
                await self._say_leaving(SERVERS - 2)
            case (
                kinds.SERVER_HANGS | kinds.SERVER_CRASHES | kinds.SERVER_LIES | kinds.SERVER_LEAVES
            ):
                # One server of each service is left alone.
                targets = [number for number in action.targets if number > 1]
                await asyncio.gather(*(self._harm_server(n, action) for n in targets))
            case kinds.CHANGE_ADD:
                await self._confirm_version()
            case kinds.CHANGE_MOVE:
                self._read_service = "writer" if self._read_service == "reader" else "reader"
                await self._confirm_version()
            case kinds.CHANGE_DROP:
                await self._confirm_version(tuple(sorted(self.seen.confirmed)[:-2]))
            case kinds.EVACUATE:
                domain = gateways.DOMAINS[1 + action.targets[0] % 2]
                await soak_parts.write_evacuation(self._store, domain, True)
                await asyncio.sleep(action.seconds)
                await soak_parts.write_evacuation(self._store, domain, False)

    @contextlib.contextmanager
    def _disrupt(self, gateway: int | None):
        item = records.Disruption(gateway, self.now, NEVER)
        self.seen.disruptions.append(item)
        try:
            yield
        finally:
            item.ended_at = self.now

    async def _harm(self, gateway: gateways.Gateway, action: schedule.Action) -> None:
        if not gateway.is_running or self._is_away(gateway.number):
            return
        with self._disrupt(gateway.number):
            match action.kind:
                case schedule.Kind.KILL:
                    self.seen.killed.add((gateway.number, gateway.start))
                    gateway.send(signal.SIGKILL)
                    await self._start_again(gateway)
                case schedule.Kind.TERM:
                    await self._stop(gateway)
                case schedule.Kind.FREEZE:
                    gateway.send(signal.SIGSTOP)
                    await asyncio.sleep(action.seconds)
                    gateway.send(signal.SIGCONT)
                case schedule.Kind.HANGUP:
                    gateway.send(signal.SIGHUP)

    def _is_away(self, number: int) -> bool:
        """Tells whether a gateway is being stopped or started already."""
        return any(
            item.gateway == number and item.ended_at == NEVER for item in self.seen.disruptions
        )

    async def _stop(self, gateway: gateways.Gateway) -> None:
        began_at, start = self.now, gateway.start
        gateway.send(signal.SIGTERM)
        is_ended = await asyncio.to_thread(
            gateways.wait_for_exit, gateway.process, gateways.STOP_SECONDS
        )
        if not is_ended:
            self.seen.bad_lines.append(f"gateway {gateway.number} did not stop in time")
            gateway.kill()
        self.seen.stops.append((gateway.number, start, began_at, self.now))
        await self._start_again(gateway)

    async def _start_again(self, gateway: gateways.Gateway) -> None:
        await asyncio.to_thread(gateways.wait_for_exit, gateway.process, gateways.STOP_SECONDS)
        await asyncio.sleep(RESTART_SECONDS)
        self._launch(gateway)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_SECONDS_MAX):
                while not await soak_parts.ask_ready(gateway.addresses["readiness"]):
                    await asyncio.sleep(0.1)

    async def _harm_path(self, number: int, action: schedule.Action) -> None:
        item = self._relays[number]
        with self._disrupt(number):
            match action.kind:
                case schedule.Kind.STORE_SILENT:
                    item.silence()
                    return
                case schedule.Kind.STORE_RESET:
                    item.reset()
                    return
                case schedule.Kind.STORE_CUT:
                    item.is_cut = True
                case schedule.Kind.STORE_ONE_WAY:
                    item.drops_answers = True
                case schedule.Kind.STORE_DELAY:
                    item.delay = SLOW_STORE_SECONDS
            await asyncio.sleep(action.seconds)
            item.mend()

    async def _harm_store(self, action: schedule.Action) -> None:
        if self._store_harmed_until > self.now:
            return
        self._store_harmed_until = self.now + action.seconds
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
                    await self._write_again()

    async def _write_again(self) -> None:
        """Operators and servers write what an older copy of the store has lost."""
        await asyncio.sleep(RESTART_SECONDS)
        await self._confirm_version()
        for number in range(SERVERS):
            if number not in self.seen.left:
                await self._register(number, "ready")

    async def _harm_server(self, number: int, action: schedule.Action) -> None:
        server = self._servers[number]
        match action.kind:
            case schedule.Kind.SERVER_HANGS:
                server.work_seconds = action.seconds
            case schedule.Kind.SERVER_CRASHES:
                server.is_down = True
            case schedule.Kind.SERVER_LIES:
                server.is_lying = True
            case schedule.Kind.SERVER_LEAVES if (
                number == SERVERS - 1 and number not in self.seen.left
            ):
                await self._register(number, "draining")
                self.seen.left[number] = self.now
        await asyncio.sleep(action.seconds)
        server.work_seconds, server.is_down, server.is_lying = WORK_SECONDS, False, False

    async def _name_limit(self, number: int, action: schedule.Action) -> None:
        server = self._servers[number]
        if server.limit is not None:
            return
        server.limit = self._chance.choice(LIMITS)
        item = records.Limit(number, server.limit, self.now, NEVER)
        self.seen.limits.append(item)
        # The promise holds from some seconds after the first word on.
        await asyncio.sleep(LIMITED_SECONDS + action.seconds)
        item.ended_at = self.now
        server.limit = None

    async def _name_rest(self, number: int, action: schedule.Action) -> None:
        server = self._servers[number]
        server.rest_seconds = self._chance.choice(RESTS)
        await asyncio.sleep(action.seconds)
        server.rest_seconds = None

    async def _say_leaving(self, number: int) -> None:
        """Lets a server say in its answers that it leaves; its registration follows."""
        server = self._servers[number]
        if server.says_leaving:
            return
        server.says_leaving = True
        await asyncio.sleep(SAYS_BEFORE_SECONDS)
        await self._register(number, "draining")
        self.seen.left.setdefault(number, self.now)

    # Watching.

    async def _watch(self) -> None:
        """Measures how late timers are, and how long processes wait for a processor."""
        waited: dict[int, collections.deque[float]] = {}
        while not self._is_over:
            due_at = self.now + LOOK_SECONDS
            await asyncio.sleep(LOOK_SECONDS)
            self.seen.lateness = max(self.seen.lateness, self.now - due_at)
            for gateway in self._gateways:
                if gateway.is_running:
                    looks = waited.setdefault(
                        gateway.process.pid, collections.deque(maxlen=WAITED_LOOKS)
                    )
                    looks.append(gateway.measure_waited())
                    delay = looks[-1] - looks[0]
                    self.seen.lateness = max(self.seen.lateness, delay)

    def _measure_processes(self) -> None:
        for gateway in self._gateways:
            if gateway.is_running:
                self.seen.descriptors[gateway.number] = gateway.count_descriptors()
                self.seen.memory_mb[gateway.number] = gateway.measure_memory_mb()
            else:
                self.seen.bad_lines.append(f"gateway {gateway.number} is not there at the end")

    def _read_logs(self) -> None:
        for gateway in self._gateways:
            for line in gateway.read_lines():
                match line.get("name"):
                    case "REQUEST_ENDED":
                        self.seen.explained.add(line["fields"]["request"])
                    case "TASK_FAILED" | "REQUEST_FAILED" | "NO_EVENT":
                        self.seen.bad_lines.append(f"gateway {gateway.number}: {line['message']}")

    def _kill_all(self) -> None:
        for gateway in self._gateways:
            gateway.kill()
