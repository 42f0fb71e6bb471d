"""The entry of a node in the store, and the key that shows it alive."""

import asyncio

from direct_fakes.world import run, world

from cowslipfork_direct.fleet import alive_key


def test_a_leaving_node_stays_withdrawn_when_its_lease_ends():
    """Guards against new work for a node that is about to stop."""

    async def main():
        async with world(nodes=2) as cluster:
            cluster.configure(workspaces={'w': ['key']})
            await asyncio.sleep(0.5)
            node = cluster.nodes['n1']
            node.start_leaving()
            await asyncio.sleep(1)
            withdrawn = await cluster.store.get(alive_key('n1')) is None
            ended = node._registration.lease
            await cluster.store.end(ended)
            await asyncio.sleep(2)
            again = await cluster.store.get(alive_key('n1'))
            return withdrawn, node._registration.lease != ended, again

    assert run(main()) == (True, True, None)
