"""Headers of relayed requests and of their answers."""

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
