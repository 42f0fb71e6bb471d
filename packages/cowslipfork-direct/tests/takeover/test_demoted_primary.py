"""Reads at a primary that was demoted in a takeover which a node missed."""

import asyncio
import itertools

import pytest
from direct_fakes.history import History
from direct_fakes.restore import now, write_until
from direct_fakes.world import AGED, FRESH, run, statement, world

from cowslipfork.ids import Term, VmId
from cowslipfork.outcomes import Done
from cowslipfork_direct.mark_history import MarkHistory
from cowslipfork_direct.takeover.records import (
    ClaimId,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    takeover_key,
)

#: A planned change of primary that another node has claimed.
HANDOVER = Takeover(
    'g',
    Term(2),
    Term(1),
    'e1',
    TakeoverKind.HANDOVER,
    TakeoverPhase.CLAIMED,
    VmId('other'),
    ClaimId('claim'),
)

#: Seconds by which the demoted server is behind the new primary.
LAG = 2.0


def lose_watch(cluster):
    """Loses the answers to the watch of n3; its calls are answered."""
    cluster.stores['n3'].hears_news.clear()


def lose_store(cluster):
    """Cuts n3 off from the store and the other nodes; it reaches servers."""
    cluster.stores['n3'].blocked = True
    cluster.node_partitions = {('n3', 'n1'), ('n3', 'n2')}


def read_once(begin):
    """Returns a function that reads through a session, in one try."""

    async def read(session):
        if begin and not isinstance(await session.run(statement(begin)), Done):
            return None
        outcome = await session.run(statement('READ all'))
        if begin:
            await session.run(statement('COMMIT'))
        return outcome.answer.rows if isinstance(outcome, Done) else None

    return read


async def read_until(cluster, history, database, read, until):
    """Reads through n3 with a session for each read."""
    max_age = 0 if database == FRESH else 1.5
    for number in itertools.count():
        if now() >= until:
            return
        session = await cluster.session(database, 'n3')
        begun = now()
        rows = await read(session)
        if rows is not None:
            history.record_read(number, begun, rows, max_age)
        await session.close()
        await asyncio.sleep(0.02)


def replace_planned(cluster):
    server = cluster.servers['e1']
    server.leaving = True
    cluster.list_server(server)


def old_primary_follows_late(cluster):
    """Has the demoted server follow its successor after ``LAG`` only."""
    replicate = cluster.database._replicate_from

    def follow(primary, other):
        loop = asyncio.get_running_loop()
        delay = LAG if other.name == 'e1' else 0
        loop.call_later(delay, replicate, primary, other)

    cluster.database._replicate_from = follow


@pytest.mark.parametrize('lose', [lose_watch, lose_store])
@pytest.mark.parametrize('begin', ['', 'BEGIN', 'BEGIN READ'])
@pytest.mark.parametrize('database', [FRESH, AGED])
def test_a_demoted_primary_serves_no_stale_read(lose, begin, database):
    """Guards against data of a demoted primary that is returned as fresh."""

    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 0.05
            old_primary_follows_late(cluster)
            history = History(cluster.database)
            until = now() + 6
            tasks = [
                asyncio.create_task(write_until(cluster, history, 'n1', until)),
                asyncio.create_task(
                    read_until(
                        cluster, history, database, read_once(begin), until
                    )
                ),
            ]
            await asyncio.sleep(1)
            lose(cluster)
            await asyncio.sleep(0.5)
            replace_planned(cluster)
            await asyncio.gather(*tasks)
            return cluster, history

    cluster, history = run(main())
    assert len(cluster.database.terms) == 2
    assert history.find_violations() == []
    assert history.reads > 50


@pytest.mark.parametrize('offset', [0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35])
def test_a_handover_waits_until_renewals_have_expired(offset):
    """Guards against a promotion while a renewal still proves the old one."""

    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 0.01
            old_primary_follows_late(cluster)
            history = History(cluster.database)
            until = now() + 5
            read = read_until(cluster, history, FRESH, read_once(''), until)
            tasks = [
                asyncio.create_task(read),
                asyncio.create_task(write_until(cluster, history, 'n1', until)),
            ]
            lose_watch(cluster)
            await asyncio.sleep(1 + offset)
            replace_planned(cluster)
            await asyncio.gather(*tasks)
            return cluster, history

    cluster, history = run(main())
    assert len(cluster.database.terms) == 2
    assert history.find_violations() == []


def test_a_renewal_proves_nothing_while_open_work_ends():
    """Guards against a lease that outlives a takeover known to the node."""

    async def main():
        async with world(nodes=1) as cluster:
            cluster.servers['e1'].service_time = 5
            session = await cluster.session(FRESH)
            pending = asyncio.create_task(session.run(statement('READ all')))
            await asyncio.sleep(0.1)
            group = cluster.nodes['n1']._view.groups['g']
            cluster.store.put(takeover_key('g'), encode(HANDOVER))
            await asyncio.sleep(0.01)
            before = group.leader_lease.valid_until
            group.extend_lease_on_renewal(now())
            pending.cancel()
            return group.accepting_leader, before, group.leader_lease

    accepting, before, lease = run(main())
    assert accepting is None
    assert lease.valid_until == before


async def write_at_successor(cluster):
    """Replaces e1, which n2 alone reaches; returns a session that wrote."""
    cluster.stores['n2'].blocked = True
    cluster.node_partitions = {('n2', 'n1'), ('n2', 'n3')}
    cluster.blocked_paths = {('n1', 'e1'), ('n3', 'e1')} | {
        ('n2', 'e2'),
        ('n2', 'e3'),
    }
    session = await cluster.session(AGED, 'n1')
    while len(cluster.database.terms) == 1 or not session.mark:
        await session.run(statement('WRITE own'))
        await asyncio.sleep(0.01)
    return session


def test_a_session_reads_its_writes_through_a_node_without_samples():
    """Guards against reads that lack what their session has written."""

    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 0.05
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            node = cluster.nodes['n2']
            node._view.groups['g'].mark_history = MarkHistory()
            written = await write_at_successor(cluster)
            other = await cluster.session(AGED, 'n2')
            other._mark = written.mark
            return await other.run(statement('READ own'))

    outcome = run(main())
    assert not isinstance(outcome, Done) or outcome.answer.rows
