"""Backoffs that servers request."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import announcement_selection, server_backoffs
from caperdyke.state import header_fields, ids, name_hashes

SERVER = ids.BackendId("s1")
NAME_HASH = name_hashes.hash_name(SERVER)
MAX_BACKOFF_S = 60.0


class RequestedBackoffsTest(testtools.TestCase):
    """Backoffs that a server requested from this instance."""

    def setUp(self) -> None:
        super().setUp()
        self.backoffs = server_backoffs.ServerBackoffs(MAX_BACKOFF_S)

    def record(self, now: float, seconds: float) -> bool:
        """Records an answer that requests a backoff."""
        return self.backoffs.record_answer(now, SERVER, header_fields.RequestedBackoff(seconds))

    @parameterized.expand(
        [
            ("one", [(10.0, 2.0)], 12.0),
            ("later one is longer", [(10.0, 2.0), (10.1, 5.0)], 15.1),
            ("later one is shorter", [(10.0, 5.0), (10.1, 0.5)], 15.0),
            ("longer than is believed", [(10.0, 1e9)], 10.0 + MAX_BACKOFF_S),
            ("named again after its end", [(10.0, 1.0), (12.0, 1.0)], 13.0),
        ]
    )
    def test_latest_end_applies(self, _name, answers, expected) -> None:
        """Pattern: several requests are in flight when a server begins to reject them."""
        for now, seconds in answers:
            self.record(now, seconds)
        self.assertEqual(expected, self.backoffs.find_backoff_end(SERVER))

    @parameterized.expand(
        [("none", header_fields.NoBackoff()), ("no time", header_fields.UnreadableBackoff("soon"))]
    )
    def test_answers_without_a_backoff_change_nothing(self, _name, report) -> None:
        self.record(10.0, 2.0)
        self.backoffs.record_answer(10.5, SERVER, report)
        self.assertEqual(12.0, self.backoffs.find_backoff_end(SERVER))

    def test_restarted_server_has_no_backoff(self) -> None:
        self.record(10.0, 2.0)
        self.backoffs.remove_server(SERVER)
        self.assertTrue(self.backoffs.is_empty)

    @parameterized.expand([("long", 5.0, True), ("short", 0.5, False)])
    def test_long_backoff_is_announced_at_once_only_the_first_time(
        self, _name, seconds, expected
    ) -> None:
        self.assertEqual(expected, self.record(10.0, seconds))
        self.assertFalse(self.record(10.1, seconds))

    def test_announced_time_decreases_until_the_end(self) -> None:
        self.record(10.0, 5.0)
        self.assertEqual({NAME_HASH: 3.0}, self.backoffs.select_for_announcement(12.0))
        self.assertEqual({}, self.backoffs.select_for_announcement(14.5))
        self.assertEqual({}, self.backoffs.select_for_announcement(15.5))
        self.assertTrue(self.backoffs.is_empty)

    def test_announcements_rotate_through_many_backoffs(self) -> None:
        names = [ids.BackendId(f"s{number}") for number in range(30)]
        for name in names:
            self.backoffs.record_answer(1.0, name, header_fields.RequestedBackoff(50.0))
        announced = set()
        for turn in range(7):
            selected = self.backoffs.select_for_announcement(2.0 + turn)
            self.assertTrue(len(selected) <= announcement_selection.ANNOUNCED_ENTRIES_MAX)
            announced |= selected.keys()
        self.assertEqual({name_hashes.hash_name(name) for name in names}, announced)


class AnnouncedBackoffsTest(testtools.TestCase):
    """Backoffs that a server requested from other instances."""

    def test_announced_backoff_deprioritizes_the_server_only(self) -> None:
        backoffs = server_backoffs.ServerBackoffs(MAX_BACKOFF_S)
        backoffs.merge_announced(10.0, NAME_HASH, 2.0)
        self.assertTrue(backoffs.is_deprioritized(11.9, SERVER))
        self.assertFalse(backoffs.is_deprioritized(12.1, SERVER))
        self.assertTrue(backoffs.find_backoff_end(SERVER) < 10.0)

    def test_announced_backoff_is_not_forwarded(self) -> None:
        """The receiver sent the server nothing itself, and the entry ends with its own time."""
        backoffs = server_backoffs.ServerBackoffs(MAX_BACKOFF_S)
        backoffs.merge_announced(10.0, NAME_HASH, 5.0)
        self.assertEqual({}, backoffs.select_for_announcement(10.5))

    def test_order_and_repeats_do_not_matter(self) -> None:
        announced = [(10.0, 5.0), (10.2, 1.0), (10.4, 4.6)]
        for items in (announced, announced[::-1], announced * 2):
            backoffs = server_backoffs.ServerBackoffs(MAX_BACKOFF_S)
            for now, seconds in items:
                backoffs.merge_announced(now, NAME_HASH, seconds)
            self.assertTrue(backoffs.is_deprioritized(14.9, SERVER))
            self.assertFalse(backoffs.is_deprioritized(15.1, SERVER))
