"""Relayed requests of teams, and fleets with instances that do not support teams."""

import asyncio
import math

import testtools
from parameterized import parameterized

from caperdyke.protocol import relay_headers
from caperdyke.state import ids
from testing.knowledge import simulated_loop
from testing.platform import live_fleet, team_callers
from testing.platform.test_stranded_instances import strand

DOMAINS = ["hall-1", "hall-1", "hall-2"]
HEADERS = {"Authorization": f"Bearer {team_callers.KEY}"}
FORGED = {"Caperdyke-Tenant": "forged", "Relay-Team": "forged"}
TEAMS = {"routes": team_callers.make_routes(), "tenants": team_callers.make_teams()}


def know_each_other(fleet: live_fleet.LiveFleet) -> bool:
    """Returns whether each gateway knows that all others support teams."""
    return all(p.supports_teams for node in fleet.nodes for p in node.fleet.list_others())


def make_old_build(fleet: live_fleet.LiveFleet, number: int) -> None:
    """Makes one gateway look as a build before teams does to all others."""
    name = fleet.nodes[number].settings.instance
    for node in fleet.nodes:
        for peer in node.fleet.list_others():
            if peer.record.instance == name:
                peer.supports_teams, peer.greeted_at = False, math.inf


class RelayedTeamTest(testtools.TestCase):
    """T7 and T8: requests of teams that pass through another instance."""

    @parameterized.expand(
        [
            ("team", "/read/1", HEADERS, 200, "huka270"),
            ("public_team", "/public/1", HEADERS, 200, "huka270"),
            ("public", "/public/1", {}, 200, None),
            ("no_key", "/read/1", {}, 401, None),
            ("other_key", "/read/1", {"Authorization": "Bearer nobody"}, 401, None),
        ]
    )
    def test_server_gets_the_team_and_no_key(self, _name, path, headers, expected, team) -> None:
        async def scenario() -> None:
            async with live_fleet.start_fleet(DOMAINS, **TEAMS) as fleet:
                await fleet.wait_until(lambda: know_each_other(fleet))
                await strand(fleet, 0, headers=HEADERS)
                answer = await fleet.send_request(
                    0, path, request_id="r-team", headers=headers | FORGED
                )
                self.assertEqual(expected, answer.status)
                received = fleet.find_requests("r-team")
                self.assertEqual(expected == 200, len(received) == 1)
                for request in received:
                    self.assertEqual(team, request.headers.get("caperdyke-tenant"))
                    self.assertNotIn(team_callers.KEY, str(request))
                    self.assertFalse([n for n in request.headers if n.startswith("relay-")])

        simulated_loop.run_with_sockets(scenario())

    def test_homes_of_the_team_apply_to_the_relay_and_the_server(self) -> None:
        tenants = team_callers.make_teams(homeRegions=["south"])

        async def scenario() -> None:
            async with live_fleet.start_fleet(
                ["hall-1", "hall-1", "hall-3"], **(TEAMS | {"tenants": tenants})
            ) as fleet:
                await fleet.wait_until(lambda: know_each_other(fleet))
                await strand(fleet, 0, headers=HEADERS)
                for _ in range(10):
                    self.assertEqual(200, (await fleet.send_request(0, headers=HEADERS)).status)
                used = {s.name.rpartition("-")[0] for s in fleet.servers if s.requests}
                self.assertEqual({"hall-3"}, used)

        simulated_loop.run_with_sockets(scenario())

    def test_key_removed_while_a_connection_to_the_relay_opens(self) -> None:
        """Guards against a removed key whose request another instance runs (T6)."""

        async def scenario() -> None:
            async with live_fleet.start_fleet(["hall-1", "hall-1"], **TEAMS) as fleet:
                await fleet.wait_until(lambda: know_each_other(fleet))
                await strand(fleet, 0, headers=HEADERS)
                allow_opening, pool = asyncio.Event(), fleet.gateways[0]._dispatcher.relay._pool
                original_open = pool.open

                async def open_delayed(address, timeout):
                    await allow_opening.wait()
                    return await original_open(address, timeout)

                pool.close()
                pool.open = open_delayed
                sending = asyncio.create_task(
                    fleet.send_request(0, request_id="r-team", headers=HEADERS)
                )
                await fleet.wait_until(lambda: fleet.nodes[0].active_requests)
                tenants = team_callers.make_teams(apiKeys=["new"])
                document = team_callers.make_configuration(2, tenants)
                await fleet.store.put("op", "config", document)
                await fleet.wait_until(
                    lambda: all(node.routes.version == 2 for node in fleet.nodes)
                )
                allow_opening.set()
                self.assertEqual(401, (await sending).status)
                self.assertEqual([], fleet.find_requests("r-team"))

        simulated_loop.run_with_sockets(scenario())

    def test_team_that_the_relay_does_not_know_is_no_401(self) -> None:
        """Guards against 401 for a key that a newer configuration gives to another team (T3)."""

        async def scenario() -> None:
            async with live_fleet.start_fleet(["hall-1", "hall-1"], **TEAMS) as fleet:
                fields = relay_headers.RelayedRequest(
                    "gateway-0", 1000, 0, False, 1, ids.TeamName("renamed")
                )
                status, headers = await fleet.call_peer(1, relay_headers.encode_request(fields))
                self.assertEqual(503, status)
                outcome = relay_headers.decode_answer(headers).outcome
                self.assertIs(relay_headers.RelayOutcome.NOT_RUN, outcome)
                self.assertEqual(0, fleet.count_runs())

        simulated_loop.run_with_sockets(scenario())


class MixedBuildsTest(testtools.TestCase):
    """Section 6: instances of builds before teams in the same fleet."""

    @parameterized.expand(
        [
            ("team", "/read/1", HEADERS, 503),
            ("public_team", "/public/1", HEADERS, 503),
            ("public", "/public/1", {}, 200),
        ]
    )
    def test_only_requests_without_a_team_go_through_old_builds(
        self, _name, path, headers, expected
    ) -> None:
        """Guards against servers that get a team's request without its name."""

        async def scenario() -> None:
            async with live_fleet.start_fleet(["hall-1", "hall-1"], **TEAMS) as fleet:
                await fleet.wait_until(lambda: know_each_other(fleet))
                make_old_build(fleet, 1)
                await strand(fleet, 0, headers=HEADERS)
                answer = await fleet.send_request(0, path, request_id="r-team", headers=headers)
                self.assertEqual(expected, answer.status)
                self.assertEqual(expected == 200, bool(fleet.find_requests("r-team")))
                if expected == 503:
                    self.assertIn("retry-after", answer.headers)

        simulated_loop.run_with_sockets(scenario())

    def test_team_is_served_through_the_instances_that_support_teams(self) -> None:
        async def scenario() -> None:
            async with live_fleet.start_fleet(DOMAINS, **TEAMS) as fleet:
                await fleet.wait_until(lambda: know_each_other(fleet))
                make_old_build(fleet, 1)
                await strand(fleet, 0, headers=HEADERS)
                for _ in range(10):
                    self.assertEqual(200, (await fleet.send_request(0, headers=HEADERS)).status)

        simulated_loop.run_with_sockets(scenario())

    def test_no_greeting_without_teams(self) -> None:
        """Guards against messages that old builds log in deployments without teams."""

        async def scenario() -> None:
            async with live_fleet.start_fleet(DOMAINS) as fleet:
                sent = []
                for gateway in fleet.gateways:
                    gateway.announcer.send_message = lambda *message: sent.append(message)
                await fleet.send_load(0, 3.0, 5)
                self.assertEqual([], sent)

        simulated_loop.run_with_sockets(scenario())
