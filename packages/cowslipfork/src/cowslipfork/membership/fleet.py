"""Control loops of a node: membership, links, fetches, relay."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Coroutine
from dataclasses import replace

from cowslipfork.ids import Revision, VmId
from cowslipfork.membership.link import HEARTBEAT, JITTER, SPACING
from cowslipfork.membership.links import Links
from cowslipfork.membership.listing import RegionOf, listed_vms
from cowslipfork.membership.member import Member, MemberState, Report
from cowslipfork.membership.members import Members
from cowslipfork.membership.port import Peers, PeerStream, PeerUnavailable
from cowslipfork.membership.topology import neighbours_of, relays_of
from cowslipfork.record_sync.fetch import Fetcher
from cowslipfork.record_sync.local_records import LocalRecords
from cowslipfork.record_sync.record import VMS_PREFIX, HeldRecord
from cowslipfork.wire import node_pb2

#: Seconds for which the store's last answer proves that a node is current.
MAX_STORE_AGE = 5.0

#: Seconds in which a node that ends tells its neighbours that it leaves.
FAREWELL = 3 * SPACING

_logger = logging.getLogger(__name__)


class FleetMembership:
    """The node's part in the fleet."""

    def __init__(
        self,
        members: Members,
        local_records: LocalRecords,
        peers: Peers,
        region_of: RegionOf,
        relay: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        """Wires the loops; nothing runs yet.

        Args:
            members: VMs that the node knows.
            local_records: records that the node holds.
            peers: other nodes.
            region_of: tells the region of a failure domain.
            relay: watches the store until it is cancelled.
        """
        self._members = members
        self._local_records = local_records
        self._peers = peers
        self._region_of = region_of
        self._relay = relay
        self._relaying: asyncio.Task[None] | None = None
        self._links = Links(members, local_records, peers, self._on_heartbeat)
        self._fetcher = Fetcher(local_records, self._ask)
        self._store_seen_at: float | None = None
        self._told = 0
        self._planned = -1
        self._list_changed = False
        self._had_majority = False
        self._majority_watchers: list[Callable[[], None]] = []
        members.watch(self._on_member)
        local_records.watch(self._on_record)

    @property
    def linked_peers(self) -> Collection[VmId]:
        """Neighbours with an open link."""
        return self._links.peers

    def store_age(self, now: float) -> float | None:
        """Tells how long ago the store last answered a relay.

        Args:
            now: seconds.

        Returns:
            Seconds, as far as neighbours told; None if it never did.
        """
        seen_at = self._store_seen_at
        return None if seen_at is None else max(0, now - seen_at)

    def is_current(self, now: float) -> bool:
        """Tells whether what is in force here can be relied on.

        Args:
            now: seconds.

        Returns:
            Whether the store answered lately, here or at a relay in touch,
            or the node is in touch with a majority of its region.
        """
        age = self.store_age(now)
        fresh = age is not None and age <= MAX_STORE_AGE
        return fresh or self._members.has_majority(now)

    def watch_majority(self, watcher: Callable[[], None]) -> None:
        """Calls back when the node gains or loses its majority.

        Args:
            watcher: called after the change.
        """
        self._majority_watchers.append(watcher)

    def publish_report(self, own: Report) -> None:
        """Changes what the node tells about itself, at once.

        Args:
            own: the changed report.
        """
        self._members.update_own(own)
        self._links.wake()

    def announce_revision(self, revision: Revision) -> None:
        """Tells that a configuration is in force at this node.

        Args:
            revision: its number.
        """
        self.publish_report(replace(self._members.own, revision=revision))

    def announce_leaving(self) -> None:
        """Tells all nodes that this one takes no new work any more."""
        self.publish_report(
            replace(self._members.own, state=MemberState.LEAVING)
        )

    def record_store_answer(self) -> None:
        """Notes that the store has answered."""
        self._store_seen_at = asyncio.get_running_loop().time()

    async def run(self, seeds: Collection[str] = ()) -> None:
        """Runs all loops until it is cancelled.

        Args:
            seeds: addresses of a few nodes to start with.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._fetcher.run())
            tasks.create_task(self._links.revisit())
            for address in seeds:
                tasks.create_task(self._links.seed(address))
            try:
                await self._tick_for_ever()
            finally:
                self._set_relaying(chosen=False)
                await self._end()

    async def serve(self, stream: PeerStream) -> None:
        """Holds a link that a neighbour has opened, until it ends.

        Args:
            stream: open stream to the neighbour.
        """
        await self._links.hold(stream)

    async def _end(self) -> None:
        # A node with nothing in flight ends at once; its neighbours must
        # have heard that it leaves before its streams break.
        if self._members.own.state is MemberState.LEAVING:
            self._links.wake()
            await asyncio.sleep(FAREWELL)
        await self._links.stop()

    async def _tick_for_ever(self) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            await self._tick(clock())
            await asyncio.sleep(
                HEARTBEAT * random.uniform(1 - JITTER, 1 + JITTER),
            )

    async def _tick(self, now: float) -> None:
        if self._list_changed:
            self._list_changed = False
            listed = listed_vms(self._local_records, self._region_of)
            self._members.apply_vm_list(listed, now)
        if self._members.tick(now):
            _logger.warning('woke late')
            await self._links.reopen()
        has_majority = self._members.has_majority(now)
        if has_majority is not self._had_majority:
            self._note_majority(has_majority=has_majority)
        self._members.refresh(self.store_age(now))
        await self._links.close_extra(now)
        if self._planned != self._members.changes.last:
            self._planned = self._members.changes.last
            self._plan(now)

    def _note_majority(self, *, has_majority: bool) -> None:
        self._had_majority = has_majority
        _logger.info('in touch', extra={'in_touch': has_majority})
        for watcher in self._majority_watchers:
            watcher()

    def _plan(self, now: float) -> None:
        present = [
            member
            for member in self._members.others.values()
            if member.state is not MemberState.GONE
        ]
        locations = [member.report.location for member in present]
        self._links.want(
            neighbours_of(self._members.own.location, locations), now
        )
        live = [
            member.report.location
            for member in present
            if member.state is MemberState.LIVE
        ]
        own = self._members.own
        if own.state is MemberState.LIVE:
            live.append(own.location)
        self._set_relaying(chosen=own.vm in relays_of(live))

    def _set_relaying(self, *, chosen: bool) -> None:
        if chosen and self._relaying is None:
            self._relaying = asyncio.create_task(self._relay())
        elif not chosen and self._relaying is not None:
            self._relaying.cancel()
            self._relaying = None
        own = self._members.own
        if chosen is not own.relay:
            self.publish_report(replace(own, relay=chosen))

    def _on_heartbeat(self, heartbeat: node_pb2.Heartbeat, now: float) -> None:
        own = heartbeat.reports[0]
        if own.HasField('store_age_ms'):
            seen_at = now - own.store_age_ms / 1000
            self._store_seen_at = max(seen_at, self._store_seen_at or seen_at)
        self._fetcher.compare(
            VmId(heartbeat.sender),
            Revision(heartbeat.revision),
            heartbeat.digest,
            now,
        )

    async def _ask(
        self,
        vm: VmId,
        request: node_pb2.FetchRequest,
    ) -> node_pb2.FetchReply:
        member = self._members.others.get(vm)
        if member is None:
            raise PeerUnavailable(vm, 'not known')
        return await self._peers.fetch(member.report.address, request)

    def _on_member(self, before: Member | None, after: Member) -> None:
        if before is None or before.state is not after.state:
            _logger.info(
                'member',
                extra={
                    'peer': after.report.vm,
                    'state': after.state.value,
                    'proof': after.report.proof.value,
                },
            )
        if self._told != self._members.changes.last:
            self._told = self._members.changes.last
            self._links.wake()

    def _on_record(self, record: HeldRecord) -> None:
        self._list_changed |= record.key.startswith(VMS_PREFIX)
        self._links.wake()
