"""Instances adopt the newest configuration from any source and never revert."""

import asyncio

import testtools

from caperdyke.protocol import frames, messages, records
from caperdyke.transport import context, metrics
from caperdyke.transport.store import change_writer, config_sync
from testing import builders, fakes, session


class FakeLinks:
    """Counts the heartbeats that announce a new revision to peers."""

    def __init__(self) -> None:
        self.heartbeats = 0

    def send_heartbeats(self) -> None:
        """Counts the call."""
        self.heartbeats += 1


class FakeLink:
    """Records the messages sent to one peer."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def send(self, message: messages.Message) -> None:
        """Records a message."""
        self.sent.append(message)


class ConfigSyncTest(testtools.TestCase):
    """One instance, a platform and peers."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fakes.FakeClock()
        self.platform = fakes.FakePlatform()
        texts = [builders.PLACES_TEXT, builders.CONTRACT_TEXT]
        texts += [builders.CONTRACT_TEXT.replace("share = 120", f"share = {n}") for n in (110, 100)]
        writer = change_writer.ChangeWriter(self.platform, self.clock)
        for number, text in enumerate(texts):
            draft = change_writer.Draft(f"c{number}", "tala", "d.ini", text, None)
            asyncio.run(writer.apply(draft, self.clock.now + 5))
        self.changes = list(reversed(asyncio.run(writer.read_history(10))))
        current, _ = asyncio.run(writer.read_current())
        self.snapshot = frames.encode_record(records.make_snapshot(current))
        self.node, self.links, self.sync = self.make_sync()

    def make_sync(self):
        node = context.NodeContext(session.make_settings("one", "pasig-hall", ()), _METRICS)
        node.clock = self.clock
        node.platform = self.platform
        links = FakeLinks()
        return node, links, config_sync.ConfigSync(node, links)

    def poll(self) -> None:
        asyncio.run(self.sync._poll_once())

    def reply(self, numbers: list[int], snapshot: bytes = b"") -> None:
        encoded = tuple(frames.encode_record(self.changes[number]) for number in numbers)
        self.sync.handle_changes_reply(messages.ChangesReply(encoded, snapshot, self.clock.now))

    def test_start_reads_the_snapshot_and_announces_it_to_peers(self) -> None:
        self.poll()
        self.assertEqual(4, self.node.configuration_table.revision)
        self.assertTrue(self.node.configuration_table.is_current(self.clock.now))
        self.assertGreaterEqual(self.links.heartbeats, 1)

    def test_changes_follow_one_by_one_and_agree_with_the_snapshot(self) -> None:
        self.reply([0, 1, 2, 3])
        other = self.make_sync()[2]
        other.handle_changes_reply(messages.ChangesReply((), self.snapshot, self.clock.now))
        self.assertEqual(
            other._node.configuration_table.newest, self.node.configuration_table.newest
        )

    def test_duplicate_reordered_and_stale_replies_change_nothing(self) -> None:
        self.reply([0, 1])
        self.reply([0, 1])
        self.assertEqual(2, self.node.configuration_table.revision)
        self.reply([3])
        self.assertEqual(
            2, self.node.configuration_table.revision, "changes after a gap are not applied"
        )
        self.reply([2, 3])
        self.reply([1], b"")
        self.assertEqual(4, self.node.configuration_table.revision)

    def test_stale_peer_neither_reverts_nor_confirms(self) -> None:
        self.poll()
        self.clock.now += 10
        link = FakeLink()
        self.sync.handle_heartbeat(link, messages.Heartbeat(2, self.clock.now, 0.0))
        self.assertEqual([], link.sent)
        self.assertFalse(self.node.configuration_table.is_current(self.clock.now))

    def test_confirmation_is_forwarded_at_once_but_rate_limited(self) -> None:
        self.poll()
        before = self.links.heartbeats
        for age, heartbeats in ((0.1, 0), (0.4, 1), (0.5, 1), (0.8, 2), (0.8, 2)):
            heartbeat = messages.Heartbeat(4, self.clock.now + age, 0.0)
            self.sync.handle_heartbeat(FakeLink(), heartbeat)
            self.assertEqual(before + heartbeats, self.links.heartbeats, age)

    def test_changes_are_requested_from_a_newer_peer(self) -> None:
        self.reply([0, 1])
        requesting_link = FakeLink()
        self.sync.handle_heartbeat(requesting_link, messages.Heartbeat(4, self.clock.now, 0.0))
        self.assertEqual([messages.ChangesRequest(2)], requesting_link.sent)
        peer = self.make_sync()[2]
        encoded = tuple(frames.encode_record(change) for change in self.changes)
        peer.handle_changes_reply(messages.ChangesReply(encoded, b"", self.clock.now))
        replying_link = FakeLink()
        peer.handle_changes_request(replying_link, requesting_link.sent[0])
        self.assertEqual(2, len(replying_link.sent[0].changes))
        self.sync.handle_changes_reply(replying_link.sent[0])
        self.assertEqual(4, self.node.configuration_table.revision)

    def test_peer_that_lacks_the_changes_sends_its_snapshot(self) -> None:
        self.poll()
        replying_link = FakeLink()
        self.sync.handle_changes_request(replying_link, messages.ChangesRequest(0))
        self.assertEqual(b"", b"".join(replying_link.sent[0].changes))
        other = self.make_sync()[2]
        other.handle_changes_reply(replying_link.sent[0])
        self.assertEqual(4, other._node.configuration_table.revision)

    def test_platform_outage_keeps_the_revision_but_ends_its_confirmation(self) -> None:
        self.poll()
        self.platform.faults = ["down", "drop"]
        self.clock.now += 5
        self.poll()
        self.poll()
        self.assertEqual(4, self.node.configuration_table.revision)
        self.assertFalse(self.node.configuration_table.is_current(self.clock.now))
        self.poll()
        self.assertTrue(self.node.configuration_table.is_current(self.clock.now))

    def test_invalid_reply_changes_nothing(self) -> None:
        self.poll()
        self.sync.handle_changes_reply(messages.ChangesReply((b"\xc1",), b"", self.clock.now))
        self.sync.handle_changes_reply(messages.ChangesReply((), b"\xc1", self.clock.now))
        self.assertEqual(4, self.node.configuration_table.revision)


_METRICS = metrics.Metrics()
