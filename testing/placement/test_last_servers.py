"""Which server last answered for an object."""

import testtools

from caperdyke.coordination.placement import last_servers
from caperdyke.state import ids
from testing.placement import builders

SERVER = ids.BackendId("s1")
KEY = ids.ObjectKey("k")


class LastServersTest(testtools.TestCase):
    """Entries, their end, and their number."""

    def test_latest_server_is_found(self) -> None:
        entries = last_servers.LastServers()
        entries.record_answer(0.0, builders.SERVICE, KEY, ids.BackendId("s0"))
        entries.record_answer(1.0, builders.SERVICE, KEY, SERVER)
        self.assertEqual(SERVER, entries.find(2.0, builders.SERVICE, KEY))

    def test_entry_ends(self) -> None:
        """Guards against requests that stay with a server that has forgotten the object."""
        entries = last_servers.LastServers()
        entries.record_answer(0.0, builders.SERVICE, KEY, SERVER)
        now = last_servers.RETENTION_S
        self.assertIsNone(entries.find(now, builders.SERVICE, KEY))

    def test_number_of_entries_is_bounded(self) -> None:
        """Guards against memory that grows with the number of objects."""
        entries = last_servers.LastServers()
        for number in range(last_servers.OBJECTS_MAX + 1):
            entries.record_answer(0.0, builders.SERVICE, ids.ObjectKey(str(number)), SERVER)
        self.assertIsNone(entries.find(1.0, builders.SERVICE, ids.ObjectKey("0")))
        self.assertEqual(SERVER, entries.find(1.0, builders.SERVICE, ids.ObjectKey("1")))

    def test_request_without_an_object_is_not_recorded(self) -> None:
        entries = last_servers.LastServers()
        entries.record_answer(0.0, builders.SERVICE, ids.ObjectKey(""), SERVER)
        self.assertIsNone(entries.find(1.0, builders.SERVICE, ids.ObjectKey("")))
