"""Replies to requests that the configuration does not allow, or cannot decide about."""

import dataclasses

import testtools
from parameterized import parameterized

from caperdyke.state import header_fields, ids
from caperdyke.transport.gateway import admissions, local_reply
from testing import test_authentication

KNOWN, UNKNOWN = test_authentication.KNOWN, test_authentication.UNKNOWN
TEAM = ids.TeamName("a")
REASONS = local_reply.LocalReplyReason


def admit(credential, table=test_authentication.WITH_TEAM, is_public=False, **options):
    """Returns the result for a request of the only route."""
    route = dataclasses.replace(table.routes[0], is_public=is_public)
    table = dataclasses.replace(table, routes=(route,))
    host = options.pop("host", route.host)
    return admissions.admit(table, host, "/x", credential, **options)


class RefusalTest(testtools.TestCase):
    """Status, reason and retry delay of each refusal."""

    @parameterized.expand(
        [
            ("unknown_route", {"host": "other"}, 404, REASONS.NO_ROUTE, False),
            ("unknown_key", {}, 401, REASONS.NO_TEAM, False),
            ("not_confirmed", {"is_confirmed": False}, 503, REASONS.UNCONFIRMED, True),
            (
                "unknown_route_not_confirmed",
                {"host": "other", "is_confirmed": False},
                404,
                REASONS.NO_ROUTE,
                False,
            ),
            ("relayed_team", {"checked_team": "b"}, 503, REASONS.TEAM_UNKNOWN, True),
        ]
    )
    def test_refusal(self, _name, options, status, reason, has_delay) -> None:
        result = admit(UNKNOWN, **options)
        self.assertEqual((status, reason), (result.status, result.reason))
        self.assertIs(has_delay, result.retry_seconds is not None)

    def test_valid_key_is_not_decided_about_without_a_confirmation(self) -> None:
        self.assertEqual(503, admit(KNOWN, is_confirmed=False).status)


class AdmissionTest(testtools.TestCase):
    """Requests that are served although the configuration is not confirmed."""

    @parameterized.expand(
        [
            ("public", UNKNOWN, {"is_public": True}, header_fields.TeamIdentity(None)),
            ("public_key", KNOWN, {"is_public": True}, header_fields.TeamIdentity(TEAM)),
            ("relayed", UNKNOWN, {"checked_team": TEAM}, header_fields.TeamIdentity(TEAM)),
            (
                "no_teams",
                UNKNOWN,
                {"table": test_authentication.WITHOUT},
                header_fields.UnmanagedIdentity(),
            ),
        ]
    )
    def test_admitted(self, _name, credential, options, identity) -> None:
        """Guards against strict revocation that refuses requests which need no key here."""
        result = admit(credential, is_confirmed=False, **options)
        self.assertEqual(identity, result.identity)
