"""Short numbers that stand for names in datagrams."""

import functools
import zlib

# Starts of servers whose marks are remembered; more than a fleet has in use at a time.
START_CACHE_SIZE = 8192


def hash_name(name: str) -> int:
    """Returns a number of 32 bits for a name; two of a thousand names hardly ever share one."""
    return zlib.crc32(name.encode())


@functools.lru_cache(START_CACHE_SIZE)
def hash_start(name: str, started_ms: int) -> int:
    """Returns a number of 32 bits for one start of a process.

    :param started_ms: start of the process, milliseconds since 1970.
    """
    return hash_name(f"{name}/{started_ms}")
