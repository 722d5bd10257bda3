"""Headers of relayed requests and of their answers."""

import dataclasses

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.protocol import relay_headers
from caperdyke.state import ids

REQUEST = relay_headers.RelayedRequest(ids.InstanceId("gateway-1"), 1500, 1, True, 7)


class RelayHeadersTest(testtools.TestCase):
    """Round trips, missing and invalid headers."""

    def test_request_round_trip(self) -> None:
        headers = relay_headers.encode_request(REQUEST)
        self.assertEqual(REQUEST, relay_headers.decode_request(headers))

    @parameterized.expand(
        [
            ("none", None, None),
            ("plain", "huka270", b"huka270"),
            ("space", "a b", b"a%20b"),
            ("line_break", "a\r\nRelay-Counted: 1", b"a%0D%0ARelay-Counted%3A%201"),
            ("percent", "a%20b", b"a%2520b"),
            ("other_letters", "Z\u00fcrich", b"Z%C3%BCrich"),
            ("surrogate", "\ud800", b"%ED%A0%80"),
            ("empty", "", b""),
        ]
    )
    def test_any_team_name_arrives_as_it_is(self, _name, team, expected) -> None:
        """Guards against names that add headers, or that no header value can contain."""
        request = dataclasses.replace(REQUEST, team=team)
        headers = relay_headers.encode_request(request)
        self.assertEqual(expected, dict(headers).get(relay_headers.TEAM))
        self.assertEqual(request, relay_headers.decode_request(headers))

    @parameterized.expand([("not_ascii", b"\xff"), ("not_unicode", b"%FF")])
    def test_invalid_team_name_is_rejected(self, _name, value) -> None:
        headers = [*relay_headers.encode_request(REQUEST), (relay_headers.TEAM, value)]
        self.assertRaises(errors.ProtocolError, relay_headers.decode_request, headers)

    @parameterized.expand([(outcome.value, outcome) for outcome in relay_headers.RelayOutcome])
    def test_answer_round_trip(self, _name, outcome) -> None:
        answer = relay_headers.RelayedAnswer(outcome, 7)
        headers = relay_headers.encode_answer(answer)
        self.assertEqual(answer, relay_headers.decode_answer(headers))

    @parameterized.expand(
        [("missing", None), ("no_number", b"many"), ("empty", b"")],
    )
    def test_invalid_request_is_rejected(self, _name, value) -> None:
        headers = [item for item in relay_headers.encode_request(REQUEST)]
        headers = [item for item in headers if item[0] != relay_headers.WAIT_MS]
        if value is not None:
            headers.append((relay_headers.WAIT_MS, value))
        self.assertRaises(errors.ProtocolError, relay_headers.decode_request, headers)

    def test_answer_of_another_program_is_rejected(self) -> None:
        self.assertRaises(errors.ProtocolError, relay_headers.decode_answer, [(b"server", b"x")])

    def test_headers_are_stripped(self) -> None:
        kept = [(b"host", b"shop.example")]
        headers = [*kept, *relay_headers.encode_request(REQUEST)]
        self.assertTrue(relay_headers.is_relayed(headers))
        self.assertEqual(kept, relay_headers.strip(headers))
