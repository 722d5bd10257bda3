"""Short numbers that stand for names in datagrams."""

import zlib


def make_mark(name: str) -> int:
    """Returns a number of 32 bits for a name; two of a thousand names hardly ever share one."""
    return zlib.crc32(name.encode())
