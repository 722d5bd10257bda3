"""Selection of backend servers, their slots, slow start, ejection and leaving."""

import asyncio
import random

import parameterized
import testtools

from caperdyke import errors
from caperdyke.coordination import backend_record, backends
from caperdyke.state import backend, outcome
from caperdyke.transport.backends import slot_queue
from testing import builders

SERVICE = "gallery-reader"


def make_server(name: str, slots: int = 3) -> backend.BackendServer:
    """Returns a backend server."""
    return backend.BackendServer(name, builders.PASIG, SERVICE, "127.0.0.1:1", slots)


def make_table(count: int, policy: backends.Policy = backends.Policy.LEAST_WORK):
    """Returns a table whose backend servers are warm."""
    table = backends.BackendTable(policy, random.Random(1))
    for number in range(count):
        record = table.add(make_server(f"b{number}"))
        record.stats.answers = backend_record.WARM_ANSWERS
        record.warm()
    return table


class BackendTableTest(testtools.TestCase):
    """Decisions about the backend servers of one service."""

    @parameterized.parameterized.expand([(item.value, item) for item in backends.Policy])
    def test_slots_are_never_exceeded(self, _name, policy) -> None:
        table = make_table(3, policy)
        chosen = []
        while (record := table.choose(0.0, SERVICE)) is not None:
            table.start(0.0, record)
            chosen.append(record.server.backend)
        self.assertEqual(9, len(chosen))
        self.assertEqual({3}, {chosen.count(name) for name in set(chosen)})

    def test_slots_are_assigned_exactly_once(self) -> None:
        for size in (1, 2, 3, 10):
            instances = [f"i{number}" for number in range(size)]
            for server in (make_server(f"b{number}", 7) for number in range(10)):
                parts = [backends.count_owned_slots(server, i, instances) for i in instances]
                self.assertEqual(7, sum(parts))
                self.assertLessEqual(max(parts) - min(parts), 1)

    def test_slower_backend_server_gets_less(self) -> None:
        table = make_table(2)
        table.find("b0").stats.latency = 0.1
        table.find("b1").stats.latency = 0.01
        self.assertEqual("b1", table.choose(0.0, SERVICE).server.backend)

    def test_cold_backend_server_beside_a_warm_one_gets_one_request_at_a_time(self) -> None:
        table = make_table(1)
        for _ in range(3):
            table.start(0.0, table.find("b0"))
        record = table.add(make_server("cold"))
        table.start(0.0, record)
        self.assertIsNone(table.choose(0.0, SERVICE))
        for _ in range(backend_record.WARM_ANSWERS):
            table.finish_answer(record, 0.01)
            table.start(0.0, record)
        self.assertEqual(backend.BackendState.SERVING, record.state)
        self.assertIsNotNone(table.choose(0.0, SERVICE))

    def test_no_slow_start_where_most_backend_servers_are_cold(self) -> None:
        table = make_table(1)
        for name in ("cold-1", "cold-2"):
            table.add(make_server(name))
        chosen = []
        while (record := table.choose(0.0, SERVICE)) is not None:
            table.start(0.0, record)
            chosen.append(record)
        self.assertEqual(9, len(chosen))

    def test_slow_backend_server_is_avoided_but_probed(self) -> None:
        table = make_table(3)
        slow = table.find("b0")
        slow.stats.latency = 1.0
        for name in ("b1", "b2"):
            for _ in range(3):
                table.start(10.0, table.find(name))
        slow.stats.started_at = 9.0
        self.assertIsNone(table.choose(10.0, SERVICE))
        probe_time = 9.0 + backends.PROBE_SECONDS
        for name in ("b1", "b2"):
            table.find(name).stats.running_since.clear()
        self.assertIs(slow, table.choose(probe_time, SERVICE))
        table.start(probe_time, slow)
        self.assertIsNone(table.choose(probe_time, SERVICE))

    def test_no_server_is_avoided_where_most_are_slow(self) -> None:
        table = make_table(3)
        for record in table.list_records():
            record.stats.latency = 1.0
        table.find("b2").stats.latency = 0.01
        for _ in range(3):
            table.start(0.0, table.find("b2"))
        self.assertIsNotNone(table.choose(0.0, SERVICE))

    def test_long_body_does_not_count_as_latency(self) -> None:
        table = make_table(1)
        record = table.find("b0")
        table.start(0.0, record)
        table.record_head(record)
        self.assertEqual(record.stats.latency, record.estimate_latency(60.0))
        self.assertEqual(1, record.stats.in_flight)

    def test_server_that_becomes_slow_is_detected_before_its_answer(self) -> None:
        table = make_table(2)
        table.start(0.0, table.find("b0"))
        self.assertEqual(5.0, table.find("b0").estimate_latency(5.0))
        self.assertEqual("b1", table.choose(5.0, SERVICE).server.backend)

    def record_failures(self, table, record, now: float) -> None:
        for _ in range(backends.EJECT_FAILURES):
            table.start(0.0, record)
            table.finish_failure(now, record)

    def test_failing_backend_server_is_ejected_and_readmitted(self) -> None:
        table = make_table(2)
        record = table.find("b0")
        self.record_failures(table, record, 10.0)
        self.assertEqual(backend.BackendState.EJECTED, record.state)
        self.assertEqual("b1", table.choose(10.0, SERVICE).server.backend)
        table.choose(10.0 + backends.EJECT_SECONDS, SERVICE)
        self.assertEqual(backend.BackendState.WARMING, record.state)
        table.start(0.0, record)
        table.finish_failure(13.0, record)
        self.assertEqual(backend.BackendState.EJECTED, record.state)

    def test_at_most_half_are_ejected(self) -> None:
        table = make_table(4)
        for record in table.list_records():
            self.record_failures(table, record, 10.0)
        states = [record.state for record in table.list_records()]
        self.assertEqual(2, states.count(backend.BackendState.EJECTED))

    def test_leaving_backend_server_gets_nothing_until_it_is_back_cold(self) -> None:
        table = make_table(1)
        record = table.find("b0")
        table.mark_leaving(10.0, record)
        self.assertIsNone(table.choose(10.0, SERVICE))
        self.assertFalse(table.has_available(SERVICE))
        table.mark_returned(record)
        self.assertEqual(backend.BackendState.WARMING, record.state)
        self.assertEqual(0, record.stats.answers)

    def test_ejected_backend_server_can_leave_and_is_not_restored(self) -> None:
        table = make_table(2)
        record = table.find("b0")
        self.record_failures(table, record, 10.0)
        table.mark_leaving(11.0, record)
        table.choose(20.0, SERVICE)
        self.assertEqual(backend.BackendState.LEAVING, record.state)


class SlotQueueTest(testtools.TestCase):
    """Queued requests: fairness, deadlines, cancellation and leaving backend servers."""

    def run_with_full_slots(self, scenario):
        async def run():
            table = make_table(1)
            queue = slot_queue.SlotQueue(SERVICE, table)
            for _ in range(3):
                await queue.acquire(0.0, "tala", 10.0)
            return await scenario(queue, table)

        return asyncio.run(run())

    def free_slot(self, queue, table) -> None:
        table.finish_answer(table.find("b0"), 0.01)
        queue.serve_waiting(0.0)

    def test_customers_take_turns(self) -> None:
        async def scenario(queue, table):
            order = []

            async def wait(customer: str) -> None:
                await queue.acquire(0.0, customer, 10.0)
                order.append(customer)

            table.find("b0").stats.is_observed = True
            waiting = [asyncio.create_task(wait("flood")) for _ in range(6)]
            await asyncio.sleep(0)
            waiting += [asyncio.create_task(wait("quiet")) for _ in range(2)]
            for _ in range(8):
                await asyncio.sleep(0)
                self.free_slot(queue, table)
            await asyncio.gather(*waiting)
            return order

        order = self.run_with_full_slots(scenario)
        self.assertEqual(["flood", "quiet"] * 2 + ["flood"] * 4, order)

    def test_request_that_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        async def scenario(queue, table):
            table.find("b0").stats.latency = 3.0
            return await queue.acquire(0.0, "tala", 0.5)

        error = self.assertRaises(errors.RefusalError, self.run_with_full_slots, scenario)
        self.assertEqual(outcome.Reason.BACKEND_BUSY, error.refusal.reason)
        self.assertEqual(1.0, error.refusal.retry_at)

    def test_long_queue_of_one_customer_does_not_refuse_another(self) -> None:
        async def scenario(queue, table):
            stats = table.find("b0").stats
            stats.is_observed = True
            # Each request ahead takes just under 0.1 s; a wait of 0.8 s is admitted, so eight fit.
            stats.latency = 0.29
            flood = [asyncio.create_task(queue.acquire(0.0, "flood", 2.0)) for _ in range(20)]
            await asyncio.sleep(0)
            length = queue.count_waiting()
            quiet = asyncio.create_task(queue.acquire(0.0, "quiet", 2.0))
            await asyncio.sleep(0)
            is_refused = quiet.done()
            for task in (*flood, quiet):
                task.cancel()
            await asyncio.gather(*flood, quiet, return_exceptions=True)
            return length, is_refused

        self.assertEqual((8, False), self.run_with_full_slots(scenario))

    def test_queue_is_short_before_the_first_answer(self) -> None:
        async def scenario(queue, table):
            waiting = [asyncio.create_task(queue.acquire(0.0, "tala", 10.0)) for _ in range(4)]
            await asyncio.sleep(0)
            count = queue.count_waiting()
            for task in waiting:
                task.cancel()
            refused = (await asyncio.gather(*waiting, return_exceptions=True))[-1]
            return count, refused.refusal.reason

        self.assertEqual((3, outcome.Reason.BACKEND_BUSY), self.run_with_full_slots(scenario))

    def test_request_whose_answer_would_come_too_late_takes_no_slot(self) -> None:
        async def scenario(queue, table):
            waiting = asyncio.create_task(queue.acquire(0.0, "tala", 10.0))
            await asyncio.sleep(0)
            table.find("b0").stats.latency = 30.0
            table.finish_refusal(table.find("b0"))
            queue.serve_waiting(1.0)
            return await waiting

        error = self.assertRaises(errors.RefusalError, self.run_with_full_slots, scenario)
        self.assertEqual(outcome.Reason.BACKEND_BUSY, error.refusal.reason)

    def test_queued_requests_are_refused_when_the_last_backend_server_leaves(self) -> None:
        async def scenario(queue, table):
            waiting = asyncio.create_task(queue.acquire(0.0, "tala", 10.0))
            await asyncio.sleep(0)
            table.mark_leaving(0.0, table.find("b0"))
            queue.serve_waiting(0.0)
            return await waiting

        error = self.assertRaises(errors.RefusalError, self.run_with_full_slots, scenario)
        self.assertEqual(outcome.Reason.NO_BACKEND, error.refusal.reason)

    def test_slot_granted_to_a_cancelled_request_is_released(self) -> None:
        async def scenario(queue, table):
            waiting = asyncio.create_task(queue.acquire(0.0, "tala", 10.0))
            await asyncio.sleep(0)
            self.free_slot(queue, table)
            waiting.cancel()
            await asyncio.wait([waiting])
            return table.find("b0").stats.in_flight, queue.count_waiting()

        self.assertEqual((2, 0), self.run_with_full_slots(scenario))
