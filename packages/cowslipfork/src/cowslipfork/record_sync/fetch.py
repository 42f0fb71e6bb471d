"""Bounded fetches of what a node lacks, from one peer at a time."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from cowslipfork.ids import Revision, VmId
from cowslipfork.membership.messages import record_from_wire, record_to_wire
from cowslipfork.membership.port import PeerUnavailable
from cowslipfork.record_sync.local_records import LocalRecords
from cowslipfork.store.unreadable import RecordUnreadable
from cowslipfork.wire import node_pb2

#: Seconds for which two nodes may differ before one fetches: news on its way
#: settles most differences.
DIFFER_AFTER = 2.0

#: Least seconds between two fetches without an announced configuration.
FETCH_PAUSE = 0.5

#: Most answers that one fetch asks for.
FETCH_PAGES = 100

_logger = logging.getLogger(__name__)

Ask = Callable[[VmId, node_pb2.FetchRequest], Awaitable[node_pb2.FetchReply]]


class Fetcher:
    """Peers that hold what the node lacks."""

    def __init__(self, local_records: LocalRecords, ask: Ask) -> None:
        """Starts without wishes.

        Args:
            local_records: records that the node holds.
            ask: sends a request to a VM; raises ``PeerUnavailable``.
        """
        self._local_records = local_records
        self._ask = ask
        self._ahead: dict[VmId, Revision] = {}
        self._differs: dict[VmId, float] = {}
        self._work = asyncio.Event()

    def compare(
        self,
        vm: VmId,
        revision: Revision,
        digest: int,
        now: float,
    ) -> None:
        """Compares what a peer told with what is held.

        Args:
            vm: the peer.
            revision: configuration that it holds.
            digest: its digest over all records.
            now: seconds.
        """
        if revision > self._local_records.revision:
            self._ahead[vm] = revision
            self._work.set()
        if digest == self._local_records.digest:
            self._differs.pop(vm, None)
        elif self._is_overdue(self._differs.setdefault(vm, now), now):
            self._work.set()

    async def run(self) -> None:
        """Fetches for ever, one peer after another."""
        clock = asyncio.get_running_loop().time
        while True:
            await self._work.wait()
            self._work.clear()
            while self._ahead:
                await self._fetch_configuration()
            late = [
                vm
                for vm, since in self._differs.items()
                if self._is_overdue(since, clock())
            ]
            if late:
                vm = random.choice(late)
                self._differs.pop(vm)
                await self._fetch(vm)
                await asyncio.sleep(FETCH_PAUSE * random.uniform(1, 2))

    def _is_overdue(self, since: float, now: float) -> bool:
        # A node that has just started holds nothing and need not wait.
        return now - since > DIFFER_AFTER or not self._local_records.digest

    async def _fetch_configuration(self) -> None:
        vm, revision = self._ahead.popitem()
        if revision > self._local_records.revision:
            await self._fetch(vm)

    async def _fetch(self, vm: VmId) -> None:
        try:
            await self._fetch_pages(vm)
        except (PeerUnavailable, RecordUnreadable) as error:
            _logger.warning(
                'fetch failed',
                extra={'peer': vm, 'cause': str(error)},
            )

    async def _fetch_pages(self, vm: VmId) -> None:
        for _ in range(FETCH_PAGES):
            request = node_pb2.FetchRequest(
                revision_held=self._local_records.revision,
                digests=self._local_records.digests,
            )
            reply = await self._ask(vm, request)
            applied = [
                self._local_records.apply(record_from_wire(message)).is_ok()
                for message in reply.records
            ]
            if not (reply.more and any(applied)):
                return


def answer_fetch(
    local_records: LocalRecords,
    request: node_pb2.FetchRequest,
) -> node_pb2.FetchReply:
    """Answers a peer's fetch.

    Args:
        local_records: records that the node holds.
        request: digests of what the peer holds.

    Returns:
        Records that differ, bounded.
    """
    records, more = local_records.differing(request.digests)
    return node_pb2.FetchReply(
        records=map(record_to_wire, records),
        more=more,
    )
