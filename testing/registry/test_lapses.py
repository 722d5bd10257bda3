"""Missing registrations that lapsed, and those of servers that left."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import lapses
from caperdyke.state import ids

# Servers of two failure domains, and a failure domain with a single one.
PRESENT = {
    ids.BackendId(f"{domain}-{number}"): ids.DomainName(domain)
    for domain, count in (("a", 8), ("b", 7), ("c", 1))
    for number in range(count)
}


def list_names(domain: str, count: int) -> list[ids.BackendId]:
    """Returns the names of some servers of a failure domain."""
    return [ids.BackendId(f"{domain}-{number}") for number in range(count)]


class LapseWindowTest(testtools.TestCase):
    """Which missing registrations count as lapsed after an outage."""

    @parameterized.expand(
        [
            ("none", [], ""),
            ("one", list_names("a", 1), ""),
            ("a few, one after the other", list_names("a", 4), ""),
            ("the only one of a failure domain", list_names("c", 1), ""),
            ("most of a failure domain", list_names("a", 5), "a"),
            ("half of all", [*list_names("a", 4), *list_names("b", 3), "c-0"], ""),
            ("most of all", [*list_names("a", 5), *list_names("b", 4)], "abc"),
            ("all", list(PRESENT), "abc"),
        ]
    )
    def test_few_missing_registrations_are_removals(self, _name, missing, expected) -> None:
        """Guards against servers that left during an outage and stay in use after it."""
        window = lapses.LapseWindow(10.0, PRESENT)
        for name in missing:
            window.record_missing(ids.BackendId(name))
        self.assertEqual(
            set(expected), {domain for domain in "abc" if window.is_lapsed(ids.DomainName(domain))}
        )

    def test_server_that_is_missing_twice_counts_once(self) -> None:
        window = lapses.LapseWindow(10.0, PRESENT)
        for _ in range(10):
            window.record_missing(ids.BackendId("a-0"))
        self.assertFalse(window.is_lapsed(ids.DomainName("a")))

    def test_server_that_registered_after_the_outage_does_not_count(self) -> None:
        window = lapses.LapseWindow(10.0, {ids.BackendId("a-0"): ids.DomainName("a")})
        window.record_missing(ids.BackendId("a-1"))
        self.assertFalse(window.is_lapsed(ids.DomainName("a")))

    def test_restored_store_may_lack_any_registration(self) -> None:
        window = lapses.LapseWindow(10.0, PRESENT, is_restored=True)
        window.record_missing(ids.BackendId("a-0"))
        self.assertTrue(window.is_lapsed(ids.DomainName("a")))
