"""Load above the capacity of a server: waiting at a gateway, and ranks."""

import asyncio

from caperdyke.coordination.placement import admission
from caperdyke.transport import events
from testing.platform import harness

# Requests that the server gets at most from a gateway that knows it to be fast: 2.5 for each slot.
SENT_MAX = 10
WARM_UP_REQUESTS = 5
# Replaces the time for which a rejection restricts others, so that a busy machine does not matter.
PRESSURE_SECONDS = 2.0


def make_ranked_configuration() -> dict:
    """Returns a configuration in which purchases are less urgent than reads."""
    document = harness.make_configuration()
    document["routes"]["r-read"]["priority"] = 0
    document["routes"]["r-buy"]["priority"] = 1
    return document


def make_patient_configuration() -> dict:
    """Returns a configuration with an objective that allows for a wait on a busy machine."""
    document = harness.make_configuration()
    document["routes"]["r-read"]["latencyObjectiveMs"] = 3000
    return document


async def fill(env: harness.GatewayHarness, count: int) -> list[asyncio.Task]:
    """Sends requests that the server holds; returns when it has them or the gateway holds some."""
    server = env.servers[0]
    server.release.clear()
    already = len(server.requests)
    tasks = [asyncio.create_task(env.send_request()) for _ in range(count)]
    await env.wait_until(lambda: len(server.requests) == already + min(count, SENT_MAX))
    return tasks


async def warm_up(env: harness.GatewayHarness) -> None:
    for _ in range(WARM_UP_REQUESTS):
        await env.send_request()


class WaitingTest(harness.AsyncTestCase):
    """A gateway that lets requests wait."""

    def test_requests_beyond_the_capacity_wait_and_are_served(self) -> None:
        """Guards against rejections shortly before capacity comes free."""
        lines = []
        self.patch(events, "log", lambda event, **fields: lines.append((event, fields)))

        async def scenario() -> None:
            async with harness.start_gateway(["s1"], make_patient_configuration()) as env:
                node = env.gateway.node
                node.apply_settings(harness.replace_settings(node.settings, waiting_max=64))
                await warm_up(env)
                tasks = await fill(env, SENT_MAX + 3)
                await asyncio.sleep(0.1)
                self.assertEqual(WARM_UP_REQUESTS + SENT_MAX, len(env.servers[0].requests))
                self.assertFalse(any(task.done() for task in tasks))
                env.servers[0].release.set()
                statuses = [answer[0] for answer in await asyncio.gather(*tasks)]
                self.assertEqual([200] * len(tasks), statuses)

        self.run_async(scenario)
        waits = [fields["waited_ms"] for _, fields in lines if "waited_ms" in fields]
        self.assertEqual(3, len(waits), waits)

    def test_caller_that_leaves_frees_its_place(self) -> None:
        async def scenario() -> None:
            async with harness.start_gateway(["s1"], make_patient_configuration()) as env:
                node = env.gateway.node
                node.apply_settings(harness.replace_settings(node.settings, waiting_max=64))
                await warm_up(env)
                tasks = await fill(env, SENT_MAX)
                queue = env.gateway._dispatcher.waiting._queues["reader"]
                host, port = node.settings.caller_address.rsplit(":", 1)
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
                await env.wait_until(lambda: len(queue) == 1)
                writer.close()
                await env.wait_until(lambda: not queue)
                env.servers[0].release.set()
                await asyncio.gather(*tasks)
                self.assertEqual(WARM_UP_REQUESTS + SENT_MAX, len(env.servers[0].requests))

        self.run_async(scenario)


class RankTest(harness.AsyncTestCase):
    """Two routes of different ranks share a service."""

    def test_less_urgent_request_leaves_slots_to_the_urgent(self) -> None:
        """The server has four slots, of which three are used after urgent requests were rejected.

        Guards against less urgent requests that take the slots for which urgent callers come back.
        """
        lines = []

        def record_line(event: events.Event, **fields) -> None:
            if event is events.Event.REQUEST_ENDED:
                lines.append(fields)

        async def scenario() -> None:
            async with harness.start_gateway(["s1"], make_ranked_configuration()) as env:
                self.patch(events, "log", record_line)
                self.patch(admission, "PRESSURE_S", PRESSURE_SECONDS)
                node = env.gateway.node
                node.apply_settings(harness.replace_settings(node.settings, has_ranks=True))
                await warm_up(env)
                tasks = await fill(env, SENT_MAX)
                self.assertEqual(503, (await env.send_request())[0])
                env.servers[0].release.set()
                await asyncio.gather(*tasks)
                tasks = await fill(env, 3)
                status, headers, _ = await env.send_request("/buy/1", request_id="less")
                self.assertEqual(503, status)
                self.assertTrue(float(headers["retry-after"]) > 0)
                urgent = asyncio.create_task(env.send_request())
                await env.wait_until(
                    lambda: len(env.servers[0].requests) == WARM_UP_REQUESTS + SENT_MAX + 4
                )
                env.servers[0].release.set()
                self.assertEqual(200, (await urgent)[0])
                await asyncio.gather(*tasks)
                await asyncio.sleep(PRESSURE_SECONDS + 0.1)
                self.assertEqual(200, (await env.send_request("/buy/1"))[0])

        self.run_async(scenario)
        competition = next(line["competition"] for line in lines if line["request"] == "less")
        self.assertEqual((1, [0]), (competition["rank"], competition["ranks_short"]))
        self.assertIn("0 -", competition["in_progress"])
