"""Drain marks that an instance derives from the platform's list of instances."""

import asyncio

import testtools

from caperdyke.state import backend
from caperdyke.transport import context, metrics
from caperdyke.transport.store import platform_client, platform_watch
from testing import fakes, session

_METRICS = metrics.Metrics()
SERVER = "b1"
SUBJECT = platform_watch.LISTED_PREFIX + SERVER


class _Links:
    """Control links without peers."""

    def broadcast(self, _message, _source) -> None:
        """Sends nothing."""


class _ListingPlatform(fakes.FakePlatform):
    """A platform whose list is read while something else happens.

    :ivar state: state of the only backend server in the list.
    :ivar while_reading: called between the start of a call and its answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.state = "live"
        self.while_reading = lambda: None

    async def list_instances(self) -> list[platform_client.ListedInstance]:
        """Returns the list as of the start of the call."""
        state = self.state
        self.while_reading()
        return [
            platform_client.ListedInstance(
                SERVER, "backend", state, "pasig-hall", "127.0.0.1:9", "browse", 4
            )
        ]


class ListedDrainTest(testtools.TestCase):
    """The list of instances and what other instances have read of it."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fakes.FakeClock()
        self.platform = _ListingPlatform()
        self.node = context.NodeContext(session.make_settings("one", "pasig-hall", ()), _METRICS)
        self.node.clock = self.clock
        self.node.platform = self.platform
        self.watch = platform_watch.PlatformWatch(self.node, _Links())

    def read(self) -> None:
        """Reads the list once."""
        asyncio.run(self.watch._read_instances())

    def is_leaving(self) -> bool:
        """Returns whether the server gets no new work."""
        return SUBJECT in self.node.drains.list_active()

    def test_list_that_was_read_before_a_mark_does_not_cancel_it(self) -> None:
        """Guards against a drain that an older reading of another instance ends."""

        def receive_mark() -> None:
            self.clock.now += 0.5
            mark = backend.DrainMark(SUBJECT, int(self.clock.now * 1000), True)
            self.watch.apply_marks((mark,), None)
            self.clock.now += 0.5

        self.platform.while_reading = receive_mark
        self.read()
        self.assertTrue(self.is_leaving())

    def test_list_that_was_read_after_a_mark_replaces_it(self) -> None:
        self.platform.state = "leaving"
        self.read()
        self.assertTrue(self.is_leaving())
        self.clock.now += 1.0
        self.platform.state = "live"
        self.read()
        self.assertFalse(self.is_leaving())

    def test_drain_begins_although_an_earlier_mark_has_a_faster_clock(self) -> None:
        ahead = backend.DrainMark(SUBJECT, int((self.clock.now + 60) * 1000), False)
        self.watch.apply_marks((ahead,), None)
        self.platform.state = "leaving"
        self.read()
        self.assertTrue(self.is_leaving())
