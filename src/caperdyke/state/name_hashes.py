"""Short hashes that stand for names in datagrams."""

import functools
import zlib

# Cached hashes of server starts; more than a fleet uses at a time.
START_CACHE_SIZE = 8192


def hash_name(name: str) -> int:
    """Returns a 32-bit hash of a name; collisions among a thousand names are improbable."""
    return zlib.crc32(name.encode())


@functools.lru_cache(START_CACHE_SIZE)
def hash_start(name: str, started_ms: int) -> int:
    """Returns a 32-bit hash of one start of a process.

    :param started_ms: start of the process, milliseconds since 1970.
    """
    return hash_name(f"{name}/{started_ms}")
