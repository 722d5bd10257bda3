"""Spreads the records of requests under which backend servers ended to all instances."""

import asyncio
import random

from caperdyke.protocol import crash_messages
from caperdyke.state import ids
from caperdyke.transport import events
from caperdyke.transport.gateway import announcer, context

# Interval at which news is sent on, and the instances that get it. Each instance sends it once;
# all but one in fifty of a large fleet receive it in this way.
SPREAD_SECONDS = 0.05
SPREAD_RECEIVERS = 4
# Interval at which records are sent in rotation whether or not they are news, for instances that
# start, lost a datagram or were cut off, the instances that get them, and how many they get.
REPEAT_SECONDS = 0.5
REPEAT_RECEIVERS = 2
REPEAT_RECORDS = 8


class CrashExchange:
    """Sends and receives reports of crashes.

    :param datagrams: sends the reports and passes those of others on.
    :param rng: selects the receivers.
    """

    def __init__(
        self,
        node: context.GatewayContext,
        datagrams: announcer.Announcer,
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._announcer = datagrams
        self._rng = rng or random.Random()
        self._news: dict[ids.RequestDigest, None] = {}
        # Records that are still to be sent in the present rotation.
        self._rotation: list[ids.RequestDigest] = []
        datagrams.message_handlers[crash_messages.KIND] = self.receive
        node.on_crash_news = self._add_news

    async def run(self) -> None:
        """Spreads news at once and repeats all records in rotation, forever."""
        repeat_at = 0.0
        while True:
            await asyncio.sleep(SPREAD_SECONDS)
            now, records = self._node.now(), self._node.crashing_requests
            if self._news:
                news, self._news = list(self._news), {}
                self._send(now, news, SPREAD_RECEIVERS)
            if now >= repeat_at and not records.is_empty:
                repeat_at = now + REPEAT_SECONDS
                records.remove_expired(now)
                self._send(now, self._take_repeated(now), REPEAT_RECEIVERS)

    def receive(self, items: list, _address: ids.Address) -> None:
        """Merges the reports of another instance and spreads what is news.

        :raises errors.ProtocolError: if the items are no valid reports.
        """
        node, now = self._node, self._node.now()
        for report in crash_messages.decode_reports(items):
            was_blocked = node.crashing_requests.is_blocked(now, report.digest)
            if not node.crashing_requests.merge(now, report.digest, report.starts, report.age):
                continue
            self._add_news(report.digest)
            if node.crashing_requests.is_blocked(now, report.digest) and not was_blocked:
                log_blocked(node, report.digest)

    def _take_repeated(self, now: float) -> list[ids.RequestDigest]:
        """Returns the next records of the rotation, in which rejected requests come first."""
        records = self._node.crashing_requests
        if not self._rotation:
            self._rotation = sorted(
                records.list_newest(), key=lambda digest: not records.is_blocked(now, digest)
            )
        taken, self._rotation = self._rotation[:REPEAT_RECORDS], self._rotation[REPEAT_RECORDS:]
        return taken

    def _add_news(self, digest: ids.RequestDigest) -> None:
        self._news[digest] = None

    def _send(self, now: float, digests: list[ids.RequestDigest], receivers: int) -> None:
        reports = []
        for digest in digests:
            record = self._node.crashing_requests.find(digest)
            if record is not None:
                age = now - record.last_at
                reports.append(crash_messages.CrashReport(digest, record.starts, age))
        live = self._node.fleet.list_live(now)
        chosen = self._rng.sample(live, min(len(live), receivers))
        for start in range(0, len(reports), crash_messages.RECORDS_MAX):
            data = crash_messages.encode_reports(
                reports[start : start + crash_messages.RECORDS_MAX]
            )
            for other in chosen:
                self._announcer.send_message(other.record.peer_address, data)


def log_blocked(node: context.GatewayContext, digest: ids.RequestDigest) -> None:
    """Logs that a request is rejected from now on."""
    record = node.crashing_requests.find(digest)
    events.log(
        events.Event.REQUEST_BLOCKED,
        digest=digest.hex(),
        count=record.count,
        servers=[node.find_server_by_start(start) for start in record.starts],
    )
