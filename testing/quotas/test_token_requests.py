"""Tokens of one team at one instance, and its requests for more."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.quotas import token_bucket, token_requests
from caperdyke.state import ids, teams

TEAM = teams.Team(ids.TeamName("team-1"), None, 100.0, 100.0)
NEAR, FAR = ids.InstanceId("near"), ids.InstanceId("far")
RANKED = [(NEAR, 0.002), (FAR, 0.04)]


def start_round(waiting: int = 1, now: float = 0.0):
    """Returns requests of which the nearest holder was asked."""
    requests = token_requests.TokenRequests(TEAM.name)
    requests.start(now)
    requests.choose(now, TEAM, waiting, RANKED, 1)
    return requests


class TokenRequestsTest(testtools.TestCase):
    """Grants that count, and those that must not."""

    def test_token_expires(self) -> None:
        """Guards against a frozen instance that resumes with tokens."""
        requests = start_round()
        requests.apply_grant(0.002, NEAR, 1, token_bucket.Grant(5, 0.0))
        self.assertEqual(5, requests.count_stock(0.1))
        self.assertIsNone(requests.take(0.003 + token_bucket.TOKEN_LIFETIME_S))

    @parameterized.expand(
        [
            ("repeated", NEAR, 1, 0.01, True),
            ("of_another_number", NEAR, 2, 0.01, False),
            ("of_another_holder", FAR, 1, 0.01, False),
            ("late", NEAR, 1, token_bucket.GRANT_DELAY_MAX_S, False),
        ]
    )
    def test_grant_is_dropped(self, _name, holder, number, at, is_answered) -> None:
        """Guards against tokens that the holder counts as used or expired already."""
        requests = start_round()
        if is_answered:
            requests.apply_grant(0.005, NEAR, 1, token_bucket.Grant(0, 0.0))
        requests.apply_grant(at, holder, number, token_bucket.Grant(5, 0.0))
        self.assertEqual(0, requests.count_stock(at))

    def test_next_holder_is_asked_after_a_timeout(self) -> None:
        requests = start_round()
        self.assertEqual(NEAR, requests.ask.holder)
        requests.record_timeout(0.062)
        ask = requests.choose(0.062, TEAM, 1, RANKED, 2)
        self.assertEqual(FAR, ask.holder)
        requests.record_timeout(0.162)
        self.assertIsNone(requests.choose(0.162, TEAM, 1, RANKED, 3))
        self.assertEqual(float("inf"), requests.find_next_token(0.162, RANKED))

    def test_holder_without_tokens_is_not_asked_before_it_expects_one(self) -> None:
        requests = start_round()
        requests.apply_grant(0.002, NEAR, 1, token_bucket.Grant(0, 0.3))
        requests.start(0.1)
        self.assertEqual(FAR, requests.choose(0.1, TEAM, 1, RANKED, 2).holder)
        self.assertAlmostEqual(0.302, requests.find_next_token(0.1, RANKED[:1]))

    def test_token_is_returned_unless_the_holder_was_told_that_it_is_gone(self) -> None:
        """Guards against tokens that both the holder and the instance count."""
        requests = start_round()
        requests.apply_grant(0.002, NEAR, 1, token_bucket.Grant(1, 0.0))
        token = requests.take(0.003)
        requests.put_back(0.004, token)
        self.assertEqual(1, requests.count_stock(0.004))
        token = requests.take(0.005)
        requests.start(0.006)
        self.assertEqual(0, requests.choose(0.006, TEAM, 1, RANKED, 2).demand.in_stock)
        requests.put_back(0.007, token)
        self.assertEqual(0, requests.count_stock(0.007))

    def test_demand_of_a_flood_is_limited_by_the_rate(self) -> None:
        """Guards against one instance that asks for all tokens of its team."""
        requests = token_requests.TokenRequests(TEAM.name)
        for step in range(5000):
            requests.record_demand(step * 0.001)
        requests.start(5.0)
        ask = requests.choose(5.0, TEAM, 1, RANKED, 1)
        self.assertTrue(ask.demand.wanted <= 1 + TEAM.rate_per_second / 2, ask)
