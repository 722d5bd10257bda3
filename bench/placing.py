"""Compares the placement policies on simulated loads, over many seeds."""

import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from testing.placement import simulation

LOADS = {
    "calm": simulation.Load(per_second=70.0),
    "busy": simulation.Load(per_second=140.0),
    "full": simulation.Load(per_second=200.0),
    "over": simulation.Load(per_second=300.0),
    "hot": simulation.Load(per_second=104.0, region_weights=(3.0, 1.0, 1.0)),
    "slow": simulation.Load(per_second=104.0, slow=(6.0, 13.0)),
    "crash": simulation.Load(per_second=120.0, crash=(6.0, 11.0)),
}


def main() -> None:
    """Prints a table with a row for each load and placement policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="simulated runs for each row")
    seed_count = parser.parse_args().seeds
    print("| load | placing | credit | in time | late | refused | cold runs |")
    print("| --- | --- | ---: | ---: | ---: | ---: | ---: |")
    for name, load in LOADS.items():
        for policy in simulation.Policy:
            outcomes = [
                simulation.Simulation(load, policy, seed).run() for seed in range(seed_count)
            ]
            requests = sum(outcome.requests for outcome in outcomes)
            averages = [
                sum(outcome.score for outcome in outcomes) / seed_count,
                sum(outcome.in_time for outcome in outcomes) / requests,
                sum(outcome.late for outcome in outcomes) / requests,
                sum(outcome.refused for outcome in outcomes) / requests,
                sum(outcome.cold_runs for outcome in outcomes) / requests,
            ]
            print(f"| {name} | {policy.value} | " + " | ".join(f"{p:.3f}" for p in averages) + " |")


if __name__ == "__main__":
    main()
