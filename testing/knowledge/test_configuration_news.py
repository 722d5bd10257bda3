"""How long it takes until a confirmed configuration is in force, under trouble on the way."""

import asyncio

import loguru
import testtools
from parameterized import parameterized

from caperdyke.state import store_rows
from caperdyke.transport.gateway import row_exchange
from caperdyke.transport.http import tcp_keepalive
from testing.knowledge import fleet_replay, simulated_loop

# Shortest bound of the users' deployments from a confirmation to "in force", and until a leaving
# server gets nothing new, in seconds.
APPLY_SECONDS = 2.5
# Time for the fleet to hear of each other before the trouble begins, in seconds.
SETTLE_SECONDS = 4.0
GIVE_UP_SECONDS = 12.0


CONFIGURATION = store_rows.StoreTable.CONFIGURATION
SERVERS = store_rows.StoreTable.SERVERS
NOTICE_SECONDS = tcp_keepalive.STORE_KEEPALIVE.idle_detection_s


async def calm(replay: fleet_replay.FleetReplay) -> None:
    """Nothing goes wrong."""
    await replay.store.confirm(2)


async def silence_one(replay: fleet_replay.FleetReplay) -> None:
    """The connections of one instance are silent."""
    replay.silence(["instance-1"], NOTICE_SECONDS)
    await replay.store.confirm(2)


async def silence_domain(replay: fleet_replay.FleetReplay) -> None:
    """All connections of a failure domain are silent."""
    names = [name for name, item in replay.instances.items() if item.domain == 1]
    replay.silence(names, NOTICE_SECONDS)
    await replay.store.confirm(2)


async def silence_all(replay: fleet_replay.FleetReplay) -> None:
    """All connections are silent."""
    replay.silence(list(replay.instances), NOTICE_SECONDS)
    await replay.store.confirm(2)


async def lose_packets(replay: fleet_replay.FleetReplay) -> None:
    """Every seventh packet is lost."""
    for trouble in replay.troubles.values():
        trouble.loss = 0.15
    await replay.store.confirm(2)


async def slow_store(replay: fleet_replay.FleetReplay) -> None:
    """The store takes half a second for each answer."""
    replay.store.slow_seconds = 0.5
    await replay.store.confirm(2)


async def forget_history(replay: fleet_replay.FleetReplay) -> None:
    """The store has lost its history when the change is confirmed."""
    replay.store.history_from = 2
    await replay.store.confirm(2)


async def refuse_one(replay: fleet_replay.FleetReplay) -> None:
    """The store ends the calls of one instance and turns it away."""
    replay.troubles["instance-1"].is_refused = True
    replay.silence(["instance-1"], 0.0)
    await replay.store.confirm(2)


async def refuse_third(replay: fleet_replay.FleetReplay) -> None:
    """The store ends the calls of a third of all instances and turns them away."""
    names = replay.chance.sample(list(replay.instances), len(replay.instances) // 3)
    for name in names:
        replay.troubles[name].is_refused = True
    replay.silence(names, 0.0)
    await replay.store.confirm(2)


async def burst(replay: fleet_replay.FleetReplay) -> None:
    """Changes come in quick succession."""
    for version in range(2, 12):
        await replay.store.confirm(version)
        await asyncio.sleep(0.1)


TROUBLES = (
    calm,
    silence_one,
    silence_domain,
    silence_all,
    lose_packets,
    slow_store,
    forget_history,
    refuse_one,
    refuse_third,
    burst,
)
CASES = [
    (f"{scene.__name__}_{table.value}_{count}", scene, table, count)
    for scene in TROUBLES
    for table in (CONFIGURATION, SERVERS)
    for count in (10, 68)
]


class ConfigurationNewsTest(testtools.TestCase):
    """A fleet that follows the store while something goes wrong."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("caperdyke")
        self.addCleanup(loguru.logger.enable, "caperdyke")

    def play(self, count: int, scene, seed: int = 1, table=CONFIGURATION) -> dict[str, float]:
        """Returns for each instance the time from the last confirmation until it knows a table."""
        found: dict[str, float] = {}

        async def play_scene() -> None:
            replay = fleet_replay.FleetReplay(count, seed)
            self.patch(row_exchange, "fetch", replay.fetch_rows)
            replay.start()
            await asyncio.sleep(SETTLE_SECONDS)
            self.assertEqual([], replay.find_late(1))
            await scene(replay)
            version = replay.store.version
            found.update(await replay.measure(version, GIVE_UP_SECONDS, table))
            replay.stop()

        simulated_loop.run(play_scene())
        return found

    def check(self, found: dict[str, float]) -> None:
        """Checks the worst time against the bound."""
        late = {name: round(took, 2) for name, took in found.items() if took > APPLY_SECONDS}
        self.assertEqual({}, late, f"in force after over {APPLY_SECONDS} s")

    @parameterized.expand(CASES)
    def test_change_is_known_within_the_bound(self, _name, scene, table, count) -> None:
        self.check(self.play(count, scene, table=table))

    def test_word_of_others_does_not_cut_the_call_that_would_be_answered(self) -> None:
        """Pattern: a far store answers after 0.7 s, and others tell of a change."""

        async def scene(replay: fleet_replay.FleetReplay) -> None:
            replay.store.slow_seconds = 0.5
            replay.are_rows_closed = True
            replay.silence(["instance-1"], float("inf"))
            await replay.store.confirm(2)

        self.check(self.play(10, scene))

    def test_instance_that_cannot_be_asked_does_not_hide_those_that_can(self) -> None:
        """Pattern: packets pass one way, and the store turns an instance away."""

        async def scene(replay: fleet_replay.FleetReplay) -> None:
            replay.troubles["instance-0"].is_deaf = True
            replay.silence(["instance-1"], float("inf"))
            replay.troubles["instance-1"].is_refused = True
            await replay.store.confirm(2)

        self.check(self.play(10, scene))
