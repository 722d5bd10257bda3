"""What is known of the rests that servers ask for."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import announcement_selection, server_backoffs
from caperdyke.state import header_fields, ids, name_hashes

SERVER = ids.BackendId("s1")
MARK = name_hashes.hash_name(SERVER)
SECONDS_MAX = 60.0


class OwnRestTest(testtools.TestCase):
    """Rests that a server asked of this instance."""

    def setUp(self) -> None:
        super().setUp()
        self.backoffs = server_backoffs.ServerBackoffs(SECONDS_MAX)

    def record(self, now: float, seconds: float) -> bool:
        """Learns from an answer."""
        return self.backoffs.record_answer(now, SERVER, header_fields.RequestedBackoff(seconds))

    @parameterized.expand(
        [
            ("one", [(10.0, 2.0)], 12.0),
            ("later one is longer", [(10.0, 2.0), (10.1, 5.0)], 15.1),
            ("later one is shorter", [(10.0, 5.0), (10.1, 0.5)], 15.0),
            ("longer than is believed", [(10.0, 1e9)], 10.0 + SECONDS_MAX),
            ("named again after its end", [(10.0, 1.0), (12.0, 1.0)], 13.0),
        ]
    )
    def test_latest_end_counts(self, _name, answers, expected) -> None:
        """Pattern: several requests are under way when a server begins to turn them away."""
        for now, seconds in answers:
            self.record(now, seconds)
        self.assertEqual(expected, self.backoffs.find_backoff_end(SERVER))

    @parameterized.expand(
        [("none", header_fields.NoBackoff()), ("no time", header_fields.UnreadableBackoff("soon"))]
    )
    def test_other_answers_change_nothing(self, _name, report) -> None:
        self.record(10.0, 2.0)
        self.backoffs.record_answer(10.5, SERVER, report)
        self.assertEqual(12.0, self.backoffs.find_backoff_end(SERVER))

    def test_new_start_does_not_rest(self) -> None:
        self.record(10.0, 2.0)
        self.backoffs.forget(SERVER)
        self.assertTrue(self.backoffs.is_empty)

    @parameterized.expand([("long", 5.0, True), ("short", 0.5, False)])
    def test_news_is_told_once(self, _name, seconds, expected) -> None:
        self.assertEqual(expected, self.record(10.0, seconds))
        self.assertFalse(self.record(10.1, seconds))

    def test_time_left_is_told_and_ends(self) -> None:
        self.record(10.0, 5.0)
        self.assertEqual({MARK: 3.0}, self.backoffs.select_for_announcement(12.0))
        self.assertEqual({}, self.backoffs.select_for_announcement(14.5))
        self.assertEqual({}, self.backoffs.select_for_announcement(15.5))
        self.assertTrue(self.backoffs.is_empty)

    def test_announcement_is_bounded_and_all_have_their_turn(self) -> None:
        names = [ids.BackendId(f"s{number}") for number in range(30)]
        for name in names:
            self.backoffs.record_answer(1.0, name, header_fields.RequestedBackoff(50.0))
        told = set()
        for turn in range(7):
            found = self.backoffs.select_for_announcement(2.0 + turn)
            self.assertTrue(len(found) <= announcement_selection.ANNOUNCED_ENTRIES_MAX)
            told |= found.keys()
        self.assertEqual({name_hashes.hash_name(name) for name in names}, told)


class OthersRestTest(testtools.TestCase):
    """Rests that a server asked of other instances."""

    def test_server_is_spared_and_not_closed(self) -> None:
        backoffs = server_backoffs.ServerBackoffs(SECONDS_MAX)
        backoffs.merge_announced(10.0, MARK, 2.0)
        self.assertTrue(backoffs.is_deprioritized(11.9, SERVER))
        self.assertFalse(backoffs.is_deprioritized(12.1, SERVER))
        self.assertTrue(backoffs.find_backoff_end(SERVER) < 10.0)

    def test_word_is_not_passed_on(self) -> None:
        """Whoever hears of it has asked the server nothing; the word ends with its own time."""
        backoffs = server_backoffs.ServerBackoffs(SECONDS_MAX)
        backoffs.merge_announced(10.0, MARK, 5.0)
        self.assertEqual({}, backoffs.select_for_announcement(10.5))

    def test_order_and_repeats_do_not_matter(self) -> None:
        told = [(10.0, 5.0), (10.2, 1.0), (10.4, 4.6)]
        for items in (told, told[::-1], told * 2):
            backoffs = server_backoffs.ServerBackoffs(SECONDS_MAX)
            for now, seconds in items:
                backoffs.merge_announced(now, MARK, seconds)
            self.assertTrue(backoffs.is_deprioritized(14.9, SERVER))
            self.assertFalse(backoffs.is_deprioritized(15.1, SERVER))
