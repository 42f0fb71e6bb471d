"""Processes are killed at the moment at which a primary is lost."""

import asyncio
import math

import pytest
from direct_fakes import servers
from direct_fakes.history import History
from direct_fakes.restore import now, replace_primary, write, write_until
from direct_fakes.world import run, world

from cowslipfork.outcomes import Done

#: Seconds until the platform starts the processes again.
DOWN = 1.4

#: Seconds within which the system serves again; the users' target.
RECOVERY = 12

#: Seconds of silence after which the store drops a server's entry.
HEARTBEATS = 3.6


async def lose_primary_and_nodes(cluster, killed, *, lapses=True):
    """Kills nodes and the primary together, and starts the nodes again.

    Returns the time at which the nodes were started.
    """
    primary = cluster.database.primary
    primary.blocked = True
    for name in killed:
        await cluster.kill_node(name)
    await asyncio.sleep(DOWN)
    for name in killed:
        cluster.start_node(name)
    back = now()
    if lapses:
        await asyncio.sleep(HEARTBEATS - DOWN)
        cluster.store.put(f'servers/{primary.name}', None)
    return back


async def served_at(cluster, node):
    """Returns the time at which a write succeeds; infinity if none does."""
    until = now() + 2 * RECOVERY
    while now() < until:
        if isinstance(await write(cluster, node), Done):
            return now()
        await asyncio.sleep(0.05)
    return math.inf


@pytest.mark.parametrize('lapses', [False, True])
@pytest.mark.parametrize('killed', [3, 4, 5])
def test_a_primary_lost_with_the_processes_is_replaced(killed, lapses):
    """Guards against a group without a primary for good."""

    async def main():
        async with world(nodes=5) as cluster:
            names = list(cluster.nodes)[:killed]
            back = await lose_primary_and_nodes(cluster, names, lapses=lapses)
            return await served_at(cluster, 'n1') - back

    assert run(main()) < RECOVERY


def test_survivors_and_restarted_nodes_are_a_majority_together():
    """Guards against suspicions that never agree on the primary."""

    async def main():
        async with world(nodes=4) as cluster:
            await write(cluster, 'n3')
            await write(cluster, 'n4')
            back = await lose_primary_and_nodes(cluster, ['n1', 'n2'])
            return await served_at(cluster, 'n3') - back

    assert run(main()) < RECOVERY


@pytest.mark.parametrize('lapses', [False, True])
def test_a_node_that_stays_away_does_not_prevent_the_takeover(lapses):
    """Guards against a wait for a process that is never started again."""

    async def main():
        async with world(nodes=5) as cluster:
            names = list(cluster.nodes)
            await cluster.kill_node('n5')
            back = await lose_primary_and_nodes(
                cluster, names[:4], lapses=lapses
            )
            return await served_at(cluster, 'n1') - back

    assert run(main()) < RECOVERY


def test_a_second_primary_lost_with_the_processes_is_replaced():
    async def main():
        async with world(nodes=3) as cluster:
            await replace_primary(cluster, 'e1')
            cluster.servers['e1'].blocked = False
            await asyncio.sleep(1)
            back = await lose_primary_and_nodes(cluster, list(cluster.nodes))
            return await served_at(cluster, 'n1') - back

    assert run(main()) < RECOVERY


def test_a_primary_that_only_restarted_nodes_miss_stays():
    """Guards against a failover because new processes reach no primary."""

    async def main():
        async with world(nodes=5) as cluster:
            history = History(cluster.database)
            cut_off = ('n1', 'n2')
            cluster.blocked_paths = {(name, 'e1') for name in cut_off}
            cluster.node_partitions = {
                (name, other)
                for name in cut_off
                for other in ('n3', 'n4', 'n5')
            }
            for name in cut_off:
                await cluster.kill_node(name)
                cluster.start_node(name)
            await write_until(cluster, history, 'n3', now() + 10)
            return cluster, history

    cluster, history = run(main())
    assert cluster.orders == []
    assert history.done > 100


def test_a_demoted_primary_leads_again_if_all_replicas_are_lost(monkeypatch):
    """Guards against a group without a primary while one server is sound."""

    async def main():
        async with world(nodes=3) as cluster:
            demote = servers.FakeLink.demote
            demoted = asyncio.Event()

            async def lose_replicas(link, term):
                status = await demote(link, term)
                for name in ('e2', 'e3'):
                    cluster.servers[name].blocked = True
                demoted.set()
                return status

            monkeypatch.setattr(servers.FakeLink, 'demote', lose_replicas)
            await cluster.kill_node('n3')
            primary = cluster.servers['e1']
            primary.leaving = True
            cluster.list_server(primary)
            await demoted.wait()
            begun = now()
            return await served_at(cluster, 'n1') - begun

    assert run(main()) < RECOVERY
