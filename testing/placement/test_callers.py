"""Callers that were turned away before."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import callers
from caperdyke.state import ids

ROUTE = ids.RouteName("r-read")


class CallerWaitsTest(testtools.TestCase):
    """Remaining times that callers name."""

    @parameterized.expand(
        [("first try", 3000, False), ("rounded", 2990, False), ("back after 0.15 s", 2850, True)]
    )
    def test_caller_with_less_time_left_is_back(self, _name, wait_ms, expected) -> None:
        waits = callers.CallerWaits()
        waits.note(ROUTE, 3000)
        self.assertEqual(expected, waits.note(ROUTE, wait_ms))

    def test_shorter_waits_of_all_callers_are_learnt(self) -> None:
        """Pattern: the callers of a route change what they wait."""
        waits = callers.CallerWaits()
        waits.note(ROUTE, 9000)
        found = [waits.note(ROUTE, 3000) for _ in range(callers.REQUESTS_MAX + 1)]
        self.assertFalse(found[-1])
