"""Requests that arrive while a gateway is paused, and what it knows at the end of the pause."""

import asyncio

from caperdyke.state import clock
from testing.platform import harness

PAUSE_SECONDS = 3.0
# Time that the store takes for its next answers; shorter than requests wait for them.
ANSWER_SECONDS = 0.05
REQUESTS = 4


class _Clock:
    """A clock that can jump, as it does for a process that was paused."""

    def __init__(self) -> None:
        self._paused_seconds = 0.0

    def read(self) -> float:
        """Returns the time in seconds."""
        return clock.read_clock() + self._paused_seconds

    def pause(self) -> None:
        """Lets a pause pass at once."""
        self._paused_seconds += PAUSE_SECONDS


class PausedGatewayTest(harness.AsyncTestCase):
    """A server leaves during the pause."""

    async def send_after_pause(self, env: harness.GatewayHarness, paused: _Clock) -> list[int]:
        """Sends requests at the end of a pause; returns their status codes."""
        env.store.answers_allowed.clear()
        await env.store.drop("servers", "s1")
        paused.pause()
        requests = [env.send_request(key=f"k{number}") for number in range(REQUESTS)]
        return [status for status, _, _ in await asyncio.gather(*requests)]

    def test_requests_after_a_pause_avoid_a_server_that_left_meanwhile(self) -> None:
        """Guards against requests that are sent by what was known before a pause."""

        async def scenario() -> None:
            paused = _Clock()
            async with harness.start_gateway(now=paused.read) as env:
                # The gateway counts as paused only once it has run.
                await env.send_request()
                before = len(env.servers[0].requests)
                loop = asyncio.get_running_loop()
                loop.call_later(ANSWER_SECONDS, env.store.answers_allowed.set)
                statuses = await self.send_after_pause(env, paused)
                self.assertEqual([200] * REQUESTS, statuses)
                self.assertEqual(before, len(env.servers[0].requests))

        self.run_async(scenario)

    def test_requests_after_a_pause_are_served_although_the_store_does_not_answer(self) -> None:
        """Guards against requests that wait for a store that is unavailable."""

        async def scenario() -> None:
            paused = _Clock()
            async with harness.start_gateway(now=paused.read) as env:
                await env.send_request()
                statuses = await self.send_after_pause(env, paused)
                self.assertEqual([200] * REQUESTS, statuses)
                self.assertTrue(env.servers[0].requests)

        self.run_async(scenario)
