"""Requests that wait at an instance: what wakes them, and what ends their wait."""

import asyncio
import contextlib
import dataclasses
import math
import types

from parameterized import parameterized

from caperdyke.coordination.placement import selection, waiting_queue
from caperdyke.state import header_fields, ids
from caperdyke.transport.gateway import local_reply, sender, waiting_requests
from testing.placement import builders
from testing.platform import fleet_harness, harness

FULL = selection.NoCapacity(0.1, False, 3, 1.0)
OBJECTIVE_SECONDS = 0.6
# A wait that ends at once or at a check, on a busy machine.
SOON_SECONDS = 0.25


class WaitingTestBase(harness.AsyncTestCase):
    """One gateway whose selection of a server is replaced."""

    def prepare(self, interval_s: float | None = 0.1, waiting_max: int = 8) -> None:
        """Creates the gateway.

        :param interval_s: expected time between two responses; None if it is not known.
        """
        fleet = fleet_harness.FleetHarness(1)
        self.node, self.route = fleet.nodes[0], fleet.route
        self.node.now = asyncio.get_running_loop().time
        self.node.settings = harness.replace_settings(self.node.settings, waiting_max=waiting_max)
        self.node.path = types.SimpleNamespace(is_lost=False, can_use_kept=lambda _now: True)
        self.waiting = waiting_requests.WaitingRequests(self.node)
        capacity = self.waiting.capacities.find(fleet_harness.SERVICE)
        self.patch(capacity, "find_response_interval", lambda: interval_s)
        self.selected = FULL
        self.tries: list[str] = []

    def start(self, name: str, rank: int = 1, **options) -> asyncio.Task:
        """Starts the wait of a request that has just arrived.

        :param options: ``age`` since its arrival, and seconds until its ``deadline``.
        """
        now = self.node.now()
        caller_headers = header_fields.CallerHeaders(name, 3000.0, ids.ObjectKey(""))
        deadline = now + options.get("deadline", 3.0)
        request = sender.CallerRequest(
            caller_headers, "GET", "", "", b"", [], b"", deadline, self.node.routes
        )
        trace = local_reply.RequestTrace(name, now - options.get("age", 0.0))

        def select() -> selection.Selection:
            self.tries.append(name)
            selected, self.selected = self.selected, FULL
            return selected

        route = dataclasses.replace(self.route, priority=rank)
        service = fleet_harness.SERVICE
        return asyncio.ensure_future(
            self.waiting.wait(request, route, service, trace, FULL, select)
        )

    def free_slot(self) -> None:
        """Lets the next request that is tried find a server, and reports a response."""
        view = builders.make_candidate("s1").view
        self.selected = selection.Placement(view, 0.1, math.inf, True, False)
        self.waiting._start_round(fleet_harness.SERVICE)

    def count_waiting(self) -> int:
        return len(self.waiting._queues[fleet_harness.SERVICE])

    async def measure(self, task: asyncio.Task) -> tuple[float, object]:
        """Returns how long a wait lasts from now, and its result."""
        started_at = self.node.now()
        result = await asyncio.wait_for(task, 5.0)
        return self.node.now() - started_at, result


class WakingTest(WaitingTestBase):
    """What wakes a waiting request."""

    def test_response_wakes_the_first_in_order(self) -> None:
        async def scenario() -> None:
            self.prepare(0.05)
            less, urgent = self.start("less", 1), self.start("urgent", 0)
            await asyncio.sleep(0)
            self.free_slot()
            took_s, placed = await self.measure(urgent)
            self.assertIsInstance(placed, selection.Placement)
            self.assertTrue(took_s < SOON_SECONDS, took_s)
            self.assertEqual("urgent", self.tries[0])
            self.assertFalse(less.done())
            self.assertEqual(1, self.count_waiting())
            less.cancel()

        self.run_async(scenario)

    def test_expected_time_wakes_without_a_response(self) -> None:
        """Guards against requests that wait for a response which is lost."""

        async def scenario() -> None:
            self.prepare(0.04)
            task = self.start("first")
            await asyncio.sleep(0)
            view = builders.make_candidate("s1").view
            self.selected = selection.Placement(view, 0.1, math.inf, True, False)
            self.assertIsInstance((await self.measure(task))[1], selection.Placement)

        self.run_async(scenario)

    def test_tries_are_not_closer_than_the_shortest_interval(self) -> None:
        """Guards against polling where capacity is expected at every moment."""

        async def scenario() -> None:
            self.prepare(0.0)
            took_s, _ = await self.measure(self.start("first"))
            longest = took_s / waiting_requests.RETRY_MIN_SECONDS + 1
            self.assertTrue(1 <= len(self.tries) <= longest, (len(self.tries), took_s))

        self.run_async(scenario)

    def test_cancelled_request_passes_its_turn_on(self) -> None:
        """Guards against a slot that is lost with a caller that left."""

        async def scenario() -> None:
            self.prepare()
            first, second = self.start("first"), self.start("second")
            await asyncio.sleep(0)
            self.free_slot()
            first.cancel()
            self.assertIsInstance((await self.measure(second))[1], selection.Placement)
            with contextlib.suppress(asyncio.CancelledError):
                await first
            self.assertEqual((0, {}), (self.count_waiting(), self.waiting._wakers))

        self.run_async(scenario)


class EndOfWaitTest(WaitingTestBase):
    """What ends a wait without capacity."""

    @parameterized.expand(
        [
            ("objective cannot be met", 0.1, {"age": 0.4}),
            ("capacity is expected too late", 0.5, {}),
            ("deadline", 0.1, {"deadline": 0.0}),
        ]
    )
    def test_request_that_cannot_be_served_is_rejected_at_once(
        self, _name, interval_s, options
    ) -> None:
        async def scenario() -> None:
            self.prepare(interval_s)
            task = self.start("first", **options)
            # Without a suspension, so it takes no time on the clock of the event loop.
            await asyncio.sleep(0)
            self.assertTrue(task.done())
            self.assertIsInstance(task.result(), selection.NoCapacity)
            self.assertEqual([], self.tries)

        self.run_async(scenario)

    def test_wait_without_prospect_ends_after_an_eighth_of_the_objective(self) -> None:
        """The load information is old: no request is in progress, and nothing was heard."""

        async def scenario() -> None:
            self.prepare(None)
            took_s, result = await self.measure(self.start("first"))
            self.assertIsInstance(result, selection.NoCapacity)
            longest = OBJECTIVE_SECONDS * waiting_queue.UNEXPECTED_WAIT_RATIO
            self.assertTrue(longest * 0.9 <= took_s <= longest + SOON_SECONDS, took_s)

        self.run_async(scenario)

    def test_wait_ends_when_the_objective_cannot_be_met(self) -> None:
        async def scenario() -> None:
            self.prepare(0.05)
            took_s, result = await self.measure(self.start("first"))
            self.assertIsInstance(result, selection.NoCapacity)
            self.assertTrue(took_s <= OBJECTIVE_SECONDS, took_s)

        self.run_async(scenario)

    def test_full_queue_rejects_the_less_urgent_at_once(self) -> None:
        async def scenario() -> None:
            self.prepare(0.01, waiting_max=2)
            tasks = [self.start(f"less-{number}") for number in range(2)]
            await asyncio.sleep(0)
            tasks.append(self.start("urgent", 0))
            took_s, result = await self.measure(tasks[1])
            self.assertIsInstance(result, selection.NoCapacity)
            self.assertTrue(took_s < SOON_SECONDS, took_s)
            self.assertEqual(2, self.count_waiting())
            late = self.start("less-2")
            await asyncio.sleep(0)
            self.assertTrue(late.done(), "rejected without a wait")
            for task in tasks:
                task.cancel()

        self.run_async(scenario)

    @parameterized.expand([("configuration",), ("path lost",), ("no kept connection",)])
    def test_request_is_considered_anew(self, change) -> None:
        """Guards against requests that are sent by an outdated configuration or path."""

        async def scenario() -> None:
            self.prepare()
            task = self.start("first")
            await asyncio.sleep(0)
            match change:
                case "configuration":
                    self.node.routes = dataclasses.replace(self.node.routes, version=2)
                case "path lost":
                    self.node.path.is_lost = True
                case _:
                    self.node.path.can_use_kept = lambda _now: False
            took_s, result = await self.measure(task)
            self.assertIsNone(result)
            self.assertTrue(took_s < waiting_requests.CHECK_SECONDS + SOON_SECONDS, took_s)
            self.assertEqual([], self.tries)

        self.run_async(scenario)

    def test_policy_follows_the_configuration_in_force(self) -> None:
        """Guards against ranks that still count, or don't yet count, after a change."""

        async def scenario() -> None:
            self.prepare(waiting_max=0)
            self.node.settings = harness.replace_settings(self.node.settings, has_ranks=True)
            capacities, service = self.waiting.capacities, fleet_harness.SERVICE
            self.assertFalse(capacities.is_competing(service))
            table = self.node.routes
            other = dataclasses.replace(table.routes[0], prefix="/buy/", priority=2)
            self.node.routes = dataclasses.replace(table, routes=(*table.routes, other))
            self.assertTrue(capacities.is_competing(service))
            self.node.routes = table
            self.assertFalse(capacities.is_competing(service))

        self.run_async(scenario)

    def test_stop_ends_all_waits(self) -> None:
        """Guards against requests that are cut off when the instance ends."""

        async def scenario() -> None:
            self.prepare()
            task = self.start("first")
            await asyncio.sleep(0)
            latest_send = self.node.now() + 0.02
            self.node.find_latest_send = lambda *_: latest_send
            self.waiting.stop()
            took_s, result = await self.measure(task)
            self.assertIsInstance(result, selection.NoCapacity)
            self.assertTrue(took_s < 0.02 + waiting_requests.CHECK_SECONDS + SOON_SECONDS, took_s)
            late = self.start("late")
            await asyncio.sleep(0)
            self.assertTrue(late.done(), "no new request waits")

        self.run_async(scenario)

    def test_requests_are_rejected_as_before_without_a_queue(self) -> None:
        async def scenario() -> None:
            self.prepare(waiting_max=0)
            task = self.start("first")
            await asyncio.sleep(0)
            self.assertIs(FULL, task.result())

        self.run_async(scenario)
