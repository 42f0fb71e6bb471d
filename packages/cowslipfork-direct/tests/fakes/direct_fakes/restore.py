"""Callers' writes around a return of the store from an older copy."""

import asyncio
import itertools

from cowslipfork.ids import GroupName
from cowslipfork.outcomes import NotRun
from direct_fakes.world import FRESH, statement

GROUP = GroupName('g')

#: Seconds within which a group has a new primary in a settled era.
GAP = 3

#: Seconds after which a test gives up.
LONGEST_WAIT = 20


_numbers = itertools.count()


def now():
    return asyncio.get_running_loop().time()


async def write(cluster, node='n1', text='WRITE x'):
    session = await cluster.session(FRESH, node)
    if isinstance(session, NotRun):
        return session
    outcome = await session.run(statement(text))
    await session.close()
    return outcome


async def write_until(cluster, history, node, until):
    """Writes through one node, 10 ms after each answer."""
    while now() < until:
        text = f'WRITE {node} {next(_numbers)}'
        begun = now()
        outcome = await write(cluster, node, text)
        history.record_write(text, node, begun, now(), outcome)
        await asyncio.sleep(0.01)


async def write_till(cluster, condition):
    """Writes through all nodes until a condition holds."""
    async with asyncio.timeout(LONGEST_WAIT):
        while not condition():
            await asyncio.gather(
                *(write(cluster, node) for node in cluster.nodes),
                asyncio.sleep(0.01),
            )


async def replace_primary(cluster, name):
    """Makes the primary unreachable for good until another one leads."""
    terms = len(cluster.database.terms)
    cluster.servers[name].blocked = True
    await write_till(cluster, lambda: len(cluster.database.terms) > terms)
    await asyncio.sleep(1)
