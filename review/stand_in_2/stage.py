"""Nodes as processes, with stand-ins of the store, platform and servers.

Built on the project's own stand-ins (``stand_in``, ``direct_fakes``). What is
added follows the users' pages: synchronous replication, servers that crash, go
dark or end, heartbeats whose absence removes an entry, and a record of what was
sent, run and answered.
"""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

from direct_fakes.servers import Database, EndpointRole, FakeLink, Server
from stand_in.http import HttpServer
from stand_in.servers import WireServer
from stand_in.store import StoreServer
from stand_in_2.proxy import Proxy

from cowslipfork_direct.link import ReplyCode

ROOT = Path(os.environ['REVIEW_ROOT'])

#: ``heartbeatMs`` of the small deployments, and missed heartbeats after which
#: an entry is removed.
HEARTBEAT = 1.2
MISSED = 3

#: Seconds for which an old primary goes on once it can reach the new one.
OLD_PRIMARY_GOES_ON = 1.0

#: Connections that each server accepts, as on the small calendar deployment.
CONNECTIONS = 23

#: Command of the deploy file.
COMMAND = ('python3', '-OO', '-S', '-m', 'cowslipfork_platform')

#: ``deploy/settings.ini`` as the platform fills it in.
SETTINGS = """\
[node]
vm = {name}
failure_domain = {domain}
callers = 127.0.0.1:{ports[0]}
readiness = 127.0.0.1:{ports[1]}
metrics = 127.0.0.1:{ports[2]}
relay = 127.0.0.1:{ports[3]}
store = 127.0.0.1:{store}
promotions = 127.0.0.1:{platform}
grace = 6s
cores = 2
core_share = 0.817
link_mbps = 1500.0
"""

#: Seconds for the nodes to be ready.
READY_WITHIN = 25.0


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path):
        self._begun = time.monotonic()
        self._file = open(path, 'w', buffering=1, encoding='utf-8')
        self.executed = []

    def now(self):
        """Seconds since the record was begun."""
        return time.monotonic() - self._begun

    def note(self, text):
        """Writes a line."""
        self._file.write(f'{self.now():8.3f} {text}\n')

    def close(self):
        self._file.close()


class RecordingLink(FakeLink):
    """A connection to a server that records what runs on it.

    With ``synchronous`` replicas a commit is answered once one replica has
    received it.
    """

    client = ''

    def __init__(self, stage, database, server, reachable):
        super().__init__(database, server, reachable)
        self._stage = stage

    async def _data(self, statement, writes, minimum_mark):
        server = self._server
        before = len(server.log)
        began_term = server.term
        reply = await super()._data(statement, writes, minimum_mark)
        if reply is None or reply.code is not ReplyCode.DONE:
            return reply
        at = self._stage.record.now()
        committed = len(server.log) > before
        if committed and self._stage.synchronous:
            if not await self._received_elsewhere(len(server.log)):
                return None
        executed = {
            'at': at,
            'server': server.name,
            'term': began_term,
            'client': self.client,
            'id': statement.id,
            'text': statement.text,
            'committed': committed,
            'position': len(server.log),
        }
        self._stage.record.executed.append(executed)
        self._stage.record.note(
            'ran '
            + ' '.join(f'{key}={value}' for key, value in executed.items())
        )
        return reply

    async def _received_elsewhere(self, count):
        """Waits until a replica has received an entry of this server's log."""
        entry = self._server.log[count - 1]
        while not self._closed.is_set():
            for other in self._database.servers.values():
                if other is self._server or len(other.log) < count:
                    continue
                if other.log[count - 1] is entry:
                    return True
            await asyncio.sleep(0.002)
        return False


class ReviewDatabase(Database):
    """A database whose old primary goes on until it may know of the new one.

    It becomes a replica a second after it can reach the new primary, unless a
    ``DEMOTE`` made it one before.
    """

    #: Called with a server that has just taken the lead.
    on_lead = None

    def _become_primary(self, server):
        led = server.role is EndpointRole.PRIMARY
        super()._become_primary(server)
        if not led and self.on_lead is not None:
            self.on_lead(server)

    def _replicate_from(self, primary, other):
        if primary.role is not EndpointRole.PRIMARY:
            return
        if other.term >= primary.term:
            return
        loop = asyncio.get_running_loop()
        if not self.reaches(primary, other):
            loop.call_later(0.1, self._replicate_from, primary, other)
        elif other.role is EndpointRole.PRIMARY:
            loop.call_later(OLD_PRIMARY_GOES_ON, self._give_way, primary, other)
        else:
            super()._replicate_from(primary, other)

    def _give_way(self, primary, other):
        if self.reaches(primary, other) and other.term < primary.term:
            other.role = EndpointRole.REPLICA
        self._replicate_from(primary, other)


class Node:
    """The process of a node."""

    def __init__(self, name, domain, folder):
        self.name = name
        self.domain = domain
        self.ports = free_ports(4)
        self.process = None
        self._settings = folder / f'{name}.ini'
        self._log = folder / f'{name}.log'

    async def start(self, store, platform):
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                domain=self.domain,
                ports=self.ports,
                store=store,
                platform=platform,
            )
        )
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'COWSLIPFORK_NODE_FILE': str(self._settings),
        }
        with open(self._log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number):
        """Sends a signal to the process."""
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    async def ready(self):
        """Returns whether the node answers the balancer with 200."""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.ports[1]
                )
                writer.write(b'GET /readiness HTTP/1.1\r\nHost: n\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200' in line
        return False


class Stage:
    """One service of three servers, its database, and the nodes before it."""

    def __init__(self, record, nodes=3, synchronous=0, tenants=None):
        self.record = record
        self.synchronous = synchronous
        self.tenants = tenants
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = StoreServer()
        self.platform = HttpServer(self._promote)
        self.database = ReviewDatabase('g0')
        self.database.on_lead = self._note_lead
        self.servers = self.database.servers
        self.nodes = [
            Node(f'n{number}', 'abc'[number % 3], self.folder)
            for number in range(1, nodes + 1)
        ]
        self.routes = [
            ('fresh', 'primary', 0),
            ('aged', 'bounded', 1500),
            ('own', 'read_your_writes', 2500),
        ]
        self.orders = []
        #: Servers that have taken the lead, with the time and their log then.
        self.promoted = []
        #: Called with the server of each order that was accepted.
        self.on_accepted = None
        self._version = 0
        self._proxies = {}
        self._wires = {}
        self._beats = {}
        self._down = set()

    async def start(self):
        for server in self.servers.values():
            await self.start_server(self.database, server)
        await self.store.start()
        await self.platform.start()
        self.configure()
        for node in self.nodes:
            await node.start(self.store.port, self.platform.port)
        await self._wait_until_ready()

    async def close(self):
        for beat in self._beats.values():
            beat.cancel()
        for node in self.nodes:
            await node.end()
        for proxy in self._proxies.values():
            await proxy.close()
        await self.store.close()
        await self.platform.close()
        if os.environ.get('KEEP'):
            print(f'logs in {self.folder}', file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self):
        """Writes a configuration, as the operator does."""
        self._version += 1
        document = {
            'version': self._version,
            'routes': [
                {
                    'name': f'r-{host}',
                    'host': host,
                    'prefix': '/',
                    'routeType': route_type,
                    'timeoutMs': 800,
                    'latencyGoalMs': 250,
                    'priority': 1,
                    'service': 'g0',
                    'maxAttempts': 2,
                    'maxStalenessMs': max_age,
                }
                for host, route_type, max_age in self.routes
            ],
            'services': [
                {
                    'name': 'g0',
                    'healthPath': '/health',
                    'maxConns': CONNECTIONS,
                    'protocol': 'h1',
                    'tls': False,
                    'syncReplicas': self.synchronous,
                }
            ],
            'limits': {'txIdleMs': 3000},
        }
        if self.tenants is not None:
            document['tenants'] = self.tenants
        self.store.store.put('op/config', json.dumps(document).encode())
        self.record.note(f'configuration {self._version} acknowledged')

    # Servers

    async def start_server(self, database, server, listed=True):
        """Starts a server and, if it is listed, its heartbeats."""

        def make_link(link_database, link_server, reachable):
            return RecordingLink(self, link_database, link_server, reachable)

        wire = WireServer(database, server, make_link)
        wire.max_connections = CONNECTIONS
        await wire.start()
        proxy = Proxy()
        await proxy.start(wire.port)
        self._wires[server.name] = wire
        self._proxies[server.name] = proxy
        if listed:
            self._beats[server.name] = asyncio.create_task(self._beat(server))

    def address(self, server):
        return f'127.0.0.1:{self._proxies[server.name].port}'

    def entry(self, server, changes=None):
        """Returns a server's entry in the store.

        Args:
            server: the server.
            changes: fields with other values; None for fields that are missing.
        """
        fields = {
            'service': server.group,
            'address': self.address(server),
            'zone': server.domain,
            'version': 'v1',
            'slots': 3,
            'state': 'draining' if server.leaving else 'ready',
            'coldLeftMs': 0,
            'dbRole': server.role.value,
            'seqNo': 1,
            'born': 1_790_000_000_000 + server.born,
        }
        fields.update(changes or {})
        kept = {key: value for key, value in fields.items() if value is not None}
        return json.dumps(kept).encode()

    async def _beat(self, server):
        written = None
        silent_since = None
        key = f'servers/{server.name}'
        while True:
            if server.name in self._down:
                silent_since = silent_since or time.monotonic()
                silence = time.monotonic() - silent_since
                if written and silence >= MISSED * HEARTBEAT:
                    self.store.store.put(key, None)
                    self.record.note(f'entry of {server.name} removed')
                    written = None
            else:
                silent_since = None
                entry = self.entry(server)
                if entry != written:
                    self.store.store.put(key, entry)
                    self.record.note(
                        f'entry of {server.name}: role={server.role.value}'
                        f' leaving={server.leaving}'
                    )
                    written = entry
            await asyncio.sleep(0.02)

    def report(self, server):
        """Writes a server's entry at once, as after a change of its role."""
        self.store.store.put(f'servers/{server.name}', self.entry(server))
        self.record.note(
            f'entry of {server.name}: role={server.role.value}'
            f' leaving={server.leaving}'
        )

    def drain(self, server):
        """Has a server announce that it leaves."""
        server.leaving = True
        self.record.note(f'{server.name} reports draining')

    async def crash(self, server):
        """Ends a server's process: connections reset, no heartbeats."""
        self._down.add(server.name)
        server.blocked = True
        await self._proxies[server.name].close()
        self.record.note(f'{server.name} crashes')

    async def restart(self, server):
        """Starts a crashed server again, with its log.

        It is a replica if another server has been promoted meanwhile.
        """
        if self.database.primary is not server:
            server.role = EndpointRole.REPLICA
        server.born += 1
        server.held_term = 0
        server.blocked = False
        await self._proxies[server.name].reopen()
        self._down.discard(server.name)
        self.record.note(f'{server.name} is back with its log')

    def darken(self, server):
        """Cuts a server off; its process goes on."""
        self._down.add(server.name)
        server.blocked = True
        self._proxies[server.name].silence()
        self.record.note(f'{server.name} goes dark')

    def lighten(self, server):
        """Ends the cut."""
        server.blocked = False
        self._proxies[server.name].heal()
        self._down.discard(server.name)
        self.record.note(f'{server.name} is reached again')

    async def end(self, server):
        """Ends a draining server: its entry is removed at once."""
        self._beats.pop(server.name).cancel()
        server.blocked = True
        await self._proxies[server.name].close()
        self.store.store.put(f'servers/{server.name}', None)
        self.record.note(f'{server.name} has left')

    async def replace(self, server, name):
        """Starts a new server at the address of one that has left.

        The log of the old one is transferred to it.
        """
        new = Server(name, server.group, server.domain)
        new.term = server.term
        new.log = list(server.log)
        new.applied = len(new.log)
        del self.servers[server.name]
        self.servers[name] = new
        await self.start_server(self.database, new)
        self.record.note(f'{name} starts with the log of {server.name}')
        return new

    def _note_lead(self, server):
        at = self.record.now()
        self.promoted.append((at, server.name, list(server.log)))
        self.record.note(
            f'{server.name} leads term {server.term} with'
            f' {len(server.log)} entries'
        )

    # Platform

    async def _promote(self, method, path, query, headers, body):
        order = json.loads(body)
        try:
            accepted = self.database.promote(order['id'])
        except KeyError:
            accepted = False
        self.orders.append((self.record.now(), order['id'], accepted))
        self.record.note(
            f'promote {order["id"]} by {headers["x-duty-holder"]} with fence'
            f' {headers["x-fence-token"]}: {200 if accepted else 409}'
        )
        if accepted and self.on_accepted is not None:
            asyncio.create_task(self.on_accepted(self.servers[order['id']]))
        return (200 if accepted else 409), None

    async def _wait_until_ready(self):
        deadline = time.monotonic() + READY_WITHIN
        waiting = list(self.nodes)
        while waiting:
            ready = [await node.ready() for node in waiting]
            waiting = [
                node for node, one in zip(waiting, ready, strict=True) if not one
            ]
            if waiting and time.monotonic() > deadline:
                raise CannotRun('a node is not ready')
            await asyncio.sleep(0.1)
        # The stand-in of the store tells an era, which has to be settled.
        await asyncio.sleep(4)


class Caller:
    """A session at a node."""

    _ids = itertools.count(1)

    def __init__(self, record, node, database, key='caller'):
        self._record = record
        self._node = node
        self._database = database
        self._key = key
        self._reader = None
        self._writer = None

    async def open(self):
        """Connects; returns whether the session is ready."""
        self._reader, self._writer = await asyncio.open_connection(
            '127.0.0.1', self._node.ports[0], limit=2**21
        )
        self._writer.write(f'START {self._database} {self._key}\r\n'.encode())
        return (await self._line()).startswith('READY')

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def query(self, text):
        """Runs a statement; returns its id and the lines of the answer.

        The last line is empty if the connection has ended.
        """
        statement_id = f'q{next(self._ids)}'
        self._record.note(f'sent {statement_id} to {self._node.name}: {text}')
        lines = []
        try:
            if self._writer is None and not await self.open():
                raise OSError('not ready')
            self._writer.write(f'QUERY {statement_id} {text}\r\n'.encode())
            while not lines or not lines[-1].startswith('READY'):
                lines.append(await self._line())
        except (OSError, EOFError, TimeoutError) as error:
            self.close()
            lines.append('')
            self._record.note(f'answer to {statement_id}: ended {error!r}')
            return statement_id, lines
        shown = ' | '.join(lines[-2:])
        self._record.note(f'answer to {statement_id}: {shown}')
        return statement_id, lines

    async def _line(self):
        async with asyncio.timeout(5):
            line = await self._reader.readuntil(b'\r\n')
        return line[:-2].decode('latin-1')


def done(lines):
    """Returns whether an answer is a success that a server has signed."""
    return len(lines) > 1 and lines[-2].startswith('DONE signed')


def free_ports(count):
    """Returns free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def run_case(case, limit=110):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, else 2.

    Args:
        case: coroutine function of a record and of whether there is trouble;
            returns the violations.
        limit: seconds after which the case counts as one that couldn't run.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(os.environ['REVIEW_CASE']) / 'record.txt')
    record.note(f'trouble: {trouble}')
    logging_quiet()

    async def bounded():
        async with asyncio.timeout(limit):
            return await case(record, trouble)

    try:
        violations = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as error:
        record.note(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(2)
    for violation in violations:
        record.note(f'BROKEN {violation}')
    print(f'{len(violations)} violations')
    for violation in violations[:5]:
        print(violation)
    record.close()
    sys.exit(1 if violations else 0)


def logging_quiet():
    """Keeps ended connections of the stand-ins out of the output."""
    import logging

    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
