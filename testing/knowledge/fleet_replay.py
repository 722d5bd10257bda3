"""A fleet of real store syncs and announcers with a simulated store and a simulated network."""

import asyncio
import contextvars
import dataclasses
import random

from caperdyke import errors
from caperdyke.state import (
    backend,
    gateway_settings,
    ids,
    member,
    registration,
    routes,
    settings,
    store_rows,
)
from caperdyke.transport.gateway import announcer, context, store_sync

# Processing time of the store for one answer, in seconds.
STORE_ANSWER_SECONDS = 0.004
# Time to the first retransmission of a lost connection request and of other lost data, in seconds.
CONNECT_RETRANSMIT_SECONDS = 1.0
DATA_RETRANSMIT_SECONDS = 0.3
# One-way delay between an instance and the store, in seconds, by region; the store is in the first.
STORE_DELAY_SECONDS = (0.0007, 0.055, 0.055)
# Timeout of a call beyond its wait, in seconds; the same as in the client of the platform's store.
CALL_TIMEOUT_SECONDS = 1.5
BOUNDS = gateway_settings.GatewayBounds(0.2, 60, 0.0, 1.5, 5, 2.5, 5.0, 6.0)

# Name of the instance whose task runs.
_CURRENT: contextvars.ContextVar[str] = contextvars.ContextVar("current_instance")


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """One persistent connection of an instance to the store.

    :ivar is_silent: whether packets are dropped in both directions without closing the connection.
    """

    is_silent: bool = False


@dataclasses.dataclass(slots=True)
class InstanceFaults:
    """Faults of one instance and of its network.

    :ivar loss: ratio of lost packets.
    :ivar silence_detection_seconds: time after which the instance detects a silent connection.
    :ivar is_refused: whether the store refuses the instance.
    :ivar is_isolated: whether neither datagrams nor rows pass to or from other instances.
    :ivar is_killed: whether the process has ended.
    :ivar is_inbound_cut: whether nothing from other instances arrives, while datagrams to them do.
    :ivar frozen_until: time until which the process is paused.
    """

    loss: float = 0.0
    silence_detection_seconds: float = float("inf")
    is_refused: bool = False
    is_isolated: bool = False
    is_killed: bool = False
    is_inbound_cut: bool = False
    frozen_until: float = 0.0


class SimulatedStore:
    """Store with a single configuration row, registrations and delayed answers.

    :ivar version: version of the newest change of any table.
    :ivar configuration_version: version of the newest change of the configuration.
    :ivar slow_seconds: time that an answer takes in addition to the usual time.
    :ivar history_from: earliest version from which the store can still list changes.
    :ivar registrations: version and state of each registration; the state of a removed one is None.
    :ivar silent_until: time until which no call is answered; calls that still wait are then.
    :ivar reads_version: version that reads of changes show instead of the current one, if any.
    """

    def __init__(self) -> None:
        self.version = 1
        self.configuration_version = 1
        self.registrations: dict[str, tuple[int, str | None]] = {}
        self.reads_version: int | None = None
        self.confirmed_at = 0.0
        self.slow_seconds = 0.0
        self.calls = 0
        self.is_unavailable = False
        self.silent_until = 0.0
        self.history_from = 0
        self._changed = asyncio.Condition()

    async def confirm(self, version: int) -> None:
        """Accepts a configuration."""
        async with self._changed:
            self.version = self.configuration_version = version
            self.confirmed_at = asyncio.get_running_loop().time()
            self._changed.notify_all()

    async def register(self, server: str, state: str | None) -> None:
        """Accepts the registration of a server, or its removal if the state is None."""
        self.change_other_table()
        self.registrations[server] = (self.version, state)
        self.confirmed_at = asyncio.get_running_loop().time()

    def change_other_table(self) -> None:
        """Accepts a change of a table that the instances do not follow."""
        self.version += 1

    async def wait_for_change(self, number: int, wait_ms: int) -> None:
        """Waits for a configuration above a version, at most for a time."""
        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                while self.configuration_version <= number:
                    await self._changed.wait()
        except TimeoutError:
            return

    def read(self, table: store_rows.StoreTable, after: int | None) -> store_rows.StoreChanges:
        """Returns the rows of a table, or those that changed after a version.

        :param after: None for all rows.
        """
        is_whole = after is None
        version = self.version if is_whole or self.reads_version is None else self.reads_version
        position = store_rows.Position(1, version)
        rows = ()
        if table is store_rows.StoreTable.CONFIGURATION:
            number = min(version, self.configuration_version)
            changed = store_rows.Position(1, number)
            if is_whole or after < number:
                rows = (store_rows.StoreRow(table, "config", changed, str(number).encode()),)
        elif table is store_rows.StoreTable.SERVERS:
            rows = tuple(
                store_rows.StoreRow(
                    table, name, store_rows.Position(1, changed), state and state.encode()
                )
                for name, (changed, state) in self.registrations.items()
                if (state is not None if is_whole else after < changed <= version)
            )
        return store_rows.StoreChanges(table, rows, position, is_whole)


class StoreClient:
    """Client of the simulated store for one instance."""

    def __init__(self, replay: "FleetReplay", name: str, delay: float) -> None:
        self._replay = replay
        self._name = name
        self._delay = delay
        self._idle: list[Link] = []
        self.links: set[Link] = set()

    async def read_table(self, table: store_rows.StoreTable) -> store_rows.StoreChanges:
        """Returns all rows."""
        return await self._call(table, None, 0)

    async def read_changes(
        self, table: store_rows.StoreTable, position: store_rows.Position, wait_ms: int
    ) -> store_rows.StoreChanges | None:
        """Returns the rows that changed."""
        return await self._call(table, position, wait_ms)

    def drop_silent(self) -> None:
        """Drops idle connections that are silent."""
        self._idle = [link for link in self._idle if not link.is_silent]

    async def _call(
        self, table: store_rows.StoreTable, after: store_rows.Position | None, wait_ms: int
    ) -> store_rows.StoreChanges | None:
        self._replay.store.calls += 1
        instance_faults = self._replay.faults[self._name]
        link = self._idle.pop() if self._idle else None
        is_complete = False
        try:
            async with asyncio.timeout(wait_ms / 1000 + CALL_TIMEOUT_SECONDS):
                if link is None:
                    link = Link()
                    await self._transfer(instance_faults, CONNECT_RETRANSMIT_SECONDS, 2)
                    self.links.add(link)
                answer = await self._exchange(link, instance_faults, table, after, wait_ms)
            is_complete = True
            return answer
        except TimeoutError as error:
            raise errors.PlatformUnavailableError("no answer") from error
        finally:
            if is_complete:
                self._idle.append(link)
            else:
                self.links.discard(link)

    async def _exchange(self, link, instance_faults, table, after, wait_ms):
        answer_task = asyncio.ensure_future(self._serve(instance_faults, table, after, wait_ms))
        silent_since = None
        try:
            while not answer_task.done() or link.is_silent:
                if link.is_silent:
                    now = asyncio.get_running_loop().time()
                    silent_since = now if silent_since is None else silent_since
                    if now >= silent_since + instance_faults.silence_detection_seconds:
                        raise errors.PlatformUnavailableError("the connection is silent")
                await asyncio.wait({answer_task}, timeout=0.05)
                if answer_task.done() and link.is_silent:
                    await asyncio.sleep(0.05)
            return answer_task.result()
        finally:
            answer_task.cancel()

    async def _serve(self, instance_faults, table, after, wait_ms):
        store = self._replay.store
        await self._transfer(instance_faults, DATA_RETRANSMIT_SECONDS, 1)
        if instance_faults.is_refused or store.is_unavailable:
            raise errors.PlatformUnavailableError("refused")
        if after is not None:
            await store.wait_for_change(after.number, wait_ms)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, store.silent_until - loop.time()))
        await asyncio.sleep(STORE_ANSWER_SECONDS + store.slow_seconds)
        is_history_lost = after is not None and after.number < store.history_from
        answer = None
        if not is_history_lost:
            answer = store.read(table, None if after is None else after.number)
        await self._transfer(instance_faults, DATA_RETRANSMIT_SECONDS, 1)
        return answer

    async def _transfer(
        self, instance_faults: InstanceFaults, retransmit_seconds: float, one_way_trips: int
    ) -> None:
        """Waits for a transfer over the network, including retransmissions of lost packets."""
        while self._replay.rng.random() < instance_faults.loss:
            await asyncio.sleep(retransmit_seconds)
            retransmit_seconds *= 2
        await asyncio.sleep(self._delay * one_way_trips)
        now = asyncio.get_running_loop().time()
        if now < instance_faults.frozen_until:
            await asyncio.sleep(instance_faults.frozen_until - now)


class _Documents:
    """Parses the rows of the simulated store."""

    def read_evacuation(self, _row: store_rows.StoreRow) -> None:
        """Returns no evacuation."""
        return None

    def read_route_table(self, row: store_rows.StoreRow) -> routes.RouteTable:
        """Returns a route table without routes, with the version in the row."""
        return routes.RouteTable(int(row.value), (), {}, routes.CallerLimits(1, 1, 1.0, 1.0))

    def read_registration(self, row: store_rows.StoreRow) -> registration.Registration:
        """Returns the registration of a server with the state in the row."""
        server = backend.BackendServer(
            ids.BackendId(row.key),
            ids.DomainName("domain-0"),
            ids.ServiceName("service"),
            ids.Address("server:1"),
            1,
        )
        state = registration.RegistrationState(row.value.decode())
        return registration.Registration(server, state, 1, row.changed.number, 0.0)


class _DatagramTransport:
    """Sends the datagrams of one instance."""

    def __init__(self, replay: "FleetReplay", name: str) -> None:
        self._replay = replay
        self._name = name

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram."""
        self._replay.send_datagram(self._name, address[0], data)


class Instance:
    """One instance of the fleet.

    :param incarnation: counts the starts of the instance.
    """

    def __init__(
        self, replay: "FleetReplay", number: int, domains: int, incarnation: int = 1
    ) -> None:
        self.number = number
        self.name = f"instance-{number}"
        self.domain = number % domains
        self.region = self.domain % len(STORE_DELAY_SECONDS)
        self.client = StoreClient(replay, self.name, STORE_DELAY_SECONDS[self.region])
        regions = {
            ids.DomainName(f"domain-{item}"): ids.RegionName(f"region-{item % 3}")
            for item in range(domains)
        }
        address = ids.Address(f"{self.name}:1")
        instance_settings = gateway_settings.GatewaySettings(
            instance=ids.InstanceId(self.name),
            domain=ids.DomainName(f"domain-{self.domain}"),
            region=ids.RegionName(f"region-{self.region}"),
            caller_address=address,
            readiness_address=address,
            lookup_address=address,
            metrics_address=address,
            peer_address=address,
            store_address=ids.Address("store:1"),
            seeds=(),
            domains=regions,
            bounds=BOUNDS,
            logs=settings.LogSettings("INFO", settings.LogFormat.TEXT),
        )
        loop = asyncio.get_running_loop()
        self.node = context.GatewayContext(
            instance_settings, None, _Documents(), self.client, loop.time
        )
        self.record = dataclasses.replace(
            self.node.fleet.own,
            incarnation=ids.Incarnation(incarnation),
            state=member.MemberState.LIVE,
        )
        self.node.fleet.own = self.record
        self.node.fleet.is_ready = True
        rng = random.Random(replay.rng.random())
        self.store_sync = store_sync.StoreSync(self.node, rng)
        self.announcer = announcer.Announcer(self.node, self.store_sync, rng)
        self.announcer.connection_made(_DatagramTransport(replay, self.name))
        self.store_sync.on_servers_read = self.announcer.announce_to_domain
        self.store_sync.on_configuration_changed = self.announcer.announce_change
        self.tasks: list[asyncio.Task] = []

    def has_version(self, table: store_rows.StoreTable, version: int) -> bool:
        """Returns whether the instance has a table at a version or a later one."""
        match table:
            case store_rows.StoreTable.CONFIGURATION:
                return self.node.routes is not None and self.node.routes.version >= version
            case _:
                position = self.store_sync.servers.position
                return position is not None and position.number >= version

    def may_send_to(self, server: str) -> bool:
        """Returns whether the instance would send a request to a server now."""
        registered = self.node.servers.find(ids.BackendId(server))
        return registered is not None and self.node.is_in_service(self.node.now(), registered)

    def start(self) -> None:
        """Starts the tasks of the instance."""
        _CURRENT.set(self.name)
        loops = (
            self.store_sync.watch.follow,
            self.store_sync.sync_servers,
            self.store_sync.peer_sync.follow,
            self.announcer.announce,
        )
        self.tasks = [asyncio.create_task(loop()) for loop in loops]


class FleetReplay:
    """The fleet with its store and network.

    :param count: number of instances, assigned round-robin to the failure domains.
    """

    def __init__(self, count: int, seed: int, domains: int = 6) -> None:
        self.rng = random.Random(seed)
        self.store = SimulatedStore()
        self._domains = domains
        # Rows of the registrations that instances have sent to each other.
        self.exchanged_rows = 0
        self.instances = {}
        self.faults: dict[str, InstanceFaults] = {}
        # Whether all instances refuse to serve rows to peers.
        self.are_peer_reads_refused = False
        for number in range(count):
            instance = Instance(self, number, domains)
            self.instances[instance.name] = instance
            self.faults[instance.name] = InstanceFaults()
        for instance in self.instances.values():
            for other in self.instances.values():
                instance.node.fleet.merge(0.0, other.record)

    def start(self) -> None:
        """Starts all instances."""
        for instance in self.instances.values():
            instance.start()

    def stop(self) -> None:
        """Ends all tasks."""
        for instance in self.instances.values():
            for task in instance.tasks:
                task.cancel()

    def kill(self, name: str) -> None:
        """Ends an instance without any message to others."""
        self.faults[name].is_killed = True
        for task in self.instances[name].tasks:
            task.cancel()

    def restart(self, name: str) -> None:
        """Ends an instance without any message to others, and starts it again."""
        self.kill(name)
        # The new process writes its row.
        self.store.change_other_table()
        previous = self.instances[name]
        incarnation = previous.record.incarnation + 1
        instance = Instance(self, previous.number, self._domains, incarnation)
        self.instances[name] = instance
        self.faults[name] = InstanceFaults()
        now = asyncio.get_running_loop().time()
        for other in self.instances.values():
            instance.node.fleet.merge(now, other.record)
            other.node.fleet.merge(now, instance.record)
        token = _CURRENT.set(name)
        instance.start()
        _CURRENT.reset(token)

    def silence_connections(self, names, seconds: float) -> None:
        """Makes all open connections of some instances to the store silent.

        :param seconds: time after which an instance detects it.
        """
        for name in names:
            self.faults[name].silence_detection_seconds = seconds
            client = self.instances[name].client
            for link in client.links:
                link.is_silent = True
            if seconds < float("inf"):
                asyncio.get_running_loop().call_later(seconds, client.drop_silent)

    def send_datagram(self, sender: str, receiver: str, data: bytes) -> None:
        """Schedules the delivery of a datagram unless it is lost."""
        if not self._is_open(sender, receiver):
            return
        instance_faults = self.faults[receiver]
        loop = asyncio.get_running_loop()
        if self.rng.random() < max(instance_faults.loss, self.faults[sender].loss):
            return
        delivery_time = max(
            instance_faults.frozen_until, loop.time() + self._find_delay(sender, receiver)
        )
        loop.call_at(delivery_time, self._deliver, sender, receiver, data)

    async def fetch_rows(self, address: ids.Address, after) -> list[store_rows.StoreChanges]:
        """Reads rows from another instance; replaces ``row_exchange.fetch``."""
        requester, responder = _CURRENT.get(), address.partition(":")[0]
        delay = self._find_delay(requester, responder)
        instance_faults = self.faults[responder]
        if self.are_peer_reads_refused or instance_faults.is_killed:
            await asyncio.sleep(2 * delay)
            raise errors.LinkClosedError(f"{address}: refused")
        loop = asyncio.get_running_loop()
        frozen_seconds = max(instance_faults.frozen_until - loop.time(), 0.0)
        is_open = self._is_open(requester, responder)
        if not is_open or instance_faults.is_inbound_cut or frozen_seconds > 1.0:
            await asyncio.sleep(1.0)
            raise errors.LinkClosedError(f"{address}: no answer")
        await asyncio.sleep(4 * delay + frozen_seconds)
        table_changes = self.instances[responder].store_sync.list_changes_since(after)
        self.exchanged_rows += sum(
            len(changes.rows)
            for changes in table_changes
            if changes.table is store_rows.StoreTable.SERVERS
        )
        return table_changes

    def list_outdated(
        self, version: int, table: store_rows.StoreTable = store_rows.StoreTable.CONFIGURATION
    ) -> list[str]:
        """Returns the live instances that do not have a table at a version or a later one."""
        return [
            name
            for name, instance in self.instances.items()
            if not self.faults[name].is_killed and not instance.has_version(table, version)
        ]

    async def measure_delays(
        self,
        version: int,
        seconds_max: float,
        table: store_rows.StoreTable = store_rows.StoreTable.CONFIGURATION,
    ) -> dict[str, float]:
        """Returns for each instance the delay from a confirmation until it has the table."""
        loop = asyncio.get_running_loop()
        delays: dict[str, float] = {}
        outdated = self.list_outdated(version, table)
        while outdated and loop.time() < self.store.confirmed_at + seconds_max:
            await asyncio.sleep(0.01)
            still_outdated = self.list_outdated(version, table)
            for name in set(outdated) - set(still_outdated):
                delays[name] = loop.time() - self.store.confirmed_at
            outdated = still_outdated
        return delays | dict.fromkeys(outdated, float("inf"))

    async def measure_last_uses(self, server: str, seconds_max: float) -> dict[str, float]:
        """Returns for each live instance the delay until it sends nothing to a server any more.

        The delays count from the latest confirmation of the store. A server that comes back into
        use within the time makes the delay of the instance longer.

        :param seconds_max: time from the confirmation for which the instances are watched.
        """
        loop = asyncio.get_running_loop()
        last_uses: dict[str, float] = {}
        while (delay := loop.time() - self.store.confirmed_at) < seconds_max:
            for name, instance in self.instances.items():
                if not self.faults[name].is_killed and instance.may_send_to(server):
                    last_uses[name] = delay
            await asyncio.sleep(0.05)
        return last_uses

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if not self.faults[receiver].is_killed:
            token = _CURRENT.set(receiver)
            self.instances[receiver].announcer.datagram_received(data, (sender, 1))
            _CURRENT.reset(token)

    def _is_open(self, sender: str, receiver: str) -> bool:
        ends = (self.faults[sender], self.faults[receiver])
        loop = asyncio.get_running_loop()
        is_sending = not ends[0].is_killed and loop.time() >= ends[0].frozen_until
        return (
            is_sending and not ends[1].is_inbound_cut and not any(item.is_isolated for item in ends)
        )

    def _find_delay(self, sender: str, receiver: str) -> float:
        sender_instance, receiver_instance = self.instances[sender], self.instances[receiver]
        if sender_instance.region == receiver_instance.region:
            return 0.0007
        return (
            STORE_DELAY_SECONDS[sender_instance.region]
            + STORE_DELAY_SECONDS[receiver_instance.region]
        )
