"""Runs the fault soak for some seeds, or replays a stored schedule.

Usage: ``python -m bench.soak --seeds 1 2 3``, ``--replay FILE``, ``--shorten FILE``. Exit status 1
if a guarantee was violated, 2 if the machine delayed a run too much to judge it.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import signal
import sys
import tempfile

from bench.soak import checks, schedule, world


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of one run.

    :param lateness: largest delay that the machine caused, in seconds.
    :param is_judged: whether the lateness is small enough for the bounds to apply.
    """

    verdicts: list[checks.Verdict]
    lateness: float
    is_judged: bool

    @property
    def problems(self) -> list[str]:
        """All violated guarantees."""
        return [f"{item.check}: {text}" for item in self.verdicts for text in item.problems]


def run_schedule(plan: schedule.Schedule, folder: pathlib.Path) -> Result:
    """Runs a schedule and judges the observations."""
    folder.mkdir(parents=True, exist_ok=True)
    schedule.write(plan, folder / "schedule.json")
    observed = asyncio.run(world.SoakRun(plan, folder).run_schedule())
    is_judged = observed.lateness <= checks.LATENESS_MAX_S
    return Result(checks.judge(observed), observed.lateness, is_judged)


def report(plan: schedule.Schedule, result: Result, folder: pathlib.Path) -> None:
    """Prints the verdict of one run."""
    state = "FAILED" if result.problems else "passed"
    if not result.is_judged:
        state = "not judged"
    print(
        f"seed {plan.seed}: {state}; {plan.gateways} gateways, {len(plan.actions)} actions,"
        f" machine late by up to {result.lateness:.2f} s"
    )
    for item in result.verdicts:
        print(f"    {item.check}: judged {item.judged}, broken {len(item.problems)}")
        for text in item.problems[:5]:
            print(f"        {text}")
    if result.problems:
        print(f"    schedule and logs: {folder}")
    sys.stdout.flush()


def _stop(_number: int, _frame) -> None:
    """Exits through the exit handlers, which kill the gateway processes."""
    raise SystemExit(128 + signal.SIGTERM)


def main() -> int:
    """Runs the program and returns its exit status."""
    signal.signal(signal.SIGTERM, _stop)
    parser = argparse.ArgumentParser(prog="bench.soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--actions", type=int, default=16)
    parser.add_argument("--folder", type=pathlib.Path)
    parser.add_argument("--replay", type=pathlib.Path, help="replays a stored schedule")
    parser.add_argument(
        "--shorten",
        type=pathlib.Path,
        help="reduces a stored schedule that fails to the actions that the failure needs",
    )
    options = parser.parse_args()
    folder = options.folder or pathlib.Path(tempfile.mkdtemp(prefix="caperdyke-soak-"))
    if options.shorten:
        return shorten(schedule.read(options.shorten), folder)
    if options.replay:
        plans = [schedule.read(options.replay)]
    else:
        plans = [
            schedule.draw(seed, options.gateways, world.SERVERS, options.actions)
            for seed in options.seeds
        ]
    states = collections.Counter()
    kinds: collections.Counter[str] = collections.Counter()
    for plan in plans:
        run_folder = folder / f"seed-{plan.seed}"
        result = run_schedule(plan, run_folder)
        report(plan, result, run_folder)
        states["failed" if result.problems else "passed" if result.is_judged else "late"] += 1
        kinds.update(action.kind.value for action in plan.actions)
    print(f"{dict(states)}; actions: {dict(kinds)}")
    return 1 if states["failed"] else 2 if states["late"] else 0


def shorten(plan: schedule.Schedule, folder: pathlib.Path) -> int:
    """Reduces a failing schedule while it violates one of the same guarantees, and prints it."""
    first = run_schedule(plan, folder / "whole")
    broken = {item.check for item in first.verdicts if item.problems}
    if not broken:
        print("the schedule does not fail")
        return 0

    def fails(shorter: schedule.Schedule) -> bool:
        result = run_schedule(
            shorter, folder / f"without-{len(plan.actions) - len(shorter.actions)}"
        )
        return any(item.check in broken for item in result.verdicts if item.problems)

    shortest = schedule.shorten(plan, fails)
    schedule.write(shortest, folder / "shortest.json")
    for action in shortest.actions:
        print(action)
    print(f"written to {folder / 'shortest.json'}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
