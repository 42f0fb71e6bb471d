"""The carriers as a node sees them while the list of nodes changes."""

from cowslipfork_direct.carriers import NodeTraits
from cowslipfork_direct.forwarding.carrier_table import CarrierTable

NODES = {f'n{number}': NodeTraits('abc'[number % 3], 1) for number in range(9)}


def test_the_order_ends_with_the_entry_node():
    table = CarrierTable('x', lambda: NODES, 3)
    order = table.try_order('g', 'w')
    assert set(order[:3]) == set(table.carriers('g'))
    assert len(order) == 7
    assert order[-1] == 'x'


def test_a_carrier_stands_once_in_its_own_order():
    first = CarrierTable('x', lambda: NODES, 3).carriers('g')[0]
    table = CarrierTable(first, lambda: NODES, 3)
    order = table.try_order('g', None)
    assert order[0] == first
    assert len(set(order)) == len(order)
    assert table.is_carrier('g')


def test_without_nodes_the_entry_node_is_left():
    table = CarrierTable('x', dict, 3)
    assert table.try_order('g', 'w') == ('x',)
    assert not table.is_carrier('g')


def test_a_change_of_the_list_takes_effect_and_is_logged(caplog):
    """Guards against statements sent to a node that has left."""
    caplog.set_level('INFO')
    nodes = dict(NODES)
    table = CarrierTable('x', lambda: nodes, 3)
    left = table.carriers('g')[0]
    before = table.try_order('g', 'w')
    table.refresh()
    assert not caplog.records
    del nodes[left]
    table.refresh()
    assert left not in table.carriers('g')
    assert left in before
    assert left not in table.try_order('g', 'w')
    (line,) = caplog.records
    assert line.msg == 'carriers_changed'
    assert line.carriers == ','.join(table.carriers('g'))
