"""Follows the platform's lagging instance list and the drains that are stored there."""

import asyncio

from caperdyke import errors
from caperdyke.protocol import frames, messages, records
from caperdyke.state import backend, ids
from caperdyke.transport import context, events
from caperdyke.transport.peers import links
from caperdyke.transport.store import platform_client

WATCH_SECONDS = 1.0
# Records of ended instances that are kept, since keys may still name them.
GONE_KEPT = 200
# Prefix of the subjects of drains that come from the instance list.
LISTED_PREFIX = "listed/"


class PlatformWatch:
    """Turns news from the platform into drain marks, and stores the operators' marks there."""

    def __init__(self, node: context.NodeContext, link_set: links.LinkSet) -> None:
        self._node = node
        self._links = link_set
        self._is_unsaved = False

    async def watch(self) -> None:
        """Reads the list and the stored drains again and again."""
        while True:
            try:
                await self._read_list()
                await self._read_drains()
                if self._is_unsaved:
                    await self._save_drains()
            except errors.PlatformError:
                # The configuration's poll reports that the platform is away.
                pass
            self._node.memory.remove_expired(self._node.clock())
            self._node.members.remove_gone(GONE_KEPT)
            await asyncio.sleep(self._node.find_poll_interval(WATCH_SECONDS))

    def announce(self, subject: str, active: bool) -> backend.DrainMark:
        """Records an operator's announcement, tells the peers and stores it when possible."""
        version = self._node.drains.find_next_version(subject, self._node.clock())
        mark = backend.DrainMark(subject, version, active)
        self.learn((mark,), None)
        self._is_unsaved = True
        return mark

    def learn(self, marks: tuple[backend.DrainMark, ...], source) -> None:
        """Takes over announcements and passes on those that are news."""
        news = tuple(mark for mark in marks if self._node.drains.merge(mark))
        if not news:
            return
        for mark in news:
            events.log(
                events.Event.DRAIN_ANNOUNCED,
                subject=mark.subject,
                active=mark.active,
                version=mark.version,
            )
        self._apply()
        self._links.broadcast(messages.DrainNews(news), source)

    def _apply(self) -> None:
        node = self._node
        active = node.drains.list_active()
        for record in node.backends.list_records():
            name = record.server.backend
            is_draining = not active.isdisjoint((name, LISTED_PREFIX + name, record.server.domain))
            if is_draining and record.is_open():
                node.backends.mark_leaving(node.clock(), record)
                events.log(events.Event.BACKEND_LEAVING, backend=name, sign="announcement")
            elif not is_draining and context.is_leaving(record):
                node.backends.mark_returned(record)
                events.log(events.Event.BACKEND_BACK, backend=name)
        node.serve_queues()

    async def _read_list(self) -> None:
        marks = []
        listed = await self._node.platform.list_instances()
        self._node.listed_seeds = tuple(
            ids.Address(item.address)
            for item in listed
            if item.kind == "entry" and item.state == "live"
        )
        for item in listed:
            if item.kind == "backend" and item.domain == self._node.own.domain:
                self._add_backend(item)
                marks += self._compare(item)
        self.learn(tuple(marks), None)

    def _add_backend(self, item: platform_client.ListedInstance) -> None:
        node = self._node
        if node.backends.find(item.name) is None and item.service:
            node.backends.add(
                backend.BackendServer(
                    ids.BackendId(item.name),
                    ids.DomainName(item.domain),
                    ids.ServiceName(item.service),
                    ids.Address(item.address),
                    item.slots,
                )
            )

    def _compare(self, item: platform_client.ListedInstance) -> list[backend.DrainMark]:
        node = self._node
        subject = LISTED_PREFIX + item.name
        is_leaving = item.state == "leaving"
        if is_leaving == (subject in node.drains.list_active()):
            return []
        version = node.drains.find_next_version(subject, node.clock())
        return [backend.DrainMark(subject, version, is_leaving)]

    async def _read_drains(self) -> None:
        rows = await self._node.platform.read([records.DRAIN_KEY])
        self.learn(_open_marks(rows[records.DRAIN_KEY].value), None)

    async def _save_drains(self) -> None:
        node = self._node
        row = (await node.platform.read([records.DRAIN_KEY]))[records.DRAIN_KEY]
        self.learn(_open_marks(row.value), None)
        marks = tuple(
            mark for mark in node.drains.list_marks() if not mark.subject.startswith(LISTED_PREFIX)
        )
        data = frames.encode_record(messages.DrainNews(marks))
        await node.platform.transact({records.DRAIN_KEY: row.version}, {records.DRAIN_KEY: data})
        self._is_unsaved = False


def _open_marks(data: bytes) -> tuple[backend.DrainMark, ...]:
    return frames.decode_record(messages.DrainNews, data).marks if data else ()
