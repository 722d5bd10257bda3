"""Command line options and the main function shared by all daemons."""

import argparse
import asyncio
import collections.abc
import signal
import sys

import caperdyke
from caperdyke import errors

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Returns a parser with the options common to all daemons."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("--version", action="version", version=caperdyke.__version__)
    parser.add_argument("--settings", metavar="FILE", required=True, help="INI file with settings")
    parser.add_argument(
        "--check", action="store_true", help="read the settings, report what is wrong and exit"
    )
    return parser


def run_daemon(
    arguments: argparse.Namespace,
    read: collections.abc.Callable,
    run: collections.abc.Callable,
) -> int:
    """Reads the settings and runs a daemon until SIGTERM or SIGINT; returns the exit status.

    :param read: function that reads and validates a settings file.
    :param run: coroutine function of the settings and the event that requests the stop.
    """
    try:
        loaded_settings = read(arguments.settings)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return EXIT_OK
    asyncio.run(_run_until_signal(loaded_settings, run))
    return EXIT_OK


async def _run_until_signal(loaded_settings, run: collections.abc.Callable) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await run(loaded_settings, stop)
