"""Datagrams by which instances request and grant tokens."""

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.coordination.quotas import token_bucket
from caperdyke.protocol import instance_messages, quota_messages


class QuotaMessagesTest(testtools.TestCase):
    """Messages are decoded as encoded; others raise an error."""

    def test_request_is_decoded_as_encoded(self) -> None:
        demands = {7: token_bucket.Demand(12, 5, 2, 1), 8: token_bucket.Demand(12, 1, 1, 0)}
        request = quota_messages.TokenRequest(4_000_000_000, 12, demands)
        kind, items = instance_messages.decode_message(quota_messages.encode_request(request))
        self.assertEqual(quota_messages.REQUEST_KIND, kind)
        self.assertEqual(request, quota_messages.decode_request(items))

    def test_grant_is_decoded_as_encoded(self) -> None:
        grant = quota_messages.TokenGrant(3, 12, {7: token_bucket.Grant(5, 0.25), 8: None})
        kind, items = instance_messages.decode_message(quota_messages.encode_grant(grant))
        self.assertEqual(quota_messages.GRANT_KIND, kind)
        self.assertEqual(grant, quota_messages.decode_grant(items))

    def test_further_items_are_ignored(self) -> None:
        """Guards against messages of a later build that are rejected as a whole."""
        request = quota_messages.decode_request([1, 2, [[7, 5, 2, 1, "more"]], "more"])
        self.assertEqual({7: token_bucket.Demand(2, 5, 2, 1)}, request.demands)
        grant = quota_messages.decode_grant([1, 2, [[7, 5, 0, "more"]], "more"])
        self.assertEqual({7: token_bucket.Grant(5, 0.0)}, grant.grants)

    def test_request_without_stock_leaves_all_tokens_counted(self) -> None:
        """The short form ``[team, wanted]`` says nothing of what was used."""
        request = quota_messages.decode_request([1, 2, [[7, 5]]])
        self.assertEqual({7: token_bucket.Demand(2, 5, 5, None)}, request.demands)

    @parameterized.expand(
        [
            ("empty", []),
            ("no_entries", [1, 2]),
            ("entries_not_a_list", [1, 2, 3]),
            ("entry_not_a_list", [1, 2, [3]]),
            ("entry_too_short", [1, 2, [[7]]]),
            ("negative", [1, 2, [[7, -5, 0]]]),
            ("text", [1, 2, [[7, "5", 0]]]),
            ("fraction", [1, 2, [[7, 0.5, 0]]]),
            ("boolean", [1, 2, [[7, True, 0]]]),
            ("sender_none", [None, 2, []]),
            ("too_many", [1, 2, [[7, 1, 0]] * 100]),
        ]
    )
    def test_malformed_message_raises_an_error(self, _name, items) -> None:
        self.assertRaises(errors.ProtocolError, quota_messages.decode_request, items)
        self.assertRaises(errors.ProtocolError, quota_messages.decode_grant, items)

    def test_grant_of_too_many_tokens_raises_an_error(self) -> None:
        items = [1, 2, [[7, quota_messages.TOKENS_MAX + 1, 0]]]
        self.assertRaises(errors.ProtocolError, quota_messages.decode_grant, items)
