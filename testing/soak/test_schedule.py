"""Schedules of the fault soak."""

import itertools
import pathlib
import tempfile

import testtools

from bench.soak import schedule


class ScheduleTest(testtools.TestCase):
    """Generating, storing and shortening."""

    def test_seed_draws_the_same_schedule_again(self) -> None:
        self.assertEqual(schedule.draw(7, 6, 8, 20), schedule.draw(7, 6, 8, 20))

    def test_every_kind_is_drawn(self) -> None:
        kinds = {item.kind for seed in range(60) for item in schedule.draw(seed, 6, 8, 16).actions}
        self.assertEqual(set(schedule.Kind), kinds)

    def test_targets_exist_and_actions_overlap(self) -> None:
        for seed in range(30):
            actions = schedule.draw(seed, 5, 8, 16).actions
            for item in actions:
                size = 8 if item.kind.value.startswith("server") else 5
                self.assertTrue(max(item.targets) < size, item)
                self.assertTrue(0 <= item.at <= schedule.FAULT_PERIOD_S, item)
            pairs = itertools.pairwise(actions)
            self.assertTrue(any(one.at + one.seconds > two.at for one, two in pairs))

    def test_written_schedule_is_read_again(self) -> None:
        drawn = schedule.draw(3, 6, 8, 16)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "schedule.json"
            schedule.write(drawn, path)
            self.assertEqual(drawn, schedule.read(path))

    def test_shortening_keeps_what_the_failure_needs(self) -> None:
        drawn = schedule.draw(3, 6, 8, 12)
        needed = {drawn.actions[2], drawn.actions[9]}
        shortest = schedule.shorten(drawn, lambda plan: needed <= set(plan.actions))
        self.assertEqual(needed, set(shortest.actions))
