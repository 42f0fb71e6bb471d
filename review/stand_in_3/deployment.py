"""A small deployment: nodes as processes, and stand-ins of all the rest."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from pathlib import Path

from stand_in_3.http import HttpServer
from stand_in_3.links import Link
from stand_in_3.servers import Service
from stand_in_3.store import Store

ROOT = Path(__file__).resolve().parents[2]

#: The command of the deploy file, role ``node``.
RUN = ('python3', '-OO', '-S', '-m', 'cowslipfork_platform')

#: Prefix of the nodes' entries.
NODES = 'cowslipfork/nodes/'

SETTINGS = """\
[node]
vm = {name}
failure_domain = {zone}
callers = 127.0.0.1:{ports[0]}
readiness = 127.0.0.1:{ports[1]}
metrics = 127.0.0.1:{ports[2]}
relay = 127.0.0.1:{ports[3]}
store = 127.0.0.1:{store}
promotions = 127.0.0.1:{promotions}
grace = 6s
cores = 2
core_share = 0.8
link_mbps = 1500
drain = 7000ms
"""


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w')
        self._begun = time.monotonic()
        self.runs = []
        #: Ids of the statements that reached a server.
        self.passed_on = set()
        #: Commits: seconds, server, term, id of the statement.
        self.commits = []
        #: Promotions that took effect: seconds, server, term.
        self.promotions = []

    def seconds(self):
        return time.monotonic() - self._begun

    def __call__(self, text):
        self._file.write(f'{self.seconds():9.4f} {text}\n')
        self._file.flush()

    def arrived(self, connection, query_id):
        self.passed_on.add(query_id)
        self(f'reached {connection.server.name}: {query_id}')

    def ran(self, connection, query_id, word, item, data):
        name = connection.server.name
        self.runs.append((name, query_id, word, item, data))
        self(f'run at {name}: {query_id} {word} {item} {data}'.rstrip())

    def committed(self, server, query_id, writes):
        term = server.term
        self.commits.append((self.seconds(), server.name, term, query_id))
        self(f'committed at {server.name} in term {term}: {query_id} {writes}')

    def promoted(self, server):
        self.promotions.append((self.seconds(), server.name, server.term))
        self(f'{server.service.name}: {server.name} leads term {server.term}')


class Node:
    """A node's process."""

    def __init__(self, name, zone, store, promotions):
        self.name = name
        self.zone = zone
        self.store = store
        self.promotions = promotions
        self.ports = free_ports(4)
        self.process = None

    def start(self, folder):
        settings = folder / f'{self.name}.ini'
        settings.write_text(SETTINGS.format(
            name=self.name, zone=self.zone, ports=self.ports,
            store=self.store.port, promotions=self.promotions.port))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = 'target/deps'
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                (*RUN, '--settings', str(settings)), cwd=ROOT,
                env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    async def ready(self):
        """Returns whether the node counts as ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.ports[1])
                writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200' in line
        except (OSError, TimeoutError):
            return False


class Deployment:
    """Everything that a case starts."""

    def __init__(self, folder, node_names, zones, service_names,
                 tenants=None, max_connections=60):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix='review-3-')
        self.logs = Path(self.temporary.name)
        self.store = Store()
        self.promotions = HttpServer(self._promote)
        self.orders = []
        self.services = {
            name: Service(name, [zones[i % len(zones)] for i in range(3)],
                          self.store, self.record)
            for name in service_names
        }
        #: The store as each node sees it, with its own links to the others.
        self.views = {
            name: HttpServer(self._view_of(name)) for name in node_names
        }
        self.nodes = {}
        for number, name in enumerate(node_names):
            self.nodes[name] = Node(
                name, zones[number % len(zones)],
                Link(lambda name=name: self.views[name].port),
                Link(lambda: self.promotions.port))
        self.tenants = tenants
        self.max_connections = max_connections
        #: Links between nodes, by the node that connects and the other one.
        self.peers = {
            (one, other): Link(lambda other=other: self.nodes[other].ports[3])
            for one in node_names for other in node_names if one != other
        }
        self.routes = []
        self.version = 3
        self._heartbeats = []

    def add_route(self, host, service, route_type='primary', staleness=0,
                  timeout=1000):
        self.routes.append({
            'name': f'r-{host}', 'host': host, 'prefix': '/',
            'routeType': route_type, 'timeoutMs': timeout,
            'latencyGoalMs': 200, 'priority': 1, 'service': service,
            'maxAttempts': 2, 'maxStalenessMs': staleness,
        })

    def configure(self):
        self.version += 2
        document = {
            'version': self.version,
            'routes': self.routes,
            'services': [
                {'name': name, 'healthPath': '/health', 'protocol': 'own',
                 'maxConns': self.max_connections, 'syncReplicas': 0}
                for name in self.services
            ],
            'limits': {'txIdleMs': 3000},
        }
        if self.tenants is not None:
            document['tenants'] = self.tenants
        self.store.put('op/config', json.dumps(document).encode())

    async def start(self):
        await self.store.start()
        await self.promotions.start()
        for service in self.services.values():
            await service.start()
        self.configure()
        for link in self.peers.values():
            await link.start()
        for node in self.nodes.values():
            await self.views[node.name].start()
            await node.store.start()
            await node.promotions.start()
            node.start(self.logs)
        await self.wait_ready()

    async def wait_ready(self, seconds=40):
        until = time.monotonic() + seconds
        for node in self.nodes.values():
            while not await node.ready():
                if time.monotonic() > until:
                    raise CannotRun(f'{node.name} is not ready')
                if not node.running:
                    # Another process has taken one of its ports.
                    node.ports = free_ports(4)
                    node.start(self.logs)
                await asyncio.sleep(0.1)

    def _view_of(self, name):
        """Returns a handler of the store's calls of one node.

        It has the node find its links to the other nodes in their entries, as
        an address translation would.
        """

        def translated(item):
            other = item['key'].removeprefix(NODES)
            link = self.peers.get((name, other))
            if link is None or 'value' not in item:
                return item
            entry = json.loads(b64decode(item['value']))
            entry['relay']['port'] = link.port
            return {**item, 'value': b64encode(
                json.dumps(entry).encode()).decode()}

        async def handle(*call):
            status, content = await self.store.handle(*call)
            if not content:
                return status, content
            content = dict(content)
            for field in ('items', 'events'):
                if field in content:
                    content[field] = list(map(translated, content[field]))
            return status, translated(content) if 'key' in content else content

        return handle

    def cut_off(self, name):
        """Cuts a node off from the platform and from all other nodes."""
        for link in self._links_of(name):
            link.cut()
        self.record(f'{name} is cut off')

    def connect(self, name):
        """Ends that; what was held up is delivered."""
        self.record(f'{name} is no longer cut off')
        for link in self._links_of(name):
            link.heal()

    def _links_of(self, name):
        node = self.nodes[name]
        between = [link for ends, link in self.peers.items() if name in ends]
        return [node.store, node.promotions, *between]

    async def _promote(self, method, path, query, headers, body):
        fields = json.loads(body)
        holder = headers['x-duty-holder']
        fence = int(headers['x-fence-token'])
        self.orders.append((holder, fence, fields['service'], fields['id']))
        status = self.services[fields['service']].promote(fields['id'])
        self.record(f'POST /promote {fields["service"]} {fields["id"]} '
                    f'holder {holder} fence {fence}: {status}')
        await asyncio.sleep(0.004)
        return status, None

    def node_logs(self, words):
        """Copies lines of the nodes' logs with one of the words."""
        for name in self.nodes:
            path = self.logs / f'{name}.log'
            if path.exists():
                for line in path.read_text(errors='replace').splitlines():
                    if any(word in line for word in words):
                        self.record(f'log of {name}: {line[:300]}')

    def close(self):
        for node in self.nodes.values():
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
            node.store.close()
            node.promotions.close()
        for link in self.peers.values():
            link.close()
        for view in self.views.values():
            view.close()
        self.store.close()
        self.promotions.close()
        self.temporary.cleanup()


def free_ports(count):
    """Returns ports that no connection gets by chance."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15_000, 30_000)
        with socket.socket() as one:
            try:
                one.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.append(port)
    return ports


def run_case(folder, play, limit=110):
    """Runs ``play(folder, trouble)``; exits with 1 if a rule was broken."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def bounded():
        # Connections that are cut off by the end of the case are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(limit):
            return await play(folder, trouble)

    try:
        broken = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as error:
        print(f'could not run: {error!r}')
        sys.exit(2)
    print('rule broken' if broken else 'rule held')
    sys.exit(1 if broken else 0)
