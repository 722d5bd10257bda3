"""Which of many facts one announcement tells."""

import collections.abc
import dataclasses
import math

# Facts of one kind that an announcement tells, about a hundred bytes, and how many of these are the
# newest.
TOLD_MAX = 8
TOLD_NEWEST = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class Told:
    """What is noted of a fact that is told to others.

    :param since: time at which this instance learnt it.
    :param told_at: time at which this instance told others last.
    """

    since: float
    told_at: float = -math.inf


def choose_to_tell(now: float, facts: collections.abc.Mapping[int, Told]) -> list[int]:
    """Returns the marks of the facts for one announcement: the newest, and others by turns."""
    newest = sorted(facts, key=lambda mark: facts[mark].since, reverse=True)
    chosen, others = newest[:TOLD_NEWEST], newest[TOLD_NEWEST:]
    others.sort(key=lambda mark: facts[mark].told_at)
    for mark in others[: TOLD_MAX - TOLD_NEWEST]:
        facts[mark].told_at = now
        chosen.append(mark)
    return chosen
