"""Requests of teams through a whole gateway: keys, routes, homes, log lines and metrics."""

import asyncio

from parameterized import parameterized

from caperdyke.state import gateway_settings
from caperdyke.transport import events, metrics
from testing.knowledge import simulated_loop
from testing.platform import harness, team_callers

KEY, OTHER_KEY, BEARER = team_callers.KEY, team_callers.OTHER_KEY, team_callers.BEARER
FORGED = ("Caperdyke-Tenant", "forged")
STRICT = gateway_settings.TeamSettings(True, 0.6)


def hold_connections(env, case) -> asyncio.Event:
    """Delays new connections to servers until the returned event is set."""
    allow_opening, pool = asyncio.Event(), env.gateway.node.pool
    original_open = pool.open

    async def open_delayed(address, timeout):
        await allow_opening.wait()
        return await original_open(address, timeout)

    case.patch(pool, "open", open_delayed)
    return allow_opening


async def apply(env, version: int, tenants: dict) -> None:
    """Writes a version with other teams and waits until it is in force."""
    document = team_callers.make_configuration(version, tenants)
    await env.store.put("op", "config", document)
    await env.wait_until(lambda: env.gateway.node.routes.version == version)


def list_received(env) -> list:
    """Returns the requests that the servers received."""
    return [request for server in env.servers for request in server.requests]


class KeyTest(harness.AsyncTestCase):
    """T1, T2, T4 and T5 as callers and servers see them."""

    @parameterized.expand(
        [
            ("key", [BEARER], 200),
            ("none", [], 401),
            ("twice", [BEARER, BEARER], 401),
            ("unknown", [("Authorization", "Bearer nobody")], 401),
            ("lower_case", [("Authorization", f"bearer {KEY}")], 401),
            ("two_spaces", [("Authorization", f"Bearer  {KEY}")], 401),
            ("tab", [("Authorization", f"Bearer\t{KEY}")], 401),
            ("key_only", [("Authorization", KEY)], 401),
            ("other_scheme", [("Authorization", f"Basic {KEY}")], 401),
            ("forged_team", [FORGED], 401),
            ("forged_relay", [("Relay-Team", "huka270"), ("Relay-Instance", "gateway-2")], 401),
        ]
    )
    def test_route_that_needs_a_key(self, _name, headers, expected) -> None:
        async def scenario() -> None:
            configuration = team_callers.make_configuration()
            async with harness.start_gateway(["s1"], configuration) as env:
                status, found, body = await team_callers.call(env).send_request(*headers)
                self.assertEqual(expected, status)
                self.assertNotIn(KEY.encode(), body)
                self.assertEqual(expected == 200, bool(list_received(env)))
                if expected == 401:
                    self.assertEqual("bearer", found["www-authenticate"])

        self.run_async(scenario)

    @parameterized.expand(
        [
            ("key", "/read/1", [BEARER, FORGED], "huka270"),
            ("public_key", "/public/1", [BEARER, FORGED], "huka270"),
            ("public_none", "/public/1", [FORGED], None),
            ("public_unknown", "/public/1", [("Authorization", "Bearer nobody"), FORGED], None),
            ("public_malformed", "/public/1", [("Authorization", f"basic {KEY}"), FORGED], None),
            ("public_twice", "/public/1", [BEARER, BEARER, FORGED], None),
        ]
    )
    def test_server_gets_the_name_and_never_the_key(self, _name, path, headers, team) -> None:
        async def scenario() -> None:
            configuration = team_callers.make_configuration()
            async with harness.start_gateway(["s1"], configuration) as env:
                status, _, _ = await team_callers.call(env).send_request(*headers, path=path)
                self.assertEqual(200, status)
                (received,) = list_received(env)
                self.assertEqual(team, received.headers.get("caperdyke-tenant"))
                self.assertNotIn("authorization", received.headers)
                self.assertNotIn(KEY, str(received))

        self.run_async(scenario)

    def test_unknown_route_is_404_without_a_key(self) -> None:
        async def scenario() -> None:
            configuration = team_callers.make_configuration()
            async with harness.start_gateway(["s1"], configuration) as env:
                answer = await team_callers.call(env).send_request(path="/none/1")
                self.assertEqual(404, answer[0])

        self.run_async(scenario)

    def test_empty_table_rejects_all_keys(self) -> None:
        """Guards against routes that open when the last team is removed."""

        async def scenario() -> None:
            configuration = team_callers.make_configuration(tenants={})
            async with harness.start_gateway(["s1"], configuration) as env:
                caller = team_callers.call(env)
                self.assertEqual(401, (await caller.send_request(BEARER))[0])
                self.assertEqual(200, (await caller.send_request(path="/public/1"))[0])

        self.run_async(scenario)

    def test_without_teams_headers_are_forwarded_as_they_are(self) -> None:
        """Guards against a change for deployments without teams (T1)."""

        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                answer = await team_callers.call(env).send_request(BEARER, FORGED)
                self.assertEqual(200, answer[0])
                (received,) = list_received(env)
                self.assertEqual(f"Bearer {KEY}", received.headers["authorization"])
                self.assertEqual("forged", received.headers["caperdyke-tenant"])

        self.run_async(scenario)

    def test_instance_without_a_configuration_refuses_for_a_while(self) -> None:
        """Guards against 401 for valid keys of an instance that has just started (T3)."""

        async def scenario() -> None:
            async with harness.start_gateway(["s1"], {}, waits_until_ready=False) as env:
                env.gateway.node.record_initial_failure()
                status, headers, _ = await team_callers.call(env).send_request(BEARER)
                self.assertEqual(503, status)
                self.assertIn("retry-after", headers)

        self.run_async(scenario)


class KeyChangeTest(harness.AsyncTestCase):
    """T6: keys that change while requests and connections of their holders are open."""

    def test_key_removed_while_a_connection_is_kept(self) -> None:
        async def scenario() -> None:
            configuration = team_callers.make_configuration()
            async with harness.start_gateway(["s1"], configuration) as env:
                caller = team_callers.call(env)
                self.assertEqual(200, (await caller.send_request(BEARER))[0])
                await apply(env, 2, team_callers.make_teams(apiKeys=["new"]))
                self.assertEqual(401, (await caller.send_request(BEARER))[0])
                new = ("Authorization", "Bearer new")
                self.assertEqual(200, (await caller.send_request(new))[0])
                self.assertEqual(2, len(list_received(env)))

        self.run_async(scenario)

    @parameterized.expand(
        [
            ("key_removed", team_callers.make_teams(apiKeys=["new"]), 401, None),
            ("team_removed", {}, 401, None),
            ("key_moved", {"heir": {"apiKeys": [KEY]}}, 200, "heir"),
            ("other_changed", team_callers.make_teams(priority=5), 200, "huka270"),
        ]
    )
    def test_change_while_a_connection_to_the_server_opens(
        self, _name, tenants, expected, team
    ) -> None:
        async def scenario() -> None:
            configuration = team_callers.make_configuration()
            async with harness.start_gateway(["s1"], configuration) as env:
                allow_opening = hold_connections(env, self)
                sending = asyncio.create_task(team_callers.call(env).send_request(BEARER))
                await env.wait_until(lambda: env.gateway.node.active_requests)
                await apply(env, 2, tenants)
                allow_opening.set()
                self.assertEqual(expected, (await sending)[0])
                received = [item.headers.get("caperdyke-tenant") for item in list_received(env)]
                self.assertEqual([team] if team else [], received)

        self.run_async(scenario)

    def test_key_removed_before_a_retry(self) -> None:
        """Guards against 401, which says that nothing ran, for a request that may have run."""

        async def scenario() -> None:
            configuration = team_callers.make_configuration()
            async with harness.start_gateway(["s1", "s2"], configuration) as env:
                for server in env.servers:
                    server.release.clear()
                    server.faults = ["reset"]
                sending = asyncio.create_task(team_callers.call(env).send_request(BEARER))
                await env.wait_until(lambda: list_received(env))
                await apply(env, 2, {})
                for server in env.servers:
                    server.release.set()
                self.assertEqual(502, (await sending)[0])
                self.assertEqual(1, len(list_received(env)))

        self.run_async(scenario)

    @parameterized.expand([("known", team_callers.make_teams(), 200), ("removed", {}, 401)])
    def test_request_that_waits_for_the_first_read(self, _name, tenants, expected) -> None:
        async def scenario() -> None:
            configuration = team_callers.make_configuration(tenants=tenants)
            async with harness.start_gateway(
                ["s1"],
                configuration,
                waits_until_ready=False,
                prepare_store=lambda store: store.answers_allowed.clear(),
            ) as env:
                sending = asyncio.create_task(team_callers.call(env).send_request(BEARER))
                await env.wait_until(lambda: env.gateway.node.active_requests)
                env.store.answers_allowed.set()
                self.assertEqual(expected, (await sending)[0])

        # On the real clock, a busy machine lets the first read of the store time out.
        simulated_loop.run_with_sockets(scenario())


class HomesTest(harness.AsyncTestCase):
    """T8: regions of route and team together. The servers are in the north."""

    @parameterized.expand(
        [
            ("any", [], [], 200),
            ("common", ["north", "south"], ["north"], 200),
            ("nothing_in_common", ["north"], ["south"], 503),
            ("no_server_in_the_teams_region", [], ["south"], 503),
            ("no_server_in_the_routes_region", ["south"], [], 503),
            ("unknown_region", [], ["nowhere"], 503),
        ]
    )
    def test_homes(self, _name, of_route, of_team, expected) -> None:
        async def scenario() -> None:
            configuration = team_callers.make_configuration(
                tenants=team_callers.make_teams(homeRegions=of_team),
                routes=team_callers.make_routes(homeRegions=of_route),
            )
            async with harness.start_gateway(["s1", "s2"], configuration) as env:
                status, headers, _ = await team_callers.call(env).send_request(BEARER)
                self.assertEqual(expected, status)
                self.assertEqual(expected == 200, bool(list_received(env)))
                if expected == 503:
                    self.assertTrue(float(headers["retry-after"]) > 0, headers)

        self.run_async(scenario)


class RevocationTest(harness.AsyncTestCase):
    """T10: an instance that is cut off from the store."""

    @parameterized.expand([("strict", STRICT, 503), ("lenient", None, 200)])
    def test_store_is_silent(self, _name, teams, expected) -> None:
        async def scenario() -> None:
            configuration = team_callers.make_configuration()
            async with harness.start_gateway(["s1"], configuration) as env:
                node, caller = env.gateway.node, team_callers.call(env)
                if teams is not None:
                    node.apply_settings(harness.replace_settings(node.settings, teams=teams))
                await env.wait_until(node.may_check_keys)
                self.assertEqual(200, (await caller.send_request(BEARER))[0])
                env.store.is_silent = True
                await asyncio.sleep(STRICT.revoke_seconds * 3)
                status, headers, _ = await caller.send_request(BEARER)
                self.assertEqual((expected, expected == 503), (status, "retry-after" in headers))
                self.assertEqual(200, (await caller.send_request(path="/public/1"))[0])
                self.assertEqual(404, (await caller.send_request(path="/none/1"))[0])
                env.store.is_silent = False
                await env.wait_until(node.may_check_keys)
                self.assertEqual(200, (await caller.send_request(BEARER))[0])

        self.run_async(scenario)

    def test_answering_store_confirms_in_time(self) -> None:
        """Guards against long polls that wait beyond the time of revocation."""

        async def scenario() -> None:
            configuration = team_callers.make_configuration()
            async with harness.start_gateway(["s1"], configuration) as env:
                node, caller = env.gateway.node, team_callers.call(env)
                node.apply_settings(harness.replace_settings(node.settings, teams=STRICT))
                await env.wait_until(node.may_check_keys)
                for _ in range(30):
                    self.assertEqual(200, (await caller.send_request(BEARER))[0])
                    await asyncio.sleep(0.05)

        self.run_async(scenario)

    def test_strict_setting_does_not_concern_deployments_without_teams(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                node = env.gateway.node
                node.apply_settings(harness.replace_settings(node.settings, teams=STRICT))
                env.store.is_silent = True
                await asyncio.sleep(STRICT.revoke_seconds * 2)
                self.assertFalse(node.may_check_keys())
                self.assertEqual(200, (await env.send_request())[0])

        self.run_async(scenario)


class ObservationTest(harness.AsyncTestCase):
    """T4, T11 and T12: log lines and metrics."""

    def record_lines(self) -> list[tuple[events.Event, dict]]:
        """Returns a list that receives the log lines from now on."""
        lines = []
        self.patch(events, "log", lambda event, **fields: lines.append((event, fields)))
        return lines

    def test_log_lines_and_metrics_name_teams_and_causes_and_no_key(self) -> None:
        lines = self.record_lines()
        tenants = {"seen-team": {"apiKeys": [KEY]}, "odd-team": {"apiKeys": [KEY], "ratePerS": -1}}

        async def scenario() -> None:
            configuration = team_callers.make_configuration(tenants=tenants)
            async with harness.start_gateway(["s1"], configuration) as env:
                caller = team_callers.call(env)
                for headers, request_id in (
                    ([BEARER], "served"),
                    ([BEARER, BEARER], "malformed"),
                    ([("Authorization", f"Bearer {OTHER_KEY}")], "unknown"),
                    ([], "none"),
                ):
                    await caller.send_request(*headers, request_id=request_id)
                env.servers[0].faults = ["reset", "spoilt", "reset"]
                await caller.send_request(BEARER, request_id="failed")
                await env.store.put("op", "config", str(configuration).encode() + b"\xff")
                await env.wait_until(
                    lambda: any(event is events.Event.ROW_UNREADABLE for event, _ in lines)
                )

        self.run_async(scenario)
        ends = {
            fields["request"]: fields
            for event, fields in lines
            if event is events.Event.REQUEST_ENDED
        }
        self.assertEqual("seen-team", ends["served"]["team"])
        self.assertEqual("seen-team", ends["failed"]["team"])
        causes = [ends[name].get("cause") for name in ("served", "malformed", "unknown", "none")]
        self.assertEqual([None, "malformed key", "unknown key", "no key"], causes)
        faults = [fields["fault"] for event, fields in lines if event is events.Event.TEAM_INVALID]
        self.assertEqual(2, len(faults), faults)
        self.assertTrue(all("odd-team" in fault for fault in faults), faults)
        page = metrics.render().decode()
        self.assertIn('outcome="answered",team="seen-team"', page)
        self.assertIn('outcome="unknown key",team=""', page)
        for key in (KEY, OTHER_KEY):
            self.assertNotIn(key, page)
            self.assertNotIn(key, repr(lines))

    def test_series_of_teams_are_bounded(self) -> None:
        """Guards against a page of metrics that grows with every change of the teams."""
        counted = metrics.Metrics()
        for number in range(metrics.TEAMS_MAX + 100):
            counted.count_team_request(f"team-{number}", "answered")
        self.assertEqual(metrics.TEAMS_MAX + 1, len(counted._observe_teams(None)))
        self.assertEqual(100, counted._team_counts[metrics.OTHER_TEAMS, "answered"])
