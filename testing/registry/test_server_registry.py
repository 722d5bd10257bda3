"""Registrations that come, change, lapse and go."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import server_registry
from caperdyke.state import ids, registration
from testing.placement import builders

READY = registration.RegistrationState.READY
DRAINING = registration.RegistrationState.DRAINING
NAME = ids.BackendId("s1")


def make_entry(state=READY, started_ms: int = 1, cold_ms: float = 0) -> registration.Registration:
    """Returns a registration of one server."""
    return registration.Registration(builders.make_server("s1"), state, started_ms, 1, cold_ms)


class ServerRegistryTest(testtools.TestCase):
    """One server's registrations in a row."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = server_registry.ServerRegistry()
        self.registry.merge(0.0, make_entry(), 10)

    def is_usable(self, now: float = 1.0) -> bool:
        """Tells whether the server may get new work."""
        return bool(self.registry.list_usable(now))

    def test_draining_server_gets_nothing(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), 11)
        self.assertFalse(self.is_usable())

    def test_older_news_is_ignored(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), 11)
        self.registry.merge(1.0, make_entry(READY), 9)
        self.assertFalse(self.is_usable())

    def test_removed_server_gets_nothing_at_once(self) -> None:
        self.registry.remove(1.0, NAME, 11)
        self.assertFalse(self.is_usable())

    def test_registration_that_lapsed_with_the_store_away(self) -> None:
        """Pattern: the store was away, and its first answers report living servers as removed."""
        self.registry.note_return(5.0)
        self.registry.remove(5.1, NAME, 11)
        self.assertTrue(self.is_usable(6.0))
        self.assertFalse(self.is_usable(8.0))
        self.registry.merge(8.0, make_entry(), 12)
        self.assertTrue(self.is_usable(8.0))

    def test_draining_server_that_lapsed_stays_out(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), 11)
        self.registry.note_return(5.0)
        self.registry.remove(5.1, NAME, 12)
        self.assertFalse(self.is_usable(5.2))

    @parameterized.expand([("same start", 1, False), ("new start under the name", 2, True)])
    def test_new_start(self, _name, started_ms, expected) -> None:
        self.assertEqual(expected, self.registry.merge(1.0, make_entry(started_ms=started_ms), 11))

    def test_reused_address_is_out_until_the_server_registers_again(self) -> None:
        self.registry.mark_misdirected(NAME)
        self.assertFalse(self.is_usable())
        self.registry.merge(1.0, make_entry(), 11)
        self.assertTrue(self.is_usable())

    def test_whole_reading_removes_what_it_does_not_hold(self) -> None:
        self.registry.keep_only(1.0, set(), 11)
        self.assertFalse(self.is_usable())
