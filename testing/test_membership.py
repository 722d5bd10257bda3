"""Records of instances merge in any order; own evidence takes precedence over reports."""

import itertools

import testtools

from caperdyke.coordination import membership, overlay
from caperdyke.state import member, timing
from testing import builders

LIVE, LEAVING, GONE = member.MemberState.LIVE, member.MemberState.LEAVING, member.MemberState.GONE


class MemberTableTest(testtools.TestCase):
    """Merging of records and reports, and failure detection."""

    def setUp(self) -> None:
        super().setUp()
        self.table = membership.MemberTable(builders.make_member("me"))

    def is_usable(self, now: float, name: str = "two") -> bool:
        return self.table.is_usable(now, self.table.find(name))

    def test_order_and_repetition_do_not_matter(self) -> None:
        records = [
            builders.make_member("two", state=LIVE),
            builders.make_member("two", state=LEAVING),
            builders.make_member("two", state=GONE, successor="me"),
            builders.make_member("two", state=LIVE, incarnation=2),
        ]
        for order in itertools.permutations(records):
            table = membership.MemberTable(builders.make_member("me"))
            for record in (*order, *order):
                table.merge(record)
            self.assertEqual(records[3], table.find("two"))

    def test_own_record_is_not_replaced_by_an_earlier_incarnation(self) -> None:
        table = membership.MemberTable(builders.make_member("me", incarnation=5))
        self.assertFalse(table.merge(builders.make_member("me", state=GONE, incarnation=4)))
        self.assertEqual(LIVE, table.own.state)

    def test_silent_peer_is_lost_within_two_seconds(self) -> None:
        self.table.merge(builders.make_member("two"))
        self.table.record_alive(100.0, "two")
        self.assertTrue(self.is_usable(101.0))
        self.assertFalse(self.is_usable(102.0))
        self.assertTrue(self.table.is_lost(102.0, "two"))
        self.assertLess(timing.HEARTBEAT_TIMEOUT_SECONDS, 2.0)

    def test_leaving_instance_gets_no_new_work(self) -> None:
        self.table.merge(builders.make_member("two", state=LEAVING))
        self.table.record_alive(100.0, "two")
        self.assertFalse(self.is_usable(100.0))
        self.assertFalse(self.table.is_lost(100.0, "two"))

    def test_report_counts_from_own_and_from_reported_domain(self) -> None:
        two = builders.make_member("two", domain="cebu-hall")
        self.table.merge(two)
        for domain, is_applied in (
            ("iloilo-hall", False),
            ("pasig-hall", True),
            ("cebu-hall", True),
        ):
            table = membership.MemberTable(builders.make_member("me"))
            table.merge(two)
            self.assertEqual(
                is_applied, table.apply_report(100.0, two.holder, domain, 110.0), domain
            )
            self.assertEqual(not is_applied, table.is_usable(100.0, two))
            self.assertTrue(table.is_usable(110.0, two))

    def test_own_evidence_takes_precedence_over_reports(self) -> None:
        two = builders.make_member("two")
        self.table.merge(two)
        self.table.record_alive(100.0, "two")
        self.assertFalse(self.table.apply_report(100.5, two.holder, "pasig-hall", 110.0))
        self.table.mark_failed(101.0, "two")
        self.assertTrue(self.table.apply_report(101.0, two.holder, "pasig-hall", 111.0))
        self.table.record_alive(102.0, "two")
        self.assertTrue(self.is_usable(102.0))

    def test_report_about_an_earlier_incarnation_is_ignored(self) -> None:
        self.table.merge(builders.make_member("two", incarnation=2))
        earlier = builders.make_holder("two", 1)
        self.assertFalse(self.table.apply_report(100.0, earlier, "pasig-hall", 110.0))

    def test_repeated_report_is_new_only_when_it_extends_the_deadline(self) -> None:
        two = builders.make_member("two")
        self.table.merge(two)
        self.assertTrue(self.table.apply_report(100.0, two.holder, "pasig-hall", 110.0))
        self.assertFalse(self.table.apply_report(100.1, two.holder, "pasig-hall", 110.1))
        self.assertTrue(self.table.apply_report(105.0, two.holder, "pasig-hall", 115.0))

    def test_removes_the_oldest_gone_instances(self) -> None:
        for number in range(5):
            record = builders.make_member(f"g{number}", state=GONE, incarnation=number + 1)
            self.table.merge(record)
        self.assertEqual(3, self.table.remove_gone(2))
        self.assertIsNone(self.table.find("g0"))
        self.assertIsNotNone(self.table.find("g4"))

    def test_removed_record_does_not_come_back_as_live(self) -> None:
        """Guards against look-ups that name an instance of which a peer has not heard the end."""
        self.table.merge(builders.make_member("two", state=GONE, incarnation=3))
        self.table.remove_gone(0)
        self.assertFalse(self.table.merge(builders.make_member("two", incarnation=3)))
        self.assertTrue(self.table.merge(builders.make_member("two", incarnation=4)))
        self.assertTrue(self.is_usable(1.0))


class OverlayTest(testtools.TestCase):
    """Control links are few and connect all instances."""

    def make_fleet(self, domains: int, size: int) -> list[member.Member]:
        return [
            builders.make_member(f"d{domain}-{number:03}", domain=f"d{domain}")
            for domain in range(domains)
            for number in range(size)
        ]

    def test_links_per_instance_stay_small_at_full_size(self) -> None:
        fleet = self.make_fleet(9, 84)
        degrees = {record.instance: 0 for record in fleet}
        for record in fleet:
            for peer in overlay.choose_links(record, fleet):
                degrees[record.instance] += 1
                degrees[peer] += 1
        self.assertLessEqual(max(degrees.values()), 24)
        self.assertLessEqual(sum(degrees.values()) / len(degrees), 10)

    def test_every_instance_is_reached(self) -> None:
        for domains, size in ((1, 1), (2, 1), (3, 2), (9, 84)):
            fleet = self.make_fleet(domains, size)
            neighbours = {record.instance: set() for record in fleet}
            for record in fleet:
                for peer in overlay.choose_links(record, fleet):
                    neighbours[record.instance].add(peer)
                    neighbours[peer].add(record.instance)
            reached = {fleet[0].instance}
            frontier = list(reached)
            while frontier:
                frontier = [p for name in frontier for p in neighbours[name] - reached]
                reached.update(frontier)
            self.assertEqual(len(fleet), len(reached), f"{domains} domains of {size}")

    def test_rendezvous_moves_only_the_subjects_of_a_removed_instance(self) -> None:
        names = [f"i{number}" for number in range(20)]
        for subject in range(50):
            first = overlay.rank_instances(str(subject), names)[0]
            remaining = [name for name in names if name != "i7"]
            if first != "i7":
                self.assertEqual(first, overlay.rank_instances(str(subject), remaining)[0])
