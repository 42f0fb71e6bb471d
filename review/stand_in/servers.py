"""A service: one primary and its replicas, over the wire protocol."""

import asyncio
import itertools
import json
import time
from collections import deque
from dataclasses import dataclass

from stand_in.http import HttpServer

#: Most statements that wait for a slot of a server; others get BUSY.
QUEUE = 24

_signatures = itertools.count(1)


@dataclass(frozen=True)
class Rules:
    """Figures of a service; times in seconds."""

    slots: int = 3
    connections: int = 23
    handshake: float = 0.012
    network: float = 0.001
    #: How far replicas are behind.
    lag: float = 0.020
    promote: float = 0.6
    sync_replicas: int = 0
    read_time: float = 0.006
    write_time: float = 0.006
    heartbeat: float = 1.2
    queue: int = QUEUE


@dataclass(frozen=True)
class Entry:
    """One commit in a log."""

    term: int
    number: int
    writes: tuple
    statement: str

    @property
    def mark(self):
        return (self.term, self.number)


class Slots:
    """Slots of a server and the statements that wait for one, in order."""

    def __init__(self, count, queue):
        self._free = count
        self._count = count
        self._queue = queue
        self._waiting = deque()

    @property
    def busy(self):
        return self._count - self._free + len(self._waiting)

    async def take(self):
        """Takes a slot; returns whether there was room to wait for one."""
        if self._free:
            self._free -= 1
            return True
        if len(self._waiting) >= self._queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.give_back()
            raise
        return True

    def give_back(self):
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1


class Server:
    """One server of a service."""

    def __init__(self, service, name, zone, role):
        self.service = service
        self.name = name
        self.zone = zone
        self.role = role
        self.term = 3
        self.log = [Entry(3, 1200, (), '')]
        self.applied = 1
        self.held_term = 0
        self.deaf = False
        self.state = 'ready'
        self.running = True
        #: Whether the server reaches the store.
        self.reports = True
        self.born = int(time.time() * 1000)
        self.slots = Slots(service.rules.slots, service.rules.queue)
        self.connections = set()
        self.port = 0
        self._sequence = 0
        self._busy_until = 0.0
        self._tcp = None
        self._tasks = set()

    @property
    def received(self):
        return self.log[-1].mark

    @property
    def mark(self):
        return self.log[self.applied - 1].mark

    async def start(self):
        self._tcp = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, limit=2**21
        )
        self.port = self._tcp.sockets[0].getsockname()[1]
        self._start(self._beat())

    def crash(self):
        """Ends at once; nothing is reported."""
        self.running = False
        self._tcp.close()
        for writer in tuple(self.connections):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    def drain(self):
        """Reports that the server is about to be replaced."""
        self.state = 'draining'
        self.report()

    def report(self):
        """Writes the server's entry."""
        if not self.reports:
            return
        self._sequence += 1
        entry = {
            'service': self.service.name,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': '1',
            'slots': self.service.rules.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'seqNo': self._sequence,
            'dbRole': self.role,
            'born': self.born,
        }
        self.service.store.put(f'servers/{self.name}', json.dumps(entry).encode())

    def receive(self, primary, count):
        """Receives the primary's log up to an entry, unless it is stopped."""
        if not self.running or self.deaf or self.held_term:
            return
        if self.service.primary is not primary or self.term != primary.term:
            return
        if count > len(self.log):
            self.log.extend(primary.log[len(self.log) : count])
        self.service.received.set()
        self.service.received = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.call_later(self.service.rules.lag, self._apply, self.term, len(self.log))

    def follow(self, primary):
        """Follows a new primary; what it lacks is rolled back."""
        if not self.running or self.service.primary is not primary or self is primary:
            return
        common = 0
        for own, other in zip(self.log, primary.log):
            if own is not other:
                break
            common += 1
        if common < len(self.log):
            self._busy_until = time.monotonic() + 0.1
        self.log = list(primary.log)
        self.applied = len(self.log)
        self.term = primary.term
        self.held_term = 0
        changed = self.role != 'replica'
        self.role = 'replica'
        if changed:
            self.report()
        self.service.record.note(self.name, 'follows', primary.name, 'term', self.term)

    def lead(self, term):
        self.role = 'primary'
        self.term = term
        self.applied = len(self.log)
        self.held_term = 0
        self.report()

    def _apply(self, term, count):
        if self.term == term and self.role == 'replica':
            self.applied = max(self.applied, min(count, len(self.log)))

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self):
        while self.running:
            self.report()
            await asyncio.sleep(self.service.rules.heartbeat)

    async def _serve(self, reader, writer):
        if not self.running:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await _Connection(self, reader, writer).serve()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.connections.discard(writer)
            writer.close()

    @property
    def rolled_back_now(self):
        return time.monotonic() < self._busy_until


class _Connection:
    """One connection to a server, with its values and transaction."""

    def __init__(self, server, reader, writer):
        self._server = server
        self._service = server.service
        self._reader = reader
        self._writer = writer
        self._values = {}
        self._prepared = {}
        self._begun = None
        self._writes = []
        self._failed = False
        self._term = 0

    async def serve(self):
        server = self._server
        words = (await self._line()).split(' ')
        if len(words) < 3 or words[0] != 'START':
            return
        named = words[3] if len(words) > 3 else server.name
        if words[1] != self._service.name or named != server.name:
            self._send(f'ERR MISDIRECT {server.name}')
            return
        if len(server.connections) >= self._service.rules.connections:
            self._send('ERR TOOMANY connections')
            return
        server.connections.add(self._writer)
        if await server.slots.take():
            try:
                await asyncio.sleep(self._service.rules.handshake)
            finally:
                server.slots.give_back()
        self._send(self._ready())
        while line := await self._line():
            word, _, rest = line.partition(' ')
            if word != 'QUERY':
                return
            number, _, text = rest.partition(' ')
            if number != '-':
                self._service.arrived.append(
                    (self._server, self._service.record.now, number, text)
                )
            lines = await self._answer(number, text)
            self._send(*lines, self._ready())
            await self._writer.drain()

    async def _answer(self, number, text):
        words = text.split(' ')
        minimum = None
        if words[0] == 'AFTER':
            minimum = tuple(map(int, words[1].split('.')))
            words = words[2:]
        word = words[0]
        if word in {'STATUS', 'HOLD', 'RESUME', 'DEMOTE'}:
            return await self._control(word, words[1:])
        if word == 'SET':
            self._values[words[1]] = ' '.join(words[2:])
            return ('DONE -',)
        if word == 'RESET':
            self._values.clear()
            self._prepared.clear()
            return ('DONE -',)
        if word == 'PREPARE':
            self._prepared[words[1]] = words[2]
            return ('DONE -',)
        if word == 'FORGET':
            self._prepared.pop(words[1], None)
            return ('DONE -',)
        if word == 'ROLLBACK':
            self._end()
            return ('DONE -',)
        if self._failed:
            return ('ERR MALFORMED the transaction failed',)
        if minimum is not None and self._server.mark < minimum:
            return ('ERR BEHIND',)
        if word == 'EXEC':
            kind = self._prepared.get(words[1])
            if kind is None:
                return ('ERR NOSTMT',)
            words = [kind, *words[2:]]
            word = kind
        if word == 'BEGIN':
            return self._begin(words)
        return await self._run(number, word, words[1:])

    def _begin(self, words):
        if len(words) == 1 and self._server.role != 'primary':
            return (f'ERR READONLY {self._server.name}',)
        self._begun = 'READ' if len(words) > 1 else 'PLAIN'
        self._term = self._server.term
        return ('DONE -',)

    def _end(self):
        self._begun = None
        self._writes = []
        self._failed = False

    @property
    def _lost_lead(self):
        server = self._server
        return server.role != 'primary' or (
            self._begun == 'PLAIN' and server.term != self._term
        )

    async def _run(self, number, word, words):
        server = self._server
        if server.rolled_back_now or not await server.slots.take():
            return ('ERR BUSY',)
        rules = self._service.rules
        try:
            await asyncio.sleep(
                rules.read_time if word == 'READ' else rules.write_time
            )
            if self._begun == 'PLAIN' and self._lost_lead:
                if word != 'COMMIT' or self._writes:
                    self._failed = True
                    return (f'ERR READONLY {server.name}',)
            if word == 'WRITE' and (self._begun == 'READ' or self._lost_lead):
                self._failed = self._begun is not None
                return (f'ERR READONLY {server.name}',)
            rows = ()
            if word == 'READ':
                rows = (self._value(words[0]),)
            elif word == 'WRITE':
                self._writes.append((words[0], ' '.join(words[1:])))
            if word == 'COMMIT' or (word == 'WRITE' and self._begun is None):
                writes = tuple(self._writes)
                self._end()
                if writes:
                    await self._service.commit(server, writes, number)
            self._service.record.note(
                server.name,
                'runs',
                number,
                word,
                *words,
                'role',
                server.role,
                'log',
                _mark(server.mark),
            )
            return (
                *(f'ROW {row}' for row in rows),
                f'DONE {next(_signatures):x}.{server.name}',
            )
        finally:
            server.slots.give_back()

    def _value(self, item):
        for name, data in reversed(self._writes):
            if name == item:
                return data
        server = self._server
        for entry in reversed(server.log[: server.applied]):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return '-'

    async def _control(self, word, words):
        server = self._server
        if server.rolled_back_now or not await server.slots.take():
            self._service.record.note(server.name, 'answers', word, 'BUSY')
            return ('ERR BUSY',)
        try:
            await asyncio.sleep(0.001)
        finally:
            server.slots.give_back()
        term = int(words[0]) if words else 0
        if word == 'HOLD' and server.role == 'replica':
            if term > server.term:
                server.held_term = term
        elif word == 'RESUME':
            server.held_term = 0
        elif word == 'DEMOTE' and server.role == 'primary' and server.term < term:
            server.role = 'replica'
            server.report()
        if word != 'STATUS':
            self._service.record.note(server.name, 'runs', word, *words)
        lag = round(self._service.rules.lag * 1000)
        row = (
            f'ROW {server.role} {server.term} {_mark(server.received)} '
            f'{server.held_term} {lag} {server.slots.busy} '
            f'{len(server.connections)}'
        )
        return row, 'DONE -'

    def _ready(self):
        state = 'I' if self._begun is None else 'T'
        return f'READY {"E" if self._failed else state} {_mark(self._server.mark)}'

    def _send(self, *lines):
        self._writer.write(''.join(f'{line}\r\n' for line in lines).encode('latin-1'))

    async def _line(self):
        line = await self._reader.readline()
        return line.decode('latin-1').rstrip('\r\n') if line.endswith(b'\n') else ''


class Service:
    """A service with three servers, the first of which is the primary."""

    def __init__(self, name, store, record, rules, zones=('a', 'b', 'c')):
        self.name = name
        self.store = store
        self.record = record
        self.rules = rules
        self.received = asyncio.Event()
        #: Statements of callers: server, time of arrival, id and text.
        self.arrived = []
        self.servers = [
            Server(
                self,
                f'i-{name}-{number + 1}',
                zone,
                'replica' if number else 'primary',
            )
            for number, zone in enumerate(zones)
        ]
        self.primary = self.servers[0]
        #: Commits: time, server and id of the statement.
        self.commits = []
        #: Promotions that took effect: time, new and old primary.
        self.promotions = []

    async def start(self):
        for server in self.servers:
            await server.start()

    def close(self):
        for server in self.servers:
            if server.running:
                server.crash()

    async def commit(self, server, writes, number):
        """Commits at a primary; waits for a replica where the service says so."""
        entry = Entry(server.term, server.log[-1].number + 1, writes, number)
        server.log.append(entry)
        server.applied = len(server.log)
        self.commits.append((self.record.now, server, number))
        count = len(server.log)
        loop = asyncio.get_running_loop()
        others = [other for other in self.servers if other is not server]
        for other in others:
            loop.call_later(self.rules.network, other.receive, server, count)
        if not self.rules.sync_replicas:
            return
        while not any(entry in other.log for other in others):
            await self.received.wait()

    def kept(self, item, data):
        """Returns whether a write is in the log of the present primary."""
        return any((item, data) in entry.writes for entry in self.primary.log)

    def promote(self, name):
        """Carries out an order; returns the platform's status."""
        server = next((one for one in self.servers if one.name == name), None)
        if server is None or not server.running:
            return 409
        if server is self.primary:
            return 200
        loop = asyncio.get_running_loop()
        loop.call_later(self.rules.promote, self._take_effect, server)
        return 200

    def _take_effect(self, server):
        if not server.running or server is self.primary:
            return
        old = self.primary
        term = max(one.term for one in self.servers) + 1
        server.lead(term)
        self.primary = server
        self.promotions.append((self.record.now, server, old))
        self.record.note(
            'promoted', server.name, 'term', term, 'log', _mark(server.mark)
        )
        loop = asyncio.get_running_loop()
        for other in self.servers:
            if other is server:
                continue
            still_leads = other is old and other.role == 'primary'
            delay = 1.0 if still_leads else self.rules.lag
            loop.call_later(delay, other.follow, server)


class Platform:
    """Takes promotion orders."""

    def __init__(self, record, services):
        self._record = record
        self._services = {service.name: service for service in services}
        self.orders = []
        self.http = HttpServer(self._handle)

    async def _handle(self, node, method, path, query, headers, body):
        order = json.loads(body)
        holder, fence = headers['x-duty-holder'], int(headers['x-fence-token'])
        status = self._services[order['service']].promote(order['id'])
        self.orders.append((order['service'], order['id'], holder, fence, status))
        self._record.note('order', order, holder, fence, 'answered', status)
        return status, {}

    def close(self):
        self.http.close()


def _mark(mark):
    return f'{mark[0]}.{mark[1]}'
