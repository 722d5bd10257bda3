"""Tells other instances that this one supports teams, and learns which of them do."""

import asyncio

from caperdyke.coordination.registry import greetings
from caperdyke.protocol import greeting_messages
from caperdyke.state import ids, name_hashes
from caperdyke.transport import events
from caperdyke.transport.gateway import announcer, context


class Greeter:
    """Sends greetings while the configuration has teams, and replies to those of others.

    :param datagrams: sends the greetings and passes those of others on.
    """

    def __init__(self, node: context.GatewayContext, datagrams: announcer.Announcer) -> None:
        self._node = node
        self._announcer = datagrams
        datagrams.message_handlers[greeting_messages.KIND] = self.receive

    async def run(self) -> None:
        """Greets one instance after the other, forever."""
        node = self._node
        while True:
            await asyncio.sleep(greetings.GREETING_SPACING_SECONDS)
            if node.routes is None or node.routes.teams is None:
                continue
            now = node.now()
            other = greetings.choose(now, node.fleet.list_others())
            if other is not None:
                other.greeted_at = now
                self._send(other.record.peer_address)

    def receive(self, items: list, _address: ids.Address) -> None:
        """Applies a greeting of another instance and replies to it.

        A greeting of an unknown start of an instance is dropped; it is repeated until then.

        :raises errors.ProtocolError: if the items are no greeting.
        """
        greeting, now = greeting_messages.decode_greeting(items), self._node.now()
        sender = self._node.fleet.find_by_hash(greeting.name_hash)
        if sender is None or sender.record.incarnation != greeting.incarnation:
            return
        if not sender.supports_teams:
            sender.supports_teams = True
            events.log(
                events.Event.INSTANCE_CHANGED,
                instance=sender.record.instance,
                domain=sender.record.domain,
                change="supports teams",
            )
        if greetings.is_reply_due(now, sender):
            sender.greeted_at = now
            self._send(sender.record.peer_address)

    def _send(self, address: ids.Address) -> None:
        own = self._node.fleet.own
        greeting = greeting_messages.Greeting(name_hashes.hash_name(own.instance), own.incarnation)
        self._announcer.send_message(address, greeting_messages.encode_greeting(greeting))
