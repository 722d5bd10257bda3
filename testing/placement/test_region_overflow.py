"""Requests that leave their region for an object's home in another one."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import region_overflow, selection
from testing.placement import builders

RATIO_MAX = 0.12


class RegionOverflowTest(testtools.TestCase):
    """The part of the requests that may leave."""

    @parameterized.expand([("16_a_second", 16), ("200_a_second", 200)])
    def test_part_stays_under_the_bound_in_every_window(self, _name: str, rate: int) -> None:
        """Guards against waves of requests that move from one region to the next."""
        overflow = region_overflow.RegionOverflow(RATIO_MAX)
        sends: list[tuple[float, bool]] = []
        for number in range(rate * 10):
            now = number / rate
            has_left = overflow.allows(now)
            overflow.record(now, has_left)
            sends.append((now, has_left))
        for start, _ in sends[:: rate // 4]:
            window = [left for at, left in sends if start <= at < start + region_overflow.WINDOW_S]
            if len(window) == 2 * rate:
                self.assertLessEqual(sum(window), RATIO_MAX * len(window) + 1)

    def test_none_leave_without_the_setting(self) -> None:
        """Guards against deployments that did not ask for it."""
        overflow = region_overflow.RegionOverflow(0.0)
        for number in range(100):
            overflow.record(number / 100, False)
        self.assertFalse(overflow.allows(1.0))

    def test_bound_counts_anew_after_a_pause(self) -> None:
        overflow = region_overflow.RegionOverflow(RATIO_MAX)
        for number in range(100):
            overflow.record(number / 100, True)
        self.assertFalse(overflow.allows(1.0))
        for number in range(20):
            overflow.record(4.0 + number / 100, False)
        self.assertTrue(overflow.allows(4.3))


class RegionalHomeTest(testtools.TestCase):
    """The choice between busy servers of the region and an idle home elsewhere."""

    def _select(self, outstanding: int) -> str:
        near = builders.make_candidate("near", outstanding, warm="k", slots=3)
        far = builders.make_candidate("far", 0, False, slots=3)
        far = selection.Candidate(far.view, False, 0.04, False, True)
        needs = builders.make_requirements()
        return selection.select_server(0.0, needs, [near, far], builders.TIMES).view.server.backend

    @parameterized.expand([("idle", 0, "near"), ("one_free_slot", 2, "near"), ("queue", 6, "far")])
    def test_request_leaves_only_a_queue(self, _name: str, outstanding: int, expected: str) -> None:
        """Pattern: a region at the peak of its demand beside one whose servers are idle."""
        self.assertEqual(expected, self._select(outstanding))
