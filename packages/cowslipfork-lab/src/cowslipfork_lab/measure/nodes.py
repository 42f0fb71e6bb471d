"""Control loops of many nodes in one process."""

from __future__ import annotations

import asyncio
import resource
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

from cowslipfork.ids import (
    FailureDomain,
    Incarnation,
    RegionName,
    Revision,
    VmId,
)
from cowslipfork.membership import Members, Report, VmLocation
from cowslipfork.membership.fleet import FleetMembership
from cowslipfork.membership.memory import MemoryNetwork, MemoryPeers
from cowslipfork.record_sync import HeldRecord, LocalRecords
from cowslipfork.record_sync.fetch import answer_fetch
from cowslipfork.record_sync.record import CONFIGURATION_KEY
from cowslipfork.record_sync.relay import Relay
from cowslipfork.store.memory import MemoryStore
from cowslipfork.wire import records_pb2

#: Failure domains and regions that the nodes are spread over.
DOMAINS: Final = 15
REGIONS: Final = 7

#: Seconds for all nodes to meet, and until links that were opened only to
#: meet are closed again.
_SETTLE: Final = 16.0

#: Seconds over which steady state is measured.
_STEADY: Final = 8.0

_CHANGES: Final = 20
_CHANGE_PAUSE: Final = 0.2
_POLL: Final = 0.002
_LONGEST_SPREAD: Final = 20.0
_BYTES_PER_KIB: Final = 1024


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of control per node at one size.

    Attributes:
        core_share: share of a core, in percent.
        messages: heartbeats sent a second.
        sent_bytes: bytes sent a second.
        links: most links of a node.
        store_calls: calls a second of all nodes together.
        memory_kib: memory of the process for each node.
        spread_p50: seconds from accept to in force everywhere.
        spread_worst: likewise, the slowest change.
        change_ms: processor time of a node for a change, in milliseconds.
    """

    nodes: int
    core_share: float
    messages: float
    sent_bytes: float
    links: int
    store_calls: float
    memory_kib: float
    spread_p50: float
    spread_worst: float
    change_ms: float


class ManyNodes:
    """Nodes with real control loops over in-memory links and store."""

    def __init__(self) -> None:
        """Starts without nodes."""
        self._network = MemoryNetwork()
        self._store = MemoryStore()
        self._local_records: list[LocalRecords] = []
        self._fleets: list[FleetMembership] = []
        self._members: list[Members] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def measure(self, nodes: int) -> Cost:
        """Starts nodes and measures them.

        Args:
            nodes: how many.

        Returns:
            Their cost.
        """
        memory = _memory_kib()
        for added in range(nodes):
            self._start(added)
        await asyncio.sleep(_SETTLE)
        steady = await self._steady()
        grown = (_memory_kib() - memory) / nodes
        began = time.process_time()
        spreads = [
            await self._change(revision) for revision in range(1, _CHANGES + 1)
        ]
        spent = time.process_time() - began
        idle = steady.core * (sum(spreads) + _CHANGES * _CHANGE_PAUSE)
        links = max(len(fleet.linked_peers) for fleet in self._fleets)
        await self._stop()
        return Cost(
            nodes=nodes,
            core_share=100 * steady.core / nodes,
            messages=steady.messages / nodes,
            sent_bytes=steady.sent_bytes / nodes,
            links=links,
            store_calls=steady.store_calls,
            memory_kib=grown,
            spread_p50=statistics.median(spreads),
            spread_worst=max(spreads),
            change_ms=1000 * max(0, spent - idle) / nodes / _CHANGES,
        )

    def _start(self, number: int) -> None:
        name = f'vm{number:04}'
        domain = number % DOMAINS
        location = VmLocation(
            VmId(name),
            FailureDomain(f'domain-{domain}'),
            RegionName(f'region-{domain % REGIONS}'),
        )
        now = asyncio.get_running_loop().time()
        members = Members(Report(location, name, Incarnation(1)), now)
        local_records = LocalRecords(_fail)
        relay = Relay(
            self._store, local_records, lambda: fleet.record_store_answer()
        )
        fleet = FleetMembership(
            members,
            local_records,
            MemoryPeers(self._network, name),
            _region_of,
            relay.run,
        )
        local_records.watch(partial(_put_in_force, fleet))
        self._network.listen(
            name, fleet.serve, partial(answer_fetch, local_records)
        )
        seeds = [f'vm{number // 2:04}'] if number else []
        self._fleets.append(fleet)
        self._local_records.append(local_records)
        self._members.append(members)
        self._tasks.append(asyncio.create_task(fleet.run(seeds)))

    async def _steady(self) -> _Steady:
        before = self._counted()
        await asyncio.sleep(_STEADY)
        after = self._counted()
        return _Steady(
            (after.core - before.core) / _STEADY,
            (after.messages - before.messages) / _STEADY,
            (after.sent_bytes - before.sent_bytes) / _STEADY,
            (after.store_calls - before.store_calls) / _STEADY,
        )

    def _counted(self) -> _Steady:
        return _Steady(
            time.process_time(),
            self._network.messages.total(),
            self._network.sent_bytes.total(),
            self._store.calls.total(),
        )

    async def _change(self, revision: int) -> float:
        record = records_pb2.ConfigurationRecord(revision=revision, base='x')
        began = time.monotonic()
        self._store.put(CONFIGURATION_KEY, record.SerializeToString())
        await _until(
            lambda: all(
                local_records.revision >= revision
                for local_records in self._local_records
            ),
        )
        took = time.monotonic() - began
        await asyncio.sleep(_CHANGE_PAUSE)
        return took

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@dataclass(frozen=True, slots=True)
class _Steady:
    core: float
    messages: float
    sent_bytes: float
    store_calls: float


async def _until(condition: Callable[[], bool]) -> None:
    for _ in range(round(_LONGEST_SPREAD / _POLL)):
        if condition():
            return
        await asyncio.sleep(_POLL)
    raise TimeoutError


def _region_of(domain: FailureDomain) -> RegionName:
    number = int(domain.rpartition('-')[2])
    return RegionName(f'region-{number % REGIONS}')


def _put_in_force(fleet: FleetMembership, record: HeldRecord) -> None:
    if record.key == CONFIGURATION_KEY:
        fleet.announce_revision(Revision(record.version.major))


def _fail(record: HeldRecord) -> None:
    raise RuntimeError(record.key)


def _memory_kib() -> float:
    with open('/proc/self/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / _BYTES_PER_KIB
