"""Random histories: several nodes, faults of all kinds, promises checked."""

import asyncio
import itertools
import os
import random

import pytest
from direct_fakes.history import History
from direct_fakes.world import AGED, FRESH, run, statement, world

from cowslipfork.outcomes import Done, NotRun
from cowslipfork_direct.answers import SessionState

#: Seeds that run with the other tests; ``PROMISES=200`` runs more.
SEEDS = int(os.environ.get('PROMISES', '12'))

#: First seed, for runs by hand with fresh ones.
FIRST = int(os.environ.get('PROMISES_FROM', '1'))

#: Seconds of faults, and seconds in which everything has to come back.
TROUBLE = 20
RECOVERY = 10

NODES = 3

MAX_AGE = 1.5


def now():
    return asyncio.get_running_loop().time()


async def caller(made, history, number, luck, over):
    """Writes, reads and runs transactions through changing nodes."""
    texts = itertools.count()
    while not over.is_set():
        node = luck.choice(sorted(made.nodes) or ['n1'])
        if node not in made.nodes:
            await asyncio.sleep(0.1)
            continue
        database = luck.choice([FRESH, AGED])
        session = await made.session(database, node)
        if isinstance(session, NotRun):
            await asyncio.sleep(0.1)
            continue
        key = (number, next(texts))
        for _ in range(luck.randint(1, 8)):
            await operation(session, history, database, key, texts, luck)
            await asyncio.sleep(luck.uniform(0, 0.3))
        await session.close()


async def operation(session, history, database, key, texts, luck):
    max_age = MAX_AGE if database == AGED else 0
    kind = luck.random()
    begun = now()
    if kind < 0.4:
        text = f'WRITE {key}-{next(texts)}'
        outcome = await session.run(statement(text))
        history.wrote(text, key, begun, now(), outcome)
    elif kind < 0.8:
        outcome = await session.run(statement('READ all'))
        if isinstance(outcome, Done):
            history.read(key, begun, outcome.answer.rows, max_age)
    else:
        await transaction(session, history, key, texts, luck)


async def transaction(session, history, key, texts, luck):
    begun = now()
    await session.run(statement('BEGIN'))
    written = []
    for _ in range(luck.randint(1, 3)):
        text = f'WRITE {key}-{next(texts)}'
        outcome = await session.run(statement(text))
        if not isinstance(outcome, Done):
            break
        written.append(text)
        await asyncio.sleep(luck.uniform(0, 0.1))
    if session.state is SessionState.FAILED_TRANSACTION:
        await session.run(statement('ROLLBACK'))
        return
    if luck.random() < 0.2:
        await session.run(statement('ROLLBACK'))
        return
    outcome = await session.run(statement('COMMIT'))
    for text in written:
        history.wrote(text, key, begun, now(), outcome)


async def trouble(made, luck, until):
    """Brings about one fault after the other, overlapping."""
    running = set()
    while now() < until:
        fault = luck.choice(FAULTS)
        seconds = luck.uniform(0.2, 5)
        task = asyncio.create_task(fault(made, luck, seconds))
        running.add(task)
        await asyncio.sleep(luck.uniform(0.1, 3))
    await asyncio.gather(*running)


async def dark(made, luck, seconds):
    server = luck.choice(list(made.servers.values()))
    if any(other.blocked for other in made.servers.values()):
        return
    server.blocked = True
    await asyncio.sleep(seconds)
    server.blocked = False


async def deaf(made, luck, seconds):
    server = luck.choice(list(made.servers.values()))
    server.replication_blocked = True
    await asyncio.sleep(seconds)
    server.replication_blocked = False


async def lagging(made, luck, seconds):
    server = luck.choice(list(made.servers.values()))
    server.lag = luck.uniform(0, 3)
    await asyncio.sleep(seconds)
    server.lag = 0.01


async def losing_answers(made, luck, _):
    luck.choice(list(made.servers.values())).lose_answers += luck.randint(1, 3)


async def busy(made, luck, _):
    luck.choice(list(made.servers.values())).busy += luck.randint(1, 20)


async def cut_from_servers(made, luck, seconds):
    node = luck.choice(sorted(made.stores))
    pairs = {(node, name) for name in made.servers if luck.random() < 0.6}
    made.blocked_paths |= pairs
    await asyncio.sleep(seconds)
    made.blocked_paths -= pairs


async def cut_from_store(made, luck, seconds):
    for store in made.stores.values():
        if luck.random() < 0.5:
            store.blocked = True
    await asyncio.sleep(seconds)
    for store in made.stores.values():
        store.blocked = False


async def losing_store_answers(made, luck, _):
    luck.choice(list(made.stores.values())).lose_answers += luck.randint(1, 4)


async def cut_primary(made, luck, seconds):
    primary = made.database.primary.name
    cuts = {
        (primary, name)
        for name in made.servers
        if name != primary and luck.random() < 0.7
    }
    made.database.partitions |= cuts
    await asyncio.sleep(seconds)
    made.database.partitions -= cuts


async def leaving(made, luck, seconds):
    server = made.database.primary
    server.leaving = True
    made.list_server(server)
    await asyncio.sleep(seconds)
    server.leaving = False
    made.list_server(server)


async def killed_node(made, luck, seconds):
    if len(made.nodes) < 2:
        return
    name = luck.choice(sorted(made.nodes))
    await made.kill_node(name)
    await asyncio.sleep(seconds)
    made.start_node(name)


FAULTS = (
    dark,
    deaf,
    lagging,
    losing_answers,
    busy,
    cut_from_servers,
    cut_from_store,
    losing_store_answers,
    cut_primary,
    leaving,
    killed_node,
)


@pytest.mark.parametrize('seed', range(FIRST, FIRST + SEEDS))
def test_random_histories_keep_the_promises(seed):
    print('seed', seed)
    luck = random.Random(seed)

    async def main():
        async with world(nodes=NODES) as made:
            history = History(made.database)
            over = asyncio.Event()
            callers = [
                asyncio.create_task(caller(made, history, number, luck, over))
                for number in range(4)
            ]
            await trouble(made, luck, now() + TROUBLE)
            await asyncio.sleep(RECOVERY - 2)
            before = history.done
            await asyncio.sleep(2)
            over.set()
            await asyncio.gather(*callers)
            return history, history.done - before

    history, recovered = run(main())
    assert history.find_violations() == []
    assert recovered > 0
