"""Nodes are stopped in turn; one ends while it serves callers."""

from __future__ import annotations

import asyncio
import signal
import uuid
from pathlib import Path

from stand_in_3 import servers
from stand_in_3.client import Session
from stand_in_3.deployment import CannotRun, Deployment, run_case
from stand_in_3.ingress import Ingress
from stand_in_3.scenario import SETTLED_AFTER

#: Zone of each node; the clients are in the first one.
ZONE, OTHER_ZONE = 'prai', 'kulim'
NODES = {
    'front-prai-1': ZONE, 'front-prai-2': ZONE, 'front-prai-3': ZONE,
    'front-kulim-1': OTHER_ZONE, 'front-kulim-2': OTHER_ZONE,
}

#: Nodes that are stopped in turn, and the seconds between the two.
STOPPED = ('front-prai-1', 'front-prai-2')
GAP = 1.3

#: A service and a tenant whose statements the second of them executes, and the
#: node that another client of that tenant is connected to.
SERVICE, TENANT, ENTRY = 'jobdb1', 'alpha', 'front-kulim-2'
DATABASE = 'planner'

#: Seconds from SIGTERM to SIGKILL, and from an end to the next start.
GRACE = 6
RESTART = 2.0

#: Rule LOST: seconds after the last byte of a request.
LOSS_SLACK = 0.2

#: Sessions a second, of one read each, and seconds that a read works.
RATE = 60
WORK = 0.055

ROUNDS = 4

LOGS = ('stopping', 'drained', 'carrier_drained', 'stopped')


async def play(folder, trouble):
    servers.WORK_TIME = WORK
    tenants = [{'name': TENANT, 'apiKeys': ['k'], 'priority': 0}]
    deployment = Deployment(folder, NODES, tuple(NODES.values()), (SERVICE,), tenants, 73)
    deployment.stopped_at = {}
    try:
        return await _play(deployment, trouble)
    finally:
        deployment.node_logs(LOGS)
        deployment.close()


async def _play(deployment, trouble):
    deployment.add_route(DATABASE, SERVICE, 'bounded', 1500, timeout=3000)
    await deployment.start()
    await asyncio.sleep(SETTLED_AFTER)
    ingress = Ingress(deployment)
    tasks = ingress.start()
    clients = Clients(deployment, ingress)
    tasks.append(asyncio.create_task(clients.run()))
    for _ in range(ROUNDS):
        await asyncio.sleep(1)
        transaction = asyncio.create_task(_transaction(deployment))
        await asyncio.sleep(0.3)
        for name in STOPPED:
            if trouble:
                tasks.append(asyncio.create_task(
                    _stop(deployment.nodes[name], deployment)))
            await asyncio.sleep(GAP)
        await transaction
        await asyncio.sleep(2 * GRACE - 2 * GAP)
        await deployment.wait_ready()
    for task in tasks:
        task.cancel()
    deployment.record(f'{clients.served} of {clients.sent} reads were answered')
    if clients.served < clients.sent / 2:
        raise CannotRun('most reads were not answered')
    return clients.broken


async def _stop(node, deployment):
    """Stops a process as the platform does, and starts it again."""
    stopped_at = deployment.record.seconds()
    deployment.stopped_at[node.name] = stopped_at
    deployment.record(f'SIGTERM to {node.name}')
    node.signal(signal.SIGTERM)
    while node.running and (
            deployment.record.seconds() < stopped_at + GRACE):
        await asyncio.sleep(0.01)
    deployment.record(f'{node.name} has '
                      f'{"not " if node.running else ""}ended by itself')
    node.signal(signal.SIGKILL)
    node.process.wait()
    await asyncio.sleep(RESTART)
    node.start(deployment.logs)


async def _transaction(deployment):
    """A client of another node rests inside a transaction for some seconds."""
    session = await Session.open(deployment.nodes[ENTRY].ports[0], DATABASE)
    await session.query('BEGIN')
    for _ in range(8):
        _, end, _ = await session.query('READ stock')
        await asyncio.sleep(0.5)
    _, end, _ = await session.query('COMMIT')
    deployment.record(f'transaction through {ENTRY}: {end}')
    session.close()


class Clients:
    """Clients of one zone, with a session for each read."""

    def __init__(self, deployment, ingress):
        self._deployment = deployment
        self._ingress = ingress
        self.sent = 0
        self.served = 0
        self.broken = False

    async def run(self):
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._read())
                await asyncio.sleep(1 / RATE)

    async def _read(self):
        node = self._ingress.choose(ZONE)
        record = self._deployment.record
        try:
            session = await Session.open(node.ports[0], DATABASE)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        query_id = uuid.uuid4().hex[:16]
        self.sent += 1
        begun = record.seconds()
        record(f'sent to {node.name}: {query_id} READ stock')
        try:
            _, end, _ = await session.query('READ stock', query_id)
        except (OSError, asyncio.IncompleteReadError) as error:
            self._judge(node, query_id, begun, error)
        else:
            self.served += end.startswith('DONE')
            record(f'answer to {query_id}: {end}')
        finally:
            session.close()

    def _judge(self, node, query_id, begun, error):
        """Rule LOST: a request that was passed on, or read, has no answer."""
        record = self._deployment.record
        now = record.seconds()
        passed_on = query_id in record.passed_on
        record(f'connection of {query_id} to {node.name} ended without an '
               f'answer, {now - begun:.3f} s after it was sent ({error!r}); '
               f'passed on to a server: {passed_on}')
        since = now - self._deployment.stopped_at.get(node.name, now - 99)
        # In the last sixth of the time a server may have been at work still.
        if since < GRACE * 5 / 6 and (passed_on or now - begun > LOSS_SLACK):
            record(f'BROKEN: {query_id} was lost {since:.3f} s after the '
                   f'SIGTERM of {node.name}')
            self.broken = True


if __name__ == '__main__':
    run_case(Path(__file__).parent, play)
