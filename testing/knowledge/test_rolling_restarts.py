"""Servers whose registrations are removed while instances restart one after the other."""

import asyncio

from parameterized import parameterized

from testing.knowledge import fleet_case, simulated_loop
from testing.knowledge import test_leaving_servers as leaving_servers

# Longer than a server serves on after its registration was removed, so that it shows whether an
# instance goes on using it.
WATCH_SECONDS = 8.0
# Time from the removal of a registration to the restart of another instance. The others read the
# removal only after that.
RESTART_DELAY_SECONDS = 0.05
# Restarts one after the other, and changes of registrations in the same time.
RESTARTS = 10
RESTART_GAP_SECONDS = 1.0
CHANGES = 5


class RestartAfterRemovalTest(fleet_case.FleetTestCase):
    """A registration is removed, and an instance restarts before the others have read that."""

    @parameterized.expand(
        [
            (f"{count} instances, seed {seed}", count, seed)
            for count in (4, 10, 68)
            for seed in range(4)
        ]
    )
    def test_removal_is_read_although_a_new_instance_never_had_the_row(
        self, _name, count, seed
    ) -> None:
        """Guards against a position that is taken over from an instance without the removal."""
        last_uses: dict[str, float] = {}

        async def run_fleet() -> None:
            replay = await self.start_fleet(count, seed)
            await replay.store.register(leaving_servers.SERVER, None)
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            replay.restart(f"instance-{replay.rng.randrange(count)}")
            last_uses.update(await replay.measure_last_uses(leaving_servers.SERVER, WATCH_SECONDS))
            replay.stop()

        simulated_loop.run(run_fleet())
        late = {
            name: round(delay, 2)
            for name, delay in last_uses.items()
            if delay > leaving_servers.DELAY_SECONDS_MAX
        }
        self.assertEqual(
            {}, late, f"used later than {leaving_servers.DELAY_SECONDS_MAX} s, worst of {count}"
        )


class ExchangeTest(fleet_case.FleetTestCase):
    """All instances restart one after the other."""

    @parameterized.expand([(f"{count} instances", count) for count in (10, 68)])
    def test_restarts_do_not_make_others_request_whole_tables(self, _name, count) -> None:
        """Guards against rows whose number grows with the instances times the servers."""

        async def run_fleet() -> None:
            replay = await self.start_fleet(count, 1)
            for number in range(RESTARTS):
                replay.restart(f"instance-{number}")
                if number < CHANGES:
                    await replay.store.register(f"server-{number}", None)
                await asyncio.sleep(RESTART_GAP_SECONDS)
            # Each instance hears each change once, and again where a request is repeated.
            allowed = 2 * CHANGES * count
            self.assertTrue(
                replay.exchanged_rows <= allowed,
                f"got {replay.exchanged_rows} rows from others, expected {allowed} at most",
            )
            replay.stop()

        simulated_loop.run(run_fleet())
