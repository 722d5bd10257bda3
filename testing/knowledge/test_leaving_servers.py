"""Delay from the store's confirmation that a server leaves until no instance uses it."""

import asyncio

import loguru
import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.transport.gateway import row_exchange
from testing.knowledge import fleet_replay, simulated_loop

# Longest allowed delay in seconds: the shortest bound of the users' deployments, less the time of a
# request on its way to the farthest server.
DELAY_SECONDS_MAX = 2.5 - 0.11
# Time for which the instances are watched: longer than registrations that lapsed are kept.
WATCH_SECONDS = 5.0
SETTLE_SECONDS = 4.0
SERVER = "server-1"


async def lose_nothing(_replay: fleet_replay.FleetReplay) -> None:
    """No faults."""


async def fail_one_call_each(replay: fleet_replay.FleetReplay) -> None:
    """One call of each instance fails shortly before, at different moments."""
    for instance in replay.instances.values():
        _fail_next_call(instance, asyncio.get_running_loop().time() + replay.rng.uniform(0.0, 1.2))
    await asyncio.sleep(1.0)


async def kill_readers(replay: fleet_replay.FleetReplay) -> None:
    """The instance of each failure domain that read last is killed."""
    for domain in {instance.domain for instance in replay.instances.values()}:
        members = [item for item in replay.instances.values() if item.domain == domain]
        latest = max(members, key=lambda item: -item.store_sync.find_read_age_ms())
        if len(members) > 1:
            replay.kill(latest.name)


async def slow_store(replay: fleet_replay.FleetReplay) -> None:
    """The store takes a quarter of a second longer for each answer."""
    replay.store.slow_seconds = 0.25
    await asyncio.sleep(2.0)


async def show_old_state(replay: fleet_replay.FleetReplay) -> None:
    """Reads of changes by some calls show a state of several changes before."""
    version = replay.store.version
    for _ in range(3):
        await replay.store.confirm(replay.store.version + 1)
    await asyncio.sleep(2.0)
    replay.store.reads_version = version
    asyncio.get_running_loop().call_later(1.0, setattr, replay.store, "reads_version", None)


async def refuse_domain(replay: fleet_replay.FleetReplay) -> None:
    """The store refuses all instances of a failure domain."""
    names = [name for name, instance in replay.instances.items() if instance.domain == 1]
    for name in names:
        replay.faults[name].is_refused = True
    replay.silence_connections(names, 0.0)
    await asyncio.sleep(3.0)


async def lose_packets(replay: fleet_replay.FleetReplay) -> None:
    """Every tenth packet is lost."""
    for instance_faults in replay.faults.values():
        instance_faults.loss = 0.1
    await asyncio.sleep(1.0)


def _fail_next_call(instance: fleet_replay.Instance, starts_at: float) -> None:
    """Makes the first read of changes after a time fail."""
    original = instance.client.read_changes
    loop = asyncio.get_running_loop()

    async def read_changes(table, position, wait_ms):
        if wait_ms == 0 and loop.time() >= starts_at:
            instance.client.read_changes = original
            raise errors.PlatformUnavailableError("connection reset")
        return await original(table, position, wait_ms)

    instance.client.read_changes = read_changes


LOSSES = (
    lose_nothing,
    fail_one_call_each,
    kill_readers,
    slow_store,
    show_old_state,
    refuse_domain,
    lose_packets,
)
CASES = [
    (f"{loss.__name__}_{way}_{count}", loss, state, count)
    for loss in LOSSES
    for way, state in (("draining", "draining"), ("removed", None))
    for count in (10, 68)
] + [
    (f"{loss.__name__}_removed_{count}", loss, None, count)
    for loss, count in ((fail_one_call_each, 103), (fail_one_call_each, 195))
]
# Instances of one failure domain out of six, for a fleet of 750. Registrations are read and passed
# on within a failure domain.
DOMAIN_CASES = [("lose_nothing", lose_nothing), ("fail_one_call_each", fail_one_call_each)]
DOMAIN_COUNT = 125


class LeavingServerTest(testtools.TestCase):
    """A server leaves, and every instance stops sending to it within the bound."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("caperdyke")
        self.addCleanup(loguru.logger.enable, "caperdyke")

    @parameterized.expand(CASES)
    def test_no_request_reaches_a_leaving_server_after_the_bound(
        self, _name, loss, state, count
    ) -> None:
        """Guards against requests that reach a server later than its drain allows."""
        self.check_last_uses(loss, state, count)

    @parameterized.expand(DOMAIN_CASES)
    def test_failure_domain_of_750_instances_stops_within_the_bound(self, _name, loss) -> None:
        """Guards against requests that reach a server later than its drain allows."""
        self.check_last_uses(loss, None, DOMAIN_COUNT, 1)

    def check_last_uses(self, loss, state: str | None, count: int, domains: int = 6) -> None:
        """Checks that all instances stop in time.

        :param state: state that the server registers; None if its registration is removed.
        """
        last_uses: dict[str, float] = {}

        async def run_fleet() -> None:
            replay = fleet_replay.FleetReplay(count, 1, domains)
            self.patch(row_exchange, "fetch", replay.fetch_rows)
            await replay.store.register(SERVER, "ready")
            replay.start()
            await asyncio.sleep(SETTLE_SECONDS)
            unused = [
                name for name, item in replay.instances.items() if not item.may_send_to(SERVER)
            ]
            self.assertEqual([], unused)
            await loss(replay)
            await replay.store.register(SERVER, state)
            last_uses.update(await replay.measure_last_uses(SERVER, WATCH_SECONDS))
            replay.stop()

        simulated_loop.run(run_fleet())
        late = {
            name: round(delay, 2) for name, delay in last_uses.items() if delay > DELAY_SECONDS_MAX
        }
        self.assertEqual({}, late, f"used later than {DELAY_SECONDS_MAX} s, worst of {count}")
