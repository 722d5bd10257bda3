"""Time from the third crash until every instance rejects a deadly request."""

import asyncio
import dataclasses
import random

import loguru
import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import crashing_requests
from caperdyke.protocol import instance_messages
from caperdyke.state import ids
from caperdyke.transport.gateway import crash_exchange
from testing.knowledge import simulated_loop

# Shortest time after the third crash from which a request may reach few servers more.
BOUND_SECONDS = 3.0
ONE_WAY_SECONDS = 0.055
DEADLY = ids.RequestDigest(b"d" * 16)
SIZES = (10, 68, 103, 195, 750)


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    peer_address: ids.Address


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    record: _Record


class _Instance:
    """One instance: its records, its fleet and its datagrams."""

    def __init__(self, network: "_Network", number: int) -> None:
        self._network = network
        self.number = number
        self.crashing_requests = crashing_requests.CrashingRequests(3)
        self.message_handlers = {}
        self.is_cut = False
        self.fleet = self
        self.on_crash_news = None
        self.exchange = crash_exchange.CrashExchange(self, self, random.Random(number))

    def now(self) -> float:
        """Returns the simulated time."""
        return asyncio.get_running_loop().time()

    def list_live(self, _now: float) -> list[_Peer]:
        """Returns all other instances."""
        return [peer for number, peer in self._network.peers.items() if number != self.number]

    def find_server_by_start(self, start_hash: int) -> str:
        """Returns a name for a log line."""
        return str(start_hash)

    def send_message(self, address: ids.Address, data: bytes) -> None:
        """Sends a datagram."""
        self._network.send(self, int(address), data)

    def record_crash(self, start_hash: int) -> None:
        """Records that a server ended under the request here."""
        self.crashing_requests.record_crash(self.now(), DEADLY, start_hash)
        self.on_crash_news(DEADLY)

    @property
    def is_blocking(self) -> bool:
        """Whether the instance rejects the request."""
        return self.crashing_requests.is_blocked(self.now(), DEADLY)


class _Network:
    """Instances and the datagrams between them.

    :param loss: ratio of datagrams that are lost.
    """

    def __init__(self, count: int, loss: float) -> None:
        self._loss = loss
        self._rng = random.Random(count)
        self.peers: dict[int, _Peer] = {}
        self.instances: dict[int, _Instance] = {}
        self._tasks: list[asyncio.Task] = []
        self.datagrams = 0
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> _Instance:
        """Adds an instance without records."""
        self.peers[number] = _Peer(_Record(ids.Address(str(number))))
        instance = self.instances[number] = _Instance(self, number)
        self._tasks.append(asyncio.ensure_future(instance.exchange.run()))
        return instance

    def send(self, sender: _Instance, receiver: int, data: bytes) -> None:
        """Delivers a datagram after a delay, unless it is lost."""
        self.datagrams += 1
        target = self.instances[receiver]
        if sender.is_cut or target.is_cut or self._rng.random() < self._loss:
            return
        _, items = instance_messages.decode_message(data)
        handler = target.message_handlers[crash_exchange.crash_messages.KIND]
        asyncio.get_running_loop().call_later(ONE_WAY_SECONDS, handler, items, ids.Address(""))

    async def wait_until_blocked(self, seconds_max: float) -> float:
        """Returns the time until all instances reject the request, infinity if they do not."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() < started_at + seconds_max:
            if all(item.is_blocking for item in self.instances.values()):
                return loop.time() - started_at
            await asyncio.sleep(0.02)
        return float("inf")

    def stop(self) -> None:
        """Ends all tasks."""
        for task in self._tasks:
            task.cancel()


class CrashExchangeTest(testtools.TestCase):
    """Three instances count one crash each."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("caperdyke")
        self.addCleanup(loguru.logger.enable, "caperdyke")

    def run_network(self, count: int, loss: float, scenario) -> None:
        """Runs a scenario on a simulated clock."""

        async def run() -> None:
            network = _Network(count, loss)
            await asyncio.sleep(1.0)
            for start_hash, number in enumerate((0, count // 2, count - 1)):
                network.instances[number].record_crash(start_hash)
            await scenario(network)
            network.stop()

        simulated_loop.run(run())

    @parameterized.expand(
        [(f"{count}_{loss}", count, loss) for count in SIZES for loss in (0.0, 0.1)]
    )
    def test_all_instances_reject_the_request_within_the_bound(self, _name, count, loss) -> None:
        """Guards against a request that reaches servers through instances that learn late."""

        async def scenario(network: _Network) -> None:
            delay = await network.wait_until_blocked(10.0)
            self.assertLess(delay, BOUND_SECONDS)

        self.run_network(count, loss, scenario)

    @parameterized.expand([(str(count), count) for count in SIZES])
    def test_instance_that_starts_or_was_cut_off_learns_within_the_bound(
        self, _name, count
    ) -> None:
        async def scenario(network: _Network) -> None:
            cut = network.instances[1]
            cut.is_cut = True
            network.instances[1].crashing_requests.apply_limit(0)
            network.instances[1].crashing_requests.apply_limit(3)
            await asyncio.sleep(5.0)
            self.assertFalse(cut.is_blocking)
            cut.is_cut = False
            network.add(count)
            delay = await network.wait_until_blocked(20.0)
            self.assertLess(delay, BOUND_SECONDS)

        self.run_network(count, 0.0, scenario)

    @parameterized.expand([(str(count), count) for count in SIZES])
    def test_datagrams_of_an_instance_do_not_grow_with_the_fleet(self, _name, count) -> None:
        async def scenario(network: _Network) -> None:
            await asyncio.sleep(3.0)
            before = network.datagrams
            await asyncio.sleep(10.0)
            per_second = (network.datagrams - before) / 10.0 / count
            expected = crash_exchange.REPEAT_RECEIVERS / crash_exchange.REPEAT_SECONDS
            self.assertLessEqual(per_second, expected * 1.05)

        self.run_network(count, 0.0, scenario)
