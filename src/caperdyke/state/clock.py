"""The clock of all deadlines that do not leave the process."""

import time


def read_clock() -> float:
    """Returns seconds since the machine started.

    Steps of the wall clock do not affect it, and unlike the monotonic clock it includes time during
    which the machine was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
