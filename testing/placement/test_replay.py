"""Load patterns replayed against the decisions, and against simple baselines."""

import testtools
from parameterized import parameterized

from testing.placement import simulation

SEEDS = range(3)
CALM = simulation.Load(per_second=70.0)
# Near what warm servers can do (a slot serves five a second), far above what cold ones can.
FULL = simulation.Load(per_second=200.0)
HOT = simulation.Load(per_second=104.0, parts=(3.0, 1.0, 1.0))
SLOW = simulation.Load(per_second=104.0, slow=(6.0, 13.0))
LIMITED = simulation.Load(per_second=104.0, limited=(6.0, 16.0))
CRASH = simulation.Load(per_second=120.0, crash=(6.0, 11.0))


def run(load: simulation.Load, policy: simulation.Policy) -> simulation.Outcome:
    """Returns the outcome over all seeds."""
    total = simulation.Outcome()
    for seed in SEEDS:
        outcome = simulation.Simulation(load, policy, seed).run()
        total.requests += outcome.requests
        total.in_time += outcome.in_time
        total.late += outcome.late
        total.refused += outcome.refused
        total.cold_runs += outcome.cold_runs
    return total


class ReplayTest(testtools.TestCase):
    """The project's goals for placing: what the simple baselines would give is not enough."""

    @parameterized.expand(
        [
            ("calm", CALM),
            ("full", FULL),
            ("crash", CRASH),
            ("hot", HOT),
            ("slow", SLOW),
            ("limited", LIMITED),
        ]
    )
    def test_half_of_what_the_best_baseline_loses(self, _name, load) -> None:
        """Goal: at most half of the credit that the better of two baselines loses is lost."""
        baselines = (simulation.Policy.LEAST_OUTSTANDING, simulation.Policy.RANDOM_TWO)
        best = max(run(load, policy).score for policy in baselines)
        own = run(load, simulation.Policy.HOMES).score
        self.assertTrue(1 - own <= (1 - best) / 2, f"lost {1 - own:.3f}, baseline {1 - best:.3f}")

    def test_overload_does_not_stay(self) -> None:
        """Pattern: a cold start near the capacity of warm servers.

        Goal: in a day twice as long the second half is served; a service that never comes back
        would refuse as large a part of it.
        """
        short = run(FULL, simulation.Policy.HOMES)
        long_load = simulation.Load(per_second=FULL.per_second, seconds=2 * FULL.seconds)
        both = run(long_load, simulation.Policy.HOMES)
        later = (both.in_time - short.in_time) / (both.requests - short.requests)
        self.assertTrue(later >= 0.8, f"got {later:.3f} in time, expected 0.8")

    def test_objects_stay_with_few_servers(self) -> None:
        """Goal: no more cold runs than two for each object of each region, after a start."""
        outcome = run(CALM, simulation.Policy.HOMES)
        objects = len(SEEDS) * CALM.objects * len(CALM.regions)
        self.assertTrue(outcome.cold_runs <= 2 * objects, f"got {outcome.cold_runs}")
