"""Whether missing registrations may have lapsed during an outage of the store."""

import math

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import store_outage

HEARTBEAT = 1.5
READ = 1.2


class StoreOutageTest(testtools.TestCase):
    """Outages as one instance observes them; times are in seconds."""

    @parameterized.expand(
        [
            ("one_failed_call", 10.0, 10.4, [], False),
            ("shorter_than_the_missed_heartbeats", 10.0, 11.7, [], False),
            ("as_long_as_the_missed_heartbeats", 10.0, 11.8, [], True),
            ("long_outage", 10.0, 18.0, [], True),
            ("others_were_answered_all_the_time", 10.0, 15.0, [11.0, 12.5, 14.0], False),
            ("others_were_answered_before_and_at_the_end", 10.0, 15.0, [9.0, 14.9], True),
            ("new_era", -math.inf, 11.0, [10.9], True),
        ]
    )
    def test_registrations_lapse_only_in_an_outage_of_the_whole_store(
        self, _name, started_at, ended_at, answered_at, expected
    ) -> None:
        """Guards against removed servers that stay in use after one failed call."""
        outage_seconds = store_outage.compute_outage(started_at, ended_at, answered_at, READ)
        self.assertEqual(expected, store_outage.may_have_lapsed(outage_seconds, HEARTBEAT))

    @parameterized.expand(
        [
            ("answered shortly before the call that failed", [9.9], -math.inf, 2.1),
            ("answered one read interval before", [8.8], -math.inf, 3.2),
            ("others were answered meanwhile", [9.9, 11.0], -math.inf, 1.1),
            ("paused for most of the time", [9.9], 11.5, 0.5),
            ("paused before the answer arrived", [9.9], 12.0, 0.0),
            ("paused before the outage", [9.9], 9.0, 2.1),
        ]
    )
    def test_outage_counts_from_the_latest_answer(
        self, _name, answered_at, running_since, expected
    ) -> None:
        """Guards against a call that fails late and counts as an outage of several heartbeats."""
        outage_seconds = store_outage.compute_outage(10.0, 12.0, answered_at, READ, running_since)
        self.assertAlmostEqual(expected, outage_seconds)
