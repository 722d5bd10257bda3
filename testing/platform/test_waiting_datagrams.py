"""Announcements that wait in the socket of a slow instance."""

import asyncio
import dataclasses
import socket

from caperdyke.protocol import announcements, instance_messages
from caperdyke.state import ids, name_hashes, store_rows
from testing.knowledge import fleet_replay
from testing.platform import harness

DATAGRAMS = 30
TURNS = 3


def encode_announcement(sender: fleet_replay.Instance) -> bytes:
    """Returns an announcement of an instance that has just read the registrations."""
    return announcements.encode_announcement(
        announcements.Announcement(
            name_hashes.hash_name(sender.record.instance),
            sender.record.incarnation,
            None,
            True,
            True,
            150,
            dict.fromkeys(announcements.FOLLOWED_TABLES, store_rows.FIRST_POSITION),
            0,
            store_rows.FIRST_POSITION,
            {},
            {},
            {},
            {},
            False,
        )
    )


class WaitingDatagramTest(harness.AsyncTestCase):
    """Datagrams arrive faster than the event loop turns."""

    async def listen(self) -> tuple[fleet_replay.Instance, fleet_replay.Instance, socket.socket]:
        """Returns an instance that listens, another one, and a socket that sends to the first."""
        receiver, sender = fleet_replay.FleetReplay(2, 1, 1).instances.values()
        address = harness.pick_address()
        receiver.node.settings = dataclasses.replace(
            receiver.node.settings, peer_address=ids.Address(address)
        )
        await receiver.announcer.listen()
        host, _, port = address.rpartition(":")
        outgoing = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        outgoing.connect((host, int(port)))
        self.addCleanup(outgoing.close)
        return receiver, sender, outgoing

    def test_waiting_datagrams_are_handled_in_few_turns(self) -> None:
        """Guards against announcements that are seconds old when they are read."""

        async def scenario() -> None:
            receiver, _, outgoing = await self.listen()
            kinds = []
            receiver.node.metrics.count_unknown_message = kinds.append
            data = instance_messages.encode_message(instance_messages.KIND_MAX)
            for _ in range(DATAGRAMS):
                outgoing.send(data)
            for _ in range(TURNS):
                await asyncio.sleep(0)
            self.assertEqual(DATAGRAMS, len(kinds))
            receiver.announcer.close()

        self.run_async(scenario)

    def test_announcement_counts_from_when_it_may_have_arrived(self) -> None:
        """Guards against registrations that count as fresh by a datagram that waited."""

        async def scenario() -> None:
            receiver, sender, outgoing = await self.listen()
            times = [10.0]
            receiver.node.now = lambda: times[-1]
            outgoing.send(encode_announcement(sender))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            peer = receiver.node.fleet.list_others()[0]
            # No datagram waits any more.
            outgoing.send(encode_announcement(sender))
            times.append(10.4)
            for _ in range(TURNS):
                await asyncio.sleep(0)
            self.assertEqual(10.4, peer.last_seen_at)
            self.assertTrue(peer.read_at <= 10.0, f"got {peer.read_at}, expected at most 10.0")
            receiver.announcer.close()

        self.run_async(scenario)
