"""Which requests are served, and for which team."""

import dataclasses

import testtools
from parameterized import parameterized

from caperdyke.coordination import authentication
from caperdyke.state import header_fields, ids, routes, teams
from testing import test_teams

TEAM = test_teams.make_team("a")
KNOWN = header_fields.KeyCredential(teams.digest_key(b"known"))
UNKNOWN = header_fields.KeyCredential(teams.digest_key(b"unknown"))
NONE = header_fields.NoCredential()
MALFORMED = header_fields.MalformedCredential()
ADMITTED = authentication.Admitted(TEAM)
ANONYMOUS = authentication.Admitted(None)
LIMITS = routes.CallerLimits(16384, 100_000, 3000.0, 15000.0)


def make_table(directory: teams.TeamDirectory | None) -> routes.RouteTable:
    """Returns a configuration with these teams."""
    return routes.RouteTable(1, (test_teams.make_route(),), {}, LIMITS, directory)


WITH_TEAM = make_table(teams.make_directory([(TEAM, ["known"])]))
EMPTY = make_table(teams.TeamDirectory())
WITHOUT = make_table(None)


class AuthenticateTest(testtools.TestCase):
    """T1, T2, T3 and T5 for each kind of credential."""

    @parameterized.expand(
        [
            ("known", WITH_TEAM, KNOWN, False, ADMITTED),
            ("unknown", WITH_TEAM, UNKNOWN, False, authentication.Rejected("unknown key")),
            ("none", WITH_TEAM, NONE, False, authentication.Rejected("no key")),
            ("malformed", WITH_TEAM, MALFORMED, False, authentication.Rejected("malformed key")),
            ("public_known", WITH_TEAM, KNOWN, True, ADMITTED),
            ("public_unknown", WITH_TEAM, UNKNOWN, True, ANONYMOUS),
            ("public_none", WITH_TEAM, NONE, True, ANONYMOUS),
            ("public_malformed", WITH_TEAM, MALFORMED, True, ANONYMOUS),
            ("empty_table", EMPTY, KNOWN, False, authentication.Rejected("unknown key")),
            ("empty_table_public", EMPTY, KNOWN, True, ANONYMOUS),
            ("no_teams", WITHOUT, NONE, False, ANONYMOUS),
            ("no_teams_key", WITHOUT, KNOWN, False, ANONYMOUS),
            ("no_teams_malformed", WITHOUT, MALFORMED, False, ANONYMOUS),
        ]
    )
    def test_result(self, _name, table, credential, is_public, expected) -> None:
        route = dataclasses.replace(table.routes[0], is_public=is_public)
        self.assertEqual(expected, authentication.authenticate(table, route, credential))

    @parameterized.expand(
        [
            ("private", WITH_TEAM, False, True),
            ("public", WITH_TEAM, True, False),
            ("empty_table", EMPTY, False, True),
            ("no_teams", WITHOUT, False, False),
        ]
    )
    def test_needs_key(self, _name, table, is_public, expected) -> None:
        route = dataclasses.replace(table.routes[0], is_public=is_public)
        self.assertIs(expected, authentication.needs_key(table, route))

    @parameterized.expand(
        [
            ("known", WITH_TEAM, "a", ADMITTED),
            ("removed", WITH_TEAM, "b", authentication.Rejected("unknown team")),
            ("no_teams", WITHOUT, "a", authentication.Rejected("unknown team")),
        ]
    )
    def test_relayed_request(self, _name, table, team, expected) -> None:
        found = authentication.authenticate_relayed(table, ids.TeamName(team))
        self.assertEqual(expected, found)
