"""Selects the entries that go into one announcement, as its size is limited."""

import collections.abc
import dataclasses
import math

# Entries of one kind in an announcement, about a hundred bytes, and how many of them are reserved
# for the newest.
ANNOUNCED_ENTRIES_MAX = 8
ANNOUNCED_NEWEST_MAX = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class AnnouncedEntry:
    """Base class of entries that instances announce to each other.

    :param first_seen_at: time at which this instance first received the entry.
    :param announced_at: time at which this instance last announced the entry in rotation.
    """

    first_seen_at: float
    announced_at: float = -math.inf


def select_for_announcement(
    now: float, entries: collections.abc.Mapping[int, AnnouncedEntry]
) -> list[int]:
    """Returns the keys of the entries for one announcement.

    The newest entries are in every announcement; the older ones rotate.

    :param entries: entries by the hash of the server's name or start.
    """
    newest = sorted(entries, key=lambda name_hash: entries[name_hash].first_seen_at, reverse=True)
    selected, older = newest[:ANNOUNCED_NEWEST_MAX], newest[ANNOUNCED_NEWEST_MAX:]
    older.sort(key=lambda name_hash: entries[name_hash].announced_at)
    for name_hash in older[: ANNOUNCED_ENTRIES_MAX - ANNOUNCED_NEWEST_MAX]:
        entries[name_hash].announced_at = now
        selected.append(name_hash)
    return selected
