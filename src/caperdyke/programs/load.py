"""``caperdyke-load``: open-loop load generator that verifies answers and writes a report."""

import argparse
import asyncio
import json
import sys

import caperdyke
from caperdyke import errors
from caperdyke.loading import results, runner, scenario
from caperdyke.programs import common


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(prog="caperdyke-load", description="Generates load.")
    parser.add_argument("--version", action="version", version=caperdyke.__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="run a scenario")
    run.add_argument("scenario", help="INI file")
    run.add_argument("--check", action="store_true", help="only check the scenario")
    run.add_argument("--json", action="store_true", help="print JSON for scripts")
    run.add_argument("--report", metavar="DIR", help="write results, table and plots here")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    parsed = make_parser().parse_args(arguments)
    try:
        loaded_scenario = scenario.read_scenario(parsed.scenario)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return common.EXIT_USAGE
    if parsed.check:
        print(f"{parsed.scenario}: ok")
        return common.EXIT_OK
    stream_results = asyncio.run(runner.run_scenario(loaded_scenario))
    summaries = [item.summarize() for item in stream_results]
    print(json.dumps(summaries) if parsed.json else results.format_table(summaries))
    if parsed.report:
        # Imported late: the plotting library takes a second to load and only reports need it.
        from caperdyke.loading import report

        report.write_report(parsed.report, stream_results)
    return common.EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
