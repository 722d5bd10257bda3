"""Messages of an older build, which runs beside this one during an upgrade.

The samples were written by commit 88f287f. An instance of that build must be able to read what this
one writes, and the other way round.
"""

import testtools
from parameterized import parameterized

from caperdyke.protocol import announcements, instance_messages, relay_headers
from caperdyke.state import ids, member, store_rows

POSITION = store_rows.Position(1, 412)
RECORD = member.Member(
    ids.InstanceId("front-1"),
    ids.Incarnation(1700000000123),
    ids.DomainName("hall-1"),
    ids.Address("10.1.0.15:8408"),
    ids.Address("10.1.0.15:8405"),
    member.MemberState.LIVE,
)
ANNOUNCEMENT = announcements.Announcement(
    77,
    RECORD.incarnation,
    RECORD,
    True,
    True,
    1600,
    {table: POSITION for table in announcements.FOLLOWED_TABLES},
    250,
    POSITION,
    {5: 2, 9: 1},
    {5: (12.5, 0.25), 9: (None, 3.0)},
    {9: 0.75},
    {11: 4.5},
    True,
)
CHANGES = [
    store_rows.StoreChanges(
        store_rows.StoreTable.SERVERS,
        (store_rows.StoreRow(store_rows.StoreTable.SERVERS, "i-1", POSITION, b"{}"),),
        POSITION,
        True,
    )
]
RECORD_BYTES = (
    "96a766726f6e742d31cf0000018bcfe5687ba668616c6c2d31ae31302e312e302e31353a38343038"
    "ae31302e312e302e31353a3834303501"
)
ANNOUNCEMENT_SAMPLE = bytes.fromhex(
    f"9f064dcf0000018bcfe5687b{RECORD_BYTES}c3c3cd0640929201cd019c9201cd019cccfa9201cd019c"
    "8205020901820592cd30d4ccfa0992ffcd0bb88109cd02ee810bcd1194c3"
)
RECORD_SAMPLE = bytes.fromhex(f"9206{RECORD_BYTES}")
CHANGES_SAMPLE = bytes.fromhex("92069194a7736572766572739201cd019cc39193a3692d319201cd019cc4027b7d")
RELAYED_SAMPLE = [
    (b"relay-instance", b"front-1"),
    (b"relay-wait-ms", b"1234"),
    (b"relay-reached", b"1"),
    (b"relay-counted", b"1"),
    (b"relay-version", b"7"),
]


class OlderBuildTest(testtools.TestCase):
    """What both builds write and read."""

    @parameterized.expand(
        [
            (
                "announcement",
                announcements.encode_announcement,
                announcements.decode_announcement,
                ANNOUNCEMENT,
                ANNOUNCEMENT_SAMPLE,
            ),
            (
                "record",
                announcements.encode_member,
                announcements.decode_member,
                RECORD,
                RECORD_SAMPLE,
            ),
            (
                "table_changes",
                announcements.encode_table_changes,
                announcements.decode_table_changes,
                CHANGES,
                CHANGES_SAMPLE,
            ),
        ]
    )
    def test_bytes_are_the_same(self, _name, encode, decode, content, sample: bytes) -> None:
        """Guards against a fleet that falls apart while instances are replaced."""
        self.assertEqual(sample, encode(content))
        self.assertEqual(content, decode(sample))

    def test_relayed_request_without_a_team_has_the_same_headers(self) -> None:
        """Guards against headers that an older build would pass on to servers."""
        fields = relay_headers.RelayedRequest(ids.InstanceId("front-1"), 1234.0, 1, True, 7)
        self.assertEqual(RELAYED_SAMPLE, relay_headers.encode_request(fields))
        self.assertEqual(fields, relay_headers.decode_request(RELAYED_SAMPLE))

    def test_announcement_of_an_older_build_is_no_other_message(self) -> None:
        self.assertIsNone(instance_messages.decode_message(ANNOUNCEMENT_SAMPLE))
