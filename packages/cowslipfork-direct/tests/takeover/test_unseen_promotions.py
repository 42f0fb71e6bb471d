"""Takeovers that follow one whose order took effect and nobody saw it."""

import asyncio

import pytest
from direct_fakes.history import History
from direct_fakes.restore import now, replace_primary, write, write_until
from direct_fakes.world import run, world

from cowslipfork.ids import GroupName, Term, VmId
from cowslipfork.outcomes import Done
from cowslipfork_direct.promotion import OrderResult
from cowslipfork_direct.takeover.records import (
    ClaimId,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    takeover_key,
)

#: Seconds until a takeover without progress is claimed anew, and seconds that
#: the new claim and its promotion may take.
CLAIMED_ANEW = 3
GAP = 3


def crash_once_it_leads(cluster):
    """Has the next new primary crash at the moment at which it leads."""
    database = cluster.database
    become_primary = database._become_primary

    def crash(server):
        server.blocked = True
        become_primary(server)
        database._become_primary = become_primary

    database._become_primary = crash


async def write_from_all(cluster, history, seconds):
    """Writes through all nodes that run."""
    await asyncio.gather(
        *(
            write_until(cluster, history, node, now() + seconds)
            for node in tuple(cluster.nodes)
        )
    )


def begin_takeover(cluster, kind):
    """Has the primary e1 leave, or fall silent for a moment."""
    primary = cluster.servers['e1']
    if kind is TakeoverKind.HANDOVER:
        primary.leaving = True
        cluster.list_server(primary)
        return
    primary.blocked = True
    loop = asyncio.get_running_loop()
    loop.call_later(2.5, setattr, primary, 'blocked', False)


async def restart_nodes(cluster, names):
    for name in names:
        await cluster.kill_node(name)
    await asyncio.sleep(0.5)
    for name in names:
        cluster.start_node(name, 'abc'[int(name[1:]) - 1])


@pytest.mark.parametrize('kind', TakeoverKind)
@pytest.mark.parametrize('restarted', [(), ('n1',), ('n1', 'n2', 'n3')])
def test_an_old_primary_is_not_used_after_an_unseen_promotion(kind, restarted):
    """Guards against an abandoned takeover that leaves two primaries."""

    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            crash_once_it_leads(cluster)
            cluster.servers['e3'].blocked = True
            await asyncio.sleep(0.5)
            begin_takeover(cluster, kind)
            await write_from_all(cluster, history, 1.5)
            await restart_nodes(cluster, restarted)
            await write_from_all(cluster, history, 7)
            for server in cluster.servers.values():
                server.blocked = False
            await write_from_all(cluster, history, 4)
            return cluster, history

    cluster, history = run(main())
    assert history.find_violations() == []
    assert len(cluster.database.terms) >= 3
    assert history.done > 100


def test_an_outdated_primary_is_promoted_if_no_replica_answers():
    """Guards against a group without primary until a replica is back."""

    async def main():
        async with world(nodes=3) as cluster:
            crash_once_it_leads(cluster)
            cluster.servers['e3'].blocked = True
            await asyncio.sleep(0.5)
            begin_takeover(cluster, TakeoverKind.HANDOVER)
            begun = now()
            while len(cluster.database.terms) < 3 and now() < begun + 20:
                await write(cluster)
                await asyncio.sleep(0.05)
            return cluster, now() - begun, await write(cluster)

    cluster, gap, outcome = run(main())
    assert cluster.database.primary.name == 'e1'
    assert gap < CLAIMED_ANEW + GAP
    assert isinstance(outcome, Done)


def test_a_primary_of_an_unseen_promotion_goes_on_when_it_is_back():
    """Guards against a second change of primary, which would lose commits."""

    async def main():
        async with world(nodes=3) as cluster:
            crash_once_it_leads(cluster)
            cluster.servers['e3'].blocked = True
            await asyncio.sleep(0.5)
            primary = cluster.servers['e1']
            primary.blocked = True
            begun = now()
            while len(cluster.database.terms) < 2 and now() < begun + 20:
                await write(cluster)
                await asyncio.sleep(0.05)
            await asyncio.sleep(CLAIMED_ANEW + 2)
            cluster.servers['e2'].blocked = False
            await asyncio.sleep(GAP)
            return cluster, await write(cluster)

    cluster, outcome = run(main())
    assert [name for _, name, _ in cluster.database.terms] == ['e1', 'e2']
    assert isinstance(outcome, Done)


def test_a_lost_answer_to_an_order_does_not_bring_the_old_primary_back():
    """Guards against an abandoned takeover after an order without answer."""

    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            crash_once_it_leads(cluster)
            lose_answers_to_orders(cluster)
            cluster.servers['e3'].blocked = True
            await asyncio.sleep(0.5)
            begin_takeover(cluster, TakeoverKind.HANDOVER)
            await write_from_all(cluster, history, 15)
            cluster.servers['e2'].blocked = False
            cluster.servers['e3'].blocked = False
            await write_from_all(cluster, history, 4)
            return history

    history = run(main())
    assert history.find_violations() == []
    assert history.done > 100


def lose_answers_to_orders(cluster):
    """Has the platform carry out orders for e2 without an answer."""
    order = cluster.order

    async def lose_answer(promotion):
        result = await order(promotion)
        return OrderResult.LOST if promotion.endpoint == 'e2' else result

    cluster.order = lose_answer


ABANDONED = Takeover(
    GroupName('g'),
    Term(3),
    Term(2),
    'e2',
    TakeoverKind.FAILOVER,
    TakeoverPhase.ABANDONED,
    VmId('other'),
    ClaimId('abandoned'),
)


def test_an_abandoned_takeover_brings_no_earlier_primary_back():
    """Guards against a node that forgets which terms had a primary."""

    async def main():
        async with world(nodes=3) as cluster:
            await replace_primary(cluster, 'e1')
            history = History(cluster.database)
            # n3 reaches the first primary only.
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            cluster.blocked_paths = {('n3', 'e2'), ('n3', 'e3')}
            cluster.node_partitions = {('n3', 'n1'), ('n3', 'n2')}
            cluster.servers['e1'].blocked = False
            cluster.store.put(takeover_key(GroupName('g')), encode(ABANDONED))
            await write_from_all(cluster, history, 3)
            return history

    history = run(main())
    assert history.find_violations() == []
    assert history.done > 100
