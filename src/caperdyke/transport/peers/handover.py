"""Hands the key records of an instance over to a peer during a graceful shutdown."""

import asyncio

from caperdyke.protocol import messages
from caperdyke.state import ids, keys, member
from caperdyke.transport import context, events
from caperdyke.transport.peers import links, peerlink

ACK_TIMEOUT_SECONDS = 1.5
RECORDS_PER_MESSAGE = 20
CANDIDATES_MAX = 4


class Handover:
    """Sends the key records to a successor and adopts those of other instances."""

    def __init__(self, node: context.NodeContext, link_set: links.LinkSet) -> None:
        self._node = node
        self._links = link_set
        self._received_records: dict[ids.InstanceId, list[keys.KeyRecord]] = {}
        self._pending_acks: dict[ids.InstanceId, asyncio.Future] = {}

    async def send(self) -> ids.InstanceId:
        """Sends the sealed key records to the first peer that accepts them.

        Returns the name of that peer, or an empty one if no peer accepted.
        """
        node = self._node
        for candidate in self._list_candidates():
            link = await self._links.ensure_link(candidate)
            if link is not None and await self._send_to(link):
                events.log(
                    events.Event.HANDOVER_DONE,
                    count=len(node.key_table),
                    successor=candidate.instance,
                )
                return candidate.instance
        events.log(events.Event.HANDOVER_FAILED, error="no peer took them over")
        return ids.InstanceId("")

    def handle_records(self, link: peerlink.PeerLink, message: messages.Handover) -> None:
        """Collects a peer's key records; acknowledges or declines them once they are complete."""
        node = self._node
        received = self._received_records.setdefault(link.peer.instance, [])
        received.extend(message.records)
        if not message.is_last:
            return
        del self._received_records[link.peer.instance]
        if node.key_table.is_sealed:
            link.send(messages.HandoverAck(ids.InstanceId("")))
            return
        for owner in message.owners:
            node.key_table.adopt(
                owner, [record for record in received if record.key.owner == owner]
            )
            events.log(events.Event.ADOPTED_KEYS, count=len(received), owner=f"{owner.instance}")
        link.send(messages.HandoverAck(node.own.instance))

    def handle_ack(self, link: peerlink.PeerLink, ack: messages.HandoverAck) -> None:
        """Completes the handover that waits for this acknowledgement."""
        accepted = self._pending_acks.get(link.peer.instance)
        if accepted is not None and not accepted.done():
            accepted.set_result(bool(ack.successor))

    def _list_candidates(self) -> list[member.Member]:
        node = self._node
        now = node.clock()
        usable = [
            record
            for record in node.members.list_all()
            if record.instance != node.own.instance and node.members.is_usable(now, record)
        ]
        usable.sort(key=lambda record: record.domain != node.own.domain)
        return usable[:CANDIDATES_MAX]

    async def _send_to(self, link: peerlink.PeerLink) -> bool:
        node = self._node
        owners = (node.own.holder, *node.key_table.list_adopted())
        key_records = node.key_table.list_records()
        accepted = asyncio.get_running_loop().create_future()
        self._pending_acks[link.peer.instance] = accepted
        for start in range(0, len(key_records) + 1, RECORDS_PER_MESSAGE):
            batch = tuple(key_records[start : start + RECORDS_PER_MESSAGE])
            is_last = start + RECORDS_PER_MESSAGE > len(key_records)
            link.send(messages.Handover(owners, batch, is_last))
            try:
                await link.drain()
            except OSError:
                return False
        try:
            async with asyncio.timeout(ACK_TIMEOUT_SECONDS):
                return await accepted
        except TimeoutError:
            return False
        finally:
            del self._pending_acks[link.peer.instance]
