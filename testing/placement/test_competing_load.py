"""Load above capacity: ranks, teams, bursts, and instances with old load information."""

import testtools
from parameterized import parameterized

from testing.placement import competing_load

# Requests per second that ten servers with four slots can process.
CAPACITY = 200.0
SECONDS = 6.0
# A kind of requests may be served less often than a less urgent one by this, and earn a lower share
# of its value by that.
SERVED_TOLERANCE = 0.05
VALUE_TOLERANCE = 0.15
LATE_VALUE = 0.2
WAITING_MAX = 64


def compute_value_ratio(outcome: competing_load.Outcome) -> float:
    """Returns the share of the value of all requests that was earned."""
    return (outcome.in_time + LATE_VALUE * outcome.late) / outcome.sent


def run(kinds: list[competing_load.Kind], seed: int, **fleet) -> dict[str, competing_load.Outcome]:
    """Runs a load on a fleet."""
    return competing_load.CompetingLoad(competing_load.Fleet(**fleet), kinds, seed).run()


def make_ranks(load: float) -> list[competing_load.Kind]:
    """Returns an urgent kind with a short objective, and another one that can wait longer.

    :param load: rate of both, as a multiple of ``CAPACITY``.
    """
    during = (0.0, SECONDS)
    return [
        competing_load.Kind("urgent", 0, CAPACITY * load * 0.4, objective=0.4, during=during),
        competing_load.Kind("rest", 1, CAPACITY * load * 0.6, objective=0.9, during=during),
    ]


class RankTest(testtools.TestCase):
    """Two ranks on one service.

    Pattern: the less urgent kind has the longer objective, so it waits at servers where the urgent
    kind is rejected. Without ranks, at 1.5 times the capacity, 45 in 100 urgent callers and 77 in
    100 others were served.
    """

    @parameterized.expand(
        [
            (f"{overload} of capacity, {name}", overload, seed, fleet)
            for overload in (1.5, 2.0)
            for seed, (name, fleet) in enumerate(
                [
                    ("waiting", {"waiting_max": WAITING_MAX}),
                    ("no waiting", {"waiting_max": 0}),
                    ("old load information", {"announces_load": False}),
                    ("as many instances as slots", {"instances": 40}),
                    ("one slot each", {"servers": 20, "slots": 1, "instances": 4}),
                ]
            )
        ]
    )
    def test_less_urgent_kind_is_not_served_more_often(self, _name, overload, seed, fleet) -> None:
        slots = fleet.get("servers", 10) * fleet.get("slots", 4)
        outcomes = run(make_ranks(overload * slots / 40), seed, **fleet)
        urgent, rest = outcomes["urgent"], outcomes["rest"]
        self.assertTrue(rest.served_ratio <= urgent.served_ratio + SERVED_TOLERANCE, outcomes)
        values = compute_value_ratio(rest), compute_value_ratio(urgent)
        self.assertTrue(values[0] <= values[1] + VALUE_TOLERANCE, outcomes)
        self.assertTrue(rest.served_ratio > 0, "the less urgent kind is not shut out")


class TeamTest(testtools.TestCase):
    """Three teams of one rank, of which one sends six times its usual.

    Pattern: the two others ask for less than a third of the capacity each. Their fair share serves
    them in full; without shares they lose as much as the team that causes the overload.
    """

    @parameterized.expand([(1,), (2,)])
    def test_other_teams_keep_their_share(self, seed) -> None:
        usual = CAPACITY * 0.3
        rates = {"first": usual, "second": usual, "heavy": usual * 6}
        kinds = [
            competing_load.Kind(name, 1, rate, team=name, during=(0.0, SECONDS))
            for name, rate in rates.items()
        ]
        outcomes = run(kinds, seed, waiting_max=WAITING_MAX)
        for name in ("first", "second"):
            value = compute_value_ratio(outcomes[name])
            self.assertTrue(value >= 1 - VALUE_TOLERANCE, outcomes)


class BurstTest(testtools.TestCase):
    """A burst of half a second, whose excess takes 0.3 s and whose objective allows for 0.4 s."""

    KINDS = (
        competing_load.Kind("steady", 0, CAPACITY * 0.4, during=(0.0, 4.0)),
        competing_load.Kind("burst", 0, CAPACITY * 1.2, during=(2.0, 2.5)),
    )

    @parameterized.expand([(1,), (2,), (3,)])
    def test_burst_that_fits_into_the_wait_is_served(self, seed) -> None:
        """Without waiting, some callers are rejected twice and lost."""
        waiting = run(list(self.KINDS), seed, waiting_max=WAITING_MAX)
        rejecting = run(list(self.KINDS), seed, waiting_max=0)
        self.assertEqual([0, 0], [outcome.rejected for outcome in waiting.values()])
        in_time = [
            sum(outcome.in_time for outcome in outcomes.values())
            for outcomes in (waiting, rejecting)
        ]
        self.assertTrue(in_time[0] >= in_time[1], in_time)
