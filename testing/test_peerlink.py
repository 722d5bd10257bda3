"""A link whose peer sends messages faster than they are handled."""

import asyncio

import testtools

from caperdyke.protocol import frames, messages
from caperdyke.transport.peers import peerlink
from testing import builders

MESSAGES = 2000
# Messages that a link may handle before everything else gets its turn.
TURN_MAX_MESSAGES = 100


class _Transport:
    """Sends nothing."""

    def get_write_buffer_size(self) -> int:
        """Returns an empty buffer."""
        return 0


class _Writer:
    """Sends nothing."""

    transport = _Transport()

    def close(self) -> None:
        """Closes nothing."""


class PeerLinkTest(testtools.TestCase):
    """Reading of messages that have arrived."""

    def test_others_get_their_turn_between_messages(self) -> None:
        """Guards against a peer whose messages keep the process from everything else."""
        handled = in_turn_max = 0

        def handle(_link, _message) -> None:
            nonlocal handled
            handled += 1

        async def count_turns() -> None:
            nonlocal handled, in_turn_max
            while True:
                in_turn_max, handled = max(in_turn_max, handled), 0
                await asyncio.sleep(0)

        async def scenario() -> None:
            reader = asyncio.StreamReader()
            message = messages.DrainNews(())
            reader.feed_data(frames.encode_frame(message) * MESSAGES)
            reader.feed_eof()
            link = peerlink.PeerLink(reader, _Writer(), builders.make_member("two"), handle)
            counting = asyncio.ensure_future(count_turns())
            await asyncio.sleep(0)
            await link.run()
            await asyncio.sleep(0)
            counting.cancel()

        asyncio.run(scenario())
        self.assertTrue(0 < in_turn_max <= TURN_MAX_MESSAGES, f"got {in_turn_max} in one turn")
