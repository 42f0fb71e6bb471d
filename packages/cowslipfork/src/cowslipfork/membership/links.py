"""Open links of a node, one task for each neighbour."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Collection
from contextlib import suppress

from cowslipfork.ids import VmId
from cowslipfork.membership.link import Link
from cowslipfork.membership.member import GoneProof, Member, MemberState
from cowslipfork.membership.members import Members
from cowslipfork.membership.port import (
    PeerRefused,
    Peers,
    PeerStream,
    PeerUnavailable,
)
from cowslipfork.record_sync.local_records import LocalRecords
from cowslipfork.store.backoff import backoff_delays
from cowslipfork.store.unreadable import RecordUnreadable
from cowslipfork.wire import node_pb2

#: Seconds without a heartbeat after which a link is opened anew.
LINK_SILENCE = 1.0

#: Seconds that a node waits for a neighbour to open the link between them.
DIAL_GRACE = 0.5

#: Bounds of the delay between attempts to open a link, in seconds.
FIRST_REDIAL = 0.1
LONGEST_REDIAL = 3.0

#: Seconds after which a link that the topology does not want is closed.
EXTRA_LINK = 10.0

#: Bounds of the pause between attempts to reach VMs that went silent.
REVISIT_PAUSE = (2.0, 4.0)

_logger = logging.getLogger(__name__)

OnHeartbeat = Callable[[node_pb2.Heartbeat, float], None]


class Links:
    """Links to the neighbours, kept open for as long as they are wanted."""

    def __init__(
        self,
        members: Members,
        local_records: LocalRecords,
        peers: Peers,
        on_heartbeat: OnHeartbeat,
    ) -> None:
        """Starts without links.

        Args:
            members: VMs that the node knows.
            local_records: records that the node holds.
            peers: other nodes.
            on_heartbeat: called with each heartbeat after it was applied.
        """
        self._members = members
        self._local_records = local_records
        self._peers = peers
        self._on_heartbeat = on_heartbeat
        self._open: dict[VmId, Link] = {}
        self._extra: dict[VmId, float] = {}
        self._tasks: dict[VmId, asyncio.Task[None]] = {}

    @property
    def peers(self) -> Collection[VmId]:
        """VMs with an open link."""
        return self._open.keys()

    def want(self, neighbours: Collection[VmId], now: float) -> None:
        """Sets the neighbours to keep links to.

        Args:
            neighbours: VMs.
            now: seconds.
        """
        self._members.heartbeats.expect({*neighbours, *self._open}, now)
        for vm in sorted(self._tasks.keys() - neighbours):
            self._tasks.pop(vm).cancel()
        for added in sorted(neighbours - self._tasks.keys()):
            self._tasks[added] = asyncio.create_task(self._keep(added))

    async def close_extra(self, now: float) -> None:
        """Closes links that were not wanted for long.

        Args:
            now: seconds.
        """
        self._extra = {
            vm: self._extra.get(vm, now)
            for vm in self._open
            if vm not in self._tasks
        }
        for vm, since in tuple(self._extra.items()):
            if now - since > EXTRA_LINK:
                await self._open[vm].stream.close()

    def wake(self) -> None:
        """Sends the next heartbeat of each link soon."""
        for link in self._open.values():
            link.wake()

    async def seed(self, address: str) -> None:
        """Holds a link to a known address while there is no other.

        Args:
            address: ``host:port``.
        """
        for delay in backoff_delays(FIRST_REDIAL, LONGEST_REDIAL):
            if self._members.others:
                return
            await self._dial(address)
            await asyncio.sleep(delay)

    async def revisit(self) -> None:
        """Looks for VMs that went silent, for ever.

        Two halves of a region that lost each other forget each other's
        links; one attempt at a time finds out that they are back.
        """
        while True:
            await asyncio.sleep(random.uniform(*REVISIT_PAUSE))
            silent = [
                member.report.address
                for member in self._members.others.values()
                if member.report.state is MemberState.GONE
                and member.report.proof
                in {GoneProof.SILENT, GoneProof.UNLISTED}
            ]
            if silent:
                await self._dial(random.choice(silent))

    async def hold(self, stream: PeerStream) -> None:
        """Exchanges heartbeats on a stream until it ends.

        Args:
            stream: open stream to a neighbour.
        """
        link = Link(self._members, self._local_records, stream)
        sender = asyncio.create_task(_send(link))
        try:
            await self._receive(link)
        except (PeerUnavailable, RecordUnreadable) as ended:
            _logger.info(
                'link ended',
                extra={'peer': link.peer, 'cause': str(ended)},
            )
        finally:
            sender.cancel()
            await self._drop(link)
        if link.peer and link.peer not in self._open:
            await self._examine(link.peer)

    async def reopen(self) -> None:
        """Closes all links; their tasks open them anew."""
        for link in tuple(self._open.values()):
            await link.stream.close()

    async def stop(self) -> None:
        """Ends all tasks and links."""
        running = tuple(self._tasks.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self.reopen()

    async def _keep(self, vm: VmId) -> None:
        # Of two neighbours the one with the lower name opens the link.
        if self._members.own.vm > vm:
            await asyncio.sleep(DIAL_GRACE * random.uniform(1, 2))
        delays = backoff_delays(FIRST_REDIAL, LONGEST_REDIAL)
        while True:
            member = self._members.others.get(vm)
            if vm in self._open:
                # The neighbour opened it; when it ends, so does the wait of
                # the end that dials.
                delays = backoff_delays(FIRST_REDIAL, LONGEST_REDIAL)
                await asyncio.sleep(DIAL_GRACE * random.uniform(1, 2))
                continue
            if member:
                await self._dial_member(member)
            await asyncio.sleep(FIRST_REDIAL + next(delays))

    async def _dial_member(self, member: Member) -> None:
        try:
            stream = await self._peers.exchange(member.report.address)
        except PeerRefused:
            # A VM that others hear is not gone because one cannot reach it.
            unheard = not member.report.incarnation
            if unheard or member.report.state is not MemberState.LIVE:
                self._lose(member.report.vm, member.report.incarnation)
        except PeerUnavailable:
            return
        else:
            await self.hold(stream)

    async def _dial(self, address: str) -> None:
        with suppress(PeerUnavailable):
            await self.hold(await self._peers.exchange(address))

    async def _receive(self, link: Link) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            heartbeat = await _receive_one(link)
            now = clock()
            link.take_in(heartbeat, now)
            await self._register(VmId(heartbeat.sender), link)
            self._on_heartbeat(heartbeat, now)

    async def _register(self, vm: VmId, link: Link) -> None:
        older = self._open.get(vm)
        if older is link:
            return
        self._open[vm] = link
        if older:
            await older.stream.close()

    async def _drop(self, link: Link) -> None:
        if link.peer and self._open.get(link.peer) is link:
            self._open.pop(link.peer)
        await link.stream.close()

    async def _examine(self, vm: VmId) -> None:
        # A broken stream may be the network's doing. Only a host whose
        # process has ended refuses a fresh connection.
        member = self._members.others.get(vm)
        if member is None:
            return
        try:
            await self._peers.try_connect(member.report.address)
        except PeerRefused:
            self._lose(vm, member.report.incarnation)
        except PeerUnavailable:
            return

    def _lose(self, vm: VmId, incarnation: int) -> None:
        known = self._members.others.get(vm)
        if known and known.report.incarnation == incarnation:
            self._members.mark_ended(vm, asyncio.get_running_loop().time())


async def _send(link: Link) -> None:
    # The receiver of the same stream learns of its end.
    try:
        await link.send_all()
    except PeerUnavailable:
        await link.stream.close()


async def _receive_one(link: Link) -> node_pb2.Heartbeat:
    try:
        async with asyncio.timeout(LINK_SILENCE):
            return await link.stream.receive()
    except TimeoutError as error:
        raise PeerUnavailable(str(link.peer), 'no heartbeat') from error
