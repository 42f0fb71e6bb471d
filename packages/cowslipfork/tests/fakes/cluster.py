"""Nodes that supervise one fake group, with callers that write and read."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from expression import Result
from fake_group import FakeGroup, WriteRefused
from tracker_fixture import GROUP
from virtual_time import now

from cowslipfork.configuration import Failover
from cowslipfork.groups import (
    ClaimContext,
    ClaimerId,
    Condition,
    EndpointRole,
    EndpointSilent,
    GroupRecord,
    Health,
    ProbeResult,
    RecordInvalid,
    SupervisionContext,
    TermRefused,
    Tracker,
    first_record,
    probe_primary,
    read_record,
    supervise,
)
from cowslipfork.groups.claim_backoff import ClaimBackoff
from cowslipfork.ids import Mark
from cowslipfork.store import StoreDown, backoff_delays
from cowslipfork.store.memory import MemoryStore

TIMEOUT = 0.25
#: Seconds that an acknowledgement is waited for.
PATIENCE = 1.5


#: Seconds between tries of a caller that waits for a new primary.
TRY_EACH = 0.01


class Died(Exception):
    """The node's process ended at this call."""


class CrashInjector:
    """Counts calls of a node, ends or pauses it around one of them."""

    def __init__(self):
        self.calls = 0
        self.dies_before = None
        self.dies_after = None
        self.awake = asyncio.Event()
        self.awake.set()

    async def step(self, work):
        self.calls += 1
        if self.calls == self.dies_before:
            work.close()
            raise Died
        dies = self.calls == self.dies_after
        try:
            return await self.gated(work)
        finally:
            if dies:
                raise Died

    async def gated(self, work):
        """Sends and hears nothing while the node is paused."""
        try:
            await self.awake.wait()
            return await work
        finally:
            work.close()
            await self.awake.wait()


class CrashingStore:
    def __init__(self, store, crash_injector):
        self._store, self._crash_injector = store, crash_injector

    async def get(self, key):
        return await self._crash_injector.step(self._store.get(key))

    async def swap(self, compares, puts):
        return await self._crash_injector.step(self._store.swap(compares, puts))


class CrashingControl:
    def __init__(self, control, crash_injector):
        self._control, self._crash_injector = control, crash_injector

    async def status(self, timeout, *, fresh):
        return await self._crash_injector.gated(
            self._control.status(timeout, fresh=fresh)
        )

    async def fence(self, term, timeout):
        return await self._crash_injector.step(
            self._control.fence(term, timeout)
        )

    async def promote(self, term, timeout):
        return await self._crash_injector.step(
            self._control.promote(term, timeout)
        )

    async def follow(self, term, primary, timeout):
        return await self._crash_injector.gated(
            self._control.follow(term, primary, timeout)
        )


@dataclass(frozen=True)
class Acknowledged:
    record: GroupRecord
    mark: Mark
    at: float


@dataclass
class Node:
    name: str
    rank: int
    cluster: Cluster
    crash_injector: CrashInjector = field(default_factory=CrashInjector)
    health: Health = field(default_factory=Health)
    task: asyncio.Task | None = None
    died: bool = False
    starts: int = 0

    def start(self, without=None):
        self.starts += 1
        self.crash_injector = CrashInjector()
        self.health = Health()
        group = self.cluster.group
        self.raw = group.controls(self.name)
        controls = {
            name: CrashingControl(control, self.crash_injector)
            for name, control in self.raw.items()
            if name != without
        }
        self.tracker = Tracker(
            first_record(GROUP),
            controls,
            self.cluster.failover,
            now,
            self.cluster.violations.append,
        )
        claim_context = ClaimContext(
            CrashingStore(self.cluster.store, self.crash_injector),
            ClaimerId(f'{self.name}/{self.starts}'),
            controls,
            TIMEOUT,
            lambda record: self.cluster.spread(self, record),
        )
        context = SupervisionContext(
            GROUP,
            self.tracker,
            claim_context,
            lambda endpoint, term: self.cluster.ask(self, endpoint, term),
            lambda: self.rank,
            self.begin_term,
            self.health,
            ClaimBackoff(lambda: backoff_delays(0.25, 2, middle)),
        )
        self.task = asyncio.create_task(self._run(context))

    async def _run(self, context):
        try:
            await supervise(context)
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
        was_replaced = self.cluster.replaced(record.term)
        try:
            await self.raw[record.primary].write(record.term, entry, TIMEOUT)
        except (EndpointSilent, WriteRefused):
            return None
        found = await self.tracker.wait_until_acknowledged(
            record.term, now() + patience
        )
        match found:
            case Result(tag='ok', ok=mark):
                self.cluster.note(record, entry, mark)
                if was_replaced:
                    self.cluster.broken.append(('replaced', record, entry))
                return mark
        return None


class Cluster:
    """Nodes n1.. in order of rank, a group, a store and what was promised."""

    def __init__(self, nodes=3, failover=None):
        self.failover = failover or Failover()
        self.group = FakeGroup()
        self.store = MemoryStore(self._store_delay)
        self.violations = []
        #: broken promises that are seen at the moment they are broken
        self.broken: list[object] = []
        self.acknowledged: dict[object, Acknowledged] = {}
        self.published: list[GroupRecord] = []
        self.nodes = [Node(f'n{i + 1}', i, self) for i in range(nodes)]
        #: names of nodes that are not reached by the others
        self.isolated: set[str] = set()

    async def _store_delay(self, operation):
        await asyncio.sleep(0.002)

    def start(self):
        self.background = [
            asyncio.create_task(work)
            for work in (self.group.replicate(), self.gossip())
        ]
        for node in self.nodes:
            node.start()

    async def stop(self):
        tasks = [
            node.task for node in self.nodes if node.task is not None
        ] + self.background
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spread(self, source, record):
        self.published.append(record)
        near = [node for node in self._near(source) if node is not source]
        self._hear(record, near)

    def apart(self, one, other):
        return bool({one.name, other.name} & self.isolated)

    async def gossip(self):
        """Spreads the newest record that any node holds or holds stored."""
        while True:
            await asyncio.sleep(0.5)
            with suppress(StoreDown, RecordInvalid):
                stored = (await read_record(self.store, GROUP)).record
                near = [n for n in self.nodes if n.name not in self.isolated]
                self._hear(stored, near)
            for node in self.nodes:
                if node.alive:
                    self._hear(node.tracker.record, self._near(node))

    def _near(self, source):
        return [node for node in self.nodes if not self.apart(source, node)]

    @staticmethod
    def _hear(record, nodes):
        for node in nodes:
            if node.alive:
                node.tracker.adopt(record)

    async def ask(self, asker, endpoint, term):
        await asyncio.sleep(0.002)
        return await asyncio.gather(
            *(
                self._evidence(asker, node, endpoint, term)
                for node in self.nodes
                if node is not asker
            )
        )

    async def _evidence(self, asker, node, endpoint, term):
        if not node.alive or self.apart(asker, node):
            return ProbeResult.UNKNOWN
        return await probe_primary(node.raw[endpoint], term, TIMEOUT)

    def replaced(self, term):
        later = [s for s in self.group.servers.values() if s.term > term]
        return len(later) * 2 > len(self.group.servers)

    def note(self, record, entry, mark):
        self.acknowledged[entry] = Acknowledged(record, mark, now())

    # What must always hold.

    def lost(self):
        """Acknowledged entries that a primary of their term or later lacks."""
        return [
            (entry, server.name)
            for server in self.group.servers.values()
            if server.role is EndpointRole.PRIMARY
            for entry in self.missing(server, server.term)
        ]

    def missing(self, server, term=None, before=None):
        """Acknowledged entries that a server lacks, up to a term or time."""
        held = {entry for _, entry in server.log}
        return [
            entry
            for entry, known in self.acknowledged.items()
            if entry not in held
            and (term is None or known.record.term <= term)
            and (before is None or known.at < before)
        ]

    def rivals(self):
        """Terms in which two endpoints acknowledged writes."""
        leaders = {
            (known.record.term, known.record.primary)
            for known in self.acknowledged.values()
        }
        return len(leaders) - len({term for term, _ in leaders})

    def understated(self):
        """Endpoints whose proved age hides an acknowledged entry."""
        return [
            (node.name, name)
            for node in self.nodes
            if node.alive
            for name, server in self.group.servers.items()
            if (age := node.tracker.age(name)) is not None
            and self.missing(server, before=now() - age)
        ]

    def promises_broken(self):
        """All that is wrong now or was."""
        found = [
            *self.broken,
            *self.violations,
            *(('lost', *lost) for lost in self.lost()),
            *(('age', *one) for one in self.understated()),
        ]
        return found + ['rivals'] * self.rivals()

    def primary(self):
        """The primary of the latest term, else the latest endpoint."""
        return max(
            self.group.servers.values(),
            key=lambda server: (
                server.role is EndpointRole.PRIMARY,
                server.term,
            ),
        )

    async def until_serving(self, term, seconds=10):
        """Waits until an endpoint serves writes in a term or later.

        Returns:
            The seconds it took.
        """
        begun = now()
        served = asyncio.get_running_loop().create_future()

        async def attempt(node, number):
            mark = await node.write((term, node.name, number), 0.5)
            if mark and mark.term >= term and not served.done():
                served.set_result(now() - begun)

        tries = set()
        for number in range(int(seconds / TRY_EACH)):
            alive = [node for node in self.nodes if node.alive]
            node = alive[number % len(alive)]
            tries.add(asyncio.create_task(attempt(node, (begun, number))))
            await asyncio.wait([served], timeout=TRY_EACH)
            if served.done():
                await asyncio.gather(*tries)
                return served.result()
        await asyncio.gather(*tries)
        raise AssertionError(f'no acknowledged write within {seconds} s')


def middle(least, most):
    return (least + most) / 2


def serving(node):
    return node.health.condition is Condition.SERVING


async def wait_until_true(holds, seconds=20):
    """Waits until a condition holds."""
    for _ in range(1000 * seconds):
        if holds():
            return
        await asyncio.sleep(0.001)
    raise AssertionError(f'does not hold within {seconds} s')
