"""Order and bound of the requests that wait at an instance, and how long they do."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import team_shares, waiting_queue


def make_request(rank: int = 1, deadline: float = 3.0, **options) -> waiting_queue.WaitingRequest:
    """Returns a request that arrived at time 0 with an objective of 0.8 s.

    :param options: ``latest_start``, ``unexpected_until`` and ``must_yield``.
    """
    return waiting_queue.WaitingRequest(
        team_shares.Claim(rank),
        deadline,
        options.get("latest_start", 0.6),
        options.get("unexpected_until", 0.1),
        options.get("must_yield", False),
    )


class DecideTest(testtools.TestCase):
    """Whether a request waits; the clock is an argument, so a rejection takes no time."""

    @parameterized.expand(
        [
            ("capacity in time", 0.0, 0.3, True, waiting_queue.Hold(0.6, 0.3)),
            ("capacity at the last moment", 0.0, 0.6, True, waiting_queue.Hold(0.6, 0.6)),
            ("beyond an eighth, in time", 0.2, 0.3, False, waiting_queue.Hold(0.6, 0.5)),
            ("nothing known", 0.0, None, True, waiting_queue.Hold(0.1, 0.1)),
            ("estimate became worse", 0.05, 0.7, False, waiting_queue.Hold(0.1, 0.1)),
        ]
    )
    def test_waits(self, _name, now, expected_s, is_new, hold) -> None:
        self.assertEqual(hold, waiting_queue.decide(now, make_request(), expected_s, is_new))

    @parameterized.expand(
        [
            ("capacity too late", 0.0, 0.61, True, {}),
            ("objective cannot be met", 0.6, 0.0, True, {}),
            ("objective cannot be met any more", 0.6, 0.0, False, {}),
            ("deadline", 0.3, 0.0, True, {"deadline": 0.3}),
            ("an eighth of the objective, nothing known", 0.1, None, False, {}),
            ("an eighth of the objective, too late", 0.1, 0.7, False, {}),
        ]
    )
    def test_is_rejected_at_once(self, _name, now, expected_s, is_new, options) -> None:
        """Guards against requests that are held although they can't be served in time."""
        request = make_request(**options)
        decision = waiting_queue.decide(now, request, expected_s, is_new)
        self.assertIsInstance(decision, waiting_queue.Reject)


class WaitingQueueTest(testtools.TestCase):
    """A queue of a few requests."""

    def setUp(self) -> None:
        super().setUp()
        self.queue = waiting_queue.WaitingQueue()

    def fill(self, *requests) -> None:
        for request in requests:
            self.assertIsNone(self.queue.offer(request, 10))

    def drain(self) -> list[waiting_queue.WaitingRequest]:
        """Returns all requests in the order in which they are tried."""
        ordered = []
        self.queue.start_round()
        while (request := self.queue.find_next()) is not None:
            ordered.append(request)
            self.queue.remove(request)
        return ordered

    def test_order_is_rank_then_team_then_deadline(self) -> None:
        late = make_request(deadline=3.0)
        returned = make_request(deadline=2.0)
        heavy = make_request(deadline=1.0, must_yield=True)
        urgent = make_request(0, deadline=9.0)
        self.fill(heavy, late, returned, urgent)
        self.assertEqual([urgent, returned, late, heavy], self.drain())

    def test_requests_with_one_deadline_keep_their_order(self) -> None:
        requests = [make_request() for _ in range(5)]
        self.fill(*requests)
        self.assertEqual(requests, self.drain())

    def test_full_queue_rejects_the_last_in_order(self) -> None:
        waiting = [make_request(1, deadline=3.0 + number) for number in range(10)]
        self.fill(*waiting)
        urgent, least = make_request(0), make_request(2)
        self.assertIs(waiting[-1], self.queue.offer(urgent, 10))
        self.assertIs(least, self.queue.offer(least, 10))
        self.assertEqual(10, len(self.queue))
        self.assertEqual([urgent, *waiting[:-1]], self.drain())

    def test_tries_for_one_response_are_bounded(self) -> None:
        """Guards against a selection for every waiting request at each response."""
        self.fill(*(make_request() for _ in range(10)))
        self.queue.start_round()
        tries = 0
        while self.queue.find_next() is not None:
            self.queue.record_failed_try()
            tries += 1
        self.assertEqual(waiting_queue.FAILED_TRIES_MAX, tries)

    def test_nobody_is_tried_before_the_first_response(self) -> None:
        self.fill(make_request())
        self.assertIsNone(self.queue.find_next())

    def test_failed_request_is_not_tried_again_for_the_same_response(self) -> None:
        first, second = make_request(), make_request()
        self.fill(first, second)
        self.queue.start_round()
        self.assertEqual([first, second], [self.queue.find_next(), self.queue.find_next()])
        self.assertIsNone(self.queue.find_next())

    def test_new_request_is_preceded_by_waiting_ones_of_its_rank(self) -> None:
        """Guards against new requests that take the places at servers for which others wait."""
        self.fill(make_request(1, deadline=2.0))
        claims = [team_shares.Claim(rank) for rank in (0, 1, 2)]
        preceded = [self.queue.is_preceded(claim, False, 3.0) for claim in claims]
        self.assertEqual([False, True, True], preceded)
        self.assertFalse(self.queue.is_preceded(claims[1], False, 1.0))

    def test_removed_request_does_not_count(self) -> None:
        first, second = make_request(), make_request()
        self.fill(first, second)
        self.assertEqual(1, self.queue.count_ahead(second))
        self.queue.remove(first)
        self.queue.remove(first)
        self.assertEqual((0, 1), (self.queue.count_ahead(second), len(self.queue)))
