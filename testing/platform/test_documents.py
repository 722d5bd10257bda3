"""Tests for decoding valid and invalid rows of other writers."""

import json

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.platform import documents
from caperdyke.state import registration, routes, store_rows, teams
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


KEY = "ymh2rrytapjsujqurtyi"
TEAM = {"apiKeys": [KEY], "priority": 1, "ratePerS": 391, "burst": 40, "homeRegions": ["north"]}


def read_teams(tenants) -> routes.RouteTable:
    """Returns the configuration with these teams."""
    document = harness.make_configuration(tenants=tenants)
    return documents.read_route_table(
        make_row("config", document, store_rows.StoreTable.CONFIGURATION)
    )


def change_team(**changes) -> dict:
    """Returns the entry of a team with some fields replaced, or removed if the value is None."""
    return {name: value for name, value in (TEAM | changes).items() if value is not None}


class TeamsTest(testtools.TestCase):
    """Teams in the operator's configuration."""

    def find(self, directory: teams.TeamDirectory, key: str = KEY) -> teams.Team | None:
        """Returns the team that holds a key."""
        return directory.find(teams.digest_key(key.encode()))

    def test_fields(self) -> None:
        directory = read_teams({"huka270": TEAM}).teams
        team = self.find(directory)
        self.assertEqual(
            ("huka270", 1, 391.0, 40.0, {"north"}),
            (team.name, team.priority, team.rate_per_second, team.burst, team.homes),
        )
        self.assertEqual((), directory.faults)

    @parameterized.expand(
        [("absent", {}), ("null", {"tenants": None})],
    )
    def test_configuration_without_teams(self, _name, changes) -> None:
        """Guards against 401 for callers of deployments that have no teams (T1)."""
        row = make_row("config", harness.make_configuration(**changes))
        self.assertIsNone(documents.read_route_table(row).teams)

    def test_empty_table_is_a_configuration_with_teams(self) -> None:
        """Guards against a table whose last team was removed and that opens all routes (T2)."""
        self.assertEqual(teams.TeamDirectory(), read_teams({}).teams)

    @parameterized.expand([("list", []), ("text", KEY), ("number", 3), ("flag", True)])
    def test_table_of_another_type_rejects_the_version(self, _name, tenants) -> None:
        """Guards against a fault that opens all routes; the version before stays in force."""
        error = self.assertRaises(errors.ProtocolError, read_teams, tenants)
        self.assertNotIn(KEY, str(error))

    @parameterized.expand(
        [
            ("true", True, True),
            ("false", False, False),
            ("absent", None, False),
            ("text", "no", False),
        ]
    )
    def test_public_route(self, _name, value, expected) -> None:
        document = harness.make_configuration(tenants={})
        if value is not None:
            document["routes"]["r-read"]["public"] = value
        row = make_row("config", document)
        route = documents.read_route_table(row).find_route(harness.HOST, "/read/1")
        self.assertIs(expected, route.is_public)

    @parameterized.expand(
        [
            ("no_limit", change_team(ratePerS=None, burst=None), 0, (1, 0.0, 0.0, {"north"})),
            ("zero_limit", change_team(ratePerS=0, burst=0), 0, (1, 0.0, 0.0, {"north"})),
            ("negative_rate", change_team(ratePerS=-1, burst=0), 1, (1, 0.0, 0.0, {"north"})),
            ("rate_text", change_team(ratePerS="391", burst=0), 1, (1, 0.0, 0.0, {"north"})),
            ("rate_flag", change_team(ratePerS=True, burst=0), 1, (1, 0.0, 0.0, {"north"})),
            ("rate_nan", change_team(ratePerS=float("nan"), burst=0), 1, (1, 0.0, 0.0, {"north"})),
            ("rate_infinite", change_team(ratePerS=1e999, burst=0), 1, (1, 0.0, 0.0, {"north"})),
            ("rate_huge", change_team(ratePerS=10**400, burst=0), 1, (1, 0.0, 0.0, {"north"})),
            ("rate_list", change_team(ratePerS=[KEY], burst=0), 1, (1, 0.0, 0.0, {"north"})),
            ("rate_key", change_team(ratePerS=KEY, burst=0), 1, (1, 0.0, 0.0, {"north"})),
            ("negative_burst", change_team(burst=-1), 1, (1, 391.0, 0.0, {"north"})),
            ("burst_key", change_team(burst=KEY), 1, (1, 391.0, 0.0, {"north"})),
            ("burst_without_rate", change_team(ratePerS=None), 1, (1, 0.0, 40.0, {"north"})),
            ("no_priority", change_team(priority=None), 0, (None, 391.0, 40.0, {"north"})),
            ("priority_text", change_team(priority="0"), 1, (None, 391.0, 40.0, {"north"})),
            ("negative_priority", change_team(priority=-1), 1, (None, 391.0, 40.0, {"north"})),
            ("no_homes", change_team(homeRegions=None), 0, (1, 391.0, 40.0, set())),
            ("homes_text", change_team(homeRegions="north"), 1, (1, 391.0, 40.0, set())),
            ("homes_number", change_team(homeRegions=7), 1, (1, 391.0, 40.0, set())),
            ("one_home_odd", change_team(homeRegions=["north", {}]), 1, (1, 391, 40, {"north"})),
            ("one_key_odd", change_team(apiKeys=[7, KEY, ""]), 1, (1, 391, 40, {"north"})),
            ("surrogate", change_team(apiKeys=["\ud800", KEY]), 1, (1, 391, 40, {"north"})),
        ]
    )
    def test_invalid_part_leaves_the_rest_in_force(self, _name, entry, faults, expected) -> None:
        """Guards against a fault of one team that costs others, or the rest of its entry (T11)."""
        directory = read_teams({"odd": entry, "sound": change_team(apiKeys=["k2"])}).teams
        team = self.find(directory)
        self.assertEqual(
            ("odd", *expected),
            (team.name, team.priority, team.rate_per_second, team.burst, set(team.homes)),
        )
        self.assertEqual("sound", self.find(directory, "k2").name)
        self.assertEqual(faults, len(directory.faults), directory.faults)
        for fault in directory.faults:
            self.assertIn("odd", fault)
            self.assertNotIn(KEY, fault)

    @parameterized.expand(
        [
            ("no_keys", change_team(apiKeys=None)),
            ("empty_list", change_team(apiKeys=[])),
            ("text", change_team(apiKeys=KEY)),
            ("table", change_team(apiKeys={KEY: 1})),
            ("entry_list", [KEY]),
            ("entry_text", KEY),
            ("entry_null", None),
        ]
    )
    def test_team_without_keys(self, _name, entry) -> None:
        directory = read_teams({"odd": entry, "sound": change_team(apiKeys=["k2"])}).teams
        self.assertIsNone(self.find(directory))
        self.assertEqual("sound", self.find(directory, "k2").name)
        self.assertNotEqual((), directory.faults)
        self.assertNotIn(KEY, repr(directory))
        self.assertTrue(all("odd" in fault for fault in directory.faults), directory.faults)

    @parameterized.expand([("bytes", b"\xff"), ("cut", b"")])
    def test_error_of_an_unreadable_document_contains_no_key(self, _name, end) -> None:
        """Guards against errors that quote the whole document (T4)."""
        document = json.dumps(harness.make_configuration(tenants={"a": TEAM})).encode()[:-1] + end
        row = make_row("config", document)
        error = self.assertRaises(errors.ProtocolError, documents.read_route_table, row)
        self.assertNotIn(KEY, str(error))
        self.assertNotIn(KEY, repr(error))

    def test_decoded_configuration_contains_no_key(self) -> None:
        self.assertNotIn(KEY, repr(read_teams({"a": TEAM})))
