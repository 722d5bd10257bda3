"""Servers whose registrations are removed while the store answers nothing for some seconds."""

import asyncio

from parameterized import parameterized

from caperdyke.state import store_rows
from caperdyke.transport.gateway import row_exchange
from testing.knowledge import fleet_case, fleet_replay, simulated_loop
from testing.knowledge import test_leaving_servers as leaving_servers

WATCH_SECONDS = 9.0
# Time from the store's first answers until all instances have what they show: a call over a new
# connection, a tick, a comparison of positions, and rows of another instance.
RESUME_SECONDS_MAX = 0.23 + 0.05 + 0.1 + 0.23
STALLS = (0.5, 1.0, 1.5, 1.8, 2.2, 2.6, 3.5, 6.0)
COUNTS = (2, 4, 10, 68)


# Outage in which all registrations lapse, time for which they are missing before its end, and time
# within which the servers write them again after it.
OUTAGE_SECONDS = 6.0
LAPSE_SECONDS = 0.5
RETURN_SECONDS = 2.0


def silence_store(replay: fleet_replay.FleetReplay) -> None:
    """The store answers nothing for a time."""
    replay.store.silent_until = asyncio.get_running_loop().time() + OUTAGE_SECONDS


def refuse_calls(replay: fleet_replay.FleetReplay) -> None:
    """The store refuses all calls for a time."""
    replay.store.is_unavailable = True
    loop = asyncio.get_running_loop()
    loop.call_later(OUTAGE_SECONDS, setattr, replay.store, "is_unavailable", False)


class StoreStallTest(fleet_case.FleetTestCase):
    """The store is silent for some seconds, and then answers the calls that still wait."""

    @parameterized.expand(
        [
            (f"{seconds} s, {count} instances", seconds, count)
            for seconds in STALLS
            for count in COUNTS
        ]
    )
    def test_server_that_left_before_a_stall_is_not_used_after_it(
        self, _name, seconds, count
    ) -> None:
        """Guards against a removed server that stays in use as its registration may have lapsed."""
        last_uses: dict[str, float] = {}

        async def run_fleet() -> None:
            replay = await self.start_fleet(count, count)
            await replay.store.register(leaving_servers.SERVER, None)
            replay.store.silent_until = asyncio.get_running_loop().time() + seconds
            last_uses.update(await replay.measure_last_uses(leaving_servers.SERVER, WATCH_SECONDS))
            replay.stop()

        simulated_loop.run(run_fleet())
        allowed = max(leaving_servers.DELAY_SECONDS_MAX, seconds + RESUME_SECONDS_MAX)
        late = {name: round(delay, 2) for name, delay in last_uses.items() if delay > allowed}
        self.assertEqual({}, late, f"used later than {allowed} s")

    @parameterized.expand(
        [
            (f"{outage.__name__}, {count} instances", outage, count)
            for outage in (silence_store, refuse_calls)
            for count in COUNTS
        ]
    )
    def test_servers_that_lapse_in_an_outage_stay_in_use(self, _name, outage, count) -> None:
        """Guards against an outage of the store that takes all servers out of service."""
        unused: dict[str, float] = {}

        async def run_fleet() -> None:
            replay = await self.start_fleet(count, count)
            outage(replay)
            await asyncio.sleep(OUTAGE_SECONDS - LAPSE_SECONDS)
            for number in range(fleet_case.SERVERS):
                await replay.store.register(f"server-{number}", None)
            await asyncio.sleep(LAPSE_SECONDS)
            loop = asyncio.get_running_loop()
            back_at = loop.time() + RETURN_SECONDS
            while loop.time() < back_at:
                for name, instance in replay.instances.items():
                    if not all(
                        instance.may_send_to(f"server-{item}") for item in range(fleet_case.SERVERS)
                    ):
                        unused.setdefault(name, round(loop.time(), 2))
                await asyncio.sleep(0.05)
            table = store_rows.StoreTable.SERVERS
            self.assertEqual([], replay.list_outdated(replay.store.version, table))
            replay.stop()

        simulated_loop.run(run_fleet())
        self.assertEqual({}, unused, "instances that lost a server, and when")


class PausedInstanceTest(fleet_case.FleetTestCase):
    """An instance does not run for a while, and datagrams wait in its socket."""

    def test_announcement_that_waited_during_a_pause_confirms_no_later_read(self) -> None:
        """Guards against registrations that count as fresh by a datagram that waited."""

        async def run_fleet() -> None:
            replay = fleet_replay.FleetReplay(2, 1, 1)
            self.patch(row_exchange, "fetch", replay.fetch_rows)
            replay.start()
            await asyncio.sleep(fleet_case.SETTLE_SECONDS)
            paused = replay.instances["instance-0"]
            for task in paused.tasks:
                task.cancel()
            paused_at = asyncio.get_running_loop().time()
            await asyncio.sleep(3.0)
            peer = paused.node.fleet.list_others()[0]
            self.assertTrue(
                peer.read_at <= paused_at, f"got {peer.read_at}, expected at most {paused_at}"
            )
            replay.stop()

        simulated_loop.run(run_fleet())
