"""Which requests yield by rank, when rejected callers return, and the policy of a configuration."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import admission, selection, team_shares
from caperdyke.state import ids, routes, teams
from testing.placement import builders

URGENT, LESS, LEAST = (team_shares.Claim(rank) for rank in (0, 1, 4))


def make_route(service: str, priority: int, is_public: bool = False) -> routes.Route:
    """Returns a route with one service."""
    parts = (routes.WeightedService(ids.ServiceName(service), 1.0),)
    return routes.Route(
        ids.RouteName(f"{service}-{priority}"),
        "host",
        "/",
        routes.RouteKind.SAFE,
        parts,
        4000.0,
        600.0,
        priority,
        3,
        False,
        frozenset(),
        is_public,
    )


def make_table(table_routes, team_ranks=None) -> routes.RouteTable:
    """Returns a configuration; with a team for each of ``team_ranks`` unless that is None."""
    directory = None
    if team_ranks is not None:
        directory = teams.make_directory(
            (teams.Team(ids.TeamName(f"t{number}"), rank), [f"key-{number}"])
            for number, rank in enumerate(team_ranks)
        )
    limits = routes.CallerLimits(1, 1, 1.0, 1.0)
    return routes.RouteTable(1, tuple(table_routes), {}, limits, directory)


class PolicyTest(testtools.TestCase):
    """Competition takes effect only where the configuration has different ranks, or teams."""

    @parameterized.expand(
        [
            ("one rank", [("a", 1), ("a", 1)], None, set(), False),
            ("ranks on different services", [("a", 0), ("b", 1)], None, set(), False),
            ("ranks on one service", [("a", 0), ("a", 1), ("b", 1)], None, {"a"}, False),
            ("teams of one rank", [("a", 1)], [2, 2], set(), True),
            ("one team", [("a", 1)], [2], set(), False),
            ("teams of two ranks", [("a", 1)], [0, 2], {"a"}, True),
            ("a team without a rank of its own", [("a", 1)], [0, None], {"a"}, True),
            ("ranks of routes that teams override", [("a", 0), ("a", 1)], [2, 2], set(), True),
        ]
    )
    def test_policy(self, _name, table_routes, team_ranks, ranked, has_teams) -> None:
        table = make_table([make_route(*item) for item in table_routes], team_ranks)
        policy = admission.derive_policy(table)
        self.assertEqual((ranked, has_teams), (set(policy.ranked_services), policy.has_teams))

    def test_public_route_keeps_its_rank_beside_that_of_teams(self) -> None:
        table = make_table([make_route("a", 1, True)], [2, 2])
        self.assertIn("a", admission.derive_policy(table).ranked_services)


class RankPressureTest(testtools.TestCase):
    """The less urgent leave slots free only while a more urgent rank lacks capacity."""

    @parameterized.expand(
        [
            ("no shortage", None, LESS, 0.1, 0.0),
            ("own rank", LESS, LESS, 0.1, 0.0),
            ("less urgent rank", LESS, URGENT, 0.1, 0.0),
            ("one rank apart", URGENT, LESS, 0.1, 0.25),
            ("four ranks apart", URGENT, LEAST, 0.1, 0.75),
            ("at the end", URGENT, LESS, 0.49, 0.25),
            ("after the end", URGENT, LESS, 0.5, 0.0),
        ]
    )
    def test_reserve(self, _name, short, claim, elapsed_s, reserve) -> None:
        capacity = admission.ServiceCapacity()
        if short is not None:
            capacity.record_shortage(10.0, short)
        restriction = capacity.restrict(10.0 + elapsed_s, claim, True, False)
        self.assertEqual(reserve, restriction.reserved_ratio)
        self.assertEqual(reserve == 0, restriction.may_be_queued)

    def test_wait_of_an_urgent_request_reserves_no_slot(self) -> None:
        """Guards against idle slots: the waiting request gets the next one anyway."""
        capacity = admission.ServiceCapacity()
        capacity.record_wait(10.0, URGENT)
        restriction = capacity.restrict(10.1, LESS, True, False)
        self.assertEqual((0.0, False), (restriction.reserved_ratio, restriction.may_be_queued))
        self.assertIs(admission.NO_RESTRICTION, capacity.restrict(10.1, URGENT, True, False))
        self.assertIs(admission.NO_RESTRICTION, capacity.restrict(10.5, LESS, True, False))

    def test_service_of_one_rank_is_not_restricted(self) -> None:
        """Guards against a change for configurations without different ranks."""
        capacity = admission.ServiceCapacity()
        capacity.record_shortage(10.0, URGENT)
        self.assertIs(admission.NO_RESTRICTION, capacity.restrict(10.0, LEAST, False, False))


class ReservedSlotsTest(testtools.TestCase):
    """How the selection of a server obeys a restriction."""

    @parameterized.expand(
        [
            ("no restriction, a free slot", 4, 3, 0.0, True, True),
            ("no restriction, no free slot", 4, 4, 0.0, True, True),
            ("not queued, a free slot", 4, 3, 0.0, False, True),
            ("not queued, no free slot", 4, 4, 0.0, False, False),
            ("a quarter free, below", 4, 2, 0.25, False, True),
            ("a quarter free, at it", 4, 3, 0.25, False, False),
            ("three quarters free, idle", 4, 0, 0.75, False, True),
            ("three quarters free, at it", 4, 1, 0.75, False, False),
            ("a server with one slot, idle", 1, 0, 0.75, False, True),
            ("a server with one slot, busy", 1, 1, 0.25, False, False),
        ]
    )
    def test_selection(self, _name, slots, busy, reserve, may_be_queued, is_placed) -> None:
        candidate = builders.make_candidate("s1", busy, slots=slots)
        needs = selection.Requirements(
            builders.SERVICE,
            ids.ObjectKey(""),
            3.0,
            0.9,
            0.0,
            reserved_ratio=reserve,
            may_be_queued=may_be_queued,
        )
        selected = selection.select_server(0.0, needs, [candidate], builders.TIMES)
        self.assertEqual(is_placed, isinstance(selected, selection.Placement))

    def test_reserve_counts_for_the_whole_service(self) -> None:
        """Servers with one slot each could not keep a part of it free."""
        busy = [builders.make_candidate(f"b{n}", 1, slots=1) for n in range(4)]
        idle = builders.make_candidate("s1", 0, slots=1)
        needs = selection.Requirements(
            builders.SERVICE, ids.ObjectKey(""), 3.0, 0.9, 0.0, reserved_ratio=0.25
        )
        selected = selection.select_server(0.0, needs, [idle, *busy], builders.TIMES)
        self.assertIsInstance(selected, selection.NoCapacity)


class ReturnDelayTest(testtools.TestCase):
    """Rejected callers are spread over the time in which capacity comes free."""

    def make_busy(self, in_progress: int) -> admission.ServiceCapacity:
        """Returns the state with requests in progress, which take 0.2 s each."""
        capacity = admission.ServiceCapacity()
        for _ in range(in_progress + 1):
            capacity.record_start(0.0, URGENT)
        capacity.record_end(0.2, URGENT, 0.2)
        return capacity

    def test_response_interval(self) -> None:
        self.assertIsNone(admission.ServiceCapacity().find_response_interval())
        self.assertAlmostEqual(0.02, self.make_busy(10).find_response_interval())

    def test_each_rejected_caller_extends_the_spread(self) -> None:
        """Guards against callers that meet again at one moment."""
        capacity = self.make_busy(10)
        spreads = [capacity.plan_return(1.0, 0.1, URGENT, 0).spread_s for _ in range(4)]
        self.assertEqual([0.0, 0.02, 0.04, 0.06], [round(spread, 3) for spread in spreads])

    def test_caller_returns_when_the_waiting_requests_have_capacity(self) -> None:
        self.assertAlmostEqual(0.3, self.make_busy(10).plan_return(1.0, 0.1, URGENT, 15).seconds)

    def test_spread_ends_at_the_longest_delay(self) -> None:
        capacity = self.make_busy(10)
        for _ in range(500):
            delay = capacity.plan_return(1.0, 0.1, URGENT, 10)
            self.assertTrue(delay.seconds >= 0.1, delay)
            self.assertTrue(delay.seconds + delay.spread_s <= selection.RETRY_AFTER_MAX_S, delay)

    def test_returned_callers_are_not_counted_any_more(self) -> None:
        capacity = self.make_busy(10)
        for _ in range(20):
            capacity.plan_return(1.0, 0.1, URGENT, 0)
        self.assertEqual(0.0, capacity.plan_return(3.0, 0.1, URGENT, 0).spread_s)

    def test_less_urgent_caller_returns_when_the_more_urgent_rank_has_capacity(self) -> None:
        capacity = self.make_busy(10)
        capacity.record_shortage(1.0, URGENT)
        self.assertAlmostEqual(0.5, capacity.plan_return(1.0, 0.1, LESS, 0).seconds)
        self.assertAlmostEqual(0.1, capacity.plan_return(1.0, 0.1, URGENT, 0).seconds)
