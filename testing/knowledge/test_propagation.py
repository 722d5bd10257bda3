"""Delay from the confirmation of a change until all instances have it, under faults."""

import asyncio

import loguru
import testtools
from parameterized import parameterized

from caperdyke.state import store_rows
from caperdyke.transport.gateway import row_exchange
from caperdyke.transport.http import tcp_keepalive
from testing.knowledge import fleet_replay, simulated_loop

# Longest allowed delay in seconds: the shortest bound of the users' deployments from a confirmation
# to "in force", and until a leaving server gets no new requests.
DELAY_SECONDS_MAX = 2.5
# Time for the instances to exchange announcements before the faults begin, in seconds.
SETTLE_SECONDS = 4.0
TIMEOUT_SECONDS = 12.0


CONFIGURATION = store_rows.StoreTable.CONFIGURATION
SERVERS = store_rows.StoreTable.SERVERS
SILENCE_DETECTION_SECONDS = tcp_keepalive.STORE_KEEPALIVE.idle_detection_s


async def no_faults(replay: fleet_replay.FleetReplay) -> None:
    """No faults."""
    await replay.store.confirm(2)


async def silence_one(replay: fleet_replay.FleetReplay) -> None:
    """The connections of one instance to the store are silent."""
    replay.silence_connections(["instance-1"], SILENCE_DETECTION_SECONDS)
    await replay.store.confirm(2)


async def silence_domain(replay: fleet_replay.FleetReplay) -> None:
    """All connections of a failure domain to the store are silent."""
    names = [name for name, instance in replay.instances.items() if instance.domain == 1]
    replay.silence_connections(names, SILENCE_DETECTION_SECONDS)
    await replay.store.confirm(2)


async def silence_all(replay: fleet_replay.FleetReplay) -> None:
    """All connections to the store are silent."""
    replay.silence_connections(list(replay.instances), SILENCE_DETECTION_SECONDS)
    await replay.store.confirm(2)


async def lose_packets(replay: fleet_replay.FleetReplay) -> None:
    """About every seventh packet is lost."""
    for instance_faults in replay.faults.values():
        instance_faults.loss = 0.15
    await replay.store.confirm(2)


async def slow_store(replay: fleet_replay.FleetReplay) -> None:
    """The store takes half a second longer for each answer."""
    replay.store.slow_seconds = 0.5
    await replay.store.confirm(2)


async def lose_history(replay: fleet_replay.FleetReplay) -> None:
    """The store has lost its history when the change is confirmed."""
    replay.store.history_from = 2
    await replay.store.confirm(2)


async def refuse_one(replay: fleet_replay.FleetReplay) -> None:
    """The store ends the calls of one instance and refuses new ones."""
    replay.faults["instance-1"].is_refused = True
    replay.silence_connections(["instance-1"], 0.0)
    await replay.store.confirm(2)


async def refuse_third(replay: fleet_replay.FleetReplay) -> None:
    """The store ends the calls of a third of all instances and refuses new ones."""
    names = replay.rng.sample(list(replay.instances), len(replay.instances) // 3)
    for name in names:
        replay.faults[name].is_refused = True
    replay.silence_connections(names, 0.0)
    await replay.store.confirm(2)


async def change_quickly(replay: fleet_replay.FleetReplay) -> None:
    """The store confirms changes in quick succession."""
    for version in range(2, 12):
        await replay.store.confirm(version)
        await asyncio.sleep(0.1)


SCENARIOS = (
    no_faults,
    silence_one,
    silence_domain,
    silence_all,
    lose_packets,
    slow_store,
    lose_history,
    refuse_one,
    refuse_third,
    change_quickly,
)
CASES = [
    (f"{scenario.__name__}_{table.value}_{count}", scenario, table, count)
    for scenario in SCENARIOS
    for table in (CONFIGURATION, SERVERS)
    for count in (10, 68)
]


class PropagationTest(testtools.TestCase):
    """Changes reach every instance within the bound although a fault occurs."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("caperdyke")
        self.addCleanup(loguru.logger.enable, "caperdyke")

    def run_scenario(
        self, count: int, scenario, seed: int = 1, table=CONFIGURATION
    ) -> dict[str, float]:
        """Returns for each instance the delay from the last confirmation until it has a table."""
        delays: dict[str, float] = {}

        async def run_fleet() -> None:
            replay = fleet_replay.FleetReplay(count, seed)
            self.patch(row_exchange, "fetch", replay.fetch_rows)
            replay.start()
            await asyncio.sleep(SETTLE_SECONDS)
            self.assertEqual([], replay.list_outdated(1))
            await scenario(replay)
            version = replay.store.version
            delays.update(await replay.measure_delays(version, TIMEOUT_SECONDS, table))
            replay.stop()

        simulated_loop.run(run_fleet())
        return delays

    def assert_within_bound(self, delays: dict[str, float]) -> None:
        """Checks that no delay exceeds the bound."""
        late = {
            name: round(delay, 2) for name, delay in delays.items() if delay > DELAY_SECONDS_MAX
        }
        self.assertEqual({}, late, f"in force after over {DELAY_SECONDS_MAX} s")

    @parameterized.expand(CASES)
    def test_change_arrives_within_the_bound(self, _name, scenario, table, count) -> None:
        self.assert_within_bound(self.run_scenario(count, scenario, table=table))

    def test_peer_announcement_does_not_cancel_a_store_call_that_succeeds(self) -> None:
        """Pattern: a remote store answers after 0.7 s, and peers announce a change."""

        async def scenario(replay: fleet_replay.FleetReplay) -> None:
            replay.store.slow_seconds = 0.5
            replay.are_peer_reads_refused = True
            replay.silence_connections(["instance-1"], float("inf"))
            await replay.store.confirm(2)

        self.assert_within_bound(self.run_scenario(10, scenario))

    def test_unreachable_peer_does_not_prevent_reads_from_others(self) -> None:
        """Pattern: one instance sends but does not receive, and the store refuses another one."""

        async def scenario(replay: fleet_replay.FleetReplay) -> None:
            replay.faults["instance-0"].is_inbound_cut = True
            replay.silence_connections(["instance-1"], float("inf"))
            replay.faults["instance-1"].is_refused = True
            await replay.store.confirm(2)

        self.assert_within_bound(self.run_scenario(10, scenario))
