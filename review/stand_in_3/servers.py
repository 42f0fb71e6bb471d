"""Database servers that speak the wire protocol; one service is a group."""

from __future__ import annotations

import asyncio
import itertools
import json
import time

#: Seconds between two heartbeats of an entry.
HEARTBEAT = 1.2

#: Seconds that a new connection, and a read, write or commit, takes.
CONNECT_TIME = 0.012
WORK_TIME = 0.004

#: Seconds by which replicas are behind.
LAG = 0.02

#: Seconds until an order of promotion takes effect.
PROMOTE_TIME = 0.3

_signatures = itertools.count(1)


class Server:
    """One server: its log, its role, its connections."""

    def __init__(self, service, name, zone):
        self.service = service
        self.name = name
        self.zone = zone
        self.primary = False
        self.term = 1
        self.log = []  # (term, {item: data}, id of the commit)
        self.applied = 0
        self.held = 0
        self.draining = False
        #: Whether it is dark: nothing is answered, nothing received.
        self.dark = False
        self.born = int(time.time() * 1000)
        self.connections = set()
        self.port = 0

    def position(self, count):
        return f'{self.log[count - 1][0] if count else 1}.{count}'

    def has(self, position):
        term, _, number = position.partition('.')
        count = int(number)
        if count > self.applied:
            return False
        return not count or self.log[count - 1][0] == int(term)

    def value(self, item):
        for _, writes, _ in reversed(self.log[: self.applied]):
            if item in writes:
                return writes[item]
        return '-'

    def entry(self):
        return json.dumps({
            'service': self.service.name,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 4,
            'state': 'draining' if self.draining else 'ready',
            'coldLeftMs': 0,
            'dbRole': 'primary' if self.primary else 'replica',
            'seqNo': 1,
            'born': self.born,
        }).encode()

    async def start(self):
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=2**21
        )
        self.port = server.sockets[0].getsockname()[1]
        self._server = server

    async def _serve(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.serve()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


class Service:
    """A primary and its replicas."""

    def __init__(self, name, zones, store, record):
        self.name = name
        self.store = store
        self.record = record
        self.servers = {
            f'i-{name}{number}': Server(self, f'i-{name}{number}', zone)
            for number, zone in enumerate(zones)
        }
        self.list = list(self.servers.values())
        self.list[0].primary = True
        self._tasks = []

    @property
    def primary(self):
        leading = [server for server in self.list if server.primary]
        return max(leading, key=lambda server: server.term, default=None)

    async def start(self):
        for server in self.list:
            await server.start()
            self.report(server)

    def report(self, server):
        if not server.dark:
            self.store.put(f'servers/{server.name}', server.entry())

    def commit(self, server, writes, query_id):
        server.log.append((server.term, dict(writes), query_id))
        self.record.committed(server, query_id, dict(writes))
        server.applied = len(server.log)
        for replica in self.list:
            if replica is not server:
                self._later(LAG / 2, self._receive, server, replica)
        return server.position(server.applied)

    def _later(self, seconds, call, *arguments):
        asyncio.get_running_loop().call_later(seconds, call, *arguments)

    def _receive(self, server, replica):
        if (replica.dark or server.dark or replica.primary
                or not server.primary or replica.term != server.term
                or replica.held > replica.term):
            return
        replica.log = list(server.log)
        self._later(LAG / 2, self._apply, replica, len(replica.log))

    def _apply(self, replica, count):
        if not replica.primary:
            replica.applied = max(replica.applied,
                                  min(count, len(replica.log)))

    def promote(self, name):
        """Takes an order; returns the status of its answer."""
        server = self.servers.get(name)
        if server is None or server.dark:
            return 409
        if server is not self.primary:
            self._later(PROMOTE_TIME, self._lead, server)
        return 200

    def _lead(self, server):
        if server.dark or server is self.primary:
            return
        server.term = max(one.term for one in self.list) + 1
        server.primary = True
        server.held = 0
        server.applied = len(server.log)
        self.record.promoted(server)
        self.report(server)
        for other in self.list:
            if other is not server:
                self._follow(server, other, 1.0 if other.primary else 0)

    def _follow(self, server, other, after):
        if after or server.dark or other.dark:
            self._later(after or 0.2, self._follow, server, other, 0)
            return
        if not server.primary or other.term >= server.term:
            return
        other.term, other.primary, other.held = server.term, False, 0
        other.log = list(server.log)
        other.applied = len(other.log)
        self.report(other)


class Connection:
    """One connection to a server."""

    def __init__(self, server, reader, writer):
        self.server = self._server = server
        self._reader = reader
        self._writer = writer
        self.values = self._values = {}
        self.prepared = self._prepared = {}
        self._mode = ''  # '', 'READ' or 'WRITE'
        self._failed = False
        self._writes = {}

    async def serve(self):
        server = self._server
        fields = (await self._line()).split(' ')
        await self._awake()
        if fields[0] != 'START' or fields[1] != server.service.name or (
                len(fields) > 3 and fields[3] != server.name):
            self._send(f'ERR MISDIRECT {server.name}')
            return
        await asyncio.sleep(CONNECT_TIME)
        self._send(f'READY I {server.position(server.applied)}')
        while True:
            line = await self._line()
            await self._awake()
            word, _, rest = line.partition(' ')
            if word != 'QUERY':
                return
            query_id, _, text = rest.partition(' ')
            lines = await self._run(query_id, text)
            await self._awake()
            state = 'E' if self._failed else 'T' if self._mode else 'I'
            self._send(*lines,
                       f'READY {state} {server.position(server.applied)}')

    async def _awake(self):
        while self._server.dark:
            await asyncio.sleep(0.02)

    async def _line(self):
        line = await self._reader.readuntil(b'\r\n')
        return line[:-2].decode('latin-1')

    def _send(self, *lines):
        self._writer.write(
            ''.join(f'{line}\r\n' for line in lines).encode('latin-1'))

    async def _run(self, query_id, text):
        server = self._server
        word, _, rest = text.partition(' ')
        if word in {'STATUS', 'HOLD', 'RESUME', 'DEMOTE'}:
            return self._control(word, rest)
        if self._failed and word != 'ROLLBACK' and word != 'COMMIT':
            return ('ERR MALFORMED transaction failed',)
        after = None
        if word == 'AFTER':
            after, _, text = rest.partition(' ')
            word, _, rest = text.partition(' ')
        if after is not None and not server.has(after):
            return (f'ERR BEHIND {server.name}',)
        match word:
            case 'SET':
                name, _, value = rest.partition(' ')
                self._values[name] = value
            case 'RESET':
                self._values.clear()
                self._prepared.clear()
            case 'PREPARE':
                name, kind, shape = rest.split(' ', 2)
                self._prepared[name] = (kind, shape)
            case 'FORGET':
                self._prepared.pop(rest, None)
            case 'ROLLBACK':
                self._end()
            case 'BEGIN':
                if rest != 'READ' and not server.primary:
                    return (f'ERR READONLY {server.name}',)
                self._mode = 'READ' if rest == 'READ' else 'WRITE'
            case 'COMMIT' | 'READ' | 'WRITE' | 'EXEC':
                return await self._data(query_id, word, rest)
            case _:
                return ('ERR MALFORMED statement',)
        return ('DONE -',)

    def _control(self, word, rest):
        server = self._server
        if word == 'HOLD' and int(rest) > server.term and not server.primary:
            server.held = int(rest)
        if word == 'RESUME':
            server.held = 0
        if word == 'DEMOTE' and int(rest) > server.term and server.primary:
            server.primary = False
            server.service.report(server)
        role = 'primary' if server.primary else 'replica'
        return (
            f'ROW {role} {server.term} {server.position(len(server.log))} '
            f'{server.held} 0 0 {len(server.connections)}',
            'DONE -',
        )

    def _end(self):
        self._mode, self._failed, self._writes = '', False, {}

    async def _data(self, query_id, word, rest):
        server = self._server
        if word == 'EXEC':
            name, _, rest = rest.partition(' ')
            if name not in self._prepared:
                return ('ERR NOSTMT name',)
            word = self._prepared[name][0]
        item, _, data = rest.partition(' ')
        server.service.record.arrived(self, query_id)
        if self._failed:
            self._end()
            return ('ERR ABORTED rolled back',)
        wrote = bool(self._writes)
        needs_lead = word == 'WRITE' or (
            self._mode == 'WRITE' and (word != 'COMMIT' or wrote))
        if needs_lead and not server.primary:
            self._failed = bool(self._mode)
            return (f'ERR READONLY {server.name}',)
        await asyncio.sleep(WORK_TIME)
        if needs_lead and not server.primary:
            self._failed = bool(self._mode)
            return (f'ERR READONLY {server.name}',)
        server.service.record.ran(self, query_id, word, item, data)
        rows = ()
        if word == 'READ':
            rows = (f'ROW {self._writes.get(item, server.value(item))}',)
        elif word == 'WRITE' and self._mode:
            self._writes[item] = data
        elif word == 'WRITE':
            server.service.commit(server, {item: data}, query_id)
        elif word == 'COMMIT':
            if self._writes:
                server.service.commit(server, self._writes, query_id)
            self._end()
        number = next(_signatures)
        return (*rows, f'DONE {server.term}.{number:x}.{query_id}')
