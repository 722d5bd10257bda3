"""Decides which instances to ask whether they support teams."""

import collections.abc

from caperdyke.coordination.registry import fleet
from caperdyke.state import member

# Interval between greetings, so that an instance sends at most 8 a second, replies aside. An
# instance of an older build logs each one that it gets.
GREETING_SPACING_SECONDS = 0.125
# Interval between greetings to one instance that has not answered.
GREETING_REPEAT_SECONDS = 5.0
# A greeting from an instance that was greeted less than this long ago may be its reply and is not
# replied to. Longer than a round trip, shorter than the interval of repetition.
REPLY_QUIET_SECONDS = 2.0


def choose(
    now: float, others: collections.abc.Iterable[fleet.PeerInstance]
) -> fleet.PeerInstance | None:
    """Returns the instance to greet next, or None if none is due.

    Pattern: a fleet of several hundred instances starts, or is replaced one by one, and datagrams
    are lost. Instances that were never greeted come first, then those that wait longest.
    """
    due = [
        other
        for other in others
        if not other.supports_teams
        and now < other.alive_until
        and other.record.state is member.MemberState.LIVE
        and now >= other.greeted_at + GREETING_REPEAT_SECONDS
    ]
    return min(due, key=lambda other: other.greeted_at, default=None)


def is_reply_due(now: float, sender: fleet.PeerInstance) -> bool:
    """Returns whether a greeting that arrived needs a reply.

    Pattern: two instances greet each other at the same time, and either message may be lost. Each
    of them must learn of the other, and they must not reply to replies without end.
    """
    return now >= sender.greeted_at + REPLY_QUIET_SECONDS
