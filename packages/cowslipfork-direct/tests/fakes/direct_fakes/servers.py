"""In-memory database servers with logs, terms, replication, promotion."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from cowslipfork.ids import (
    EndpointId,
    FailureDomain,
    GroupName,
    Mark,
    Position,
    Term,
)
from cowslipfork_direct.commands import (
    Begin,
    Execute,
    Forget,
    Prepare,
    Reset,
    Rollback,
    Run,
    SetValue,
)
from cowslipfork_direct.link import (
    EndpointReply,
    EndpointRole,
    EndpointStatus,
    LinkLost,
    ReplyCode,
)
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.statements import Verb

#: Network delay in seconds, each way.
ONE_WAY = 0.001

#: Seconds until a replica receives a commit.
REPLICATION = 0.002


@dataclass(frozen=True)
class Commit:
    """A log entry.

    Attributes:
        term: term of the primary that wrote it.
        writes: texts of the statements in it.
        at: loop time of the commit.
    """

    term: int
    writes: tuple[str, ...]
    at: float


@dataclass(eq=False)
class Server:
    """A server; tests set its fields to inject faults."""

    name: EndpointId
    group: GroupName
    domain: FailureDomain = FailureDomain('a')
    role: EndpointRole = EndpointRole.REPLICA
    term: int = 1
    log: list[Commit] = field(default_factory=list)
    applied: int = 0
    held_term: int = 0
    #: Whether it is unreachable: requests to it are never answered.
    blocked: bool = False
    #: Cleared while it accepts connections and answers nothing on them.
    awake: asyncio.Event = field(default_factory=lambda: set_event())
    #: Whether it drops the commits of its primary.
    replication_blocked: bool = False
    #: Seconds between receiving and applying a commit.
    lag: float = 0.01
    #: Seconds that a read, write or commit takes.
    service_time: float = 0.005
    #: Seconds that a status request takes.
    status_time: float = 0
    #: Number of data statements that it will refuse as busy.
    busy: int = 0
    #: Whether it refuses status requests and fences as busy.
    control_busy: bool = False
    #: Number of data statements that it will run without answering.
    lose_answers: int = 0
    #: Number of data statements that it will fail.
    fail: int = 0
    #: Whether it answers rollbacks, which it runs, with a refusal.
    refuse_rollbacks: bool = False
    #: Whether it refuses further connections.
    full: bool = False
    leaving: bool = False
    born: int = 1
    #: Port of its address; None for one that follows from its name.
    port: int | None = None
    #: Ids and texts of the data statements that ran.
    statements: list[tuple[str, str]] = field(default_factory=list)
    #: Session values of each data statement that ran.
    values_seen: list[dict[str, str]] = field(default_factory=list)
    #: Commands sent while an answer was outstanding on their connection.
    overlapping_sends: list[object] = field(default_factory=list)
    connections: int = 0

    @property
    def listed(self):
        return ListedEndpoint(
            self.name,
            self.group,
            '10.0.0.1',
            self.port or 1000 + int(self.name[1:]),
            self.domain,
            3,
            self.leaving,
            self.role,
            self.born,
        )

    @property
    def received(self):
        return _mark(self.term, self.log, len(self.log))

    @property
    def mark(self):
        return _mark(self.term, self.log, self.applied)

    def status(self):
        return EndpointStatus(
            self.role,
            Term(self.term),
            self.received,
            Term(self.held_term),
            0,
            0,
            self.connections,
        )


def set_event():
    event = asyncio.Event()
    event.set()
    return event


def _mark(term, log, count):
    return Mark(Term(log[count - 1].term if count else term), Position(count))


class Database:
    """The servers of one group."""

    def __init__(self, name='g', size=3, first=1):
        self.name = GroupName(name)
        self.servers = {
            EndpointId(f'e{number}'): Server(
                EndpointId(f'e{number}'),
                self.name,
                FailureDomain('abc'[(number - 1) % 3]),
            )
            for number in range(first, first + size)
        }
        primary = EndpointId(f'e{first}')
        self.servers[primary].role = EndpointRole.PRIMARY
        #: Seconds from a promotion order to its effect.
        self.promotion_delay = 0.6
        #: Pairs of servers that can't reach each other.
        self.partitions = set()
        #: Terms with their primaries and the loop time at which they began.
        self.terms = [(1, primary, 0.0)]

    @property
    def primary(self):
        return self.servers[self.terms[-1][1]]

    def reaches(self, one, other):
        pair = {one.name, other.name}
        blocked = any(pair == set(partition) for partition in self.partitions)
        return not (blocked or one.blocked or other.blocked)

    def commit(self, server, writes):
        loop = asyncio.get_running_loop()
        server.log.append(Commit(server.term, tuple(writes), loop.time()))
        server.applied = len(server.log)
        for replica in self.servers.values():
            if replica is not server:
                loop.call_later(
                    REPLICATION,
                    self._receive,
                    server,
                    replica,
                    len(server.log),
                )

    def _receive(self, primary, replica, count):
        loop = asyncio.get_running_loop()
        if (
            replica.replication_blocked
            or replica.role is EndpointRole.PRIMARY
            or replica.term != primary.term
            or replica.held_term > replica.term
            or not self.reaches(primary, replica)
        ):
            return
        count = max(count, len(replica.log))
        replica.log = primary.log[:count]
        loop.call_later(replica.lag, self._apply, replica, len(replica.log))

    def _apply(self, replica, count):
        if replica.role is EndpointRole.REPLICA:
            replica.applied = max(
                replica.applied,
                min(count, len(replica.log)),
            )

    def promote(self, name):
        """Starts a promotion, as the platform does.

        Returns whether the server exists and is reachable.
        """
        loop = asyncio.get_running_loop()
        server = self.servers.get(name)
        if server is None or server.blocked:
            return False
        if server.role is not EndpointRole.PRIMARY:
            loop.call_later(self.promotion_delay, self._become_primary, server)
        return True

    def _become_primary(self, server):
        if server.role is EndpointRole.PRIMARY:
            return
        loop = asyncio.get_running_loop()
        term = max(one.term for one in self.servers.values()) + 1
        server.role = EndpointRole.PRIMARY
        server.term = term
        server.held_term = 0
        server.applied = len(server.log)
        self.terms.append((term, server.name, loop.time()))
        for other in self.servers.values():
            if other is not server:
                self._replicate_from(server, other)

    def _replicate_from(self, primary, other):
        loop = asyncio.get_running_loop()
        if primary.role is not EndpointRole.PRIMARY:
            return
        if other.term >= primary.term:
            return
        if not self.reaches(primary, other):
            loop.call_later(0.5, self._replicate_from, primary, other)
            return
        if other.role is EndpointRole.PRIMARY:
            other.role = EndpointRole.REPLICA
        other.term = primary.term
        other.held_term = 0
        other.log = list(primary.log)
        other.applied = len(other.log)

    def lacks_commit(self, writes):
        """Returns whether the current primary lacks a commit."""
        return all(commit.writes != writes for commit in self.primary.log)


class FakeLink:
    """A connection to a server."""

    reusable = True

    def __init__(self, database, server, reachable):
        self._database = database
        self._server = server
        self._reachable = reachable
        self._closed = asyncio.Event()
        self._writes = None
        self._read_only = False
        self._failed = False
        self._outstanding = False
        self.values = {}
        self.prepared = {}
        server.connections += 1

    async def send(self, *commands):
        if self._outstanding:
            self._server.overlapping_sends.append(commands)
        self._outstanding = True
        replies = [await self._command(command) for command in commands]
        self._outstanding = False
        return replies

    async def status(self):
        await self._cross_network()
        await asyncio.sleep(self._server.status_time)
        answer = None if self._server.control_busy else self._server.status()
        await self._cross_network()
        return answer

    async def hold(self, term):
        await self._cross_network()
        if self._server.control_busy:
            return None
        if term > self._server.term:
            self._server.held_term = term
        return self._server.status()

    async def resume(self):
        await self._cross_network()
        self._server.held_term = 0
        return self._server.status()

    async def demote(self, term):
        await self._cross_network()
        if term > self._server.term:
            self._server.role = EndpointRole.REPLICA
        return self._server.status()

    def close(self):
        if not self._closed.is_set():
            self._server.connections -= 1
        self._closed.set()

    async def _cross_network(self):
        await asyncio.sleep(ONE_WAY)
        await self._server.awake.wait()
        if self._closed.is_set():
            raise LinkLost(self._server.name, 'closed')
        if not self._reachable():
            await self._closed.wait()
            raise LinkLost(self._server.name, 'closed')

    async def _command(self, command):
        await self._cross_network()
        answer = await self._answer(command)
        if answer is None:
            await self._closed.wait()
            raise LinkLost(self._server.name, 'closed')
        await self._cross_network()
        return answer

    async def _answer(self, command):
        match command:
            case Reset():
                self.values.clear()
                self.prepared.clear()
            case SetValue(name, setting):
                self.values[name] = setting
            case Prepare(name, prepared):
                self.prepared[name] = prepared
            case Forget(name):
                self.prepared.pop(name, None)
            case Rollback():
                self._writes = None
                self._failed = False
                if self._server.refuse_rollbacks:
                    return self._reply(ReplyCode.BUSY)
            case Begin():
                return self._begin(command)
            case Run(statement, floor):
                writes = statement.verb is Verb.WRITE
                return await self._data(statement, writes, floor)
            case Execute(statement, name, floor):
                if name not in self.prepared:
                    return self._reply(ReplyCode.NO_STATEMENT)
                writes = self.prepared[name].writes
                return await self._data(statement, writes, floor)
        return self._reply(ReplyCode.DONE)

    def _begin(self, command):
        if command.minimum_mark and self._server.mark < command.minimum_mark:
            return self._reply(ReplyCode.BEHIND)
        if not command.read_only and not self._leads():
            return self._reply(ReplyCode.READ_ONLY)
        self._writes = []
        self._read_only = command.read_only
        return self._reply(ReplyCode.DONE)

    async def _data(self, statement, writes, minimum_mark):
        server = self._server
        if server.busy:
            server.busy -= 1
            return self._reply(ReplyCode.BUSY)
        if minimum_mark and server.mark < minimum_mark:
            return self._reply(ReplyCode.BEHIND)
        read_write = self._writes is not None and not self._read_only
        if (writes or read_write) and not self._leads():
            self._failed = self._writes is not None
            return self._reply(ReplyCode.READ_ONLY)
        await asyncio.sleep(server.service_time)
        if server.fail:
            server.fail -= 1
            return self._reply(ReplyCode.FAILED)
        server.statements.append((statement.id, statement.text))
        server.values_seen.append(dict(self.values))
        self._record_writes(statement, writes)
        if server.lose_answers:
            server.lose_answers -= 1
            return None
        signature = f'signed {server.name} {statement.id}'
        return self._reply(ReplyCode.DONE, signature, item_of(statement.text))

    def _record_writes(self, statement, writes):
        if statement.verb is Verb.COMMIT:
            done, self._writes = self._writes, None
            if done:
                self._database.commit(self._server, done)
        elif writes and self._writes is None:
            self._database.commit(self._server, (statement.text,))
        elif writes:
            self._writes.append(statement.text)

    def _leads(self):
        return self._server.role is EndpointRole.PRIMARY

    def _reply(self, code, signature=None, item='all'):
        rows = tuple(
            write
            for commit in self._server.log[: self._server.applied]
            for write in commit.writes
            if item in {'all', item_of(write)}
        )
        return EndpointReply(
            code,
            rows if signature else (),
            signature,
            '' if code is ReplyCode.DONE else code.name,
            self._server.mark,
            transaction_open=self._writes is not None,
            transaction_failed=self._failed,
        )


def item_of(text):
    """Returns the item that a statement names; ``all`` reads every item."""
    words = text.split(' ')
    index = 2 if words[0] == 'EXEC' else 1
    return words[index] if len(words) > index else 'all'
