"""Memory that the bodies of requests take together."""

import testtools
from parameterized import parameterized

from caperdyke.coordination import body_budget

MEGABYTE = 1024 * 1024
UPLOAD = 64 * MEGABYTE


class BudgetTest(testtools.TestCase):
    """Which bodies are read beside others."""

    @parameterized.expand(
        [
            ("152 MB", 152, 1),
            ("200 MB", 200, 2),
            ("300 MB", 300, 3),
            ("unknown", None, 2),
        ]
    )
    def test_uploads_that_exceed_the_memory(self, _name, memory_mb, expected) -> None:
        """Guards against uploads of the largest size that end the process together."""
        memory = None if memory_mb is None else memory_mb * MEGABYTE
        budget = body_budget.BodyBudget(body_budget.compute_budget(memory))
        admitted = sum(budget.try_reserve(0, UPLOAD) for _ in range(10))
        self.assertEqual(expected, admitted)
        if memory is not None:
            self.assertTrue(budget.reserved + body_budget.PROCESS_BYTES <= memory)

    def test_small_bodies_beside_uploads(self) -> None:
        """Guards against large uploads that end all submissions."""
        budget = body_budget.BodyBudget(2 * UPLOAD)
        self.assertTrue(budget.try_reserve(0, UPLOAD))
        self.assertTrue(budget.try_reserve(0, UPLOAD))
        self.assertTrue(budget.try_reserve(0, body_budget.SMALL_BODY_BYTES))
        self.assertFalse(budget.try_reserve(0, body_budget.SMALL_BODY_BYTES + 1))

    def test_body_that_grows(self) -> None:
        """Guards against a body in chunks that passes the limit part by part."""
        budget = body_budget.BodyBudget(2 * UPLOAD)
        budget.try_reserve(0, UPLOAD)
        held = 0
        while budget.try_reserve(held, MEGABYTE):
            held += MEGABYTE
        self.assertEqual(UPLOAD, held)
        budget.release(UPLOAD)
        self.assertTrue(budget.try_reserve(held, MEGABYTE))

    def test_body_larger_than_the_budget(self) -> None:
        """Guards against a machine that refuses a body for good."""
        budget = body_budget.BodyBudget(UPLOAD // 2)
        self.assertTrue(budget.try_reserve(0, UPLOAD))
        self.assertFalse(budget.try_reserve(0, UPLOAD))
        budget.release(UPLOAD)
        self.assertTrue(budget.try_reserve(0, UPLOAD))
