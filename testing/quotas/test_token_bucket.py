"""Tokens of one holder: what it grants, and what it counts until it expires."""

import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.quotas import limits, token_bucket

RATE, CAPACITY = 10.0, 20.0
SENDER = 1


def make_full_bucket(rate: float = RATE, capacity: float = CAPACITY) -> token_bucket.TokenBucket:
    """Returns a bucket that is full at time 0."""
    bucket = token_bucket.TokenBucket(-100.0, limits.HolderPart(rate, capacity))
    bucket.refill(0.0)
    return bucket


def make_demand(number: int, waiting: int, in_stock: int | None = None, ahead: int = 0):
    """Returns a demand for waiting requests, and for some ahead."""
    return token_bucket.Demand(number, waiting + ahead, waiting, in_stock)


class TokenBucketTest(testtools.TestCase):
    """Grants and the capacity."""

    def test_new_bucket_is_empty(self) -> None:
        """Guards against a holder that restarts and grants its burst again."""
        bucket = token_bucket.TokenBucket(0.0, limits.HolderPart(RATE, CAPACITY))
        self.assertEqual(0, bucket.grant(0.0, SENDER, make_demand(1, 5)).count)

    def test_unused_tokens_count_until_they_expire(self) -> None:
        """Guards against a fleet whose instances hold more than the capacity in stock."""
        bucket = make_full_bucket()
        granted = bucket.grant(0.0, SENDER, make_demand(1, 0, ahead=10)).count
        self.assertEqual(10, granted)
        lifetime = token_bucket.TOKEN_LIFETIME_S + token_bucket.GRANT_DELAY_MAX_S
        bucket.refill(lifetime - 0.01)
        self.assertEqual(CAPACITY - 10, bucket.stored)
        bucket.refill(lifetime + token_bucket.EXPIRY_INTERVAL_S)
        self.assertEqual(0, bucket.outstanding)

    def test_used_tokens_no_longer_count(self) -> None:
        """Guards against a holder that is kept from refilling by tokens that were used."""
        bucket = make_full_bucket()
        bucket.grant(0.0, SENDER, make_demand(1, 0, ahead=10))
        bucket.grant(0.1, SENDER, make_demand(2, 0, in_stock=3))
        self.assertEqual(3, bucket.outstanding)

    def test_report_of_more_stock_than_granted_adds_nothing(self) -> None:
        bucket = make_full_bucket()
        bucket.grant(0.0, SENDER, make_demand(1, 0, ahead=4))
        bucket.grant(0.1, SENDER, make_demand(2, 0, in_stock=1000))
        self.assertEqual(4, bucket.outstanding)

    @parameterized.expand([("repeated", 5), ("overtaken", 4)])
    def test_old_request_is_not_granted(self, _name, number) -> None:
        """Guards against duplicated and delayed datagrams that take tokens again."""
        bucket = make_full_bucket()
        bucket.grant(0.0, SENDER, make_demand(5, 2))
        self.assertIsNone(bucket.grant(0.1, SENDER, make_demand(number, 2)))

    def test_lowered_limit_takes_stored_tokens_and_a_raised_one_adds_none(self) -> None:
        bucket = make_full_bucket()
        bucket.apply_part(0.0, limits.HolderPart(1.0, 5.0))
        self.assertEqual(5.0, bucket.stored)
        bucket.apply_part(0.0, limits.HolderPart(100.0, 500.0))
        self.assertEqual(5.0, bucket.stored)

    def test_instances_that_were_refused_are_spread(self) -> None:
        """Guards against each of many instances asking again for each token."""
        bucket = make_full_bucket(100.0, 100.0)
        bucket.grant(0.0, SENDER, make_demand(1, 100))
        delays = [
            bucket.grant(0.0, sender, make_demand(1, 1)).next_token_s for sender in range(2, 60)
        ]
        self.assertTrue(delays[0] < 0.05 < delays[-1] <= token_bucket.NEXT_TOKEN_MAX_S, delays)

    def test_tokens_of_a_window_never_exceed_capacity_and_rate(self) -> None:
        """Guards against accounting by which lost or reported tokens are granted twice.

        Requesters use their tokens at random, and at the end of each window all that they have.
        """
        rng = random.Random(5)
        bucket = make_full_bucket()
        stocks: dict[int, list[list[float]]] = {sender: [] for sender in range(8)}
        used: list[float] = []
        for step in range(1, 8000):
            now = step * 0.005
            sender = rng.randrange(8)
            stock = stocks[sender] = [lot for lot in stocks[sender] if lot[1] > now]
            while stock and rng.random() < 0.7:
                stock.pop()
                used.append(now)
            demand = make_demand(step, 0, len(stock), rng.randrange(1, 9))
            grant = bucket.grant(now, sender, demand)
            if rng.random() < 0.9:
                stock += [[now, now + token_bucket.TOKEN_LIFETIME_S]] * grant.count
            if step % 1000 == 0:
                for lots in stocks.values():
                    used += [now for lot in lots if lot[1] > now]
                    lots.clear()
        for start in range(0, 35):
            count = sum(start < at <= start + 5.0 for at in used)
            self.assertTrue(count <= CAPACITY + RATE * 5.0 + 1e-6, (start, count))
