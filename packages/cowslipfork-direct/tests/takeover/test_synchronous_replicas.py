"""Takeovers of groups whose primary waits for a replica before it answers."""

import asyncio

import pytest
from direct_fakes.restore import now, write
from direct_fakes.world import run, world

from cowslipfork.outcomes import Done
from cowslipfork_direct.listing import LAPSE_GRACE

#: Seconds of silence after which the store drops a server's entry.
HEARTBEATS = 3.6

#: Seconds that a takeover takes once it knows every commit.
TAKEOVER = 3


async def write_some(cluster, count=20):
    """Writes; e3 receives only the first half."""
    for number in range(count):
        cluster.servers['e3'].replication_blocked = number >= count // 2
        outcome = await write(cluster, text=f'WRITE a {number}')
        assert isinstance(outcome, Done)
    await asyncio.sleep(0.05)


async def served_after(cluster, seconds=30):
    """Returns the seconds until a write succeeds; None if none does."""
    begun = now()
    while now() < begun + seconds:
        if isinstance(await write(cluster), Done):
            return now() - begun
        await asyncio.sleep(0.05)
    return None


@pytest.mark.parametrize('busy', [0.2, 1.0, 4.0, 9.0])
@pytest.mark.parametrize('leaving', [False, True])
def test_a_replica_that_lacks_a_commit_is_not_promoted(busy, leaving):
    """Guards against commits that only a busy replica holds."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            cluster.servers['e2'].control_busy = True
            await write_some(cluster)
            primary = cluster.servers['e1']
            primary.leaving = leaving
            primary.blocked = not leaving
            cluster.list_server(primary)
            loop = asyncio.get_running_loop()
            replica = cluster.servers['e2']
            loop.call_later(busy, setattr, replica, 'control_busy', False)
            gap = await served_after(cluster)
            await asyncio.sleep(busy + TAKEOVER)
            return cluster, gap

    cluster, gap = run(main())
    assert not cluster.database.lacks_commit(('WRITE a 19',))
    assert cluster.database.primary.name == 'e2'
    assert gap < busy + TAKEOVER


def test_a_replica_that_is_gone_is_not_waited_for():
    """Guards against a group without a primary for good."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            for name in ('e1', 'e2'):
                cluster.servers[name].blocked = True
            gap = asyncio.create_task(served_after(cluster))
            await asyncio.sleep(HEARTBEATS)
            for name in ('e1', 'e2'):
                cluster.store.put(f'servers/{name}', None)
            return cluster, await gap

    cluster, gap = run(main())
    assert cluster.database.primary.name == 'e3'
    assert gap < HEARTBEATS + LAPSE_GRACE + TAKEOVER


def test_a_primary_that_returns_ends_the_wait_for_a_busy_replica():
    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            cluster.servers['e2'].control_busy = True
            cluster.servers['e1'].blocked = True
            gap = asyncio.create_task(served_after(cluster))
            await asyncio.sleep(4)
            cluster.servers['e1'].blocked = False
            return cluster, await gap

    cluster, gap = run(main())
    assert cluster.orders == []
    assert gap < 4 + TAKEOVER


def test_without_synchronous_replicas_no_busy_replica_is_waited_for():
    async def main():
        async with world(nodes=3) as cluster:
            begun = now()
            cluster.servers['e2'].control_busy = True
            cluster.servers['e1'].blocked = True
            await served_after(cluster)
            return cluster.orders[0][0] - begun

    assert run(main()) < TAKEOVER


def test_a_primary_that_came_back_leads_again_beside_a_missing_replica():
    """Guards against a group without a primary though one has every commit."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            await write_some(cluster)
            for name in ('e1', 'e3'):
                cluster.servers[name].blocked = True
            loop = asyncio.get_running_loop()
            primary = cluster.servers['e1']
            loop.call_later(0.5, setattr, primary, 'blocked', False)
            return await served_after(cluster)

    gap = run(main())
    assert gap is not None
    assert gap < TAKEOVER
