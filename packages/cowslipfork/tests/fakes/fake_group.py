"""A database group in memory: terms, logs, replication, cuts, freezes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from itertools import takewhile
from operator import eq

from cowslipfork.groups import (
    EndpointRole,
    EndpointSilent,
    EndpointStatus,
    EndpointUnreachable,
    TermRefused,
)
from cowslipfork.ids import EndpointId, Mark, Position, Term

DELAY = 0.001
REPLICATION_DELAY = 0.004


class WriteRefused(Exception):
    """The endpoint refused a write unrun."""


@dataclass
class FakeServer:
    name: EndpointId
    role: EndpointRole = EndpointRole.REPLICA
    term: Term = Term(1)
    leader: EndpointId | None = None
    log: list[tuple[Term, object]] = field(default_factory=list)
    leaving: bool = False
    dead: bool = False
    lag: float = 0
    asked: int = 0

    def __post_init__(self):
        self.not_frozen = asyncio.Event()
        self.not_frozen.set()

    @property
    def mark(self):
        term = self.log[-1][0] if self.log else Term(0)
        return Mark(term, Position(len(self.log)))

    def status(self):
        return EndpointStatus(
            self.name, self.role, self.term, self.mark, self.leaving
        )

    def fence(self, term):
        if term < self.term:
            raise TermRefused(self.name, term)
        self.term, self.role, self.leader = term, EndpointRole.FENCED, None
        return self.status()

    def promote(self, term):
        if term != self.term:
            raise TermRefused(self.name, term)
        if self.role is not EndpointRole.PRIMARY:
            if self.role is EndpointRole.REPLICA or self.leader:
                raise TermRefused(self.name, term)
            self.role = EndpointRole.PRIMARY
        return self.status()

    def follow(self, term, leader):
        if term < self.term or (
            term == self.term and self.role is EndpointRole.PRIMARY
        ):
            raise TermRefused(self.name, term)
        if (term, leader) != (self.term, self.leader):
            self.term, self.leader = term, leader
            self.role = EndpointRole.FENCED
        return self.status()

    def agree(self, leader):
        """Drops what the primary lacks and becomes a replica."""
        pairs = zip(self.log, leader.log, strict=False)
        shared = sum(1 for _ in takewhile(lambda pair: eq(*pair), pairs))
        del self.log[shared:]
        self.role = EndpointRole.REPLICA

    def restart(self):
        """Comes back as the platform's endpoints do: fenced in its term."""
        self.dead = False
        self.role, self.leader = EndpointRole.FENCED, None

    def write(self, term, entry):
        if term != self.term or self.role is not EndpointRole.PRIMARY:
            raise WriteRefused(self.name)
        self.log.append((term, entry))
        return self.mark


class FakeGroup:
    """Endpoints e1.. of which e1 is primary of term 1."""

    def __init__(self, size=3):
        names = [EndpointId(f'e{index + 1}') for index in range(size)]
        self.servers = {
            name: FakeServer(name, leader=names[0]) for name in names
        }
        self.servers[names[0]].role = EndpointRole.PRIMARY
        #: pairs of names, node or endpoint, that do not hear each other
        self.cuts: set[frozenset[str]] = set()
        #: (node, endpoint) whose kept connection is silent for good
        self.stalled_connections: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task] = set()

    def cut(self, one, other):
        self.cuts.add(frozenset((one, other)))

    def heal(self):
        self.cuts.clear()

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    def controls(self, node):
        return {name: FakeControl(self, node, name) for name in self.servers}

    async def replicate(self):
        """Copies entries to followers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for server in self.servers.values():
                group.create_task(self._apply(server))

    async def _apply(self, server):
        while True:
            await asyncio.sleep(REPLICATION_DELAY + server.lag)
            leader = self.servers.get(server.leader)
            if leader is not None and self._linked(server, leader):
                if server.role is EndpointRole.FENCED:
                    server.agree(leader)
                server.log.extend(leader.log[len(server.log) :])

    def _linked(self, server, leader):
        return (
            server.role is not EndpointRole.PRIMARY
            and leader.role is EndpointRole.PRIMARY
            and server.term == leader.term
            and not self.is_cut(server.name, leader.name)
            and not any(
                end.dead or not end.not_frozen.is_set()
                for end in (server, leader)
            )
        )

    def _ended(self, task):
        self._tasks.discard(task)
        # Nobody may be waiting for its failure any more.
        _ = task.cancelled() or task.exception()

    def call(self, work):
        """Runs a server's part; it goes on when the client gives up."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return asyncio.shield(task)


@dataclass
class FakeControl:
    group: FakeGroup
    node: str
    endpoint: EndpointId

    @property
    def server(self):
        return self.group.servers[self.endpoint]

    async def status(self, timeout, *, fresh):
        self.server.asked += 1
        if (
            not fresh
            and (self.node, self.endpoint) in self.group.stalled_connections
        ):
            await asyncio.sleep(timeout)
            self.group.stalled_connections.discard((self.node, self.endpoint))
            raise EndpointSilent(self.endpoint, 'timeout')
        return await self.ask(timeout, self.server.status)

    async def fence(self, term, timeout):
        return await self.ask(timeout, lambda: self.server.fence(term))

    async def promote(self, term, timeout):
        return await self.ask(timeout, lambda: self.server.promote(term))

    async def follow(self, term, primary, timeout):
        return await self.ask(
            timeout, lambda: self.server.follow(term, primary)
        )

    async def write(self, term, entry, timeout):
        return await self.ask(timeout, lambda: self.server.write(term, entry))

    async def ask(self, timeout, act):
        try:
            async with asyncio.timeout(timeout):
                return await self.group.call(self._serve(act))
        except TimeoutError as error:
            raise EndpointSilent(self.endpoint, 'timeout') from error

    async def _serve(self, act):
        await asyncio.sleep(DELAY)
        await self._not_cut()
        if self.server.dead:
            raise EndpointUnreachable(self.endpoint, 'refused')
        await self.server.not_frozen.wait()
        if self.server.dead:
            raise EndpointSilent(self.endpoint, 'reset')
        answer = act()
        await asyncio.sleep(DELAY)
        await self._not_cut()
        return answer

    async def _not_cut(self):
        if self.group.is_cut(self.node, self.endpoint):
            # The packet is lost for good, also when the cut heals.
            await asyncio.sleep(3600)
            raise EndpointSilent(self.endpoint, 'lost')
