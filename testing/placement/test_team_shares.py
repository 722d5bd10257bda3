"""Max-min fair shares of teams."""

import math

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import team_shares
from caperdyke.state import ids


def make_claim(name: str, rank: int = 1) -> team_shares.Claim:
    """Returns the claim of a team."""
    return team_shares.Claim(rank, ids.TeamName(name))


HEAVY, FIRST, SECOND = make_claim("heavy"), make_claim("first"), make_claim("second")


class FairLevelTest(testtools.TestCase):
    """Division of an amount among demands."""

    @parameterized.expand(
        [
            ("nothing demanded", 10.0, [], math.inf),
            ("all served", 10.0, [3.0, 4.0], math.inf),
            ("one exceeds", 10.0, [2.0, 20.0], 8.0),
            ("two exceed", 12.0, [2.0, 20.0, 30.0], 5.0),
            ("all exceed", 9.0, [20.0, 30.0, 40.0], 3.0),
            ("unbounded", 8.0, [math.inf, math.inf], 4.0),
        ]
    )
    def test_level(self, _name, total, demands, level) -> None:
        self.assertEqual(level, team_shares.compute_fair_level(total, demands))


class TeamSharesTest(testtools.TestCase):
    """Which team yields, after 20 s of requests in progress."""

    def setUp(self) -> None:
        super().setUp()
        self.shares = team_shares.TeamShares()

    def start(self, **counts) -> None:
        """Starts requests of teams at time 0."""
        for name, count in counts.items():
            for _ in range(count):
                self.shares.record_start(0.0, make_claim(name))

    def test_heavy_team_yields_to_a_team_below_its_share(self) -> None:
        self.start(heavy=8, first=2, second=2)
        self.shares.record_shortage(20.0, FIRST)
        self.assertTrue(self.shares.must_yield(20.0, HEAVY))
        self.assertFalse(self.shares.must_yield(20.0, FIRST))
        self.assertFalse(self.shares.must_yield(20.0, SECOND))

    def test_no_team_yields_without_a_shortage(self) -> None:
        """Capacity that nobody else asks for is not withheld."""
        self.start(heavy=8, first=2)
        self.assertFalse(self.shares.must_yield(20.0, HEAVY))

    def test_no_team_yields_to_the_shortage_of_the_heavy_team_itself(self) -> None:
        self.start(heavy=8, first=2)
        self.shares.record_shortage(20.0, HEAVY)
        self.assertFalse(self.shares.must_yield(20.0, HEAVY))
        self.assertFalse(self.shares.must_yield(20.0, FIRST))

    def test_shortage_ends(self) -> None:
        self.start(heavy=8, first=2)
        self.shares.record_shortage(20.0, FIRST)
        self.assertFalse(self.shares.must_yield(20.0 + team_shares.SHORTAGE_S, HEAVY))

    def test_ranks_do_not_share(self) -> None:
        """Between ranks, the more urgent goes first; shares hold within a rank."""
        self.start(heavy=8)
        self.shares.record_shortage(20.0, make_claim("first", 2))
        self.assertFalse(self.shares.must_yield(20.0, HEAVY))

    def test_recent_requests_count(self) -> None:
        """An instance of a large fleet often has no request of a team in progress."""
        self.start(heavy=8, first=1)
        for _ in range(8):
            self.shares.record_end(20.0, HEAVY)
        self.shares.record_shortage(20.1, FIRST)
        self.assertTrue(self.shares.must_yield(20.1, HEAVY))
        self.shares.record_shortage(30.0, FIRST)
        self.assertFalse(self.shares.must_yield(30.0, HEAVY))

    def test_teams_without_requests_are_dropped(self) -> None:
        """Guards against a table that grows with every team that was ever seen."""
        for number in range(2000):
            claim = make_claim(f"t{number}")
            self.shares.record_start(0.0, claim)
            self.shares.record_end(0.1, claim)
        self.start(heavy=1)
        self.shares.must_yield(60.0, HEAVY)
        self.assertEqual({"1 heavy": 1.0}, self.shares.describe(60.0))
