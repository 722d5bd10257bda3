"""Registrations that come, change, lapse and go."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import server_registry
from caperdyke.state import ids, registration, store_rows
from testing.placement import builders

READY = registration.RegistrationState.READY
DRAINING = registration.RegistrationState.DRAINING
NAME = ids.BackendId("s1")


def at(number: int, era: int = 0) -> store_rows.Position:
    """Returns a position in the order of the store's changes."""
    return store_rows.Position(era, number)


def make_entry(
    state=READY, started_ms: int = 1, cold_ms: float = 0, sequence: int = 1
) -> registration.Registration:
    """Returns a registration of one server."""
    server = builders.make_server("s1")
    return registration.Registration(server, state, started_ms, sequence, cold_ms)


class ServerRegistryTest(testtools.TestCase):
    """One server's registrations in a row."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = server_registry.ServerRegistry()
        self.registry.merge(0.0, make_entry(), at(10))

    def is_usable(self, now: float = 1.0) -> bool:
        """Tells whether the server may get new work."""
        return bool(self.registry.list_usable(now))

    def test_draining_server_gets_nothing(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), at(11))
        self.assertFalse(self.is_usable())

    def test_older_news_is_ignored(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), at(11))
        self.registry.merge(1.0, make_entry(READY), at(9))
        self.assertFalse(self.is_usable())

    def test_removed_server_gets_nothing_at_once(self) -> None:
        self.registry.remove(1.0, NAME, at(11))
        self.assertFalse(self.is_usable())

    def test_registration_that_lapsed_with_the_store_away(self) -> None:
        """Pattern: the store was away, and its first answers report living servers as removed."""
        self.registry.record_store_recovery(5.0)
        self.registry.remove(5.1, NAME, at(11))
        self.assertTrue(self.is_usable(6.0))
        self.assertFalse(self.is_usable(8.0))
        self.registry.merge(8.0, make_entry(), at(12))
        self.assertTrue(self.is_usable(8.0))

    def test_draining_server_that_lapsed_stays_out(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), at(11))
        self.registry.record_store_recovery(5.0)
        self.registry.remove(5.1, NAME, at(12))
        self.assertFalse(self.is_usable(5.2))

    @parameterized.expand([("same start", 1, False), ("new start under the name", 2, True)])
    def test_new_start(self, _name, started_ms, expected) -> None:
        self.assertEqual(
            expected, self.registry.merge(1.0, make_entry(started_ms=started_ms), at(11))
        )

    def test_reused_address_is_out_until_the_server_registers_again(self) -> None:
        self.registry.mark_misdirected(NAME)
        self.assertFalse(self.is_usable())
        self.registry.merge(1.0, make_entry(), at(11))
        self.assertTrue(self.is_usable())


class LaterEraTest(testtools.TestCase):
    """A store that comes back from a copy from before a server left."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = server_registry.ServerRegistry()
        self.registry.merge(0.0, make_entry(sequence=5), at(10))

    def come_back(self, now: float) -> None:
        """Shows the server as it was in the copy, ready and with some more reports."""
        self.registry.record_store_recovery(now)
        self.registry.merge(now, make_entry(sequence=7), at(4, era=1))

    def is_usable(self, now: float) -> bool:
        """Tells whether the server may get new work."""
        return bool(self.registry.list_usable(now))

    def test_server_that_drains_stays_out(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING, sequence=9), at(11))
        self.come_back(2.0)
        self.assertFalse(self.is_usable(2.1))
        self.registry.merge(2.5, make_entry(DRAINING, sequence=10), at(6, era=1))
        self.assertFalse(self.is_usable(9.0))

    def test_server_that_left_stays_out_until_its_removal_is_written_again(self) -> None:
        self.registry.remove(1.0, NAME, at(11))
        self.come_back(2.0)
        self.assertFalse(self.is_usable(2.1))
        self.registry.remove(3.0, NAME, at(6, era=1))
        self.assertFalse(self.is_usable(9.0))

    def test_server_whose_registration_lapsed_is_back_after_the_grace(self) -> None:
        self.registry.remove(1.0, NAME, at(11))
        self.come_back(2.0)
        self.assertTrue(self.is_usable(2.0 + server_registry.LAPSE_GRACE_SECONDS))

    def test_new_start_is_used_at_once(self) -> None:
        self.registry.remove(1.0, NAME, at(11))
        self.registry.record_store_recovery(2.0)
        self.registry.merge(2.0, make_entry(started_ms=2), at(4, era=1))
        self.assertTrue(self.is_usable(2.1))

    def test_server_that_the_copy_lacks_is_kept_for_the_grace(self) -> None:
        self.registry.record_store_recovery(2.0)
        self.registry.remove(2.0, NAME, at(4, era=1))
        self.assertTrue(self.is_usable(3.0))
        self.assertFalse(self.is_usable(5.0))

    def test_late_answer_of_the_earlier_era_changes_nothing(self) -> None:
        self.come_back(2.0)
        self.assertFalse(self.registry.remove(2.1, NAME, at(50)))
        self.assertTrue(self.is_usable(9.0))
