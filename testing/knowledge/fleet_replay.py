"""A fleet of real followers and announcers between a simulated store and a simulated network."""

import asyncio
import contextvars
import dataclasses
import random

from caperdyke import errors
from caperdyke.state import gateway_settings, ids, member, routes, settings, store_rows
from caperdyke.transport.gateway import announcer, context, store_sync

# Time that the store takes for an answer, in seconds.
ANSWER_SECONDS = 0.004
# First retransmission of a lost opening packet, and of other lost bytes, in seconds.
OPENING_AGAIN_SECONDS = 1.0
BYTES_AGAIN_SECONDS = 0.3
# One way between an instance and the store, in seconds, by region; the store stands in the first.
REGION_SECONDS = (0.0007, 0.055, 0.055)
# As the client of the platform's store: longest time of a call beyond its wait, in seconds.
CALL_SECONDS = 1.5
BOUNDS = gateway_settings.GatewayBounds(0.2, 60, 0.0, 1.5, 5, 2.5, 5.0, 6.0)

# The instance whose task runs.
_CURRENT: contextvars.ContextVar[str] = contextvars.ContextVar("current_instance")


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """One kept connection of an instance to the store.

    :ivar is_silent: whether nothing passes any more, without a word to either side.
    """

    is_silent: bool = False


@dataclasses.dataclass(slots=True)
class Trouble:
    """What goes wrong on the way between one instance and all others.

    :ivar loss: part of the packets that are lost.
    :ivar silent_seconds: time after which the instance notices a silent connection.
    :ivar is_refused: whether the store turns the instance away.
    :ivar is_cut: whether no datagram and no row passes to or from other instances.
    :ivar is_deaf: whether nothing reaches the instance, though it is heard.
    :ivar frozen_until: time until which the process stands still.
    """

    loss: float = 0.0
    silent_seconds: float = float("inf")
    is_refused: bool = False
    is_cut: bool = False
    is_killed: bool = False
    is_deaf: bool = False
    frozen_until: float = 0.0


class SimulatedStore:
    """Holds one configuration; its answers take time.

    :ivar slow_seconds: time that an answer takes beyond the usual.
    :ivar shown: version that whole readings and changes show; None for the newest.
    """

    def __init__(self) -> None:
        self.version = 1
        self.confirmed_at = 0.0
        self.slow_seconds = 0.0
        self.calls = 0
        self.is_away = False
        self.history_from = 0
        self._changed = asyncio.Condition()

    async def confirm(self, version: int) -> None:
        """Accepts a configuration."""
        async with self._changed:
            self.version = version
            self.confirmed_at = asyncio.get_running_loop().time()
            self._changed.notify_all()

    async def wait_beyond(self, number: int, wait_ms: int) -> None:
        """Waits for a change after a position."""
        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                while self.version <= number:
                    await self._changed.wait()
        except TimeoutError:
            return

    def read(self, table: store_rows.StoreTable, is_whole: bool) -> store_rows.StoreChanges:
        """Returns the rows of a table."""
        position = store_rows.Position(1, self.version)
        rows = ()
        if table is store_rows.StoreTable.CONFIGURATION:
            rows = (store_rows.StoreRow(table, "config", position, str(self.version).encode()),)
        return store_rows.StoreChanges(table, rows, position, is_whole)


class StoreClient:
    """The store as one instance reaches it."""

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
        """Closes kept connections that are silent."""
        self._idle = [link for link in self._idle if not link.is_silent]

    async def _call(
        self, table: store_rows.StoreTable, after: store_rows.Position | None, wait_ms: int
    ) -> store_rows.StoreChanges | None:
        self._replay.store.calls += 1
        trouble = self._replay.troubles[self._name]
        link = self._idle.pop() if self._idle else None
        is_done = False
        try:
            async with asyncio.timeout(wait_ms / 1000 + CALL_SECONDS):
                if link is None:
                    link = Link()
                    await self._cross(trouble, OPENING_AGAIN_SECONDS, 2)
                    self.links.add(link)
                answer = await self._exchange(link, trouble, table, after, wait_ms)
            is_done = True
            return answer
        except TimeoutError as error:
            raise errors.PlatformUnavailableError("no answer") from error
        finally:
            if is_done:
                self._idle.append(link)
            else:
                self.links.discard(link)

    async def _exchange(self, link, trouble, table, after, wait_ms):
        serving = asyncio.ensure_future(self._serve(trouble, table, after, wait_ms))
        silent_since = None
        try:
            while not serving.done() or link.is_silent:
                if link.is_silent:
                    now = asyncio.get_running_loop().time()
                    silent_since = now if silent_since is None else silent_since
                    if now >= silent_since + trouble.silent_seconds:
                        raise errors.PlatformUnavailableError("the connection is silent")
                await asyncio.wait({serving}, timeout=0.05)
                if serving.done() and link.is_silent:
                    await asyncio.sleep(0.05)
            return serving.result()
        finally:
            serving.cancel()

    async def _serve(self, trouble, table, after, wait_ms):
        store = self._replay.store
        await self._cross(trouble, BYTES_AGAIN_SECONDS, 1)
        if trouble.is_refused or store.is_away:
            raise errors.PlatformUnavailableError("refused")
        if after is not None:
            await store.wait_beyond(after.number, wait_ms)
        await asyncio.sleep(ANSWER_SECONDS + store.slow_seconds)
        is_lost = after is not None and after.number < store.history_from
        answer = None if is_lost else store.read(table, after is None)
        await self._cross(trouble, BYTES_AGAIN_SECONDS, 1)
        return answer

    async def _cross(self, trouble: Trouble, again_seconds: float, ways: int) -> None:
        """Passes the network, with what is lost sent again."""
        while self._replay.chance.random() < trouble.loss:
            await asyncio.sleep(again_seconds)
            again_seconds *= 2
        await asyncio.sleep(self._delay * ways)
        now = asyncio.get_running_loop().time()
        if now < trouble.frozen_until:
            await asyncio.sleep(trouble.frozen_until - now)


class _Documents:
    """Reads the one row that the simulated store holds."""

    def read_evacuation(self, _row: store_rows.StoreRow) -> None:
        """Finds no evacuation."""
        return None

    def read_route_table(self, row: store_rows.StoreRow) -> routes.RouteTable:
        """Returns a configuration without routes."""
        return routes.RouteTable(int(row.value), (), {}, routes.CallerLimits(1, 1, 1.0, 1.0))


class _DatagramTransport:
    """Sends the datagrams of one instance."""

    def __init__(self, replay: "FleetReplay", name: str) -> None:
        self._replay = replay
        self._name = name

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram."""
        self._replay.pass_datagram(self._name, address[0], data)


class Instance:
    """One instance of the fleet."""

    def __init__(self, replay: "FleetReplay", number: int, domains: int) -> None:
        self.name = f"instance-{number}"
        self.domain = number % domains
        self.region = self.domain % len(REGION_SECONDS)
        self.client = StoreClient(replay, self.name, REGION_SECONDS[self.region])
        regions = {
            ids.DomainName(f"domain-{item}"): ids.RegionName(f"region-{item % 3}")
            for item in range(domains)
        }
        address = ids.Address(f"{self.name}:1")
        checked = gateway_settings.GatewaySettings(
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
        self.node = context.GatewayContext(checked, None, _Documents(), self.client, loop.time)
        self.record = dataclasses.replace(
            self.node.fleet.own, incarnation=ids.Incarnation(1), state=member.MemberState.LIVE
        )
        self.node.fleet.own = self.record
        self.node.fleet.is_ready = True
        chance = random.Random(replay.chance.random())
        self.store_sync = store_sync.StoreSync(self.node, chance)
        self.announcer = announcer.Announcer(self.node, self.store_sync, chance)
        self.announcer.connection_made(_DatagramTransport(replay, self.name))
        self.store_sync.on_servers_read = self.announcer.announce_to_domain
        self.store_sync.on_configuration_changed = self.announcer.announce_change
        self.tasks: list[asyncio.Task] = []

    def knows(self, table: store_rows.StoreTable, version: int) -> bool:
        """Tells whether the instance knows a table up to a version."""
        match table:
            case store_rows.StoreTable.CONFIGURATION:
                return self.node.routes is not None and self.node.routes.version >= version
            case _:
                position = self.store_sync.servers.position
                return position is not None and position.number >= version

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
    """The fleet and what connects it.

    :param count: instances, dealt over the failure domains in turn.
    """

    def __init__(self, count: int, seed: int, domains: int = 6) -> None:
        self.chance = random.Random(seed)
        self.store = SimulatedStore()
        self.instances = {}
        self.troubles: dict[str, Trouble] = {}
        # Whether no instance hands out rows.
        self.are_rows_closed = False
        for number in range(count):
            item = Instance(self, number, domains)
            self.instances[item.name] = item
            self.troubles[item.name] = Trouble()
        for item in self.instances.values():
            for other in self.instances.values():
                item.node.fleet.merge(0.0, other.record)

    def start(self) -> None:
        """Starts all instances."""
        for item in self.instances.values():
            item.start()

    def stop(self) -> None:
        """Ends all tasks."""
        for item in self.instances.values():
            for task in item.tasks:
                task.cancel()

    def kill(self, name: str) -> None:
        """Ends an instance without a word."""
        self.troubles[name].is_killed = True
        for task in self.instances[name].tasks:
            task.cancel()

    def silence(self, names, seconds: float) -> None:
        """Lets all open connections of some instances to the store fall silent.

        :param seconds: time after which an instance notices.
        """
        for name in names:
            self.troubles[name].silent_seconds = seconds
            client = self.instances[name].client
            for link in client.links:
                link.is_silent = True
            if seconds < float("inf"):
                asyncio.get_running_loop().call_later(seconds, client.drop_silent)

    def pass_datagram(self, sender: str, receiver: str, data: bytes) -> None:
        """Delivers a datagram unless it is lost."""
        if not self._is_open(sender, receiver):
            return
        trouble = self.troubles[receiver]
        loop = asyncio.get_running_loop()
        if self.chance.random() < max(trouble.loss, self.troubles[sender].loss):
            return
        at = max(trouble.frozen_until, loop.time() + self._find_delay(sender, receiver))
        loop.call_at(at, self._deliver, sender, receiver, data)

    async def fetch_rows(self, address: ids.Address, after) -> list[store_rows.StoreChanges]:
        """Asks another instance for rows, in place of ``peer_snapshots.fetch``."""
        asking, asked = _CURRENT.get(), address.partition(":")[0]
        delay = self._find_delay(asking, asked)
        trouble = self.troubles[asked]
        if self.are_rows_closed or trouble.is_killed:
            await asyncio.sleep(2 * delay)
            raise errors.LinkClosedError(f"{address}: refused")
        loop = asyncio.get_running_loop()
        held = max(trouble.frozen_until - loop.time(), 0.0)
        is_open = self._is_open(asking, asked)
        if not is_open or trouble.is_deaf or held > 1.0:
            await asyncio.sleep(1.0)
            raise errors.LinkClosedError(f"{address}: no answer")
        await asyncio.sleep(4 * delay + held)
        return self.instances[asked].store_sync.list_changes_since(after)

    def find_late(
        self, version: int, table: store_rows.StoreTable = store_rows.StoreTable.CONFIGURATION
    ) -> list[str]:
        """Returns the live instances that do not know a table up to a version."""
        return [
            name
            for name, item in self.instances.items()
            if not self.troubles[name].is_killed and not item.knows(table, version)
        ]

    async def measure(
        self,
        version: int,
        seconds_max: float,
        table: store_rows.StoreTable = store_rows.StoreTable.CONFIGURATION,
    ) -> dict[str, float]:
        """Returns for each instance the time from a confirmation until it knows a table."""
        loop = asyncio.get_running_loop()
        found: dict[str, float] = {}
        late = self.find_late(version, table)
        while late and loop.time() < self.store.confirmed_at + seconds_max:
            await asyncio.sleep(0.01)
            still = self.find_late(version, table)
            for name in set(late) - set(still):
                found[name] = loop.time() - self.store.confirmed_at
            late = still
        return found | dict.fromkeys(late, float("inf"))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if not self.troubles[receiver].is_killed:
            token = _CURRENT.set(receiver)
            self.instances[receiver].announcer.datagram_received(data, (sender, 1))
            _CURRENT.reset(token)

    def _is_open(self, sender: str, receiver: str) -> bool:
        ends = (self.troubles[sender], self.troubles[receiver])
        loop = asyncio.get_running_loop()
        is_sending = not ends[0].is_killed and loop.time() >= ends[0].frozen_until
        return is_sending and not ends[1].is_deaf and not any(item.is_cut for item in ends)

    def _find_delay(self, sender: str, receiver: str) -> float:
        one, two = self.instances[sender], self.instances[receiver]
        if one.region == two.region:
            return 0.0007
        return REGION_SECONDS[one.region] + REGION_SECONDS[two.region]
