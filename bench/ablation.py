"""Disables placement mechanisms one by one on simulated loads, and prints the score of each run."""

import argparse
import contextlib
import math
import pathlib
import sys
from unittest import mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from bench import placing
from caperdyke.coordination.placement import answer_times, homes, selection, server_view
from testing.placement import simulation

# By mechanism, the constants of the placement decisions that disable it.
MECHANISMS = {
    "all on": {},
    "homes near callers": {(homes, "NEAR_WEIGHT_MAX"): 1.0},
    "second home": {(answer_times, "WARM_PROBABILITIES"): (0.85,)},
    "assumed warmth of homes": {(answer_times, "WARM_PROBABILITIES"): (0.3, 0.3)},
    "preference for homes": {(selection, "NON_HOME_COST_RATIO"): 0.0},
    "preference for the first home": {(selection, "SECOND_HOME_COST_RATIO"): 0.0},
    "no late requests queued when full": {(selection, "FULL_UTILIZATION"): math.inf},
    "no cold runs when full": {(selection, "COLD_UTILIZATION"): math.inf},
    "bound on outstanding requests": {(selection, "OUTSTANDING_PER_SLOT_MAX"): math.inf},
    "load reported by servers": {(server_view, "REPORTED_LOAD_S"): 0.0},
    "slowdown of each server": {
        (server_view, "SLOWDOWN_MIN"): 1.0,
        (server_view, "SLOWDOWN_MAX"): 1.0,
    },
}


def main() -> None:
    """Prints, for each load with one mechanism disabled, the score and the ratio of refusals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="simulated runs for each figure")
    seed_count = parser.parse_args().seeds
    print("| switched off | " + " | ".join(placing.LOADS) + " |")
    print("| --- |" + " ---: |" * len(placing.LOADS))
    for name, overrides in MECHANISMS.items():
        with contextlib.ExitStack() as stack:
            for (module, constant), value in overrides.items():
                stack.enter_context(mock.patch.object(module, constant, value))
            cells = [_simulate(load, seed_count) for load in placing.LOADS.values()]
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


def _simulate(load: simulation.Load, seed_count: int) -> str:
    outcomes = [
        simulation.Simulation(load, simulation.Policy.HOMES, seed).run()
        for seed in range(seed_count)
    ]
    score = sum(outcome.score for outcome in outcomes) / seed_count
    refused = sum(outcome.refused for outcome in outcomes) / sum(
        outcome.requests for outcome in outcomes
    )
    return f"{score:.3f} ({refused:.3f})"


if __name__ == "__main__":
    main()
