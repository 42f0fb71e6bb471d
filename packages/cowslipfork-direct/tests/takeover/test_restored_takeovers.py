"""Takeovers around a return of the store from an older copy."""

import asyncio

import pytest
from direct_fakes.history import History
from direct_fakes.restore import (
    GAP,
    GROUP,
    LONGEST_WAIT,
    now,
    replace_primary,
    write,
    write_till,
    write_until,
)
from direct_fakes.world import run, world

from cowslipfork.ids import Term
from cowslipfork.store import Event
from cowslipfork_direct.era_settlement import SETTLE_TIME
from cowslipfork_direct.fleet import node_key
from cowslipfork_direct.store_watcher import ABSENCE_GRACE
from cowslipfork_direct.takeover.records import (
    ClaimId,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    takeover_key,
)
from cowslipfork_direct.takeover.takeover_cache import TakeoverCache


def test_fences_rise_though_revisions_fall():
    async def main():
        async with world(nodes=3) as cluster:
            copy = cluster.store.copy()
            for _ in range(50):
                cluster.store.put('servers/unused', None)
            await replace_primary(cluster, 'e1')
            cluster.store.restore(copy)
            cluster.servers['e1'].blocked = False
            await asyncio.sleep(SETTLE_TIME + 1)
            await replace_primary(cluster, cluster.database.primary.name)
            return cluster

    cluster = run(main())
    fences = [order.fence for _, order in cluster.orders]
    assert len(fences) == 2
    assert fences == sorted(set(fences))


def test_no_takeover_is_claimed_before_the_era_is_settled():
    async def main():
        async with world(nodes=3) as cluster:
            cluster.store.restore(cluster.store.copy())
            restored_at = now()
            await asyncio.sleep(0.5)
            await replace_primary(cluster, 'e1')
            return cluster, restored_at

    cluster, restored_at = run(main())
    ordered_at = cluster.orders[0][0]
    assert restored_at + SETTLE_TIME <= ordered_at
    assert ordered_at <= restored_at + SETTLE_TIME + GAP


def test_a_vanished_record_does_not_bring_the_old_primary_back():
    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 1.5
            history = History(cluster.database)
            copy = cluster.store.copy()
            cluster.servers['e1'].blocked = True
            await write_till(cluster, lambda: cluster.orders)
            # The order was accepted; its record vanishes, the old primary
            # is back for those that still believe in it.
            cluster.store.restore(copy)
            cluster.servers['e1'].blocked = False
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            await asyncio.gather(
                *(
                    write_until(cluster, history, node, now() + 8)
                    for node in cluster.nodes
                )
            )
            entry = await cluster.store.get(takeover_key(GROUP))
            return history, entry

    history, entry = run(main())
    assert history.find_violations() == []
    assert history.done > 100
    assert entry is not None


def test_a_lost_record_is_written_again():
    async def main():
        async with world(nodes=2) as cluster:
            copy = cluster.store.copy()
            await replace_primary(cluster, 'e1')
            before = await cluster.store.get(takeover_key(GROUP))
            cluster.store.restore(copy)
            lost = await cluster.store.get(takeover_key(GROUP))
            await asyncio.sleep(SETTLE_TIME)
            return before, lost, await cluster.store.get(takeover_key(GROUP))

    before, lost, after = run(main())
    assert lost is None
    assert after.content == before.content


def takeover(phase, claim, ceiling):
    return Takeover(
        GROUP,
        Term(ceiling + 1),
        Term(ceiling),
        'e1',
        TakeoverKind.FAILOVER,
        phase,
        'n1',
        ClaimId(claim),
        'e2',
    )


ORDERED = takeover(TakeoverPhase.ORDERED, 'second', 2)


@pytest.mark.parametrize(
    ('restored', 'known_after'),
    [
        (takeover(TakeoverPhase.DONE, 'first', 1), ORDERED),
        (takeover(TakeoverPhase.CLAIMED, 'second', 2), ORDERED),
        (takeover(TakeoverPhase.ABANDONED, 'first', 2), ORDERED),
        (takeover(TakeoverPhase.DONE, 'second', 2), None),
        (takeover(TakeoverPhase.CLAIMED, 'third', 3), None),
    ],
)
def test_only_a_later_record_replaces_a_known_takeover(restored, known_after):
    async def main():
        told = []
        cache = TakeoverCache(told.append)
        key = takeover_key(GROUP)
        cache.apply_events([Event(key, encode(ORDERED), 90)])
        cache.start_era()
        told.clear()
        cache.apply_events([Event(key, encode(restored), 7, restored=True)])
        return cache.takeover(GROUP), told

    cached, told = run(main())
    assert cached.revision == 7
    assert cached.takeover == (known_after or restored)
    assert told == ([] if known_after else [restored])


def test_an_older_record_does_not_bring_an_older_primary_back():
    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            await replace_primary(cluster, 'e1')
            cluster.servers['e1'].blocked = False
            await asyncio.sleep(1)
            copy = cluster.store.copy()
            old = cluster.database.primary
            others = set(cluster.servers) - {old.name}
            cluster.database.promotion_delay = 1.5
            old.blocked = True
            await write_till(cluster, lambda: len(cluster.orders) == 2)
            cluster.store.restore(copy)
            # Replicas that restart forget that they are held.
            for name in others:
                cluster.servers[name].held_term = 0
            old.blocked = False
            cluster.database.partitions = {(old.name, name) for name in others}
            await asyncio.gather(
                *(
                    write_until(cluster, history, node, now() + 8)
                    for node in cluster.nodes
                )
            )
            return history

    history = run(main())
    assert history.find_violations() == []
    assert history.done > 100


def test_a_promotion_without_a_record_is_found_at_the_servers():
    """n3 hears nothing of a promotion and asks no server meanwhile."""

    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            copy = cluster.store.copy()
            cluster.stores['n3'].blocked = True
            cluster.node_partitions = {('n3', 'n1'), ('n3', 'n2')}
            cluster.servers['e1'].blocked = True
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            async with asyncio.timeout(LONGEST_WAIT):
                while len(cluster.database.terms) == 1:
                    await write(cluster, 'n1')
            cluster.servers['e1'].blocked = False
            cluster.store.restore(copy)
            for name in ('n1', 'n2'):
                await cluster.kill_node(name)
            cluster.stores['n3'].blocked = False
            await asyncio.sleep(SETTLE_TIME + 2)
            await write_until(cluster, history, 'n3', now() + 2)
            return history

    history = run(main())
    assert history.find_violations() == []
    assert history.done > 50


def test_a_node_that_missed_a_promotion_finds_it_at_the_servers():
    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            cluster.database.promotion_delay = 0.3
            copy = cluster.store.copy()
            # n3 sees neither the takeover nor that e1 is replaced.
            cluster.stores['n3'].blocked = True
            cluster.node_partitions = {('n3', 'n1'), ('n3', 'n2')}
            cluster.blocked_paths = {
                *(('n1', 'e1'), ('n2', 'e1')),
                *(('n3', 'e2'), ('n3', 'e3')),
            }
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            await write_till(cluster, lambda: len(cluster.database.terms) == 2)
            cluster.store.restore(copy)
            for name in ('n1', 'n2'):
                await cluster.kill_node(name)
            cluster.stores['n3'].blocked = False
            await write_until(cluster, history, 'n3', now() + 1)
            cluster.blocked_paths = set()
            await write_until(cluster, history, 'n3', now() + 6)
            return history

    history = run(main())
    assert history.find_violations() == []
    assert history.done > 50


def test_a_promotion_counts_nodes_that_the_copy_lacks():
    """n3 serves with confirmations of servers and is in no list any more."""

    async def main():
        async with world(nodes=2) as cluster:
            cluster.database.promotion_delay = 0.05
            copy = cluster.store.copy()
            cluster.start_node('n3', 'c')
            await asyncio.sleep(1)
            history = History(cluster.database)
            cluster.stores['n3'].blocked = True
            cluster.node_partitions = {('n3', 'n1'), ('n3', 'n2')}
            cluster.store.restore(copy)
            await asyncio.sleep(SETTLE_TIME + ABSENCE_GRACE + 1)
            listed = await cluster.store.get(node_key('n3'))
            # Only n3 reaches e1, and a replica that confirms it.
            cluster.blocked_paths = {
                *(('n1', 'e1'), ('n2', 'e1'), ('n3', 'e2')),
            }
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            await asyncio.gather(
                *(
                    write_until(cluster, history, node, now() + 6)
                    for node in cluster.nodes
                )
            )
            return cluster, history, listed

    cluster, history, listed = run(main())
    assert listed is None
    assert len(cluster.database.terms) == 2
    assert history.find_violations() == []


def test_a_lost_record_is_written_again_over_an_unreadable_one():
    """Guards against a takeover that only running processes know."""

    async def main():
        async with world(nodes=3) as cluster:
            copy = cluster.store.copy()
            await replace_primary(cluster, 'e1')
            cluster.store.restore(copy)
            cluster.store.put(takeover_key(GROUP), b'{')
            await asyncio.sleep(SETTLE_TIME + 1)
            return await cluster.store.get(takeover_key(GROUP))

    assert b'"done"' in run(main()).content
