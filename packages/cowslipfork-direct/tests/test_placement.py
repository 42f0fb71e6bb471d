"""What a node may use of the endpoints of a group."""

import asyncio

import pytest
from direct_fakes.world import run, world

from cowslipfork_direct.link_quota import even_quota


def _quota(node):
    group = next(iter(node._view.groups.values()))
    return group._link_quota


def links_of(connections, count):
    nodes = [f'n{number}' for number in range(count)]
    return [even_quota('g', node, nodes, connections) for node in nodes]


@pytest.mark.parametrize(
    ('connections', 'count'), [(44, 31), (186, 24), (23, 5), (60, 3), (7, 7)]
)
def test_all_connections_of_an_endpoint_are_divided(connections, count):
    quotas = links_of(connections, count)
    assert sum(quota.links for quota in quotas) == connections
    assert {quota.kept for quota in quotas} == {connections // count}
    assert max(quota.links for quota in quotas) <= connections // count + 1


def test_each_node_may_open_a_connection_even_if_there_are_too_few():
    assert {quota.links for quota in links_of(3, 5)} == {1}


def test_a_node_that_is_not_listed_yet_counts_itself():
    assert even_quota('g', 'n9', ['n1', 'n2'], 60).links == 20


@pytest.mark.parametrize('first', ['nodes', 'configuration'])
def test_shares_do_not_depend_on_the_order_of_news(first):
    async def main():
        async with world(nodes=3, connections=4) as cluster:
            if first == 'configuration':
                cluster.configure()
                await asyncio.sleep(1)
            cluster.start_node('n4', 'a')
            await asyncio.sleep(1)
            if first == 'nodes':
                cluster.configure()
                await asyncio.sleep(1)
            return [_quota(node).links for node in cluster.nodes.values()]

    assert run(main()) == [1, 1, 1, 1]


def test_a_change_of_the_configuration_divides_connections_anew():
    async def main():
        async with world(nodes=3, connections=60) as cluster:
            before = _quota(cluster.nodes['n1']).links
            cluster.connections = 30
            cluster.configure()
            await asyncio.sleep(1)
            return before, _quota(cluster.nodes['n1']).links

    assert run(main()) == (20, 10)


def test_a_change_of_the_nodes_divides_connections_evenly():
    async def main():
        async with world(nodes=3, connections=60) as cluster:
            before = _quota(cluster.nodes['n1']).links
            cluster.start_node('n4', 'a')
            await asyncio.sleep(1)
            return before, _quota(cluster.nodes['n1']).links

    assert run(main()) == (20, 15)
