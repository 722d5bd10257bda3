"""A test case that replays a fleet of instances and some servers."""

import asyncio

import loguru
import testtools

from caperdyke.transport.gateway import row_exchange
from testing.knowledge import fleet_replay

SERVERS = 20
SETTLE_SECONDS = 4.0


class FleetTestCase(testtools.TestCase):
    """Starts fleets, without their logs."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("caperdyke")
        self.addCleanup(loguru.logger.enable, "caperdyke")

    async def start_fleet(self, count: int, seed: int) -> fleet_replay.FleetReplay:
        """Starts a fleet with some servers and lets it settle."""
        replay = fleet_replay.FleetReplay(count, seed, 2)
        self.patch(row_exchange, "fetch", replay.fetch_rows)
        for number in range(SERVERS):
            await replay.store.register(f"server-{number}", "ready")
        replay.start()
        await asyncio.sleep(SETTLE_SECONDS + replay.rng.random())
        return replay
