"""What is known of servers that say that they leave."""

import testtools

from caperdyke.coordination.placement import announcement_selection, leaving_servers
from caperdyke.state import name_hashes

MARK = name_hashes.hash_start("s1", 1)


class LeavingServersTest(testtools.TestCase):
    """The word of one start of a server."""

    def setUp(self) -> None:
        super().setUp()
        self.leaving = leaving_servers.LeavingServers()

    def test_word_belongs_to_one_start(self) -> None:
        self.leaving.record(10.0, MARK)
        self.assertTrue(self.leaving.contains(MARK))
        self.assertFalse(self.leaving.contains(name_hashes.hash_start("s1", 2)))

    def test_word_is_news_once(self) -> None:
        self.assertTrue(self.leaving.record(10.0, MARK))
        self.assertFalse(self.leaving.record(11.0, MARK))
        self.assertFalse(self.leaving.record(12.0, MARK, 0.5))

    def test_word_spreads_along_a_chain_and_ends(self) -> None:
        fleet = [leaving_servers.LeavingServers() for _ in range(6)]
        fleet[0].record(10.0, MARK)
        for now in range(11, 18):
            pass_on(fleet, float(now))
        self.assertTrue(all(item.contains(MARK) for item in fleet))
        after = 10.5 + leaving_servers.ANNOUNCEMENT_S
        self.assertEqual([{}] * 6, [item.select_for_announcement(after) for item in fleet])

    def test_word_is_dropped_by_all_in_the_end(self) -> None:
        fleet = [leaving_servers.LeavingServers() for _ in range(3)]
        fleet[0].record(10.0, MARK)
        step = int(leaving_servers.ANNOUNCEMENT_S / 4)
        for now in range(11, int(leaving_servers.RETENTION_S) + 100, step):
            pass_on(fleet, float(now))
            for item in fleet:
                item.remove_expired(float(now))
        self.assertTrue(all(item.is_empty for item in fleet))

    def test_many_are_told_by_turns(self) -> None:
        starts = {name_hashes.hash_start(f"s{number}", 1) for number in range(30)}
        for mark in starts:
            self.leaving.record(1.0, mark)
        told = set()
        for turn in range(7):
            found = self.leaving.select_for_announcement(2.0 + turn)
            self.assertTrue(len(found) <= announcement_selection.ANNOUNCED_ENTRIES_MAX)
            told |= found.keys()
        self.assertEqual(starts, told)


def pass_on(fleet: list[leaving_servers.LeavingServers], now: float) -> None:
    """Lets each instance tell its neighbours."""
    for position, item in enumerate(fleet):
        for mark, age in item.select_for_announcement(now).items():
            for other in fleet[max(0, position - 1) : position + 2]:
                other.record(now + 0.05, mark, age)
