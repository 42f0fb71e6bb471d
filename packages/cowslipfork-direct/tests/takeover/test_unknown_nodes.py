"""Nodes that the promoter of a takeover has not heard of."""

import asyncio

import pytest
from direct_fakes.history import History
from direct_fakes.restore import now, write_until
from direct_fakes.world import run, world


@pytest.mark.parametrize('hears_news', [False, True])
def test_a_takeover_waits_for_a_node_that_registered_unnoticed(hears_news):
    """Guards against acknowledged writes at a primary that was replaced."""

    async def main():
        async with world(nodes=1) as cluster:
            cluster.database.promotion_delay = 0.05
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            history = History(cluster.database)
            cluster.stores['n1'].hears_news.clear()
            cluster.start_node('n2')
            await asyncio.sleep(1)
            if not hears_news:
                cluster.stores['n2'].hears_news.clear()
            cluster.blocked_paths = {('n1', 'e1')}
            cluster.node_partitions = {('n1', 'n2')}
            await asyncio.gather(
                *(
                    write_until(cluster, history, node, now() + 5)
                    for node in cluster.nodes
                )
            )
            return cluster, history

    cluster, history = run(main())
    assert len(cluster.database.terms) == 2
    assert history.find_violations() == []
