"""Which server last answered for an object."""

import dataclasses

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import last_servers, selection
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


class StayMarginTest(testtools.TestCase):
    """The choice between the last server of an object and a cheaper one."""

    @parameterized.expand(
        [
            ("no_margin", 0.0, "idle"),
            ("margin_above_the_difference", 0.3, "last"),
            ("margin_below_the_difference", 0.05, "idle"),
        ]
    )
    def test_request_stays_unless_another_server_is_clearly_cheaper(
        self, _name: str, margin: float, expected: str
    ) -> None:
        """Pattern: two warm homes whose loads change places between consecutive requests."""
        last = builders.make_candidate("last", 5, warm="k")
        idle = builders.make_candidate("idle", 0, warm="k")
        needs = dataclasses.replace(
            builders.make_requirements(), last_server=ids.BackendId("last"), stay_margin_s=margin
        )
        selected = selection.select_server(0.0, needs, [last, idle], builders.TIMES)
        self.assertEqual(expected, selected.view.server.backend)

    def test_full_server_is_left_in_spite_of_the_margin(self) -> None:
        """Guards against requests that are refused although another server is free."""
        last = builders.make_candidate("last", 40, warm="k")
        idle = builders.make_candidate("idle", 0, warm="k")
        needs = dataclasses.replace(
            builders.make_requirements(), last_server=ids.BackendId("last"), stay_margin_s=9.0
        )
        selected = selection.select_server(0.0, needs, [last, idle], builders.TIMES)
        self.assertEqual("idle", selected.view.server.backend)
