"""Runs one case and turns its result into an exit status."""

import asyncio
import collections.abc
import os
import pathlib
import signal
import sys
import traceback

from review.common import deployment

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_MAX_S = 112.0

Play = collections.abc.Callable[[deployment.Record, bool], collections.abc.Awaitable[bool]]


def run(play: Play, folder: pathlib.Path) -> None:
    """Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.

    :param play: called with the record and whether there is trouble; returns whether the rule held.
    """
    # Whoever ends the case ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = deployment.Record(folder)
    record.write(f"trouble: {has_trouble}")
    try:
        has_held = asyncio.run(asyncio.wait_for(play(record, has_trouble), TIME_MAX_S))
    except Exception:
        record.write("the case couldn't run: " + traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    record.write("the rule held" if has_held else "the rule was broken")
    print("held" if has_held else "broken")
    sys.exit(HELD if has_held else BROKEN)
