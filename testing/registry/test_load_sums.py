"""Sums of the announced requests in flight of other instances."""

import random

import testtools

from caperdyke.coordination.registry import load_sums
from caperdyke.state import ids

NAMES = [ids.InstanceId(f"front-{number}") for number in range(8)]


class LoadSumsTest(testtools.TestCase):
    """Incremental sums, compared with sums over all loads."""

    def test_sums_after_random_events(self) -> None:
        """Pattern: instances announce load, become silent and return in any order."""
        for seed in range(50):
            rng = random.Random(seed)
            sums, loads = load_sums.LoadSums(), {}
            for _ in range(60):
                name = rng.choice(NAMES)
                match rng.randrange(4):
                    case 0:
                        sums.remove_instance(name)
                        loads.pop(name, None)
                    case 1:
                        live = {item: None for item in rng.sample(NAMES, 5)}
                        sums.keep_only(live)
                        loads = {item: load for item, load in loads.items() if item in live}
                    case _:
                        load = {
                            name_hash: rng.randrange(1, 4) for name_hash in rng.sample(range(6), 3)
                        }
                        sums.replace(name, load)
                        loads[name] = load
                expected = [
                    sum(load.get(name_hash, 0) for load in loads.values()) for name_hash in range(6)
                ]
                self.assertEqual(expected, [sums.find(name_hash) for name_hash in range(6)])
