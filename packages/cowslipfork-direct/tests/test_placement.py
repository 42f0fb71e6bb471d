"""What a node may use of the endpoints of a group."""

import asyncio

from direct_fakes.world import run, world

from cowslipfork_direct.group import INITIAL_LINKS


def _quota(node):
    group = next(iter(node._view.groups.values()))
    return group._link_quota


def test_a_change_of_the_configuration_leaves_even_shares_as_they_are():
    """Deployments without carriers are served as before there were any."""

    async def main():
        async with world(nodes=3, connections=4) as cluster:
            node = cluster.nodes['n1']
            group = next(iter(node._view.groups.values()))
            group.set_link_quota(INITIAL_LINKS)
            cluster.configure()
            await asyncio.sleep(1)
            before = _quota(node)
            cluster.start_node('n4', 'a')
            await asyncio.sleep(1)
            return before, _quota(node)

    assert run(main()) == (INITIAL_LINKS, 1)


def test_a_change_of_the_nodes_divides_connections_evenly():
    async def main():
        async with world(nodes=3, connections=60) as cluster:
            before = _quota(cluster.nodes['n1'])
            cluster.start_node('n4', 'a')
            await asyncio.sleep(1)
            return before, _quota(cluster.nodes['n1'])

    assert run(main()) == (20, 15)
