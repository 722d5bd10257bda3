"""Request rate limits that servers advertise."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import advertised_limits, announcement_selection
from caperdyke.state import header_fields, ids, name_hashes

SERVER = ids.BackendId("s1")
NAME_HASH = name_hashes.hash_name(SERVER)
ADVERTISED, NONE = header_fields.AdvertisedLimit(2.0), header_fields.NoLimit()


class AnswersTest(testtools.TestCase):
    """Reports in answers that this instance received."""

    def setUp(self) -> None:
        super().setUp()
        self.limits = advertised_limits.AdvertisedLimits()
        self.limits.record_answer(10.0, SERVER, ADVERTISED, 9.8, True)

    @parameterized.expand(
        [
            ("asked after it was named", 10.1, True, None),
            ("asked before it was named", 9.9, True, 2.0),
            ("not sound", 10.1, False, 2.0),
        ]
    )
    def test_answer_without_a_limit(self, _name, sent_at, is_verified, expected) -> None:
        """Pattern: several requests are in flight when a server begins to advertise its limit."""
        self.limits.record_answer(10.4, SERVER, NONE, sent_at, is_verified)
        self.assertEqual(expected, self.limits.find(SERVER))

    def test_newest_limit_replaces_the_earlier_one(self) -> None:
        self.limits.record_answer(10.1, SERVER, header_fields.AdvertisedLimit(0.0), 9.9, False)
        self.assertEqual(0.0, self.limits.find(SERVER))

    def test_unreadable_limit_is_ignored(self) -> None:
        self.limits.record_answer(10.4, SERVER, header_fields.UnreadableLimit("?"), 10.1, True)
        self.assertEqual(2.0, self.limits.find(SERVER))

    def test_huge_limit_is_reduced(self) -> None:
        self.limits.record_answer(10.1, SERVER, header_fields.AdvertisedLimit(1e308), 9.9, True)
        self.assertEqual(advertised_limits.LIMIT_MAX_PER_S, self.limits.find(SERVER))

    def test_restarted_server_has_no_limit(self) -> None:
        self.limits.restart(11.0, SERVER)
        self.assertIsNone(self.limits.find(SERVER))
        # Other instances still announce the limit of the earlier start.
        self.limits.merge_announced(11.5, NAME_HASH, 2.0, 1.0)
        self.assertIsNone(self.limits.find(SERVER))


class AnnouncedLimitsTest(testtools.TestCase):
    """Entries that other instances announced."""

    @parameterized.expand(
        [
            ("newer limit", 2.0, 0.1, None, 0.9, 2.0),
            ("newer end", 2.0, 1.9, None, 0.1, None),
            ("end at about the same time", 2.0, 0.2, None, 0.0, 2.0),
            ("newer of two limits", 2.0, 0.9, 3.0, 0.1, 3.0),
        ]
    )
    def test_newest_report_wins(self, _name, first, first_age, second, age, expected) -> None:
        for items in ([(first, first_age), (second, age)], [(second, age), (first, first_age)]):
            limits = advertised_limits.AdvertisedLimits()
            for per_second, entry_age in items:
                limits.merge_announced(20.0, NAME_HASH, per_second, entry_age)
            self.assertEqual(expected, limits.find(SERVER))

    def test_limit_and_its_end_reach_all_instances(self) -> None:
        """Pattern: one instance receives the answers; announcements pass on along a chain."""
        fleet = [advertised_limits.AdvertisedLimits() for _ in range(6)]
        fleet[0].record_answer(10.0, SERVER, ADVERTISED, 9.9, True)
        for now in range(11, 18):
            announce(fleet, float(now))
        self.assertEqual([2.0] * 6, [instance.find(SERVER) for instance in fleet])
        fleet[0].record_answer(20.0, SERVER, NONE, 19.9, True)
        for now in range(21, 40):
            announce(fleet, float(now))
        self.assertEqual([None] * 6, [instance.find(SERVER) for instance in fleet])

    def test_announcements_rotate_through_many_limits(self) -> None:
        limits = advertised_limits.AdvertisedLimits()
        names = [ids.BackendId(f"s{number}") for number in range(30)]
        for name in names:
            limits.record_answer(1.0, name, ADVERTISED, 0.9, True)
        announced = set()
        for turn in range(7):
            selected = limits.select_for_announcement(2.0 + turn)
            self.assertTrue(len(selected) <= announcement_selection.ANNOUNCED_ENTRIES_MAX)
            announced |= selected.keys()
        self.assertEqual({name_hashes.hash_name(name) for name in names}, announced)

    def test_end_of_a_limit_is_announced_for_a_limited_time(self) -> None:
        limits = advertised_limits.AdvertisedLimits()
        limits.record_answer(1.0, SERVER, ADVERTISED, 0.9, True)
        limits.record_answer(2.0, SERVER, NONE, 1.9, True)
        self.assertEqual({NAME_HASH: (None, 1.1)}, limits.select_for_announcement(3.0))
        self.assertEqual(
            {}, limits.select_for_announcement(3.0 + advertised_limits.ENDED_RETENTION_S)
        )

    def test_limit_of_a_server_that_left_expires_on_all_instances(self) -> None:
        """Pattern: some instances remove a server earlier; others announce it to them again."""
        fleet = [advertised_limits.AdvertisedLimits() for _ in range(2)]
        fleet[0].record_answer(1.0, SERVER, ADVERTISED, 0.9, True)
        for now in range(2, 310, 3):
            announce(fleet, float(now))
            fleet[now % 2].remove_server(SERVER)
        announce(fleet, 311.0)
        self.assertEqual([{}, {}], [instance.select_for_announcement(312.0) for instance in fleet])


def announce(fleet: list[advertised_limits.AdvertisedLimits], now: float) -> None:
    """Sends one announcement of each instance to itself and the instances next to it."""
    for position, instance in enumerate(fleet):
        for name_hash, (per_second, age) in instance.select_for_announcement(now).items():
            for other in fleet[max(0, position - 1) : position + 2]:
                other.merge_announced(now + 0.05, name_hash, per_second, age)
