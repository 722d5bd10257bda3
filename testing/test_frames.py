"""Frames carry every message unchanged, and malformed frames are rejected."""

import msgpack
import parameterized
import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from caperdyke import errors
from caperdyke.protocol import frames, keytext, messages
from caperdyke.state import backend, keys, outcome
from testing import builders

HEADERS = (("content-type", "text/plain"),)
RECORD = keys.KeyRecord(
    builders.make_key(), b"p", keys.KeyState.ANSWERED, 9.5, outcome.AnswerHead(200, HEADERS), b"x"
)
MESSAGES = [
    messages.Hello(1, builders.make_member("one")),
    messages.Heartbeat(7, 12.5, 0.25),
    messages.MemberNews((builders.make_member("one"), builders.make_member("two"))),
    messages.PeerReport(builders.make_holder("one"), builders.PASIG, 12.5),
    messages.DrainNews((backend.DrainMark("pasig-hall", 5, True),)),
    messages.ChangesRequest(3),
    messages.ChangesReply((b"a", b"b"), b"", 1.5),
    messages.RenewRequest(builders.make_holder("one")),
    messages.LeaseRenewed(builders.PASIG, 3, 2, 12.5),
    messages.LeaseNews(builders.make_row(1.0, [builders.make_holder("one")], 2)),
    messages.RowRequest(builders.PASIG),
    messages.Forward(
        1, messages.Role.KEY_OWNER, "c", "s", "POST", "/x", HEADERS, b"b", "k", "d", 9.5
    ),
    messages.AnswerStart(1, 200, HEADERS),
    messages.AnswerChunk(1, 0, b"data"),
    messages.AnswerEnd(1, 1),
    messages.AnswerRefused(1, "not-run", "share-spent", 1.5, ""),
    messages.Cancel(1),
    messages.Credit(1, 100),
    messages.Handover((builders.make_holder("one"),), (RECORD,), True),
    messages.HandoverAck("two"),
]
BAD_PAYLOADS = [
    ("empty_array", msgpack.packb([])),
    ("not_msgpack", b"\xc1"),
    ("truncated", frames.encode_frame(MESSAGES[0])[4:-1]),
    ("trailing_bytes", frames.encode_frame(MESSAGES[1])[4:] + b"\x00"),
    ("map", msgpack.packb({"a": 1})),
    ("unknown_type", msgpack.packb([99, 1])),
    ("negative_type", msgpack.packb([-1, 1])),
    ("text_type", msgpack.packb(["Hello"])),
    ("missing_field", msgpack.packb([1, 7, 12.5])),
    ("extra_field", msgpack.packb([1, 7, 12.5, 0.25, 0])),
    ("text_for_number", msgpack.packb([1, "7", 12.5, 0.25])),
    ("bool_for_number", msgpack.packb([1, True, 12.5, 0.25])),
    ("none_for_number", msgpack.packb([1, None, 12.5, 0.25])),
    ("unknown_state", msgpack.packb([2, [["one", 1, "d", "a", "b", 99, ""]]])),
    ("deep_nesting", b"\x91" * 2000),
]


class FrameTest(testtools.TestCase):
    """Encoding of the peer protocol."""

    def test_every_message_type_is_covered(self) -> None:
        covered = {type(message) for message in MESSAGES}
        self.assertEqual(set(frames._TYPES), covered)

    @parameterized.parameterized.expand([(type(item).__name__, item) for item in MESSAGES])
    def test_round_trip(self, _name, message) -> None:
        frame = frames.encode_frame(message)
        length = frames.decode_length(frame[: frames.LENGTH_BYTES])
        self.assertEqual(len(frame) - frames.LENGTH_BYTES, length)
        self.assertEqual(message, frames.decode_payload(frame[frames.LENGTH_BYTES :]))

    @parameterized.parameterized.expand(BAD_PAYLOADS)
    def test_malformed_payload_is_rejected(self, _name, payload) -> None:
        self.assertRaises(errors.ProtocolError, frames.decode_payload, payload)

    def test_length_out_of_bounds_is_rejected(self) -> None:
        for length in (0, frames.FRAME_MAX_BYTES + 1, 0xFFFFFFFF):
            prefix = length.to_bytes(4, "big")
            self.assertRaises(errors.ProtocolError, frames.decode_length, prefix)

    @seed(20261203)
    @settings(max_examples=500, deadline=None, database=None, phases=builders.PHASES)
    @given(st.integers(0, len(MESSAGES) - 1), st.integers(0, 400), st.integers(0, 255))
    def test_corrupted_frame_raises_only_protocol_errors(self, number, position, value) -> None:
        payload = bytearray(frames.encode_frame(MESSAGES[number])[frames.LENGTH_BYTES :])
        payload[position % len(payload)] = value
        try:
            frames.decode_payload(bytes(payload))
        except errors.ProtocolError:
            return


class KeyTextTest(testtools.TestCase):
    """Text form of request keys."""

    def test_round_trip(self) -> None:
        key = builders.make_key()
        self.assertEqual(key, keytext.parse_key(keytext.format_key(key)))

    @parameterized.parameterized.expand(
        [
            ("empty", ""),
            ("other_version", "k2.one.1.1.d.1"),
            ("missing_part", "k1.one.1.1.d"),
            ("extra_part", "k1.one.1.1.d.1.1"),
            ("text_number", "k1.one.x.1.d.1"),
            ("negative", "k1.one.-1.1.d.1"),
            ("newline", "k1.one.1.1.d.1\n"),
            ("huge", "k1.one." + "9" * 99 + ".1.d.1"),
        ]
    )
    def test_malformed(self, _name, text) -> None:
        self.assertIsNone(keytext.parse_key(text))
