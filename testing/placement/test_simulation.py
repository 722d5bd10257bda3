"""Simulated loads under the server selection and under simple baselines."""

import testtools
from parameterized import parameterized

from testing.placement import simulation

SEEDS = range(3)
CALM = simulation.Load(per_second=70.0)
# Near the capacity of warm servers (a slot processes five a second), far above that of cold ones.
FULL = simulation.Load(per_second=200.0)
HOT = simulation.Load(per_second=104.0, region_weights=(3.0, 1.0, 1.0))
SLOW = simulation.Load(per_second=104.0, slow=(6.0, 13.0))
LIMITED = simulation.Load(per_second=104.0, limited=(6.0, 16.0))
CRASH = simulation.Load(per_second=120.0, crash=(6.0, 11.0))


def run(load: simulation.Load, policy: simulation.Policy) -> simulation.Outcome:
    """Returns the sum of the outcomes over all seeds."""
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
    """The project's goals for server selection; the results of the baselines are not sufficient."""

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
    def test_loss_is_at_most_half_that_of_the_best_baseline(self, _name, load) -> None:
        """Goal: at most half of the score is lost that the better of two baselines loses."""
        baselines = (simulation.Policy.LEAST_OUTSTANDING, simulation.Policy.RANDOM_TWO)
        baseline = max(run(load, policy).score for policy in baselines)
        achieved = run(load, simulation.Policy.HOMES).score
        self.assertTrue(
            1 - achieved <= (1 - baseline) / 2,
            f"lost {1 - achieved:.3f}, baseline {1 - baseline:.3f}",
        )

    def test_service_recovers_from_overload(self) -> None:
        """Pattern: a cold start with a load near the capacity of warm servers.

        Goal: if the load lasts twice as long, at least 80 % of the second half is answered in time.
        A service that does not recover would refuse as many requests in the second half as in the
        first.
        """
        short = run(FULL, simulation.Policy.HOMES)
        long_load = simulation.Load(per_second=FULL.per_second, seconds=2 * FULL.seconds)
        both = run(long_load, simulation.Policy.HOMES)
        later = (both.in_time - short.in_time) / (both.requests - short.requests)
        self.assertTrue(later >= 0.8, f"got {later:.3f} in time, expected 0.8")

    def test_objects_are_warm_on_few_servers(self) -> None:
        """Goal: after a start, at most two cold runs for each object of each region."""
        outcome = run(CALM, simulation.Policy.HOMES)
        objects = len(SEEDS) * CALM.objects * len(CALM.regions)
        self.assertTrue(outcome.cold_runs <= 2 * objects, f"got {outcome.cold_runs}")
