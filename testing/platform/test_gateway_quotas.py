"""Teams with a limit at a running gateway."""

import asyncio

from testing.platform import harness

RATE, BURST = 5, 5
# (rate x window + burst) x (1 + overrun) + slack, of docs/design/teams-and-load.md, section 2.
ALLOWED_IN_WINDOW = (RATE * 5 + BURST) * 1.1 + 20


def make_configuration(version: int = 1, rate: float = RATE, **changes) -> dict:
    """Returns a configuration with a team that has a limit and one that has none."""
    tenants = {
        "limited": {"apiKeys": ["k-limited"], "ratePerS": rate, "burst": BURST},
        "free": {"apiKeys": ["k-free"]},
    }
    return harness.make_configuration(version, tenants=tenants, **changes)


class TeamQuotaTest(harness.AsyncTestCase):
    """Requests of a team that is over its quota."""

    def test_team_over_its_quota_gets_429_and_others_do_not(self) -> None:
        """Guards against requests that run beyond the bound or without being counted."""

        async def scenario() -> None:
            async with harness.start_gateway(configuration=make_configuration()) as env:
                statuses, delays = [], []
                for _ in range(100):
                    status, headers, _ = await env.send_request(team_key="k-limited")
                    statuses.append(status)
                    if status == 429:
                        delays.append(float(headers["retry-after"]))
                self.assertEqual({200, 429}, set(statuses))
                run = sum(len(server.requests) for server in env.servers)
                self.assertEqual(statuses.count(200), run)
                self.assertTrue(run <= ALLOWED_IN_WINDOW, run)
                # At most 0.3 of the 3 s that the caller waits.
                self.assertTrue(all(0.1 <= delay <= 0.9 for delay in delays), delays)
                self.assertEqual(200, (await env.send_request(team_key="k-free"))[0])
                await asyncio.sleep(2.5)
                self.assertEqual(200, (await env.send_request(team_key="k-limited"))[0])

        self.run_async(scenario)

    def test_refused_request_returns_its_token(self) -> None:
        """Guards against quota used up by requests that no server ran."""

        async def scenario() -> None:
            async with harness.start_gateway([], configuration=make_configuration()) as env:
                for _ in range(60):
                    status, _, _ = await env.send_request(team_key="k-limited", wait_ms=200)
                    self.assertEqual(503, status)

        self.run_async(scenario)

    def test_changed_limit_is_in_force_with_its_configuration(self) -> None:
        """Guards against limits of an earlier configuration, also for requests that wait."""

        async def scenario() -> None:
            async with harness.start_gateway(configuration=make_configuration()) as env:
                statuses = [(await env.send_request(team_key="k-limited"))[0] for _ in range(40)]
                self.assertIn(429, statuses)
                await env.store.put("op", "config", make_configuration(2, rate=0))
                await env.wait_until(lambda: env.gateway.node.routes.version == 2)
                statuses = [(await env.send_request(team_key="k-limited"))[0] for _ in range(40)]
                self.assertEqual({200}, set(statuses))

        self.run_async(scenario)

    def test_refusing_servers_use_up_no_quota(self) -> None:
        """Guards against tokens lost with requests that servers report as not run."""

        async def scenario() -> None:
            async with harness.start_gateway(["s1"], configuration=make_configuration()) as env:
                server = env.servers[0]
                server.faults = ["shed"] * 60
                for _ in range(60):
                    status, _, _ = await env.send_request(team_key="k-limited", wait_ms=300)
                    self.assertEqual(503, status)

        self.run_async(scenario)
