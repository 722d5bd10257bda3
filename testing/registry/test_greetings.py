"""When instances greet each other, and what they learn when greetings are lost."""

import collections
import dataclasses
import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import fleet, greetings
from caperdyke.state import member
from testing import builders

NOW = 100.0


def make_peer(name: str = "b", **changes) -> fleet.PeerInstance:
    """Returns an instance that is alive and was never greeted, with some fields changed."""
    fields = {"alive_until": 1e9, "greeted_at": float("-inf")} | changes
    return fleet.PeerInstance(builders.make_member(name), **fields)


class ChoiceTest(testtools.TestCase):
    """Which instance is greeted next."""

    @parameterized.expand(
        [
            ("never_greeted", {}, True),
            ("supports_teams", {"supports_teams": True}, False),
            ("silent", {"alive_until": NOW}, False),
            ("greeted_lately", {"greeted_at": NOW - 4.9}, False),
            ("no_reply", {"greeted_at": NOW - 5.0}, True),
        ]
    )
    def test_due(self, _name, changes, expected) -> None:
        peer = make_peer(**changes)
        self.assertIs(peer if expected else None, greetings.choose(NOW, [peer]))

    def test_leaving_instance_is_not_greeted(self) -> None:
        peer = make_peer()
        peer.record = dataclasses.replace(peer.record, state=member.MemberState.LEAVING)
        self.assertIsNone(greetings.choose(NOW, [peer]))

    def test_instances_that_were_never_greeted_come_first(self) -> None:
        """Guards against old builds that take up all greetings of a large fleet."""
        waiting = [make_peer(f"old-{n}", greeted_at=NOW - 50 + n) for n in range(20)]
        new = make_peer("new")
        self.assertIs(new, greetings.choose(NOW, [*waiting, new]))
        self.assertIs(waiting[0], greetings.choose(NOW, waiting))

    @parameterized.expand(
        [("never", float("-inf"), True), ("just", 99.9, False), ("old", 98, True)]
    )
    def test_reply(self, _name, greeted_at, expected) -> None:
        peer = make_peer(greeted_at=greeted_at)
        self.assertIs(expected, greetings.is_reply_due(NOW, peer))


class ExchangeTest(testtools.TestCase):
    """Replays of whole fleets whose greetings may be lost."""

    def replay(self, count: int, seconds: float, is_lost, old: int = 0):
        """Replays greetings and returns the views, and the greetings sent by instance and time.

        :param is_lost: called for each message; returns whether it is lost.
        :param old: number of instances, from the last one, that never greet or reply.
        """
        names = [f"i{n}" for n in range(count)]
        views = {own: {other: make_peer(other) for other in names if other != own} for own in names}
        new = names[: count - old]
        sent: dict[str, list[float]] = collections.defaultdict(list)
        messages: collections.deque = collections.deque()
        replies = 0
        for tick in range(round(seconds / greetings.GREETING_SPACING_SECONDS)):
            now = tick * greetings.GREETING_SPACING_SECONDS
            for own in new:
                other = greetings.choose(now, views[own].values())
                if other is not None:
                    other.greeted_at = now
                    sent[own].append(now)
                    messages.append((own, other.record.instance))
            while messages:
                sender, receiver = messages.popleft()
                if is_lost() or receiver not in new:
                    continue
                peer = views[receiver][sender]
                peer.supports_teams = True
                if greetings.is_reply_due(now, peer):
                    peer.greeted_at = now
                    replies += 1
                    messages.append((receiver, sender))
        return views, sent, replies

    def test_all_know_each_other(self) -> None:
        views, sent, replies = self.replay(20, 5.0, lambda: False)
        self.assertTrue(all(p.supports_teams for view in views.values() for p in view.values()))
        self.assertTrue(sum(map(len, sent.values())) + replies <= 20 * 19, "repeated greetings")

    def test_lost_greetings_are_made_up_for(self) -> None:
        """Guards against an instance that another one never learns of: one in three is lost."""
        rng = random.Random(3)
        views, _, _ = self.replay(12, 120.0, lambda: rng.random() < 1 / 3)
        self.assertTrue(all(p.supports_teams for view in views.values() for p in view.values()))

    def test_old_builds_stay_unknown_and_cost_a_bounded_number_of_greetings(self) -> None:
        views, sent, _ = self.replay(20, 30.0, lambda: False, old=5)
        for own in [f"i{n}" for n in range(15)]:
            known = {name for name, peer in views[own].items() if peer.supports_teams}
            self.assertEqual({f"i{n}" for n in range(15)} - {own}, known)
        for times in sent.values():
            most = max(sum(at <= other < at + 1.0 for other in times) for at in times)
            self.assertTrue(most <= 8, f"{most} greetings in a second")
