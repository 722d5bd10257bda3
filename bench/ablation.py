"""Switches placing mechanisms off one by one on replayed loads, and prints what each is worth."""

import argparse
import contextlib
import math
import pathlib
import sys
from unittest import mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from bench import placing
from caperdyke.coordination.placement import homes, selection, server_view
from testing.placement import simulation

# Constants of the decisions that a switched off mechanism changes.
MECHANISMS = {
    "all on": {},
    "homes near callers": {(homes, "NEAR_WEIGHT_MAX"): 1.0},
    "second home": {(selection, "WARM_PROBABILITIES"): (0.85,)},
    "assumed warmth of homes": {(selection, "WARM_PROBABILITIES"): (0.3, 0.3)},
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
    """Prints the credit of each load with one mechanism off, and the refused part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="days for each figure")
    count = parser.parse_args().seeds
    print("| switched off | " + " | ".join(placing.LOADS) + " |")
    print("| --- |" + " ---: |" * len(placing.LOADS))
    for name, changes in MECHANISMS.items():
        with contextlib.ExitStack() as stack:
            for (module, constant), value in changes.items():
                stack.enter_context(mock.patch.object(module, constant, value))
            cells = [_play(load, count) for load in placing.LOADS.values()]
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


def _play(load: simulation.Load, count: int) -> str:
    days = [
        simulation.Simulation(load, simulation.Policy.HOMES, seed).run() for seed in range(count)
    ]
    score = sum(day.score for day in days) / count
    refused = sum(day.refused for day in days) / sum(day.requests for day in days)
    return f"{score:.3f} ({refused:.3f})"


if __name__ == "__main__":
    main()
