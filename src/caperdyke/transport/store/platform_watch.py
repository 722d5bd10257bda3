"""Polls the platform's instance list, which lags behind, and the drains stored in its table."""

import asyncio

from caperdyke import errors
from caperdyke.protocol import frames, messages, records
from caperdyke.state import backend, ids
from caperdyke.transport import context, events
from caperdyke.transport.peers import links
from caperdyke.transport.store import platform_client

WATCH_SECONDS = 1.0
# Number of member records of ended instances kept, since request keys may still name them.
GONE_MEMBERS_MAX = 200
# Prefix of the subjects of drain marks that are derived from the instance list.
LISTED_PREFIX = "listed/"


class PlatformWatch:
    """Derives drain marks from the instance list and stores operators' marks in the table."""

    def __init__(self, node: context.NodeContext, link_set: links.LinkSet) -> None:
        self._node = node
        self._links = link_set
        self._has_unsaved_marks = False

    async def watch(self) -> None:
        """Polls the instance list and the stored drains in a loop."""
        while True:
            try:
                await self._read_instances()
                await self._read_drains()
                if self._has_unsaved_marks:
                    await self._save_drains()
            except errors.PlatformError:
                # ConfigSync logs that the platform is unavailable.
                pass
            self._node.key_table.remove_expired(self._node.clock())
            self._node.members.remove_gone(GONE_MEMBERS_MAX)
            await asyncio.sleep(self._node.find_poll_interval(WATCH_SECONDS))

    def announce(self, subject: str, active: bool) -> backend.DrainMark:
        """Records and broadcasts an operator's drain mark; the next successful poll stores it."""
        version = self._node.drains.find_next_version(subject, self._node.clock())
        mark = backend.DrainMark(subject, version, active)
        self.apply_marks((mark,), None)
        self._has_unsaved_marks = True
        return mark

    def apply_marks(self, marks: tuple[backend.DrainMark, ...], source) -> None:
        """Merges drain marks and broadcasts the new ones.

        :param source: link that gets no copy because the marks came from it, or None.
        """
        new_marks = tuple(mark for mark in marks if self._node.drains.merge(mark))
        if not new_marks:
            return
        for mark in new_marks:
            events.log(
                events.Event.DRAIN_ANNOUNCED,
                subject=mark.subject,
                active=mark.active,
                version=mark.version,
            )
        self._update_backends()
        self._links.broadcast(messages.DrainNews(new_marks), source)

    def _update_backends(self) -> None:
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

    async def _read_instances(self) -> None:
        marks = []
        requested_at = self._node.clock()
        listed = await self._node.platform.list_instances()
        self._node.listed_seeds = tuple(
            ids.Address(item.address)
            for item in listed
            if item.kind == "entry" and item.state == "live"
        )
        for item in listed:
            if item.kind == "backend" and item.domain == self._node.own.domain:
                self._add_backend(item)
                marks += self._find_listed_changes(item, requested_at)
        self.apply_marks(tuple(marks), None)

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

    def _find_listed_changes(
        self, item: platform_client.ListedInstance, requested_at: float
    ) -> list[backend.DrainMark]:
        """Returns the mark by which the list changes what is known of a backend server.

        Pattern: another instance read a newer list and announced it while this call was under way.
        A list is no newer than the start of its call, so it does not end a drain that was announced
        later. It may begin one, whatever the clocks of the others say.

        :param requested_at: time at which the call started.
        """
        node = self._node
        subject = LISTED_PREFIX + item.name
        is_leaving = item.state == "leaving"
        if is_leaving == (subject in node.drains.list_active()):
            return []
        if not is_leaving and not node.drains.is_newer(subject, int(requested_at * 1000)):
            return []
        version = node.drains.find_next_version(subject, node.clock())
        return [backend.DrainMark(subject, version, is_leaving)]

    async def _read_drains(self) -> None:
        rows = await self._node.platform.read([records.DRAIN_KEY])
        self.apply_marks(_decode_marks(rows[records.DRAIN_KEY].value), None)

    async def _save_drains(self) -> None:
        node = self._node
        row = (await node.platform.read([records.DRAIN_KEY]))[records.DRAIN_KEY]
        self.apply_marks(_decode_marks(row.value), None)
        marks = tuple(
            mark for mark in node.drains.list_marks() if not mark.subject.startswith(LISTED_PREFIX)
        )
        data = frames.encode_record(messages.DrainNews(marks))
        await node.platform.transact({records.DRAIN_KEY: row.version}, {records.DRAIN_KEY: data})
        self._has_unsaved_marks = False


def _decode_marks(data: bytes) -> tuple[backend.DrainMark, ...]:
    return frames.decode_record(messages.DrainNews, data).marks if data else ()
