"""Requests of rows that fail in a way that nothing foresees."""

import asyncio

import loguru
import testtools

from caperdyke.transport.gateway import row_exchange
from testing.knowledge import fleet_replay, simulated_loop
from testing.knowledge import test_leaving_servers as leaving_servers

INSTANCES = 5
CUT_OFF = "instance-1"
# Failures after which requests are answered; more than there are other instances.
FAILURES = 6
# Each failed instance is asked again after some seconds.
WATCH_SECONDS = 30.0


class RowRequestTest(testtools.TestCase):
    """An instance that the store refuses gets its rows from others."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("caperdyke")
        self.addCleanup(loguru.logger.enable, "caperdyke")

    def test_instances_are_asked_again_after_an_unforeseen_error(self) -> None:
        """Guards against a source that counts as being asked for good."""
        failures = []
        last_uses: dict[str, float] = {}

        async def run_fleet() -> None:
            replay = fleet_replay.FleetReplay(INSTANCES, 1, 1)

            async def fetch(address, after):
                if len(failures) < FAILURES:
                    failures.append(address)
                    raise LookupError(address)
                return await replay.fetch_rows(address, after)

            self.patch(row_exchange, "fetch", fetch)
            await replay.store.register(leaving_servers.SERVER, "ready")
            replay.start()
            await asyncio.sleep(leaving_servers.SETTLE_SECONDS)
            replay.faults[CUT_OFF].is_refused = True
            replay.silence_connections([CUT_OFF], 0.0)
            await replay.store.register(leaving_servers.SERVER, None)
            last_uses.update(await replay.measure_last_uses(leaving_servers.SERVER, WATCH_SECONDS))
            replay.stop()

        simulated_loop.run(run_fleet())
        self.assertEqual(FAILURES, len(failures))
        self.assertTrue(last_uses[CUT_OFF] < WATCH_SECONDS - 1.0, f"got {last_uses}")
