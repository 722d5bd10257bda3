"""Registrations that are added, changed, removed or lapse."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import server_registry
from caperdyke.state import ids, registration, store_rows
from testing.placement import builders

READY = registration.RegistrationState.READY
DRAINING = registration.RegistrationState.DRAINING
NAME = ids.BackendId("s1")


def make_position(number: int, era: int = 0) -> store_rows.Position:
    """Returns a position in the order of the store's changes."""
    return store_rows.Position(era, number)


def make_entry(
    state=READY, started_ms: int = 1, cold_ms: float = 0, sequence: int = 1
) -> registration.Registration:
    """Returns a registration of one server."""
    server = builders.make_server("s1")
    return registration.Registration(server, state, started_ms, sequence, cold_ms)


class ServerRegistryTest(testtools.TestCase):
    """Consecutive registrations of one server."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = server_registry.ServerRegistry()
        self.registry.merge(0.0, make_entry(), make_position(10))

    def is_usable(self, now: float = 1.0) -> bool:
        """Returns whether the server may get new requests."""
        return bool(self.registry.list_usable(now))

    def test_draining_server_is_not_usable(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), make_position(11))
        self.assertFalse(self.is_usable())

    def test_older_registration_is_ignored(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), make_position(11))
        self.registry.merge(1.0, make_entry(READY), make_position(9))
        self.assertFalse(self.is_usable())

    @parameterized.expand([("registered", False), ("removed", True)])
    def test_late_write_of_an_earlier_registration_is_ignored(self, _name, is_removed) -> None:
        """Guards against a draining server that a delayed write puts back into use."""
        self.registry.merge(1.0, make_entry(DRAINING, sequence=5), make_position(11))
        if is_removed:
            self.registry.remove(1.5, NAME, make_position(12))
        self.registry.merge(2.0, make_entry(READY, sequence=4), make_position(13))
        self.assertFalse(self.is_usable(2.0))

    @parameterized.expand([("clock_ahead", 9), ("clock_set_back", 1)])
    def test_restart_under_the_same_name_counts_from_the_beginning(self, _name, started) -> None:
        self.registry.merge(1.0, make_entry(DRAINING, 5, sequence=9), make_position(11))
        self.registry.merge(2.0, make_entry(READY, started, sequence=1), make_position(12))
        self.assertTrue(self.is_usable(2.0))

    def test_removed_server_is_not_usable_at_once(self) -> None:
        self.registry.remove(1.0, NAME, make_position(11))
        self.assertFalse(self.is_usable())

    def test_registration_that_lapsed_during_a_store_outage(self) -> None:
        """Pattern: after an outage the store's first answers report live servers as removed."""
        self.registry.record_store_recovery(5.0)
        self.registry.remove(5.1, NAME, make_position(11))
        self.assertTrue(self.is_usable(6.0))
        self.assertFalse(self.is_usable(8.0))
        self.registry.merge(8.0, make_entry(), make_position(12))
        self.assertTrue(self.is_usable(8.0))

    def test_draining_server_that_lapsed_is_not_usable(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING), make_position(11))
        self.registry.record_store_recovery(5.0)
        self.registry.remove(5.1, NAME, make_position(12))
        self.assertFalse(self.is_usable(5.2))

    @parameterized.expand([("same start", 1, False), ("new start under the name", 2, True)])
    def test_new_start(self, _name, started_ms, expected) -> None:
        self.assertEqual(
            expected, self.registry.merge(1.0, make_entry(started_ms=started_ms), make_position(11))
        )

    def test_misdirected_server_is_not_usable_until_it_registers_again(self) -> None:
        self.registry.mark_misdirected(NAME)
        self.assertFalse(self.is_usable())
        self.registry.merge(1.0, make_entry(), make_position(11))
        self.assertTrue(self.is_usable())


class LaterEraTest(testtools.TestCase):
    """A store restored from a copy that is older than a drain or removal."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = server_registry.ServerRegistry()
        self.registry.merge(0.0, make_entry(sequence=5), make_position(10))

    def restore_store(self, now: float) -> None:
        """Merges the server as in the copy, ready and with a higher sequence number."""
        self.registry.record_store_recovery(now, make_position(5, era=1))
        self.registry.merge(now, make_entry(sequence=7), make_position(4, era=1))

    def is_usable(self, now: float) -> bool:
        """Returns whether the server may get new requests."""
        return bool(self.registry.list_usable(now))

    def test_drained_server_is_not_usable(self) -> None:
        self.registry.merge(1.0, make_entry(DRAINING, sequence=9), make_position(11))
        self.restore_store(2.0)
        self.assertFalse(self.is_usable(2.1))
        self.registry.merge(2.5, make_entry(DRAINING, sequence=10), make_position(6, era=1))
        self.assertFalse(self.is_usable(9.0))

    def test_removed_server_is_not_usable_until_its_removal_is_written_again(self) -> None:
        self.registry.remove(1.0, NAME, make_position(11))
        self.restore_store(2.0)
        self.assertFalse(self.is_usable(2.1))
        self.registry.remove(3.0, NAME, make_position(6, era=1))
        self.assertFalse(self.is_usable(9.0))

    def test_lapsed_server_is_usable_after_the_grace_period(self) -> None:
        self.registry.remove(1.0, NAME, make_position(11))
        self.restore_store(2.0)
        self.assertTrue(self.is_usable(2.0 + server_registry.LAPSE_GRACE_SECONDS))

    def test_new_start_is_usable_at_once(self) -> None:
        self.registry.remove(1.0, NAME, make_position(11))
        self.registry.record_store_recovery(2.0)
        self.registry.merge(2.0, make_entry(started_ms=2), make_position(4, era=1))
        self.assertTrue(self.is_usable(2.1))

    def test_server_that_the_copy_lacks_is_usable_for_the_grace_period(self) -> None:
        self.registry.record_store_recovery(2.0)
        self.registry.remove(2.0, NAME, make_position(4, era=1))
        self.assertTrue(self.is_usable(3.0))
        self.assertFalse(self.is_usable(5.0))

    def test_late_answer_of_the_earlier_era_is_ignored(self) -> None:
        self.restore_store(2.0)
        self.assertFalse(self.registry.remove(2.1, NAME, make_position(50)))
        self.assertTrue(self.is_usable(9.0))

    def test_forgotten_removal_is_awaited_again(self) -> None:
        """Guards against a server that a restored store returns long after its removal."""
        self.registry.remove(1.0, NAME, make_position(11))
        self.assertEqual([NAME], self.registry.remove_gone(60.0))
        self.restore_store(60.0)
        self.assertFalse(self.is_usable(60.1))
        self.registry.remove(61.0, NAME, make_position(6, era=1))
        self.assertFalse(self.is_usable(69.0))

    def test_unknown_server_is_usable_after_the_grace_period(self) -> None:
        self.registry.remove(1.0, NAME, make_position(11))
        self.registry.remove_gone(60.0)
        self.restore_store(60.0)
        self.assertTrue(self.is_usable(60.0 + server_registry.LAPSE_GRACE_SECONDS))

    def test_server_that_registers_after_the_restoring_is_usable_at_once(self) -> None:
        self.registry.remove(1.0, NAME, make_position(11))
        self.registry.remove_gone(60.0)
        self.restore_store(60.0)
        self.registry.merge(60.5, make_entry(sequence=8), make_position(6, era=1))
        self.assertTrue(self.is_usable(60.6))
