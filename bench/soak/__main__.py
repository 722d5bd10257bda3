"""Plays seeds of the fault soak, or one written schedule again.

Usage: ``python -m bench.soak --seeds 1 2 3``, ``--replay FILE``, ``--shorten FILE``. Exit status 1
where a promise was broken, 2 where a run was held up too long to be judged.
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
    """One run.

    :param is_judged: whether the machine let the run keep its times.
    """

    verdicts: list[checks.Verdict]
    lateness: float
    is_judged: bool

    @property
    def problems(self) -> list[str]:
        """Everything that broke a promise."""
        return [f"{item.check}: {text}" for item in self.verdicts for text in item.problems]


def play(plan: schedule.Schedule, folder: pathlib.Path) -> Result:
    """Plays a schedule and judges what was seen."""
    folder.mkdir(parents=True, exist_ok=True)
    schedule.write(plan, folder / "schedule.json")
    seen = asyncio.run(world.World(plan, folder).play())
    is_judged = seen.lateness <= checks.LATENESS_MAX
    return Result(checks.judge(seen), seen.lateness, is_judged)


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
    """Ends the program so that its gateways end with it."""
    raise SystemExit(128 + signal.SIGTERM)


def main() -> int:
    """Runs the program and returns its exit status."""
    signal.signal(signal.SIGTERM, _stop)
    parser = argparse.ArgumentParser(prog="bench.soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--actions", type=int, default=16)
    parser.add_argument("--folder", type=pathlib.Path)
    parser.add_argument("--replay", type=pathlib.Path, help="plays a written schedule again")
    parser.add_argument("--shorten", type=pathlib.Path, help="finds the fewest actions that fail")
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
        place = folder / f"seed-{plan.seed}"
        result = play(plan, place)
        report(plan, result, place)
        states["failed" if result.problems else "passed" if result.is_judged else "late"] += 1
        kinds.update(action.kind.value for action in plan.actions)
    print(f"{dict(states)}; actions: {dict(kinds)}")
    return 1 if states["failed"] else 2 if states["late"] else 0


def shorten(plan: schedule.Schedule, folder: pathlib.Path) -> int:
    """Prints the smallest schedule that still breaks the same promise."""
    first = play(plan, folder / "whole")
    broken = {item.check for item in first.verdicts if item.problems}
    if not broken:
        print("the schedule does not fail")
        return 0

    def fails(shorter: schedule.Schedule) -> bool:
        result = play(shorter, folder / f"without-{len(plan.actions) - len(shorter.actions)}")
        return any(item.check in broken for item in result.verdicts if item.problems)

    shortest = schedule.shorten(plan, fails)
    schedule.write(shortest, folder / "shortest.json")
    for action in shortest.actions:
        print(action)
    print(f"written to {folder / 'shortest.json'}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
