"""Bounds the memory that a process holds for its callers.

One account counts whatever connections hold: heads, bodies, bytes that wait for the parser, and
responses. A sum of separate bounds would have to fit the machine when all are reached at once.
"""

import collections.abc
import contextlib

# Memory of a process that holds nothing for callers, and what callers may take where the memory of
# the machine is unknown.
PROCESS_BYTES = 56 * 1024 * 1024
CALLERS_BYTES_DEFAULT = 160 * 1024 * 1024
# Smallest bound, on machines with hardly more than the process takes.
CALLERS_BYTES_MIN = 32 * 1024 * 1024
# Part of the bound that long bodies leave to everything else.
ROOM_BYTES = 16 * 1024 * 1024
# Bodies up to this size are never refused: a few large ones must not end all submissions.
SMALL_BODY_BYTES = 32 * 1024
# Share of the bound above which no request starts before the responses to earlier ones of its
# connection have been sent.
SHORT_SHARE = 0.5
# What all other connections may take beside a single body that exceeds the bound.
BESIDE_LONE_BODY_BYTES = 4 * 1024 * 1024
# A caller counts as slow if it has sent a body for this long at less than this rate. Slow callers
# are only ended where others need their memory.
SLOW_AFTER_S = 2.0
SLOW_BYTES_PER_S = 64 * 1024

Now = collections.abc.Callable[[], float]
End = collections.abc.Callable[[str], None]


def compute_bound(memory_bytes: int | None, process_bytes: int = PROCESS_BYTES) -> int:
    """Returns the bytes that all callers together may take.

    :param memory_bytes: memory that the process may take; None if unknown.
    :param process_bytes: memory that it takes beside what it holds for callers.
    """
    if memory_bytes is None:
        return CALLERS_BYTES_DEFAULT
    return max(CALLERS_BYTES_MIN, memory_bytes - max(PROCESS_BYTES, process_bytes))


class Holding:
    """What the process holds for one connection.

    :param end: called with the cause if the connection has to give its memory back.
    :ivar ending_bytes: bytes that it held when it was ended, until it is closed.
    :ivar since: time at which the caller last had all that it asked for.
    :ivar received_bytes: bytes of a body that have arrived since then.
    :ivar is_receiving: whether a body is being received.
    :ivar is_running: whether a request has been passed on and its response can be sent.
    """

    __slots__ = (
        "_account",
        "_measured",
        "_reserved",
        "end",
        "ending_bytes",
        "is_ended",
        "is_receiving",
        "is_running",
        "received_bytes",
        "since",
    )

    def __init__(self, account: "MemoryAccount", end: End, now: float) -> None:
        self._account = account
        self.end = end
        self.since = now
        self.received_bytes = 0
        self.is_receiving = False
        self.is_running = False
        self.is_ended = False
        self.ending_bytes = 0
        self._measured = 0
        self._reserved = 0

    @property
    def size(self) -> int:
        """Bytes that the connection takes."""
        return self._measured + self._reserved

    @property
    def reserved(self) -> int:
        """Bytes that are reserved for bodies and answers of its requests."""
        return self._reserved

    @property
    def is_short(self) -> bool:
        """Whether the memory of all callers is short."""
        return self._account.is_short

    def resize(self, size: int) -> None:
        """Sets the bytes that the connection takes beside reserved ones."""
        if not self.is_ended and size != self._measured:
            change = size - self._measured
            self._measured = size
            self._account.record_change(change)

    def add(self, size: int) -> None:
        """Reserves bytes; others have to give theirs back where the bound is exceeded."""
        if not self.is_ended:
            self._reserved += size
            self._account.record_change(size, size)

    def try_reserve(self, size: int) -> bool:
        """Reserves bytes for a body if there is room; returns whether there is."""
        return not self.is_ended and self._account.try_reserve(self, size)

    def release(self, size: int) -> None:
        """Gives reserved bytes back."""
        if not self.is_ended:
            self._reserved -= size
            self._account.record_change(-size, -size)

    @contextlib.contextmanager
    def ended_by(self, end: End) -> collections.abc.Iterator[None]:
        """Replaces how the connection gives its memory back while the block runs."""
        previous, self.end = self.end, end
        try:
            yield
        finally:
            self.end = previous

    def restart(self) -> None:
        """Records that the caller has all that it asked for."""
        self.since = self._account.now()
        self.received_bytes = 0

    def is_slow(self, now: float) -> bool:
        """Returns whether the caller has been sending a body for long, and slowly."""
        age_s = now - self.since
        return (
            self.is_receiving
            and age_s >= SLOW_AFTER_S
            and self.received_bytes < SLOW_BYTES_PER_S * age_s
        )

    def close(self) -> None:
        """Gives everything back."""
        self._account.remove(self)
        self._account.record_closed(self.ending_bytes)
        self.ending_bytes = 0


class MemoryAccount:
    """Counts what all connections of a process hold, and ends some where it is too much.

    Pattern: a crowd sends heads without end, or large bodies that stop short of theirs, or reads no
    responses, beside ordinary callers.

    :param bytes_max: bytes that all connections may take; one body alone may exceed it.
    :param now: clock of the times.
    """

    def __init__(self, bytes_max: int, now: Now) -> None:
        self.bytes_max = bytes_max
        self.now = now
        self._holdings: dict[Holding, None] = {}
        self._total = 0
        self._reserved = 0
        # Bytes of connections that have been ended and are not closed yet.
        self._ending = 0
        # The holding of a body that exceeds the bound.
        self._lone: Holding | None = None

    @property
    def total(self) -> int:
        """Bytes that are held."""
        return self._total

    @property
    def reserved(self) -> int:
        """Bytes that are reserved for the bodies and answers of requests."""
        return self._reserved

    @property
    def is_short(self) -> bool:
        """Whether so much is held that callers should ask for one thing at a time."""
        return self._total + self._ending > SHORT_SHARE * self.bytes_max

    @property
    def limit(self) -> int:
        """Bytes above which connections are ended."""
        if self._lone is None:
            return self.bytes_max
        return max(self.bytes_max, self._lone.size + BESIDE_LONE_BODY_BYTES)

    def open(self, end: End) -> Holding:
        """Returns the holding of a new connection.

        :param end: called with the cause if the connection has to give its memory back.
        """
        holding = Holding(self, end, self.now())
        self._holdings[holding] = None
        return holding

    def remove(self, holding: Holding) -> None:
        """Removes a holding and all that it holds; idempotent."""
        if holding.is_ended:
            return
        holding.is_ended = True
        del self._holdings[holding]
        if self._lone is holding:
            self._lone = None
        self._total -= holding.size
        self._reserved -= holding.reserved

    def record_change(self, change: int, reserved_change: int = 0) -> None:
        """Counts a change of what is held, and ends connections while it is too much."""
        self._total += change
        self._reserved += reserved_change
        if change > 0 and self._total > self.limit:
            self._enforce()

    def try_reserve(self, holding: Holding, size: int) -> bool:
        """Reserves bytes for a body if there is room; returns whether there is.

        Callers that send slowly have to give their memory to those that do not.
        """
        reserved = holding.reserved + size
        if reserved > SMALL_BODY_BYTES and not self._has_room(size):
            if self._reserved == holding.reserved:
                # Otherwise a machine with less memory would refuse the body for good.
                self._lone = holding
            elif not self._make_room(holding, size):
                return False
        holding.add(size)
        return not holding.is_ended

    def _has_room(self, size: int) -> bool:
        return self._total + size <= self.bytes_max - ROOM_BYTES

    def _make_room(self, holding: Holding, size: int) -> bool:
        """Ends slow callers if that gives enough room; returns whether it does."""
        now = self.now()
        slow = [item for item in self._holdings if item is not holding and item.is_slow(now)]
        if not self._has_room(size - sum(item.size for item in slow)):
            return False
        slow.sort(key=lambda item: _compute_burden(item, now), reverse=True)
        for item in slow:
            if self._has_room(size):
                break
            self._end(item, "others need the memory of a slow body")
        return True

    def _enforce(self) -> None:
        while self._total > self.limit and len(self._holdings) > 1:
            now = self.now()
            worst = max(
                self._holdings, key=lambda item: (not item.is_running, _compute_burden(item, now))
            )
            self._end(worst, "callers take too much memory")

    def record_closed(self, ending_bytes: int) -> None:
        """Records that an ended connection has given its memory back."""
        self._ending -= ending_bytes

    def _end(self, holding: Holding, cause: str) -> None:
        holding.ending_bytes = holding.size
        self._ending += holding.size
        self.remove(holding)
        holding.end(cause)


def _compute_burden(holding: Holding, now: float) -> float:
    """Returns a measure of how much a connection has held for how long."""
    return holding.size * (now - holding.since + 1.0)


class Reservation:
    """Memory for the body and the answer of one request.

    :param holding: what the connection of the request holds.
    """

    def __init__(self, holding: Holding) -> None:
        self._holding = holding
        self._body = 0
        self._answer = 0

    @property
    def is_short(self) -> bool:
        """Whether no more of the answer should be held than its caller reads."""
        return self._holding.is_short

    @property
    def body(self) -> int:
        """Bytes that are reserved for the body."""
        return self._body

    def try_add_body(self, size: int) -> bool:
        """Reserves bytes for the body if there is room; returns whether there is."""
        if not self._holding.try_reserve(size):
            return False
        self._body += size
        return True

    def resize_answer(self, size: int) -> None:
        """Sets the bytes that are held of an answer until it is passed on."""
        change, self._answer = size - self._answer, size
        if change > 0:
            self._holding.add(change)
        else:
            self._holding.release(-change)

    def release(self) -> None:
        """Gives everything back once the request has ended."""
        self._holding.release(self._body + self._answer)
        self._body = self._answer = 0
