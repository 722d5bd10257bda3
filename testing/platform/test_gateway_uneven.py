"""Servers that report their pace, and requests that cannot complete in time, through a gateway."""

from parameterized import parameterized

from caperdyke.state import ids
from testing.placement import builders
from testing.platform import harness


class UnevenServersTest(harness.AsyncTestCase):
    """Headers and results of real requests."""

    @parameterized.expand([("pace", "1,0,4,250", 2.5), ("further", "1,0,4,250,9", 2.5)])
    def test_reported_pace_is_recorded(self, _name, header, expected) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                env.servers[0].headers = [("Caperdyke-Server-Load", header)]
                self.assertEqual(200, (await env.send_request())[0])
                view = env.gateway.node.find_view(ids.BackendId("s1"))
                self.assertEqual([expected], [pace for _, pace in view.pace.reports])

        self.run_async(scenario)

    def test_server_with_three_figures_reports_no_pace(self) -> None:
        """Guards against another estimate for servers of earlier deployments."""

        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                await env.send_request()
                node = env.gateway.node
                view = node.find_view(ids.BackendId("s1"))
                self.assertFalse(view.pace.is_reported(node.now()))
                self.assertFalse(view.is_load_blended(node.now()))

        self.run_async(scenario)

    @parameterized.expand(
        [
            # Method and path, milliseconds that the caller waits, expected status and executions.
            ("cannot complete", "POST", "/buy/1", 1000, 503, 0),
            ("can complete", "POST", "/buy/1", 3000, 200, 1),
            ("may be repeated", "GET", "/read/1", 1000, 200, 1),
        ]
    )
    def test_request_that_cannot_complete_is_rejected_at_once(
        self, _name, method, path, wait_ms, status, executions
    ) -> None:
        """Pattern: runs of a route take 1.5 s, and callers wait for 1 s.

        Guards against a request that must not run twice and is executed for nobody.
        """

        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                node = env.gateway.node
                times = builders.make_measured_times(warm=1.5, cold=1.5)
                times.measured_at = node.now()
                for route in node.routes.routes:
                    node.times._times[route.name] = times
                answer, headers, _ = await env.send_request(path, method, wait_ms=wait_ms)
                self.assertEqual(status, answer)
                self.assertEqual(executions, len(env.servers[0].requests))
                self.assertEqual(status == 503, "retry-after" in headers)

        self.run_async(scenario)
