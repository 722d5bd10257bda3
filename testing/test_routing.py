"""Destinations of requests, answers to look-ups, and retries."""

import parameterized
import testtools

from caperdyke.coordination import lookup, membership, overlay, retries, routing
from caperdyke.state import blockmap, outcome
from testing import builders

BUSY = routing.DomainLoad(0.8, True)
FULL = routing.DomainLoad(0.99, True)
IDLE = routing.DomainLoad(0.1, True)
LOST = routing.DomainLoad(0.1, False)
# Case, weight, service, home region, loads of pasig, quezon and cebu, drained, expected order.
ROUTES = [
    ("own_domain_first", "latency", "gallery-reader", "luzon", (IDLE, IDLE, IDLE), "",
     ["pasig-hall", "quezon-hall", "cebu-hall"]),
    ("latency_stays_while_busy", "latency", "gallery-reader", "luzon", (BUSY, IDLE, IDLE), "",
     ["pasig-hall", "quezon-hall", "cebu-hall"]),
    ("headroom_moves_while_busy", "headroom", "gallery-reader", "luzon", (BUSY, IDLE, IDLE), "",
     ["quezon-hall", "pasig-hall", "cebu-hall"]),
    ("full_domain_last_of_its_region", "latency", "gallery-reader", "luzon", (FULL, IDLE, IDLE),
     "", ["quezon-hall", "pasig-hall", "cebu-hall"]),
    ("home_region_before_own_domain", "latency", "gallery-reader", "visayas", (IDLE, IDLE, IDLE),
     "", ["cebu-hall", "pasig-hall", "quezon-hall"]),
    ("never_carried", "latency", "checkout", "luzon", (IDLE, IDLE, IDLE), "",
     ["pasig-hall", "quezon-hall"]),
    ("drained", "latency", "gallery-reader", "luzon", (IDLE, IDLE, IDLE), "pasig-hall",
     ["quezon-hall", "cebu-hall"]),
    ("lost_domains", "latency", "gallery-reader", "luzon", (LOST, LOST, IDLE), "", ["cebu-hall"]),
    ("nothing_left", "latency", "checkout", "luzon", (LOST, LOST, IDLE), "", []),
]  # fmt: skip


class DestinationsTest(testtools.TestCase):
    """Order of failure domains."""

    @parameterized.parameterized.expand(ROUTES)
    def test_order(self, _name, weight, service, home, loads, drained, expected) -> None:
        text = builders.CONTRACT_TEXT.replace("weight = latency", f"weight = {weight}")
        configuration = builders.make_configuration(text)
        destinations = routing.list_destinations(
            configuration,
            configuration.contracts[builders.CUSTOMER],
            service,
            home,
            builders.PASIG,
            dict(zip(("pasig-hall", "quezon-hall", "cebu-hall"), loads, strict=True)),
            frozenset([drained]),
        )
        self.assertEqual(expected, destinations)


class SiblingTest(testtools.TestCase):
    """When another instance of the same domain is preferred."""

    @parameterized.parameterized.expand(
        [
            ("free_slot_here", 2.0, True, routing.InstanceLoad(0.0, 0, 8), False),
            ("idle_sibling", 1.0, False, routing.InstanceLoad(0.2, 0, 8), True),
            ("as_busy", 1.0, False, routing.InstanceLoad(0.9, 0, 8), False),
            ("many_just_sent", 1.0, False, routing.InstanceLoad(0.2, 8, 8), False),
            ("sibling_without_slots", 1.0, False, routing.InstanceLoad(0.2, 3, 0), False),
        ]
    )
    def test_prefers(self, _name, own_busy, has_free_slot, sibling, expected) -> None:
        self.assertEqual(expected, routing.prefers_sibling(own_busy, has_free_slot, sibling))


class LookupTest(testtools.TestCase):
    """Entry instances in the answer to a look-up."""

    def setUp(self) -> None:
        super().setUp()
        self.configuration = builders.make_configuration()
        self.contract = self.configuration.contracts[builders.CUSTOMER]
        self.members = membership.MemberTable(builders.make_member("p1"))
        for name, domain in (("p2", "pasig-hall"), ("p3", "pasig-hall"), ("c1", "cebu-hall")):
            self.members.merge(builders.make_member(name, domain))

    def list_entries(
        self, rotation: int = 0, drained: str = "", home: str = "pasig-hall"
    ) -> list[str]:
        answer = lookup.choose_entries(
            100.0,
            self.configuration,
            self.contract,
            home,
            self.members,
            frozenset([drained]),
            rotation,
        )
        return [address.partition(":")[0] for address in answer.entries]

    def test_home_domain_first_and_another_region_as_fallback(self) -> None:
        self.assertEqual(["p1", "p2", "c1"], self.list_entries())
        self.assertEqual(["c1", "p1", "p2"], self.list_entries(home="cebu-hall"))

    def test_callers_are_spread_over_instances(self) -> None:
        self.assertEqual(
            ["p1", "p2", "p3"], [self.list_entries(rotation)[0] for rotation in range(3)]
        )

    def test_lost_and_leaving_instances_are_omitted(self) -> None:
        self.members.mark_failed(100.0, "p2")
        self.members.merge(builders.make_member("p3", state=2))
        self.assertEqual(["p1", "c1"], self.list_entries())

    def test_drained_domain_is_omitted(self) -> None:
        self.assertEqual(["c1"], self.list_entries(drained="pasig-hall"))

    def test_home_of_a_caller(self) -> None:
        blocks = blockmap.BlockMap()
        blocks.load([(*blockmap.parse_block("10.2.0.0/16"), builders.CEBU)])
        for address, expected in (("10.2.3.4", "cebu-hall"), ("10.3.0.1", "pasig-hall")):
            mapped = blocks.find(blockmap.parse_address(address))
            home = lookup.choose_home(self.contract, self.configuration, mapped, builders.PASIG)
            self.assertEqual(expected, home)


class BlockMapTest(testtools.TestCase):
    """Blocks of client addresses."""

    def test_edges_of_blocks(self) -> None:
        blocks = blockmap.BlockMap()
        blocks.load([(10, 19, "a"), (30, 39, "b")])
        homes = [blocks.find(address) for address in (9, 10, 19, 20, 30, 39, 40)]
        self.assertEqual([None, "a", "a", None, "b", "b", None], homes)

    def test_moved_block(self) -> None:
        blocks = blockmap.BlockMap()
        blocks.load([(10, 19, "a"), (30, 39, "b")])
        self.assertTrue(blocks.move(30, "c"))
        self.assertFalse(blocks.move(31, "c"))
        self.assertEqual("c", blocks.find(35))

    def test_overlap_is_rejected(self) -> None:
        self.assertRaises(ValueError, blockmap.BlockMap().load, [(10, 20, "a"), (20, 30, "b")])


class RetryTest(testtools.TestCase):
    """Retries are safe, in time, and within a budget."""

    def test_budget_grows_with_requests(self) -> None:
        budget = retries.RetryBudget()
        for number in range(100):
            budget.count_request(number / 100, "c", "s")
        allowed = [budget.spend(1.0, "c", "s", 10) for _ in range(50)]
        self.assertEqual(retries.RETRIES_MIN + 10, allowed.count(True))
        self.assertTrue(budget.spend(1.0, "other", "s", 10))

    @parameterized.parameterized.expand(
        [
            ("not_run", outcome.Outcome.NOT_RUN, False, 1, 0.0, True),
            ("unknown_once", outcome.Outcome.UNKNOWN, False, 1, 0.0, False),
            ("unknown_repeatable", outcome.Outcome.UNKNOWN, True, 1, 0.0, True),
            ("too_many", outcome.Outcome.NOT_RUN, True, retries.ATTEMPTS_MAX, 0.0, False),
            ("too_late", outcome.Outcome.NOT_RUN, True, 1, 10.0, False),
        ]
    )
    def test_may_retry(self, _name, kind, repeatable, attempt, now, expected) -> None:
        refusal = outcome.Refusal(kind, outcome.Reason.BACKEND_FAILED)
        self.assertEqual(expected, retries.may_retry(now, refusal, repeatable, attempt, 10.0))


class PollTest(testtools.TestCase):
    """Reads of the platform do not grow with the number of instances."""

    def test_few_poll_at_the_full_rate_and_the_others_share_a_rate(self) -> None:
        names = [f"i{number}" for number in range(84)]
        intervals = [overlay.find_poll_interval(name, "d", names, 0.4) for name in names]
        self.assertEqual(overlay.POLLERS_PER_DOMAIN, intervals.count(0.4))
        rate = sum(1 / interval for interval in intervals if interval != 0.4)
        self.assertLessEqual(rate, overlay.BACKUP_READS_PER_SECOND)
