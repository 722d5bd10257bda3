"""Bounds the memory that the bodies of requests in progress take together."""

# Memory of a process beside bodies, and what is left for bodies where the machine's is unknown.
PROCESS_BYTES = 72 * 1024 * 1024
BODIES_BYTES_DEFAULT = 144 * 1024 * 1024
# Bodies up to this size are never refused: a few large ones must not end all submissions.
SMALL_BODY_BYTES = 32 * 1024
# Smallest budget, on machines with hardly more than the process takes.
BODIES_BYTES_MIN = 16 * 1024 * 1024


def compute_budget(memory_bytes: int | None) -> int:
    """Returns the bytes that all bodies may take.

    :param memory_bytes: memory that the process may take; None if unknown.
    """
    if memory_bytes is None:
        return BODIES_BYTES_DEFAULT
    return max(BODIES_BYTES_MIN, memory_bytes - PROCESS_BYTES)


class BodyBudget:
    """Reserves memory for bodies.

    Pattern: several callers upload bodies of the largest size that the configuration allows, while
    the requests of all others are in progress in the same process.

    :ivar bytes_max: bytes that all bodies may take; small ones, and one body alone, may exceed it.
    """

    def __init__(self, bytes_max: int) -> None:
        self.bytes_max = bytes_max
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Bytes that are reserved."""
        return self._reserved

    def try_reserve(self, held: int, size: int) -> bool:
        """Reserves memory if there is enough; returns whether there is.

        :param held: bytes that the body has reserved already.
        :param size: bytes that it needs in addition.
        """
        is_small = held + size <= SMALL_BODY_BYTES
        is_alone = self._reserved == held
        if not is_small and not is_alone and self._reserved + size > self.bytes_max:
            return False
        self._reserved += size
        return True

    @property
    def is_exceeded(self) -> bool:
        """Whether more is reserved than the machine has."""
        return self._reserved > self.bytes_max

    def add(self, size: int) -> None:
        """Counts memory that is taken already."""
        self._reserved += size

    def release(self, size: int) -> None:
        """Returns memory."""
        self._reserved -= size
