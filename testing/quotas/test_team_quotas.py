"""Requests that wait for tokens at one instance."""

import asyncio

import testtools
from parameterized import parameterized

from caperdyke.coordination.quotas import stock
from caperdyke.state import header_fields, ids, teams
from caperdyke.transport.gateway import request_tokens, team_quotas
from testing.quotas import quota_fleet

TEAM = teams.Team(ids.TeamName("team-1"), None, 100.0, 100.0)
FILL_SECONDS = 4.0


class WaitingTest(testtools.TestCase):
    """One token request for all that wait, and the longest wait."""

    def find_instance_without_role(self, fleet: quota_fleet.QuotaFleet) -> quota_fleet.Instance:
        """Returns an instance that must ask others."""
        holders = fleet.find_holders()
        return next(item for item in fleet.instances if item not in holders)

    def test_waiting_requests_share_a_token_request(self) -> None:
        """Guards against a datagram for each request while the first one is under way."""

        async def run() -> None:
            fleet = quota_fleet.QuotaFleet(10, TEAM)
            await fleet.rest(FILL_SECONDS)
            quotas = self.find_instance_without_role(fleet).quotas
            now = fleet.now()
            results = await asyncio.gather(
                *(quotas.acquire(TEAM, now + 3.0, now + 0.6) for _ in range(8))
            )
            self.assertTrue(all(isinstance(item, team_quotas.Granted) for item in results))
            # One request for the first, one for those that came meanwhile, and their replies.
            self.assertTrue(fleet.datagrams <= 4, fleet.datagrams)

        quota_fleet.simulate(run)

    @parameterized.expand([("objective", 0.08, 0.02 + 0.07), ("most", 10.0, 0.3)])
    def test_wait_is_bounded(self, _name, objective, wait_max) -> None:
        """Guards against requests that lose their objective while no holder replies."""

        async def run() -> None:
            fleet = quota_fleet.QuotaFleet(10, TEAM)
            await fleet.rest(FILL_SECONDS)
            instance = self.find_instance_without_role(fleet)
            fleet.loss = 1.0
            now = fleet.now()
            results = await asyncio.gather(
                *(instance.quotas.acquire(TEAM, now + 3.0, now + objective) for _ in range(60))
            )
            self.assertIn(team_quotas.Exceeded, {type(item) for item in results})
            self.assertTrue(fleet.now() - now <= wait_max, fleet.now() - now)

        quota_fleet.simulate(run)

    def test_cancelled_request_leaves_its_token_to_others(self) -> None:
        """Guards against tokens lost with callers that disconnect."""

        async def run() -> None:
            fleet = quota_fleet.QuotaFleet(10, TEAM)
            await fleet.rest(FILL_SECONDS)
            quotas = self.find_instance_without_role(fleet).quotas
            now = fleet.now()
            waiting = [
                asyncio.ensure_future(quotas.acquire(TEAM, now + 3.0, now + 0.6)) for _ in range(2)
            ]
            await asyncio.sleep(0)
            waiting[0].cancel()
            self.assertIsInstance(await waiting[1], team_quotas.Granted)
            self.assertRaises(asyncio.CancelledError, waiting[0].result)

        quota_fleet.simulate(run)

    def test_rejected_team_is_not_asked_for_again_at_once(self) -> None:
        async def run() -> None:
            slow = teams.Team(TEAM.name, None, 1.0, 1.0)
            fleet = quota_fleet.QuotaFleet(10, slow)
            quotas = self.find_instance_without_role(fleet).quotas
            await fleet.rest(FILL_SECONDS)
            results = []
            for _ in range(40):
                now = fleet.now()
                results.append(await quotas.acquire(slow, now + 3.0, now + 0.6))
            self.assertIsInstance(results[-1], team_quotas.Exceeded)
            self.assertTrue(0.0 <= results[-1].retry_after_s <= 0.5, results[-1])
            datagrams = fleet.datagrams
            await quotas.acquire(slow, fleet.now() + 3.0, fleet.now() + 0.6)
            self.assertEqual(datagrams, fleet.datagrams)

        quota_fleet.simulate(run)

    def test_limit_that_is_removed_ends_the_wait(self) -> None:
        """Guards against requests that wait by a configuration no longer in force."""

        async def run() -> None:
            fleet = quota_fleet.QuotaFleet(10, TEAM)
            await fleet.rest(FILL_SECONDS)
            instance = self.find_instance_without_role(fleet)
            fleet.loss = 1.0
            now = fleet.now()
            waiting = asyncio.ensure_future(instance.quotas.acquire(TEAM, now + 3.0, now + 10.0))
            await asyncio.sleep(0.01)
            instance.node.routes = quota_fleet.make_table(2, teams.Team(TEAM.name))
            instance.quotas.update()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertTrue(waiting.done())
            await waiting

        quota_fleet.simulate(run)


class RequestTokensTest(testtools.TestCase):
    """The token of one request through its sends."""

    @parameterized.expand(
        [
            ("refused_and_given_up", [False], 1, 1),
            ("refused_and_answered_elsewhere", [False, True], 1, 0),
            ("failed_and_repeated", [True, True], 2, 0),
            ("never_sent", [], 1, 1),
        ]
    )
    def test_sends_that_may_have_run_take_a_token_each(
        self, _name, may_have_run, taken, returned
    ) -> None:
        """Guards against executions that are not counted, and tokens lost with refusals."""
        quotas = _CountingQuotas()
        request = _Request(
            quota_fleet.make_table(1, TEAM), header_fields.TeamIdentity(TEAM.name), None
        )

        async def run() -> None:
            tokens = request_tokens.RequestTokens(quotas, quotas)
            await tokens.acquire(request, 0.6)
            for has_run in may_have_run:
                self.assertIsNone(await tokens.acquire(request, 0.6))
                tokens.start_send()
                tokens.end_send(has_run)
            tokens.release()

        quota_fleet.simulate(run)
        self.assertEqual((taken, returned), (quotas.taken, quotas.returned))

    def test_cancelled_send_uses_its_token(self) -> None:
        """Guards against a caller that disconnects, whose request the server runs."""
        quotas = _CountingQuotas()
        request = _Request(
            quota_fleet.make_table(1, TEAM), header_fields.TeamIdentity(TEAM.name), None
        )

        async def run() -> None:
            tokens = request_tokens.RequestTokens(quotas, quotas)
            await tokens.acquire(request, 0.6)
            tokens.start_send()
            tokens.release()

        quota_fleet.simulate(run)
        self.assertEqual(0, quotas.returned)

    def test_old_token_covers_no_send(self) -> None:
        """Guards against an instance that was frozen with a request about to be sent."""
        quotas = _CountingQuotas()
        request = _Request(
            quota_fleet.make_table(1, TEAM), header_fields.TeamIdentity(TEAM.name), None
        )

        async def run() -> None:
            tokens = request_tokens.RequestTokens(quotas, quotas)
            await tokens.acquire(request, 0.6)
            quotas.time += request_tokens.TAKEN_MAX_SECONDS
            await tokens.acquire(request, 0.6)

        quota_fleet.simulate(run)
        self.assertEqual(2, quotas.taken)


class CountedRequestsTest(testtools.TestCase):
    """Which requests count against a quota here."""

    @parameterized.expand(
        [
            ("caller", "team-1", None, True),
            ("relayed_by_an_instance_that_counted", "team-1", "team-1", False),
            ("without_team", None, None, False),
            ("without_limit", "team-2", None, False),
            ("removed_team", "team-3", None, False),
        ]
    )
    def test_request_counts(self, _name, team, relayed_team, is_counted) -> None:
        """Guards against relayed requests that count twice."""
        relayed = _Relayed(relayed_team) if relayed_team else None
        table = quota_fleet.make_table(1, TEAM, teams.Team(ids.TeamName("team-2")))
        request = _Request(table, header_fields.TeamIdentity(team), relayed)
        self.assertEqual(is_counted, request_tokens.find_limited_team(request) is not None)


class _Relayed:
    def __init__(self, team) -> None:
        self.team = team


class _Request:
    def __init__(self, table, identity, relayed) -> None:
        self.table, self.identity, self.relayed = table, identity, relayed
        self.deadline = 3.0


class _CountingQuotas:
    """Grants every token, and counts; also the clock."""

    def __init__(self) -> None:
        self.taken = self.returned = 0
        self.time = 0.0

    def now(self) -> float:
        return self.time

    async def acquire(self, team, _deadline, _objective_at) -> team_quotas.Granted:
        self.taken += 1
        return team_quotas.Granted(stock.Token(team.name, self.time + 1.0))

    def release(self, _token) -> None:
        self.returned += 1
