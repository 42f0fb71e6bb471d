"""A replica's old data is returned as fresh after a planned change of primary.

The primary is replaced as planned. One answer of the store, to the watch of
one node, is lost at that time. Callers of other nodes write; callers of that
node read on a route of the kind ``primary``.
"""

import asyncio

from stand_in.servers import Rules
from stand_in.stage import NotRunnable, route, run_case, trouble

#: hilal-cal: 3 slots, 23 connections, 12 ms a new connection, replicas 20 ms
#: behind, 600 ms a promote, 6 ms of work.
RULES = Rules()

ITEMS = 4
CALM = 3.0
AFTER = 8.0


class Books:
    """The newest acknowledged write of each item."""

    def __init__(self):
        self.acknowledged = dict.fromkeys(range(ITEMS), 0)
        #: Node, item, number shown, number acknowledged before, signature.
        self.stale = []
        self.reads = 0
        self.stop = False


async def write(stage, node, item, books):
    """Writes growing numbers to an item; the answers tell which are kept."""
    session = stage.session(node, 'jobs', f'writer{item}')
    number = 0
    while not books.stop:
        number += 1
        answer = await session.query(f'WRITE item{item} {number}')
        if answer.done:
            books.acknowledged[item] = number
            await asyncio.sleep(0.02)
        else:
            await asyncio.sleep(0.05)
    session.close()


async def read(stage, node, item, books):
    """Reads an item; what was acknowledged before must be shown."""
    session = stage.session(node, 'jobs', f'reader{item}')
    while not books.stop:
        least = books.acknowledged[item]
        answer = await session.query(f'READ item{item}')
        if answer.done:
            books.reads += 1
            shown = int(answer.rows[0]) if answer.rows[0] != '-' else 0
            if shown < least:
                books.stale.append((node.name, item, shown, least, answer.rest))
        else:
            await asyncio.sleep(0.05)
    session.close()


async def play(stage):
    await stage.start(RULES)
    service = stage.services[0]
    stage.configure([route('jobs', service)], RULES)
    await stage.start_nodes()
    await stage.wait_served('jobs')
    books = Books()
    blind, *others = stage.nodes
    tasks = [
        asyncio.ensure_future(one)
        for item in range(ITEMS)
        for one in (
            write(stage, others[item % len(others)], item, books),
            read(stage, blind, item, books),
        )
    ]
    await asyncio.sleep(CALM)
    if books.stale or not books.reads:
        raise NotRunnable(f'{books.reads} reads, {books.stale[:1]} before')
    lost = []

    def lose(node, path, answer):
        """Loses one answer: the next one with changes to the node's watch."""
        meant = node == blind.name and path == '/kv-watch' and not lost
        if meant and answer[0] == 200 and answer[1]['events']:
            lost.append(path)
            return True
        return False

    if trouble():
        stage.store.lose = lose
    old = service.primary
    stage.record.tell(old.name, 'is to be replaced')
    old.drain()
    await asyncio.sleep(AFTER)
    books.stop = True
    await asyncio.gather(*tasks)
    stage.record.tell('primary now', service.primary.name, 'reads', books.reads)
    if service.primary is old:
        raise NotRunnable('the primary was not replaced')
    if trouble() and not lost:
        raise NotRunnable('no answer was lost')
    return [
        f'STALE: {node} returned item{item} = {shown}, signed {signature}; '
        f'{least} had been acknowledged before the read was sent'
        for node, item, shown, least, signature in books.stale
        # A commit that a promote rolled back does not count.
        if service.kept(f'item{item}', str(least))
    ]


run_case(__file__, play)
