"""A small deployment: store, platform, services and nodes of one case."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

from stand_in.client import Session
from stand_in.nodes import ROOT, Node
from stand_in.record import Record
from stand_in.servers import Platform, Service
from stand_in.store import Store

#: Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Longest time in seconds of one case.
LIMIT = 110


class NotRunnable(Exception):
    """The case could not be brought about."""


def trouble():
    """Returns whether the disruption is to take place."""
    return os.environ.get('TROUBLE', '1') != '0'


class Stage:
    """Everything but the callers."""

    def __init__(self, record, folder):
        self.record = record
        self.store = Store(record)
        self.services = []
        self.nodes = []
        self.platform = None
        self._folder = folder
        self._version = 10

    async def start(self, rules, services=1, nodes=5, zones=('a', 'b', 'c', 'd')):
        """Starts services with the same figures, and nodes."""
        self.services = [
            Service(f'db{number + 1}', self.store, self.record, rules)
            for number in range(services)
        ]
        self.platform = Platform(self.record, self.services)
        for service in self.services:
            await service.start()
        for number in range(nodes):
            name = f'front-{number + 1}'
            self.nodes.append(
                Node(
                    self.record,
                    name,
                    zones[number % len(zones)],
                    self._folder,
                    await self.store.http.listen(name),
                    await self.platform.http.listen(name),
                )
            )

    def configure(self, routes, rules):
        """Writes a configuration, as the operator does."""
        self._version += 3
        document = {
            'version': self._version,
            'routes': routes,
            'services': [
                {
                    'name': service.name,
                    'maxConns': rules.connections,
                    'syncReplicas': rules.sync_replicas,
                }
                for service in self.services
            ],
            'limits': {'txIdleMs': 1500},
        }
        self.store.put('op/config', json.dumps(document).encode())

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        until = self.record.now + 20
        while self.record.now < until:
            if all([await node.ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise NotRunnable('the nodes did not get ready')

    async def wait_served(self, database, text='READ x'):
        """Waits until each node serves a statement."""
        until = self.record.now + 15
        for node in self.nodes:
            session = self.session(node, database, 'probe')
            while not (await session.query(text)).done:
                if self.record.now > until:
                    raise NotRunnable(f'{node.name} serves nothing')
                await asyncio.sleep(0.1)
            session.close()

    def session(self, node, database, name):
        """Returns a session, which connects with its first statement."""
        address = (node.host, node.ports['callers'])
        return Session(self.record, f'{name}@{node.name}', address, database)

    def close(self):
        for node in self.nodes:
            node.kill()
        for service in self.services:
            service.close()
        if self.platform is not None:
            self.platform.close()
        self.store.close()


def route(database, service, kind='primary', timeout_ms=800, age_ms=0):
    """Returns a route as the operator writes it."""
    return {
        'host': database,
        'service': service.name,
        'routeType': kind,
        'timeoutMs': timeout_ms,
        'latencyGoalMs': 250,
        'priority': 1,
        'maxStalenessMs': age_ms,
    }


def run_case(file, play):
    """Plays a case and exits with its status.

    Args:
        file: file of the case; the record is written beside it.
        play: coroutine function of a stage; returns the breaches of the rule.
    """
    status = NOT_RUN
    # However the case ends, its processes end with it.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    record = Record(Path(file).resolve().parent / 'record.txt')
    if not (ROOT / 'target' / 'deps' / 'cowslipfork_platform').is_dir():
        record.tell('not run: run deploy/build.sh first')
        record.close()
        sys.exit(NOT_RUN)

    async def main(folder):
        stage = Stage(record, Path(folder))
        try:
            async with asyncio.timeout(LIMIT):
                return await play(stage)
        finally:
            keep = os.environ.get('KEEP_LOGS')
            stage.close()
            if keep:
                for log in Path(folder).glob('*.log'):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())

    try:
        with tempfile.TemporaryDirectory() as folder:
            breaches = asyncio.run(main(folder))
        for breach in breaches[:10]:
            record.tell('broken:', breach)
        record.tell(f'{len(breaches)} breaches, disruption: {trouble()}')
        status = BROKEN if breaches else HELD
    except (NotRunnable, TimeoutError) as error:
        record.tell('not run:', error or 'took too long')
    except Exception:
        record.tell('not run:', traceback.format_exc())
    finally:
        record.close()
    sys.exit(status)
