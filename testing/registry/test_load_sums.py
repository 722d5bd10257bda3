"""Sums of what other instances tell of their requests under way."""

import random

import testtools

from caperdyke.coordination.registry import load_sums
from caperdyke.state import ids

NAMES = [ids.InstanceId(f"front-{number}") for number in range(8)]


class LoadSumsTest(testtools.TestCase):
    """What is added up anew when something is told."""

    def test_sums_follow_every_order_of_events(self) -> None:
        """Pattern: instances tell, fall silent and come back in any order."""
        for seed in range(50):
            chance = random.Random(seed)
            sums, told = load_sums.LoadSums(), {}
            for _ in range(60):
                name = chance.choice(NAMES)
                match chance.randrange(4):
                    case 0:
                        sums.forget(name)
                        told.pop(name, None)
                    case 1:
                        live = {item: None for item in chance.sample(NAMES, 5)}
                        sums.keep_only(live)
                        told = {item: load for item, load in told.items() if item in live}
                    case _:
                        load = {mark: chance.randrange(1, 4) for mark in chance.sample(range(6), 3)}
                        sums.replace(name, load)
                        told[name] = load
                expected = [sum(load.get(mark, 0) for load in told.values()) for mark in range(6)]
                self.assertEqual(expected, [sums.find(mark) for mark in range(6)])
