"""Servers that report that they are leaving."""

import testtools

from caperdyke.coordination.placement import announcement_selection, leaving_servers
from caperdyke.state import name_hashes

START_HASH = name_hashes.hash_start("s1", 1)


class LeavingServersTest(testtools.TestCase):
    """Entries of single starts of servers."""

    def setUp(self) -> None:
        super().setUp()
        self.leaving = leaving_servers.LeavingServers()

    def test_entry_applies_to_one_start(self) -> None:
        self.leaving.record(10.0, START_HASH)
        self.assertTrue(self.leaving.contains(START_HASH))
        self.assertFalse(self.leaving.contains(name_hashes.hash_start("s1", 2)))

    def test_entry_is_new_once(self) -> None:
        self.assertTrue(self.leaving.record(10.0, START_HASH))
        self.assertFalse(self.leaving.record(11.0, START_HASH))
        self.assertFalse(self.leaving.record(12.0, START_HASH, 0.5))

    def test_entry_reaches_all_instances_and_is_no_longer_announced_later(self) -> None:
        fleet = [leaving_servers.LeavingServers() for _ in range(6)]
        fleet[0].record(10.0, START_HASH)
        for now in range(11, 18):
            announce(fleet, float(now))
        self.assertTrue(all(instance.contains(START_HASH) for instance in fleet))
        after = 10.5 + leaving_servers.ANNOUNCEMENT_S
        self.assertEqual([{}] * 6, [instance.select_for_announcement(after) for instance in fleet])

    def test_entry_expires_on_all_instances(self) -> None:
        fleet = [leaving_servers.LeavingServers() for _ in range(3)]
        fleet[0].record(10.0, START_HASH)
        step = int(leaving_servers.ANNOUNCEMENT_S / 4)
        for now in range(11, int(leaving_servers.RETENTION_S) + 100, step):
            announce(fleet, float(now))
            for instance in fleet:
                instance.remove_expired(float(now))
        self.assertTrue(all(instance.is_empty for instance in fleet))

    def test_announcements_rotate_through_many_entries(self) -> None:
        starts = {name_hashes.hash_start(f"s{number}", 1) for number in range(30)}
        for start_hash in starts:
            self.leaving.record(1.0, start_hash)
        announced = set()
        for turn in range(7):
            selected = self.leaving.select_for_announcement(2.0 + turn)
            self.assertTrue(len(selected) <= announcement_selection.ANNOUNCED_ENTRIES_MAX)
            announced |= selected.keys()
        self.assertEqual(starts, announced)


def announce(fleet: list[leaving_servers.LeavingServers], now: float) -> None:
    """Sends one announcement of each instance to itself and the instances next to it."""
    for position, instance in enumerate(fleet):
        for start_hash, age in instance.select_for_announcement(now).items():
            for other in fleet[max(0, position - 1) : position + 2]:
                other.record(now + 0.05, start_hash, age)
