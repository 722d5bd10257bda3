"""The bound on the requests of a team in any window, summed over all instances, in each fault."""

import itertools

import testtools
from parameterized import parameterized

from caperdyke.state import ids, teams
from testing.quotas import quota_fleet

COUNTS = (10, 68, 103, 750)
# Load relative to the rate: every token that exists is used.
OVERLOAD = 3.0
TEAM = teams.Team(ids.TeamName("team-1"), None, 60.0, 60.0)
# Time in which buckets that start empty fill up.
FILL_SECONDS = 4.0


def kill_holders(fleet: quota_fleet.QuotaFleet, at: float) -> None:
    """Kills all holders every four seconds, and restarts them two seconds later."""
    phase = int(at / quota_fleet.TICK_SECONDS) % 5
    if phase == 1:
        for item in fleet.find_holders():
            item.kill()
    elif phase == 4:
        for item in fleet.instances:
            if not item.is_alive:
                item.restart()


def freeze_holders(fleet: quota_fleet.QuotaFleet, at: float) -> None:
    """Freezes the holders and a fifth of the others for three seconds, with their tokens."""
    phase = int(at / quota_fleet.TICK_SECONDS) % 8
    if phase == 1:
        for item in (*fleet.find_holders(), *fleet.instances[::5]):
            item.is_frozen = True
    elif phase == 5:
        for item in fleet.instances:
            if item.is_frozen:
                item.resume()


def hide_holders(fleet: quota_fleet.QuotaFleet, at: float) -> None:
    """Lets every tenth instance not hear the holders and three others."""
    if int(at / quota_fleet.TICK_SECONDS) != 1:
        return
    hidden = {item.name for item in (*fleet.find_holders(), *fleet.instances[:3])}
    for item in fleet.instances[::10]:
        item.unheard = hidden - {item.name}


def lose_datagrams(fleet: quota_fleet.QuotaFleet, _at: float) -> None:
    """Loses, repeats and delays datagrams."""
    fleet.loss, fleet.duplicates, fleet.extra_delay = 0.1, 0.3, 0.3


STEPS = {
    "holders killed": kill_holders,
    "frozen with tokens": freeze_holders,
    "views differ": hide_holders,
    "datagrams lost": lose_datagrams,
}


class QuotaBoundTest(testtools.TestCase):
    """Guards against requests that run beyond (rate x W + burst) x (1 + overrun) + slack."""

    def check(self, scenario, team: teams.Team = TEAM, callers=(), count: int = 10) -> None:
        """Runs a scenario and checks each window."""

        async def run() -> None:
            fleet = quota_fleet.QuotaFleet(count, team, callers)
            await fleet.rest(FILL_SECONDS)
            await scenario(fleet)
            await fleet.finish()
            most, allowed = fleet.count_most(), quota_fleet.compute_allowed(team)
            self.assertTrue(most <= allowed, f"{most} in a window, allowed {allowed:.0f}")
            self.assertTrue(fleet.granted, "no request was granted")

        quota_fleet.simulate(run)

    @parameterized.expand(itertools.product(COUNTS, sorted(STEPS)))
    def test_bound_during_a_fault(self, count, fault) -> None:
        async def scenario(fleet: quota_fleet.QuotaFleet) -> None:
            await fleet.run(
                12.0, TEAM.rate_per_second * OVERLOAD, lambda at: STEPS[fault](fleet, at)
            )

        self.check(scenario, count=count)

    @parameterized.expand(
        [
            (count, kind, wait)
            for count in COUNTS
            for kind in ("by region", "across regions")
            for wait in ((0.0, 29.0, 120.0) if count < 750 else (29.0,))
        ]
    )
    def test_bound_in_a_fleet_in_three_parts(self, count, kind, wait) -> None:
        """The parts take over the roles of holders that they do not hear after 30 s."""

        async def scenario(fleet: quota_fleet.QuotaFleet) -> None:
            for number, item in enumerate(fleet.instances):
                item.group = number % 6 // 2 if kind == "by region" else number // 6 % 3
            fleet.refresh()
            fleet.update_views()
            await fleet.rest(wait)
            await fleet.run(8.0, TEAM.rate_per_second * OVERLOAD)
            for item in fleet.instances:
                item.group = 0
            await fleet.run(4.0, TEAM.rate_per_second * OVERLOAD)

        self.check(scenario, count=count)

    @parameterized.expand(
        [
            (count, rate)
            for count in COUNTS
            for rate in (1.0, 60.0, 400.0)
            if count < 750 or rate > 1
        ]
    )
    def test_bound_with_all_callers_at_three_instances(self, count, rate) -> None:
        team = teams.Team(ids.TeamName("team-1"), None, rate, rate)

        async def scenario(fleet: quota_fleet.QuotaFleet) -> None:
            await fleet.run(8.0, max(30.0, rate * OVERLOAD))

        self.check(scenario, team, (0, 1, 6), count)

    @parameterized.expand([(count,) for count in COUNTS])
    def test_bound_of_a_team_with_one_request_a_second(self, count) -> None:
        """Guards against holders and instances each rounding their part up."""
        team = teams.Team(ids.TeamName("team-1"), None, 1.0, 1.0)

        async def scenario(fleet: quota_fleet.QuotaFleet) -> None:
            await fleet.run(12.0, 60.0)

        self.check(scenario, team, count=count)

    @parameterized.expand([(count,) for count in COUNTS])
    def test_bound_of_each_instance_without_a_holder(self, count) -> None:
        """All holders die at once, and the others use their shares of half of the tolerance."""

        async def scenario(fleet: quota_fleet.QuotaFleet) -> None:
            for item in fleet.find_holders():
                item.kill()
            await fleet.run(8.0, TEAM.rate_per_second * OVERLOAD)

        self.check(scenario, count=count)

    @parameterized.expand([(count,) for count in COUNTS])
    def test_lowered_limit_binds_one_window_after_it_is_in_force(self, count) -> None:
        lowered = teams.Team(TEAM.name, None, 20.0, 20.0)
        table = quota_fleet.make_table(2, lowered)

        async def run() -> None:
            fleet = quota_fleet.QuotaFleet(count, TEAM)
            await fleet.rest(FILL_SECONDS)

            def step(at: float) -> None:
                # It takes three seconds until the last instance has the configuration.
                for item in fleet.instances[: int(count * at / 3.0) + 1]:
                    item.node.routes = table

            await fleet.run(4.0, TEAM.rate_per_second * OVERLOAD, step)
            self.assertTrue(all(item.node.routes is table for item in fleet.instances))
            binding_since = fleet.now() + quota_fleet.TOLERANCE.window_s
            await fleet.run(12.0, TEAM.rate_per_second * OVERLOAD)
            await fleet.finish()
            most, allowed = fleet.count_most(binding_since), quota_fleet.compute_allowed(lowered)
            self.assertTrue(0 < most <= allowed, f"{most} in a window, allowed {allowed:.0f}")

        quota_fleet.simulate(run)
