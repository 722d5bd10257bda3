"""Memory of responses that callers have not read."""

import testtools
from parameterized import parameterized

from caperdyke.coordination import body_budget
from caperdyke.transport.http import unread_responses

MEGABYTE = 1024 * 1024
BUDGET = 100 * MEGABYTE


class _Connection:
    """Holds a response that nobody reads."""

    def __init__(self, size: int) -> None:
        self._size = size
        self.cause = ""

    def get_write_buffer_size(self) -> int:
        """Returns the size of the response."""
        return self._size

    def end(self, cause: str) -> None:
        """Records why the connection was closed."""
        self.cause = cause


class UnreadResponsesTest(testtools.TestCase):
    """Responses of many slow callers beside each other."""

    def setUp(self) -> None:
        super().setUp()
        self.budget = body_budget.BodyBudget(BUDGET)
        self.unread = unread_responses.UnreadResponses(self.budget)

    def add(self, count: int, size: int = MEGABYTE) -> list[_Connection]:
        """Adds connections with unread responses."""
        connections = [_Connection(size) for _ in range(count)]
        for connection in connections:
            self.unread.add(connection)
        return connections

    @parameterized.expand([("at half", 50, False), ("above half", 51, True)])
    def test_requests_are_accepted_without_memory(self, _name, count, expected) -> None:
        """Guards against accepting requests until the process is killed for its memory."""
        self.add(count)
        self.assertEqual(expected, self.unread.is_full)

    def test_longest_unread_connections_make_room(self) -> None:
        """Guards against losing all connections of a process for some that nobody reads."""
        connections = self.add(103)
        ended = [bool(connection.cause) for connection in connections]
        self.assertEqual([True] * 3 + [False] * 100, ended)
        self.assertEqual(BUDGET, self.unread.bytes_held)

    def test_bodies_and_responses_share_the_memory(self) -> None:
        """Guards against bodies and responses that fit alone, and not together."""
        self.budget.try_reserve(0, 60 * MEGABYTE)
        connections = self.add(41)
        self.assertTrue(connections[0].cause)
        self.assertFalse(connections[1].cause)
        self.assertFalse(self.budget.try_reserve(0, MEGABYTE))

    def test_response_larger_than_the_memory_is_sent_alone(self) -> None:
        """Guards against a machine that loses a response for good."""
        (connection,) = self.add(1, 2 * BUDGET)
        self.assertEqual("", connection.cause)

    def test_memory_is_released(self) -> None:
        """Guards against counting what callers have read."""
        connections = self.add(60)
        for connection in [*connections, connections[0]]:
            self.unread.remove(connection)
        self.assertEqual((0, 0, False), self.get_state())

    def get_state(self) -> tuple[int, int, bool]:
        """Returns what is held, what is reserved, and whether requests are rejected."""
        return self.unread.bytes_held, self.budget.reserved, self.unread.is_full
