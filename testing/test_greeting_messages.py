"""Datagrams by which instances say that they support teams."""

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.protocol import announcements, greeting_messages, instance_messages
from caperdyke.state import ids

GREETING = greeting_messages.Greeting(2**32 - 1, ids.Incarnation(1_764_874_000_123))


class GreetingMessageTest(testtools.TestCase):
    """Encoding, invalid items, and builds that do not know the message."""

    def test_greeting_is_decoded_as_encoded(self) -> None:
        kind, items = instance_messages.decode_message(greeting_messages.encode_greeting(GREETING))
        self.assertEqual(100, kind)
        self.assertEqual(GREETING, greeting_messages.decode_greeting(items))

    def test_further_items_are_ignored(self) -> None:
        """Guards against builds that cannot add an item later."""
        self.assertEqual(
            GREETING,
            greeting_messages.decode_greeting([GREETING.name_hash, GREETING.incarnation, "new"]),
        )

    @parameterized.expand(
        [
            ("nothing", []),
            ("one_item", [1]),
            ("text", [1, "2"]),
            ("flag", [1, True]),
            ("nil", [None, 2]),
            ("list", [[1], 2]),
        ]
    )
    def test_invalid_items_raise_an_error(self, _name, items) -> None:
        self.assertRaises(errors.ProtocolError, greeting_messages.decode_greeting, items)

    def test_builds_before_teams_reject_it_as_no_announcement(self) -> None:
        """Guards against a greeting that such a build takes for an announcement."""
        data = greeting_messages.encode_greeting(GREETING)
        self.assertRaises(errors.ProtocolError, announcements.decode_announcement, data)
