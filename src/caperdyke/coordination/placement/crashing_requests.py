"""Requests under which backend servers ended."""

import collections.abc
import dataclasses
import math

from caperdyke.state import ids

# How long a request is suspected after a server ended under it, and how long it is rejected after
# the last of the servers that make it certain.
SUSPECT_SECONDS = 60.0
BLOCK_SECONDS = 600.0
# Most requests that are remembered, and most starts of servers for each of them.
RECORDS_MAX = 4096
STARTS_MAX = 8


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """The starts of servers that ended while they ran one request.

    :param starts: whether a later success of the request excuses it, by the hash of the start.
    :param last_at: time of the latest of these ends, as far as known.
    """

    starts: dict[int, bool] = dataclasses.field(default_factory=dict)
    last_at: float = -math.inf

    @property
    def count(self) -> int:
        """Number of servers that ended under the request and for which nothing excuses it."""
        return sum(not is_excused for is_excused in self.starts.values())


class CrashingRequests:
    """Counts the servers that ended under each request, over all instances.

    Pattern: one request ends every server that begins to run it, and its caller sends it again, to
    any instance. Requests that ran beside it are suspected as well, but a server answers them
    later. Servers also end by themselves, under many different requests.

    Instances exchange records. A record only grows, and of a start that is excused at one instance
    and not at another the excuse counts, so records can be merged in any order and repeatedly.

    :param crashes_max: number of servers that may end under a request before it is rejected; 0 to
        reject none.
    """

    def __init__(self, crashes_max: int) -> None:
        self._crashes_max = crashes_max
        self._records: dict[ids.RequestDigest, CrashRecord] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._records

    def apply_limit(self, crashes_max: int) -> None:
        """Applies a changed limit; 0 lifts all rejections and forgets all records."""
        self._crashes_max = crashes_max
        if crashes_max == 0:
            self._records.clear()

    def count_blocked(self, now: float) -> int:
        """Returns the number of requests that are rejected now."""
        return sum(self.is_blocked(now, digest) for digest in self._records)

    def count_crashes(self, now: float, digest: ids.RequestDigest) -> int:
        """Returns the number of servers that ended under a request."""
        record = self._records.get(digest)
        return 0 if record is None or now >= self._find_end(record) else record.count

    def is_blocked(self, now: float, digest: ids.RequestDigest) -> bool:
        """Returns whether a request must not be sent to any server."""
        return 0 < self._crashes_max <= self.count_crashes(now, digest)

    def find_block_end(self, digest: ids.RequestDigest) -> float:
        """Returns the time until which a request is rejected."""
        return self._find_end(self._records[digest])

    def record_crash(self, now: float, digest: ids.RequestDigest, start_hash: int) -> bool:
        """Records that a server ended under a request; returns whether this is new."""
        return self.merge(now, digest, {start_hash: False}, 0.0)

    def record_success(self, now: float, digest: ids.RequestDigest) -> bool:
        """Excuses a request, since a server answered it; returns whether this is new."""
        record = self._records.get(digest)
        if record is None:
            return False
        return self.merge(now, digest, dict.fromkeys(record.starts, True), now - record.last_at)

    def merge(
        self,
        now: float,
        digest: ids.RequestDigest,
        starts: collections.abc.Mapping[int, bool],
        age: float,
    ) -> bool:
        """Merges a record of another instance; returns whether it was news.

        :param starts: see ``CrashRecord``.
        :param age: time since the latest of the ends, in seconds.
        """
        if self._crashes_max == 0:
            return False
        known = self._records.get(digest) or CrashRecord()
        merged = dict(known.starts)
        for start_hash, is_excused in starts.items():
            if start_hash in merged or len(merged) < STARTS_MAX:
                merged[start_hash] = merged.get(start_hash, False) or is_excused
        record = CrashRecord(merged, max(known.last_at, now - age))
        if merged == known.starts or now >= self._find_end(record):
            return False
        # Inserted at the end, so that the oldest news come first.
        self._records.pop(digest, None)
        self._records[digest] = record
        self._remove_excess(now)
        return True

    def remove_expired(self, now: float) -> None:
        """Removes records that no longer count."""
        expired = [
            digest for digest, record in self._records.items() if now >= self._find_end(record)
        ]
        for digest in expired:
            del self._records[digest]

    def list_newest(self) -> list[ids.RequestDigest]:
        """Returns the requests that have records, the one with the newest news first."""
        return list(reversed(self._records))

    def find(self, digest: ids.RequestDigest) -> CrashRecord | None:
        """Returns the record of a request, or None."""
        return self._records.get(digest)

    def _find_end(self, record: CrashRecord) -> float:
        is_certain = 0 < self._crashes_max <= record.count
        return record.last_at + (BLOCK_SECONDS if is_certain else SUSPECT_SECONDS)

    def _remove_excess(self, now: float) -> None:
        if len(self._records) <= RECORDS_MAX:
            return
        # Rejected requests are kept before suspected ones, and newer before older ones.
        oldest = next(iter(self._records))
        victim = next((name for name in self._records if not self.is_blocked(now, name)), oldest)
        del self._records[victim]
