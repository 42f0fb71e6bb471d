"""What several cases do and judge: replacements of primaries, clients, tokens."""

from __future__ import annotations

import asyncio

from stand_in_3.client import Session
from stand_in_3.deployment import CannotRun

ZONES = ('lahore-a', 'faisalabad-a', 'multan-a')
NODES = tuple(f'front-{zone}-{number}' for number in (1, 2) for zone in ZONES)

#: Seconds after which the listing of servers counts as settled, and more.
SETTLED_AFTER = 4


def release(deployment, server):
    """Has a server report that it is about to leave, as before planned work."""
    server.draining = True
    server.service.report(server)
    deployment.record(f'{server.name} reports draining')


async def use_database(deployment, node, database, pause, acknowledged):
    """Writes through one node until cancelled.

    Args:
        deployment: the deployment.
        node: the node.
        database: name of the database.
        pause: seconds between two writes.
        acknowledged: gets the ids of acknowledged writes.
    """
    session = None
    count = 0
    while True:
        count += 1
        query_id = f'{node.name.removeprefix("front-")}-{count}'
        try:
            session = session or await Session.open(node.ports[0], database)
            deployment.record(f'sent: {query_id} WRITE {node.name} {count}')
            _, end, _ = await session.query(
                f'WRITE {node.name} {count}', query_id)
            deployment.record(f'answer to {query_id}: {end}')
            if end.startswith('DONE'):
                acknowledged.add(query_id)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            session = None
        await asyncio.sleep(pause)


async def wait_until(condition, seconds, what):
    """Waits for a condition; the case can't run if it doesn't come true."""
    try:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise CannotRun(f'{what} within {seconds} s') from None


def sends_lower_token(deployment):
    """Returns whether an order had a lower token than the platform had seen."""
    greatest = 0
    broken = False
    for holder, fence, service, name in deployment.orders:
        if fence < greatest:
            deployment.record(
                f'BROKEN: {holder} ordered {name} for {service} with {fence} '
                f'after {greatest} was seen')
            broken = True
        greatest = max(greatest, fence)
    return broken
