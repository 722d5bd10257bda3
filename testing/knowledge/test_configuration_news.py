"""How long it takes until a confirmed configuration is in force, under trouble on the way."""

import asyncio

import loguru
import testtools

from caperdyke.transport.gateway import peer_snapshots
from testing.knowledge import fleet_replay, simulated_loop

# Shortest bound of the users' deployments from a confirmation to "in force", in seconds.
APPLY_SECONDS = 2.5
# Time for the fleet to hear of each other before the trouble begins, in seconds.
SETTLE_SECONDS = 4.0
GIVE_UP_SECONDS = 12.0


class ConfigurationNewsTest(testtools.TestCase):
    """A fleet that follows the store while something goes wrong."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("caperdyke")
        self.addCleanup(loguru.logger.enable, "caperdyke")

    def play(self, count: int, scene, seed: int = 1) -> dict[str, float]:
        """Returns for each instance the time from the last confirmation to "in force"."""
        found: dict[str, float] = {}

        async def play_scene() -> None:
            replay = fleet_replay.FleetReplay(count, seed)
            self.patch(peer_snapshots, "fetch", replay.fetch_rows)
            replay.start()
            await asyncio.sleep(SETTLE_SECONDS)
            self.assertEqual([], replay.find_late(1))
            await scene(replay)
            found.update(await replay.measure(replay.store.version, GIVE_UP_SECONDS))
            replay.stop()

        simulated_loop.run(play_scene())
        return found

    def check(self, found: dict[str, float]) -> None:
        """Checks the worst time against the bound."""
        late = {name: round(took, 2) for name, took in found.items() if took > APPLY_SECONDS}
        self.assertEqual({}, late, f"in force after over {APPLY_SECONDS} s")

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
