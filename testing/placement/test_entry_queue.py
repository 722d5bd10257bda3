"""Requests that wait for room in an instance."""

import testtools

from caperdyke.coordination.placement import entry_queue
from caperdyke.state import ids
from testing.placement import builders

SERVICE = builders.SERVICE


class EntryQueueTest(testtools.TestCase):
    """Order and bounds of waiting requests."""

    def setUp(self) -> None:
        super().setUp()
        self.queue = entry_queue.EntryQueue()

    def test_urgent_ones_first_then_by_objective(self) -> None:
        slow = self.queue.join(SERVICE, 1, 5.0)
        early = self.queue.join(SERVICE, 1, 3.0)
        urgent = self.queue.join(SERVICE, 0, 9.0)
        same = self.queue.join(SERVICE, 1, 3.0)
        self.assertEqual([urgent, early, same, slow], self.queue.list_next(SERVICE))

    def test_few_are_placed_at_once(self) -> None:
        places = [self.queue.join(SERVICE, 1, float(number)) for number in range(9)]
        self.assertEqual(places[: entry_queue.NEXT_MAX], self.queue.list_next(SERVICE))

    def test_services_wait_apart(self) -> None:
        other = ids.ServiceName("other")
        self.queue.join(SERVICE, 1, 3.0)
        place = self.queue.join(other, 1, 3.0)
        self.queue.leave(place)
        self.assertEqual([], self.queue.list_next(other))
        self.assertEqual([SERVICE], self.queue.list_services())

    def test_wait_ends_while_the_objective_can_be_met(self) -> None:
        until = entry_queue.find_wait_until(10.0, builders.TIMES)
        self.assertEqual(10.0, until + builders.TIMES.warm)
