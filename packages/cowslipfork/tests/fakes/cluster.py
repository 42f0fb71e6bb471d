"""Nodes that supervise one fake group, with callers that write and read."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from expression import Result
from fake_group import FakeGroup, WriteRefused
from tracked import GROUP
from virtual_time import now

from cowslipfork.configuration import Failover
from cowslipfork.groups import (
    Claimant,
    ClaimerId,
    Condition,
    EndpointSilent,
    Evidence,
    GroupRecord,
    Health,
    Supervision,
    TermRefused,
    Tracker,
    examine,
    first_record,
    read_record,
    supervise,
)
from cowslipfork.ids import Mark
from cowslipfork.store.memory import MemoryStore

TIMEOUT = 0.25
#: Seconds that an acknowledgement is waited for.
PATIENCE = 1.5


class Died(Exception):
    """The node's process ended at this call."""


class Fatal:
    """Counts calls of a node and ends it before or after one of them."""

    def __init__(self):
        self.calls = 0
        self.dies_before = None
        self.dies_after = None

    async def step(self, work):
        self.calls += 1
        if self.calls == self.dies_before:
            work.close()
            raise Died
        dies = self.calls == self.dies_after
        try:
            return await work
        finally:
            if dies:
                raise Died


class FatalStore:
    def __init__(self, store, fatal):
        self._store, self._fatal = store, fatal

    async def get(self, key):
        return await self._fatal.step(self._store.get(key))

    async def swap(self, compares, puts):
        return await self._fatal.step(self._store.swap(compares, puts))


class FatalControl:
    def __init__(self, control, fatal):
        self._control, self._fatal = control, fatal

    async def status(self, timeout, *, fresh):
        return await self._control.status(timeout, fresh=fresh)

    async def fence(self, term, timeout):
        return await self._fatal.step(self._control.fence(term, timeout))

    async def promote(self, term, timeout):
        return await self._fatal.step(self._control.promote(term, timeout))

    async def follow(self, term, primary, timeout):
        return await self._control.follow(term, primary, timeout)


@dataclass
class Node:
    name: str
    rank: int
    cluster: Cluster
    fatal: Fatal = field(default_factory=Fatal)
    health: Health = field(default_factory=Health)
    task: asyncio.Task | None = None
    died: bool = False

    def start(self):
        group = self.cluster.group
        self.raw = group.controls(self.name)
        controls = {
            name: FatalControl(control, self.fatal)
            for name, control in self.raw.items()
        }
        self.tracker = Tracker(
            first_record(GROUP),
            controls,
            self.cluster.failover,
            now,
            self.cluster.violations.append,
        )
        claimant = Claimant(
            FatalStore(self.cluster.store, self.fatal),
            ClaimerId(f'{self.name}/1'),
            controls,
            TIMEOUT,
            lambda record: self.cluster.spread(self, record),
        )
        supervision = Supervision(
            GROUP,
            self.tracker,
            claimant,
            lambda endpoint, term: self.cluster.ask(self, endpoint, term),
            lambda: self.rank,
            self.begin_term,
            self.health,
        )
        self.task = asyncio.create_task(self._run(supervision))

    async def _run(self, supervision):
        try:
            await supervise(supervision)
        except* Died:
            self.died = True

    @property
    def alive(self):
        return self.task is not None and not self.task.done()

    def kill(self):
        self.task.cancel()

    async def begin_term(self, endpoint, term):
        try:
            await self.raw[endpoint].write(term, ('begin', term), TIMEOUT)
        except WriteRefused as error:
            raise TermRefused(endpoint, term) from error

    async def write(self, entry, patience=PATIENCE):
        """Writes through this node as a caller's statement would.

        Returns:
            The acknowledged mark, or None if it was not acknowledged.
        """
        record = self.tracker.record
        if not record.serving:
            return None
        try:
            await self.raw[record.primary].write(record.term, entry, TIMEOUT)
        except (EndpointSilent, WriteRefused):
            return None
        found = await self.tracker.acknowledged(record.term, now() + patience)
        match found:
            case Result(tag='ok', ok=mark):
                self.cluster.note(record, entry, mark)
                return mark
        return None


class Cluster:
    """Nodes n1.. in order of rank, a group, a store and what was promised."""

    def __init__(self, nodes=3, failover=None):
        self.failover = failover or Failover()
        self.group = FakeGroup()
        self.store = MemoryStore(self._store_delay)
        self.violations = []
        #: entries acknowledged, by entry: record and mark
        self.acknowledged: dict[object, tuple[GroupRecord, Mark]] = {}
        self.published: list[GroupRecord] = []
        self.nodes = [Node(f'n{i + 1}', i, self) for i in range(nodes)]
        #: names of nodes that are not reached by the others
        self.isolated: set[str] = set()

    async def _store_delay(self, operation):
        await asyncio.sleep(0.002)

    def start(self):
        self.replication = asyncio.create_task(self.group.replicate())
        for node in self.nodes:
            node.start()

    async def stop(self):
        tasks = [node.task for node in self.nodes if node.task is not None] + [
            self.replication
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spread(self, source, record):
        self.published.append(record)
        for node in self.nodes:
            if node is source or not self.apart(source, node):
                node.tracker.adopt(record)

    def apart(self, one, other):
        return bool({one.name, other.name} & self.isolated)

    async def gossip(self):
        """Has every node hear the newest record of the store."""
        record = (await read_record(self.store, GROUP)).record
        for node in self.nodes:
            node.tracker.adopt(record)

    async def ask(self, asker, endpoint, term):
        await asyncio.sleep(0.002)
        return [
            await self._evidence(node, endpoint, term)
            if node.alive and not self.apart(asker, node)
            else Evidence.UNHEARD
            for node in self.nodes
            if node is not asker
        ]

    async def _evidence(self, node, endpoint, term):
        return await examine(node.raw[endpoint], term, TIMEOUT)

    def note(self, record, entry, mark):
        self.acknowledged[entry] = (record, mark)

    # What must always hold.

    def lost(self):
        """Acknowledged entries that the newest primary lacks."""
        primary = self.primary()
        held = {entry for _, entry in primary.log}
        return [entry for entry in self.acknowledged if entry not in held]

    def primary(self):
        leaders = [
            server
            for server in self.group.servers.values()
            if server.role.value == 'primary'
        ]
        return max(leaders, key=lambda server: server.term)

    async def until_serving(self, term, seconds=10):
        """Waits until an endpoint serves writes in a term or later.

        Returns:
            The seconds it took.
        """
        begun = now()
        while now() < begun + seconds:
            for node in self.nodes:
                if node.alive:
                    mark = await node.write((term, node.name, now()), 0.5)
                    if mark and mark.term >= term:
                        return now() - begun
            await asyncio.sleep(0.01)
        raise AssertionError(f'no acknowledged write within {seconds} s')


def serving(node):
    return node.health.condition is Condition.SERVING


async def until(holds, seconds=20):
    """Waits until a condition holds."""
    for _ in range(1000 * seconds):
        if holds():
            return
        await asyncio.sleep(0.001)
    raise AssertionError(f'does not hold within {seconds} s')
