"""Outages of the store in which entries of servers and nodes lapse."""

import asyncio

import pytest
from direct_fakes.history import History
from direct_fakes.restore import now, replace_primary, write_until
from direct_fakes.world import World, run, world

from cowslipfork.ids import EndpointId
from cowslipfork_direct.fleet import REREGISTRATION_TIME
from cowslipfork_direct.group_endpoints import DEPARTED_HORIZON
from cowslipfork_direct.listing import LAPSE_GRACE

#: Seconds without the store: longer than three heartbeats of a server.
OUTAGE = 4.5

#: Seconds within which all entries are back after an outage.
ENTRIES_BACK = 1.8


async def pass_outage(cluster, first='e2'):
    """Has the store answer nobody, and all entries lapse meanwhile."""
    for store in cluster.stores.values():
        store.blocked = True
    for name in cluster.servers:
        cluster.store.put(f'servers/{name}', None)
    await asyncio.sleep(OUTAGE)
    for store in cluster.stores.values():
        store.blocked = False
    await asyncio.sleep(0.1)
    cluster.list_server(cluster.servers[first])
    await asyncio.sleep(ENTRIES_BACK - 0.1)
    cluster.list_servers()


def write_through_all(cluster, history, until):
    return [
        asyncio.create_task(write_until(cluster, history, node, until))
        for node in cluster.nodes
    ]


@pytest.mark.parametrize('first', ['e1', 'e2', 'e3'])
def test_a_sound_primary_stays_when_entries_lapse_in_an_outage(first):
    """Guards against acknowledged writes at a primary that was replaced."""

    async def main():
        async with world(nodes=5) as cluster:
            history = History(cluster.database)
            writers = write_through_all(cluster, history, now() + 12)
            await asyncio.sleep(1)
            await pass_outage(cluster, first)
            await asyncio.gather(*writers)
            return cluster, history

    cluster, history = run(main())
    assert cluster.orders == []
    assert history.find_violations() == []
    assert history.done > 100


def test_nodes_started_in_an_outage_replace_no_sound_primary():
    """Guards against conclusions from a list that is not whole yet."""

    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            await replace_primary(cluster, 'e1')
            cluster.servers['e1'].blocked = False
            await asyncio.sleep(1)
            orders = len(cluster.orders)
            writers = write_through_all(cluster, history, now() + 10)
            outage = asyncio.create_task(
                pass_outage(cluster, a_replica(cluster))
            )
            await asyncio.sleep(OUTAGE - 0.5)
            for node in tuple(cluster.nodes):
                await cluster.kill_node(node)
                cluster.start_node(node)
            await outage
            await asyncio.gather(*writers)
            return history, len(cluster.orders) - orders

    history, orders = run(main())
    assert orders == 0
    assert history.find_violations() == []


def a_replica(cluster):
    primary = cluster.database.primary
    return next(one for one in cluster.servers if one != primary.name)


def test_one_node_is_no_majority_when_all_leases_have_lapsed():
    """Guards against a failover because a single node can't reach a primary."""

    async def main():
        async with world(nodes=5) as cluster:
            await pass_outage(cluster)
            for number in range(2, 6):
                cluster.stores[f'n{number}'].blocked = True
                await cluster.store.end(
                    cluster.nodes[f'n{number}']._registration.lease
                )
            cluster.blocked_paths = {('n1', 'e1')}
            cluster.node_partitions = {
                ('n1', f'n{number}') for number in range(2, 6)
            }
            await asyncio.sleep(REREGISTRATION_TIME - 0.5)
            return cluster

    assert run(main()).orders == []


def test_a_replica_whose_entry_lapsed_may_still_confirm_a_primary():
    """Guards against a fence without servers that other nodes count."""

    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 0.05
            cluster.database.partitions = {('e1', 'e2'), ('e3', 'e2')}
            history = History(cluster.database)
            until = now() + DEPARTED_HORIZON
            isolate_with_primary(cluster, 'n3')
            cluster.store.put('servers/e1', None)
            cluster.store.put('servers/e3', None)
            writers = write_through_all(cluster, history, until)
            await asyncio.sleep(LAPSE_GRACE + 2)
            early = len(cluster.orders)
            await asyncio.gather(*writers)
            return early, history

    early, history = run(main())
    assert early == 0
    assert history.find_violations() == []


def isolate_with_primary(cluster, node):
    """Leaves one node without the store, and e1 and e3 to that node alone."""
    others = set(cluster.nodes) - {node}
    cluster.stores[node].blocked = True
    cluster.node_partitions = {(node, other) for other in others}
    cluster.blocked_paths = {
        (other, name) for other in others for name in ('e1', 'e3')
    } | {(node, EndpointId('e2'))}


def test_a_claimer_that_lists_no_server_fences_nothing():
    """Guards against a fence of no servers that counts as enough."""

    async def main():
        cluster = World()
        cluster.servers['e1'].blocked = True
        for name in cluster.servers:
            cluster.store.put(f'servers/{name}', None)
        cluster.start_node('n1')
        try:
            await asyncio.sleep(10)
            return cluster.orders
        finally:
            await cluster.close()

    assert run(main()) == []


def test_nodes_whose_lease_has_just_lapsed_are_electors():
    """Guards against a majority of the one node that registered first."""

    async def main():
        async with world(nodes=3) as cluster:
            cluster.node_partitions = {('n1', 'n2'), ('n1', 'n3')}
            for name in ('n2', 'n3'):
                cluster.stores[name].blocked = True
                lease = cluster.nodes[name]._registration.lease
                await cluster.store.end(lease)
            electors = cluster.nodes['n1']._placement.electors
            await asyncio.sleep(REREGISTRATION_TIME - 0.5)
            soon = electors('g')
            await asyncio.sleep(1)
            return soon, electors('g')

    assert run(main()) == ({'n1', 'n2', 'n3'}, {'n1'})
