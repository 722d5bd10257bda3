"""Which of many facts one announcement tells."""

import collections.abc
import dataclasses
import math

# Facts of one kind that an announcement tells, about a hundred bytes, and how many of these are the
# newest.
ANNOUNCED_ENTRIES_MAX = 8
ANNOUNCED_NEWEST_MAX = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class AnnouncedEntry:
    """What is noted of a fact that is told to others.

    :param since: time at which this instance learnt it.
    :param announced_at: time at which this instance told others last.
    """

    since: float
    announced_at: float = -math.inf


def select_for_announcement(
    now: float, facts: collections.abc.Mapping[int, AnnouncedEntry]
) -> list[int]:
    """Returns the marks of the facts for one announcement: the newest, and others by turns."""
    newest = sorted(facts, key=lambda mark: facts[mark].since, reverse=True)
    chosen, others = newest[:ANNOUNCED_NEWEST_MAX], newest[ANNOUNCED_NEWEST_MAX:]
    others.sort(key=lambda mark: facts[mark].announced_at)
    for mark in others[: ANNOUNCED_ENTRIES_MAX - ANNOUNCED_NEWEST_MAX]:
        facts[mark].announced_at = now
        chosen.append(mark)
    return chosen
