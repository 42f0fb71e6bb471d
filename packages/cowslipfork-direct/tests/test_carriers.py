"""The choice of carriers: balance, spread, stability, shares."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowslipfork_direct.carriers import (
    EndpointShare,
    NodeTraits,
    carrier_share,
    carriers_of,
    preferred,
    ranked,
    reserved_connections,
    uses_carriers,
)

DOMAINS = 'abc'
GROUPS = [f'group-{number}' for number in range(300)]


def fleet(size, capacity=1, first=0):
    return {
        f'node-{number}': NodeTraits(DOMAINS[number % 3], capacity)
        for number in range(first, first + size)
    }


def test_every_node_carries_about_as_many_groups():
    """Guards against nodes that carry most groups."""
    nodes = fleet(12)
    carried = Counter(
        carrier for group in GROUPS for carrier in carriers_of(group, nodes, 3)
    )
    even = len(GROUPS) * 3 / len(nodes)
    assert min(carried[node] for node in nodes) > even * 0.6
    assert max(carried.values()) < even * 1.4


def test_workspaces_are_spread_over_the_carriers():
    """Guards against one carrier that serves all workspaces."""
    nodes = fleet(12)
    carriers = carriers_of('g', nodes, 3)
    first = Counter(
        preferred('g', carriers, nodes, 'node-0', f'w{number}')[0]
        for number in range(300)
    )
    assert min(first[carrier] for carrier in carriers) > 60


def test_all_entry_nodes_send_a_workspace_to_the_same_carrier():
    """Guards against connections of a workspace at every carrier."""
    nodes = fleet(12)
    carriers = carriers_of('g', nodes, 3)
    orders = {
        preferred('g', carriers, nodes, entry, 'orders') for entry in nodes
    }
    assert len(orders) == 1
    assert set(orders.pop()) == set(carriers)


@pytest.mark.parametrize('group', GROUPS[:20])
def test_carriers_are_in_different_failure_domains(group):
    """Guards against a group without carriers after one domain failed."""
    nodes = fleet(12)
    chosen = carriers_of(group, nodes, 3)
    assert {nodes[node].failure_domain for node in chosen} == set(DOMAINS)


def test_more_carriers_than_failure_domains_are_spread_evenly():
    nodes = fleet(12)
    chosen = carriers_of('g', nodes, 6)
    per_domain = Counter(nodes[node].failure_domain for node in chosen)
    assert set(per_domain.values()) == {2}


@given(
    domains=st.lists(st.sampled_from('abcd'), min_size=1, max_size=20),
    count=st.integers(1, 9),
    leaving=st.integers(0, 19),
    group=st.sampled_from(GROUPS),
)
def test_a_node_that_leaves_or_joins_changes_one_carrier(
    domains, count, leaving, group
):
    """Guards against many connections moving at each change of the list."""
    more = {
        f'n{number}': NodeTraits(domain, 1)
        for number, domain in enumerate(domains)
    }
    fewer = dict(more)
    fewer.pop(f'n{leaving % len(more)}')
    before = set(carriers_of(group, more, count))
    after = set(carriers_of(group, fewer, count))
    assert len(before - after) <= 1
    assert len(after - before) <= 1


def test_nodes_of_small_capacity_carry_only_where_large_ones_lack():
    """Guards against carriers with a slow link."""
    large = fleet(2, capacity=2.15)
    nodes = fleet(78, capacity=0.25, first=10) | large
    for group in GROUPS[:20]:
        assert set(ranked(group, nodes)[:2]) == set(large)
        assert len(set(carriers_of(group, nodes, 3)) - set(large)) == 1


def test_half_of_the_greatest_capacity_counts_as_large():
    nodes = {'n1': NodeTraits('a', 2), 'n2': NodeTraits('a', 1)}
    firsts = {carriers_of(group, nodes, 1)[0] for group in GROUPS}
    assert firsts == {'n1', 'n2'}


def test_nodes_of_older_versions_come_last():
    """Guards against a failure while versions are mixed."""
    older = {'old-1': NodeTraits(), 'old-2': NodeTraits()}
    nodes = older | fleet(3)
    assert set(ranked('g', nodes)[3:]) == set(older)


def test_nodes_of_older_versions_alone_are_carriers():
    older = {f'old-{number}': NodeTraits() for number in range(5)}
    carriers = carriers_of('g', older, 3)
    assert len(carriers) == 3
    order = preferred('g', carriers, older, 'unlisted', None)
    assert set(order) == set(carriers)


def test_an_empty_list_has_no_carriers():
    assert carriers_of('g', {}, 3) == ()
    assert preferred('g', (), {}, 'n1', None) == ()
    assert preferred('g', (), {}, 'n1', 'w') == ()


def test_all_of_a_few_nodes_are_carriers():
    assert set(carriers_of('g', fleet(2), 3)) == {'node-0', 'node-1'}


def test_without_workspaces_the_own_failure_domain_comes_first():
    nodes = fleet(12)
    carriers = carriers_of('g', nodes, 3)
    for entry in nodes:
        first = preferred('g', carriers, nodes, entry, None)[0]
        assert nodes[first].failure_domain == nodes[entry].failure_domain


def test_a_carrier_prefers_itself_without_workspaces():
    nodes = {f'n{number}': NodeTraits('a', 1) for number in range(9)}
    carriers = carriers_of('g', nodes, 3)
    for entry in carriers:
        assert preferred('g', carriers, nodes, entry, None)[0] == entry


def test_nodes_of_another_failure_domain_are_spread_over_the_carriers():
    nodes = fleet(12)
    carriers = carriers_of('g', nodes, 3)
    strangers = {f's{number}': NodeTraits('z', 0) for number in range(200)}
    first = Counter(
        preferred('g', carriers, nodes | strangers, entry, None)[0]
        for entry in strangers
    )
    assert min(first[carrier] for carrier in carriers) > 40


@pytest.mark.parametrize(
    ('workspaces', 'connections', 'nodes', 'direct_connections', 'expected'),
    [
        (False, 46, 84, 1, True),
        (False, 84, 84, 1, False),
        (False, 83, 84, 1, True),
        (False, 78, 33, 1, False),
        (True, 78, 33, 1, True),
        (False, 78, 33, 3, True),
        (False, 1, 84, 0, False),
        (False, 1, 0, 1, False),
    ],
)
def test_carriers_are_used_with_workspaces_or_few_connections(
    workspaces, connections, nodes, direct_connections, expected
):
    used = uses_carriers(
        workspaces=workspaces,
        connections=connections,
        nodes=nodes,
        direct_connections=direct_connections,
    )
    assert used is expected


@pytest.mark.parametrize(
    ('connections', 'slots', 'carriers', 'expected'),
    [
        (46, 4, 3, EndpointShare(14, 3)),
        (78, 5, 3, EndpointShare(23, 4)),
        (73, 6, 3, EndpointShare(22, 4)),
        (46, 4, 9, EndpointShare(4, 2)),
        (46, 1, 1, EndpointShare(42, 2)),
        (5, 8, 3, EndpointShare(1, 1)),
        (1, 1, 3, EndpointShare(1, 1)),
    ],
)
def test_shares_of_a_carrier(connections, slots, carriers, expected):
    assert carrier_share(connections, slots, carriers) == expected


@given(st.integers(5, 200), st.integers(1, 50), st.integers(1, 9))
def test_shares_stay_within_the_endpoints_connections(
    connections, slots, carriers
):
    """Guards against connections that endpoints refuse."""
    share = carrier_share(connections, slots, carriers)
    reserved = reserved_connections(connections)
    assert 1 <= share.statements <= share.connections
    if share.connections > 1:
        assert share.connections * carriers <= connections - reserved
