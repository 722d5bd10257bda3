"""Renews the lease row of this failure domain and distributes it to the domain's instances."""

import asyncio

from caperdyke import errors
from caperdyke.coordination import leases, overlay
from caperdyke.protocol import frames, messages, records
from caperdyke.state import lease, member, timing
from caperdyke.transport import context, events
from caperdyke.transport.peers import links, peerlink

# Time since a holder's latest renewal request after which its slices are given to others.
HOLDER_TIMEOUT_SECONDS = 3 * timing.LEASE_RENEWAL_INTERVAL_SECONDS


class LeaseKeeper:
    """Renews the lease row; one instance writes it for the domain and any other can take over."""

    def __init__(self, node: context.NodeContext, link_set: links.LinkSet) -> None:
        self._node = node
        self._links = link_set
        self._requested_at: dict[lease.Holder, float] = {}
        self._written_version = 0
        self._foreign_write_at = 0.0
        self._row_updated_at = 0.0

    async def renew(self) -> None:
        """Requests a renewal or writes the row itself, in a loop."""
        while True:
            await self.renew_once()
            interval = (
                timing.LEASE_RENEWAL_INTERVAL_SECONDS if self._node.shares.row.version else 0.5
            )
            await asyncio.sleep(interval)

    async def renew_once(self) -> None:
        """Runs one round of renewal."""
        node = self._node
        if node.key_table.is_sealed or node.configuration_table.revision == 0:
            return
        await self._release_surplus()
        await self._request_from_largest_holder()
        writer = self._find_writer()
        is_writer_silent = (
            node.clock() - self._row_updated_at > 2 * timing.LEASE_RENEWAL_INTERVAL_SECONDS
        )
        if writer.instance == node.own.instance or is_writer_silent:
            await self._write()
            return
        await self._request_renewal(writer)

    async def _request_renewal(self, record: member.Member) -> None:
        link = await self._links.ensure_link(record)
        if link is not None:
            link.send(messages.RenewRequest(self._node.own.holder))

    async def _request_from_largest_holder(self) -> None:
        """Sends a request to the holder of most slices if this instance holds none.

        That holder may then release one, see ``_release_surplus``.
        """
        node = self._node
        counts = leases.count_slices(node.shares.row)
        if counts[node.own.holder] or not counts:
            return
        largest, _ = counts.most_common(1)[0]
        record = node.members.find(largest.instance)
        if record is not None and record.holder == largest:
            await self._request_renewal(record)

    async def _release_surplus(self) -> None:
        """Releases one slice if an instance that requests renewal holds far fewer."""
        node = self._node
        others = [holder for holder in self._list_requesting() if holder != node.own.holder]
        surplus = leases.find_surplus(node.shares.row, node.own.holder, others)
        if surplus is None:
            return
        row = node.shares.row
        # The slice is no longer used from before the write, which may take effect although its
        # response is lost.
        node.shares.stop_spending(surplus)
        planned = leases.plan_slice_release(node.clock(), row, node.own.holder, surplus)
        try:
            await self._store(row, planned)
        except errors.PlatformError as error:
            events.log(events.Event.LEASE_WRITE_LOST, error=error)

    async def release(self) -> None:
        """Releases every slice of this instance, which must not use them any more."""
        node = self._node
        for _ in range(3):
            try:
                row = await self._read()
                released = leases.plan_release(node.clock(), row, node.own.holder)
                if released is None:
                    return
                await self._store(row, released)
                return
            except errors.PlatformError as error:
                events.log(events.Event.LEASE_WRITE_LOST, error=error)

    def handle_renew_request(self, link: peerlink.PeerLink, request: messages.RenewRequest) -> None:
        """Records a holder's renewal request and answers with the cached row."""
        self._requested_at[request.holder] = self._node.clock()
        if self._node.shares.row.version:
            link.send(messages.LeaseNews(self._node.shares.row))

    def handle_renewal(self, link: peerlink.PeerLink, renewed: messages.LeaseRenewed) -> None:
        """Extends the deadline of the cached row, or requests the whole row if it is outdated."""
        if renewed.domain != self._node.own.domain:
            return
        if renewed.version > self._node.shares.row.version:
            self._row_updated_at = self._node.clock()
        is_applied = self._node.shares.apply_renewal(
            renewed.version, renewed.previous_version, renewed.rest_until
        )
        if not is_applied:
            link.send(messages.RowRequest(renewed.domain))

    def handle_row(self, row: lease.DomainLease) -> None:
        """Applies a row that a peer sent."""
        self._apply_row(row)

    def handle_row_request(self, link: peerlink.PeerLink, request: messages.RowRequest) -> None:
        """Sends the cached row if it is the one of the requested domain."""
        row = self._node.shares.row
        if request.domain == row.domain and row.version:
            link.send(messages.LeaseNews(row))

    def _find_writer(self) -> member.Member:
        node = self._node
        usable = {
            record.instance: record
            for record in node.members.list_usable(node.clock(), node.own.domain)
        }
        ranked = overlay.rank_instances(f"lease/{node.own.domain}", list(usable))
        return usable[ranked[0]] if ranked else node.own

    async def _write(self) -> None:
        node = self._node
        domain = node.configuration_table.newest.find_domain(node.own.domain)
        if domain is None:
            return
        try:
            row = await self._read()
            planned = leases.plan_renewal(node.clock(), row, self._list_live(row), domain.slices)
            await self._store(row, planned)
        except errors.VersionConflictError:
            # Another instance wrote first; its row is read before the next attempt.
            return
        except errors.PlatformError as error:
            events.log(events.Event.LEASE_WRITE_LOST, error=error)

    async def _read(self) -> lease.DomainLease:
        node = self._node
        key = records.make_lease_key(node.own.domain)
        stored_row = (await node.platform.read([key]))[key]
        if stored_row.version == 0:
            return lease.make_empty(node.own.domain, 0)
        row = records.decode_lease(stored_row.value, stored_row.version)
        self._apply_row(row)
        return row

    async def _store(self, row: lease.DomainLease, planned: lease.DomainLease) -> None:
        node = self._node
        key = records.make_lease_key(node.own.domain)
        data = frames.encode_record(planned)
        versions = await node.platform.transact({key: row.version}, {key: data})
        stored = records.decode_lease(data, versions[key])
        self._written_version = stored.version
        self._apply_row(stored)
        self._publish(row, stored)

    def _publish(self, row: lease.DomainLease, stored: lease.DomainLease) -> None:
        if stored.slices == row.slices:
            message = messages.LeaseRenewed(
                stored.domain, stored.version, row.version, stored.rest_until
            )
        else:
            message = messages.LeaseNews(stored)
        for link in self._links.list_open():
            if link.peer.domain == stored.domain:
                link.send(message)

    def _apply_row(self, row: lease.DomainLease) -> None:
        node = self._node
        previous = node.shares.row
        if not node.shares.apply_row(row):
            return
        # Only a newer row proves that some instance still writes.
        self._row_updated_at = node.clock()
        if row.version != self._written_version:
            self._foreign_write_at = node.clock()
        if row.slices != previous.slices:
            holder = node.own.holder
            held_count = sum(
                1 for part in row.slices if holder in (part.rest_holder, part.floor_holder)
            )
            events.log(events.Event.LEASE_CHANGED, version=row.version, slices=held_count)

    def _list_live(self, row: lease.DomainLease) -> list[lease.Holder]:
        node = self._node
        now = node.clock()
        live = {node.own.holder, *self._list_requesting()}
        if now - self._foreign_write_at < HOLDER_TIMEOUT_SECONDS:
            # Another writer is active and may receive requests from holders cut off from here.
            live |= {part.rest_holder for part in row.slices if part.rest_holder is not None}
        live = {holder for holder in live if not self._has_left(holder)}
        self._requested_at = {
            holder: at for holder, at in self._requested_at.items() if holder in live
        }
        return sorted(live, key=lambda holder: holder.instance)

    def _list_requesting(self) -> list[lease.Holder]:
        now = self._node.clock()
        return [
            holder
            for holder, requested_at in self._requested_at.items()
            if now - requested_at < HOLDER_TIMEOUT_SECONDS and not self._has_left(holder)
        ]

    def _has_left(self, holder: lease.Holder) -> bool:
        record = self._node.members.find(holder.instance)
        if record is None:
            return False
        is_newer = record.incarnation > holder.incarnation
        return is_newer or record.state is member.MemberState.GONE
