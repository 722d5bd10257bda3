"""Tests for decoding valid and invalid rows of other writers."""

import json

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.platform import documents
from caperdyke.state import registration, routes, store_rows
from testing.platform import harness

REGISTRATION = {
    "address": "10.0.0.1:80",
    "born": 5,
    "information": {"service": "reader", "version": "v1", "zone": "hall-1", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 1500},
}


def make_row(key: str, document, table=store_rows.StoreTable.SERVERS) -> store_rows.StoreRow:
    """Returns a row; a document of type bytes is used unchanged."""
    value = document if isinstance(document, bytes) else json.dumps(document).encode()
    return store_rows.StoreRow(table, key, store_rows.Position(0, 7), value)


def change_registration(path: str, value) -> dict:
    """Returns the registration with one field changed, or removed if the value is None."""
    document = json.loads(json.dumps(REGISTRATION))
    *outer, last = path.split(".")
    target = document
    for name in outer:
        target = target[name]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return document


class RegistrationTest(testtools.TestCase):
    """Registrations of backend servers."""

    def test_fields(self) -> None:
        entry = documents.read_registration(make_row("s1", REGISTRATION))
        self.assertEqual(
            ("s1", "hall-1", "reader", "10.0.0.1:80", 3),
            (
                entry.server.backend,
                entry.server.domain,
                entry.server.service,
                entry.server.address,
                entry.server.slots,
            ),
        )
        self.assertEqual((5, 4, 1500.0), (entry.started_ms, entry.sequence, entry.cold_ms))
        self.assertIs(registration.RegistrationState.READY, entry.state)

    @parameterized.expand(
        [
            ("not JSON", b"\xff\x00"),
            ("empty", b""),
            ("a list", b"[]"),
            ("no information", change_registration("information", None)),
            ("no state", change_registration("status.state", None)),
            ("unknown state", change_registration("status.state", "asleep")),
            ("slots as text", change_registration("information.slots", "3")),
            ("no slots", change_registration("information.slots", 0)),
            ("address as number", change_registration("address", 80)),
            ("address without port", change_registration("address", "10.0.0.1")),
            ("start as text", change_registration("born", "5")),
            ("sequence as truth value", change_registration("status.sequence", True)),
            ("status as text", change_registration("status", "ready")),
        ]
    )
    def test_row_that_names_nothing(self, _name, document) -> None:
        row = make_row("s1", document)
        self.assertRaises(errors.ProtocolError, documents.read_registration, row)


class ConfigurationTest(testtools.TestCase):
    """The operator's rows."""

    def test_fields(self) -> None:
        document = harness.make_configuration(9)
        document["routes"]["r-split"] = {
            **document["routes"]["r-read"],
            "prefix": "/split/",
            "homeRegions": ["north"],
            "trafficSplit": [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}],
        }
        del document["routes"]["r-split"]["service"]
        row = make_row("config", document, store_rows.StoreTable.CONFIGURATION)
        table = documents.read_route_table(row)
        split = table.find_route(harness.HOST, "/split/x")
        self.assertEqual(9, table.version)
        self.assertEqual([("a", 9.0), ("b", 1.0)], [(p.service, p.weight) for p in split.parts])
        self.assertEqual(frozenset(["north"]), split.homes)
        self.assertIs(routes.RouteKind.UNSAFE, table.find_route(harness.HOST, "/buy/1").kind)

    @parameterized.expand(
        [("bytes", b"\x01"), ("no routes", {"version": 2}), ("odd kind", {"kind": "odd"})]
    )
    def test_unreadable(self, _name, document) -> None:
        if isinstance(document, dict) and "kind" in document:
            document = harness.make_configuration()
            document["routes"]["r-read"]["kind"] = "odd"
        row = make_row("config", document, store_rows.StoreTable.CONFIGURATION)
        self.assertRaises(errors.ProtocolError, documents.read_route_table, row)

    @parameterized.expand([("evacuate/hall-1", "hall-1"), ("config", None), ("other", None)])
    def test_evacuation(self, key, expected) -> None:
        row = make_row(key, {}, store_rows.StoreTable.CONFIGURATION)
        evacuation = documents.read_evacuation(row)
        self.assertEqual(expected, evacuation.domain if evacuation else None)

    @parameterized.expand(
        [
            ("longest prefix", "/read/deep/1", "deep"),
            ("shorter prefix", "/read/1", "read"),
            ("other host's path", "/none/1", None),
        ]
    )
    def test_route_by_longest_prefix(self, _name, path, expected) -> None:
        document = harness.make_configuration()
        read = document["routes"]["r-read"]
        document["routes"] = {"read": read, "deep": {**read, "prefix": "/read/deep/"}}
        row = make_row("config", document, store_rows.StoreTable.CONFIGURATION)
        route = documents.read_route_table(row).find_route(harness.HOST, path)
        self.assertEqual(expected, route.name if route else None)
