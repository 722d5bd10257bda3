"""Reports of crashes between instances."""

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.protocol import crash_messages, instance_messages
from caperdyke.state import ids

DIGEST = ids.RequestDigest(b"d" * 16)


class CrashMessagesTest(testtools.TestCase):
    """Encoding and decoding."""

    def test_reports_are_decoded_as_they_were_encoded(self) -> None:
        reports = [crash_messages.CrashReport(DIGEST, {1: False, 2**32 - 1: True}, 1.5)]
        kind, items = instance_messages.decode_message(crash_messages.encode_reports(reports))
        self.assertEqual(crash_messages.KIND, kind)
        self.assertEqual(reports, crash_messages.decode_reports(items))

    def test_largest_message_fits_into_a_datagram(self) -> None:
        reports = [
            crash_messages.CrashReport(DIGEST, {2**32 - 1 - n: False for n in range(8)}, 600.0)
        ] * crash_messages.RECORDS_MAX
        self.assertLess(len(crash_messages.encode_reports(reports)), 1400)

    @parameterized.expand(
        [
            ("nothing", []),
            ("no list", [7]),
            ("short digest", [[[b"d", 0, [1], []]]]),
            ("digest of text", [[["d" * 16, 0, [1], []]]]),
            ("fields missing", [[[DIGEST, 0]]]),
            ("no number", [[[DIGEST, 0, ["x"], []]]]),
            ("no list of starts", [[[DIGEST, 0, 1, []]]]),
            ("too many starts", [[[DIGEST, 0, list(range(100)), []]]]),
        ]
    )
    def test_invalid_reports_are_rejected(self, _name, items) -> None:
        self.assertRaises(errors.ProtocolError, crash_messages.decode_reports, items)
