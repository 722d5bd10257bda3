"""Tests of datagrams between instances other than announcements."""

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.protocol import instance_messages


class InstanceMessagesTest(testtools.TestCase):
    """Messages told apart from announcements, and invalid ones."""

    def test_message_is_decoded_as_encoded(self) -> None:
        data = instance_messages.encode_message(101, 7, [[1, 2]])
        self.assertEqual((101, [7, [[1, 2]]]), instance_messages.decode_message(data))

    @parameterized.expand(
        [
            ("announcement", b"\x9f\x06"),
            ("kind_too_high", instance_messages.encode_message(200)),
            ("no_array", b"\x65"),
            ("empty", b""),
        ]
    )
    def test_other_datagrams_are_left_to_the_announcements(self, _name: str, data: bytes) -> None:
        self.assertIsNone(instance_messages.decode_message(data))

    def test_cut_message_raises_an_error(self) -> None:
        data = instance_messages.encode_message(101, 7, [[1, 2]])
        self.assertRaises(errors.ProtocolError, instance_messages.decode_message, data[:-1])
