"""The choice between servers whose loads are not known."""

import collections
import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import load_estimate, selection
from caperdyke.state import header_fields
from testing.placement import builders

NOW = 100.0


def make_candidates(warm: tuple[str, ...], pace: float | None = 1.0, age: float = 5.0):
    """Returns candidates of a service whose servers reported between 0 and 6 requests.

    :param warm: object that each server is warm for.
    :param age: age of the last report in seconds.
    """
    service = load_estimate.ServiceLoad()
    candidates = [builders.make_candidate(f"s{n}", warm=key) for n, key in enumerate(warm)]
    for candidate in candidates:
        candidate.view.service_load = service
        for number in range(20):
            load = header_fields.ServerLoad(6 * (number % 2), 0, 4, pace)
            candidate.view.record_load_report(NOW - age - 1 + number / 20, load)
        candidate.view.record_load_report(NOW - age, header_fields.ServerLoad(2, 0, 4, pace))
    return candidates


def count_choices(candidates, key: str = "k", rng: random.Random | None = None):
    """Returns how often each server is selected in 200 selections."""
    rng = rng or random.Random(1)
    needs = builders.make_requirements(key, objective_at=NOW + 0.5, deadline=NOW + 3.0)
    selected = [
        selection.select_server(NOW, needs, candidates, builders.TIMES, rng) for _ in range(200)
    ]
    return collections.Counter(item.view.server.backend for item in selected)


class ChoiceTest(testtools.TestCase):
    """Pattern: many instances know nothing recent of servers that are equally good.

    Guards against all of them choosing the same server at the same time.
    """

    @parameterized.expand([("equally warm", ("k", "k"), "k"), ("no object", ("", ""), "")])
    def test_equal_servers_with_outdated_loads_are_both_chosen(self, _name, warm, key) -> None:
        counts = count_choices(make_candidates(warm), key)
        self.assertEqual(2, len(counts))
        self.assertTrue(min(counts.values()) >= 60, counts)

    @parameterized.expand(
        [
            ("recent loads", ("k", "k"), 1.0, 0.05),
            ("servers that report three figures", ("k", "k"), None, 5.0),
            ("second is cold", ("k", ""), 1.0, 5.0),
            ("both may be cold", ("", ""), 1.0, 5.0),
        ]
    )
    def test_otherwise_the_first_home_is_chosen(self, _name, warm, pace, age) -> None:
        """Guards against cold runs by chance, and another choice in earlier deployments."""
        self.assertEqual({"s0": 200}, count_choices(make_candidates(warm, pace, age)))

    def test_rounding_error_exchanges_no_servers(self) -> None:
        """Pattern: two servers that report three figures cost the same but for the last digit."""
        candidates = make_candidates(("k", "k"), None)
        candidates[1] = selection.Candidate(candidates[1].view, True, 0.001 - 1e-9)
        self.assertEqual({"s0": 200}, count_choices(candidates))

    def test_clearly_cheaper_server_is_chosen(self) -> None:
        candidates = make_candidates(("k", "k"))
        candidates[0] = selection.Candidate(candidates[0].view, True, 1.0)
        self.assertEqual({"s1": 200}, count_choices(candidates))
