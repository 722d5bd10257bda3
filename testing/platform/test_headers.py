"""Tests for the headers of callers and backend servers."""

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from parameterized import parameterized

from caperdyke.platform import headers
from caperdyke.state import header_fields, ids, teams


class CallerHeadersTest(testtools.TestCase):
    """Headers of callers' requests."""

    @parameterized.expand(
        [
            ("all", [(b"caperdyke-request-deadline", b"3000")], 3000.0),
            ("missing", [], None),
            ("no number", [(b"caperdyke-request-deadline", b"soon")], None),
            ("not finite", [(b"caperdyke-request-deadline", b"inf")], None),
        ]
    )
    def test_wait(self, _name, raw, expected) -> None:
        self.assertEqual(expected, headers.parse_caller_headers(raw).wait_ms)

    @parameterized.expand(
        [
            ("alone", b"Caperdyke-Affinity-Key=17", "17"),
            ("among others", b"a=1; Caperdyke-Affinity-Key=x9; b=2", "x9"),
            ("missing", b"a=1", ""),
            ("unreadable", b"\xff;;==", ""),
        ]
    )
    def test_object(self, _name, cookie, expected) -> None:
        self.assertEqual(expected, headers.parse_caller_headers([(b"cookie", cookie)]).object_key)


class ServerHeadersTest(testtools.TestCase):
    """Headers of backend servers' responses and of forwarded requests."""

    @parameterized.expand(
        [
            ("answer", 200, [(b"caperdyke-server-signature", b"x")], True, False, False),
            ("refusal", 503, [(b"caperdyke-not-executed", b"1")], False, True, False),
            ("other server", 421, [], False, True, True),
            ("server's own 421", 421, [(b"caperdyke-server-signature", b"x")], True, False, False),
            ("503 without a word", 503, [], False, False, False),
        ]
    )
    def test_outcome(self, _name, status, raw, signed, refused, misdirected) -> None:
        parsed = headers.parse_server_headers(status, raw)
        self.assertEqual(
            (signed, refused, misdirected),
            (parsed.is_signed, parsed.is_refused, parsed.is_misdirected),
        )

    @parameterized.expand(
        [("3,1,8", header_fields.ServerLoad(3, 1, 8)), ("3,1", None), ("a,b,c", None)]
    )
    def test_load(self, text, expected) -> None:
        raw = [(b"caperdyke-server-load", text.encode())]
        self.assertEqual(expected, headers.parse_server_headers(200, raw).load)

    @parameterized.expand(
        [
            ("absent", b"3,1,8", None),
            ("as usual", b"3,1,8,100", 1.0),
            ("slow", b"3,1,8,250", 2.5),
            ("fast", b"3,1,8,80", 0.8),
            ("fraction", b"3,1,8,112.5", 1.125),
            ("spaces", b" 3, 1 ,8 , 250 ", 2.5),
            ("further figures", b"3,1,8,250,7,x", 2.5),
            ("empty", b"3,1,8,", None),
            ("no number", b"3,1,8,slow", None),
            ("with a unit", b"3,1,8,250%", None),
            ("not a number", b"3,1,8,nan", None),
            ("infinite", b"3,1,8,inf", None),
            ("zero", b"3,1,8,0", None),
            ("negative", b"3,1,8,-250", None),
            ("100 times as long", b"3,1,8,10000", 100.0),
            ("longer than that", b"3,1,8,10001", None),
            ("huge", b"3,1,8,1e300", None),
        ]
    )
    def test_pace(self, _name, value, expected) -> None:
        """Pattern: a server reports a fourth figure that is unusable, or further ones.

        Guards against a report whose first three figures are lost with it.
        """
        raw = [(b"caperdyke-server-load", value)]
        self.assertEqual(
            header_fields.ServerLoad(3, 1, 8, expected), headers.parse_server_headers(200, raw).load
        )

    def test_headers_passed_on(self) -> None:
        raw = [
            (b"caperdyke-request-id", b"r1"),
            (b"caperdyke-request-deadline", b"3000"),
            (b"caperdyke-expect-instance", b"forged"),
            (b"x-other", b"1"),
        ]
        forwarded = headers.make_server_headers(
            raw, 1234.5, ids.BackendId("s1"), header_fields.UnmanagedIdentity()
        )
        self.assertEqual(
            [
                (b"caperdyke-request-id", b"r1"),
                (b"x-other", b"1"),
                (b"caperdyke-request-deadline", b"1234"),
                (b"caperdyke-expect-instance", b"s1"),
            ],
            forwarded,
        )

    @parameterized.expand(
        [
            ("decimal", [(b"caperdyke-server-limit", b"4.7")], header_fields.AdvertisedLimit(4.7)),
            ("without the prefix", [(b"server-limit", b"5")], header_fields.AdvertisedLimit(5.0)),
            ("none at all", [(b"server-limit", b"0")], header_fields.AdvertisedLimit(0.0)),
            ("missing", [], header_fields.NoLimit()),
            ("no number", [(b"server-limit", b"few")], header_fields.UnreadableLimit("few")),
            ("negative", [(b"server-limit", b"-1")], header_fields.UnreadableLimit("-1")),
            ("not finite", [(b"server-limit", b"nan")], header_fields.UnreadableLimit("nan")),
            ("empty", [(b"server-limit", b"")], header_fields.UnreadableLimit("")),
        ]
    )
    def test_limit(self, _name, raw, expected) -> None:
        self.assertEqual(expected, headers.parse_server_headers(200, raw).limit)

    @parameterized.expand(
        [
            ("seconds", 503, [b"2"], header_fields.RequestedBackoff(2.0)),
            ("fraction", 503, [b"0.25"], header_fields.RequestedBackoff(0.25)),
            ("nothing", 503, [b"0"], header_fields.RequestedBackoff(0.0)),
            ("an hour", 503, [b"3600"], header_fields.RequestedBackoff(3600.0)),
            ("longest of several", 503, [b"1", b"4", b"2"], header_fields.RequestedBackoff(4.0)),
            ("readable one of two", 503, [b"soon", b"3"], header_fields.RequestedBackoff(3.0)),
            ("negative", 503, [b"-1"], header_fields.UnreadableBackoff("-1")),
            ("no number", 503, [b"soon"], header_fields.UnreadableBackoff("soon")),
            ("empty", 503, [b""], header_fields.UnreadableBackoff("")),
            ("not finite", 503, [b"inf"], header_fields.UnreadableBackoff("inf")),
            ("missing", 503, [], header_fields.NoBackoff()),
            ("of a success", 200, [b"2"], header_fields.NoBackoff()),
            ("of another failure", 429, [b"2"], header_fields.NoBackoff()),
            (
                "date",
                503,
                [b"Fri, 04 Dec 2026 10:00:07 GMT"],
                header_fields.RequestedBackoff(7.0),
            ),
            ("past", 503, [b"Fri, 04 Dec 2026 09:00:00 GMT"], header_fields.RequestedBackoff(0.0)),
        ]
    )
    def test_rest(self, _name, status, values, expected) -> None:
        raw = [(b"date", b"Fri, 04 Dec 2026 10:00:00 GMT")]
        raw += [(b"retry-after", value) for value in values]
        for others in ([], [(b"caperdyke-not-executed", b"1")]):
            self.assertEqual(expected, headers.parse_server_headers(status, raw + others).backoff)

    @parameterized.expand(
        [
            ("with the prefix", 200, [(b"caperdyke-server-leaving", b"1")], True),
            ("without it", 503, [(b"server-leaving", b"1")], True),
            ("in a 421", 421, [(b"server-leaving", b"1")], True),
            ("twice", 200, [(b"server-leaving", b"0"), (b"server-leaving", b"1")], True),
            ("taken back", 200, [(b"server-leaving", b"0")], False),
            ("empty", 200, [(b"server-leaving", b" ")], False),
            ("missing", 200, [], False),
        ]
    )
    def test_leaving(self, _name, status, raw, expected) -> None:
        self.assertEqual(expected, headers.parse_server_headers(status, raw).is_leaving)


KEY = b"ymh2rrytapjsujqurtyi"
DIGEST = teams.digest_key(KEY)
KEY_CREDENTIAL = header_fields.KeyCredential(DIGEST)
MALFORMED = header_fields.MalformedCredential()
PIECES = (b"Bearer", b"bearer", b" ", b"\t", KEY, b",", b"Basic", b"Bearer " + KEY)


class CredentialTest(testtools.TestCase):
    """Credentials of callers (T2), and what replaces them (T4, T5)."""

    @parameterized.expand(
        [
            ("missing", [], header_fields.NoCredential()),
            ("key", [b"Bearer " + KEY], KEY_CREDENTIAL),
            ("twice", [b"Bearer " + KEY] * 2, MALFORMED),
            ("several", [b"Bearer " + KEY, b"Basic eDp5"], MALFORMED),
            ("empty", [b""], MALFORMED),
            ("scheme_only", [b"Bearer"], MALFORMED),
            ("empty_key", [b"Bearer "], MALFORMED),
            ("key_only", [KEY], MALFORMED),
            ("lower_case", [b"bearer " + KEY], MALFORMED),
            ("upper_case", [b"BEARER " + KEY], MALFORMED),
            ("other_scheme", [b"Basic " + KEY], MALFORMED),
            ("tab", [b"Bearer\t" + KEY], MALFORMED),
            ("no_space", [b"Bearer" + KEY], MALFORMED),
            ("space_before", [b" Bearer " + KEY], MALFORMED),
        ]
    )
    def test_credential(self, _name, values, expected) -> None:
        raw = [(b"authorization", value) for value in values]
        self.assertEqual(expected, headers.parse_caller_headers(raw).credential)

    @parameterized.expand(
        [
            ("two_spaces", b"Bearer  " + KEY),
            ("tab_after_space", b"Bearer \t" + KEY),
            ("space_behind", b"Bearer " + KEY + b" "),
            ("two_keys", b"Bearer " + KEY + b"," + KEY),
            ("parameters", b"Bearer " + KEY + b" realm=x"),
            ("other_case_of_key", b"Bearer " + KEY.upper()),
            ("part_of_key", b"Bearer " + KEY[:-1]),
        ]
    )
    def test_other_text_is_another_key(self, _name, value) -> None:
        """Guards against credentials that are trimmed or repaired until they match."""
        credential = headers.parse_caller_headers([(b"authorization", value)]).credential
        self.assertNotEqual(KEY_CREDENTIAL, credential)

    @seed(7)
    @settings(max_examples=500, deadline=None)
    @given(st.lists(st.sampled_from(PIECES) | st.binary(max_size=4), max_size=6).map(b"".join))
    def test_odd_values_are_never_taken_for_the_key(self, value) -> None:
        """Guards against errors and matches for values that nobody listed above."""
        credential = headers.parse_caller_headers([(b"authorization", value)]).credential
        self.assertEqual(value == b"Bearer " + KEY, credential == KEY_CREDENTIAL, value)
        self.assertNotIn(KEY.decode(), repr(credential))

    @parameterized.expand(
        [
            ("team", header_fields.TeamIdentity(ids.TeamName("a")), [b"a"], False),
            ("no_team", header_fields.TeamIdentity(None), [], False),
            ("unmanaged", header_fields.UnmanagedIdentity(), [b"forged"], True),
        ]
    )
    def test_headers_for_server(self, _name, identity, expected, is_key_passed) -> None:
        raw = [(b"authorization", b"Bearer " + KEY), (b"caperdyke-tenant", b"forged")]
        forwarded = headers.make_server_headers(raw, 1000.0, ids.BackendId("s1"), identity)
        found = [value for name, value in forwarded if name == b"caperdyke-tenant"]
        self.assertEqual(expected, found)
        self.assertIs(is_key_passed, b"authorization" in dict(forwarded))
        relayed = dict(headers.make_relayed_headers(raw, 1000.0, identity))
        self.assertEqual(
            (is_key_passed, is_key_passed),
            (b"authorization" in relayed, b"caperdyke-tenant" in relayed),
        )

    @parameterized.expand(
        [
            ("plain", "huka270", b"huka270"),
            ("inner_space", "a b", b"a b"),
            ("other_letters", "Z\u00fcrich", "Z\u00fcrich".encode()),
            ("line_break", "a\r\nX-Admin: 1", b"a%0D%0AX-Admin%3A%201"),
            ("space_around", " a ", b"%20a%20"),
            ("surrogate", "\ud800", b"\xed\xa0\x80"),
            ("empty", "", b""),
        ]
    )
    def test_name_in_header(self, _name, name, expected) -> None:
        """Guards against team names that end the header, or whose requests fail."""
        identity = header_fields.TeamIdentity(ids.TeamName(name))
        forwarded = headers.make_server_headers([], 1000.0, ids.BackendId("s1"), identity)
        self.assertEqual(expected, dict(forwarded)[b"caperdyke-tenant"])
