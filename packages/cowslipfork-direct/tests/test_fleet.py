"""Entries of nodes in the store, also between versions."""

import asyncio

import msgspec
import pytest
from direct_fakes.world import run, world

from cowslipfork.ids import VmId
from cowslipfork.store import Event
from cowslipfork_direct.carriers import NodeTraits
from cowslipfork_direct.fleet import (
    RECENTLY,
    Fleet,
    Registered,
    alive_key,
    node_key,
)
from cowslipfork_direct.registration import Registration, RegistrationHooks
from cowslipfork_direct.relay import Address
from cowslipfork_direct.store_era import EraTracker


class OldRegistered(msgspec.Struct):
    """The entry as versions without carriers read and wrote it."""

    lease: int
    incarnation: int
    relay: Address
    era: int = 0


def registered(lease, **fields):
    return Registered(lease, 1, Address('10.0.0.1', 7440), **fields)


def fleet_of(entries, alive):
    fleet = Fleet(lambda: None)
    nodes, alive_keys = fleet.subscriptions()
    nodes.on_events(
        [
            Event(node_key(node), msgspec.json.encode(entry), 1)
            for node, entry in entries.items()
        ]
    )
    alive_keys.on_events([Event(alive_key(node), b'', 1) for node in alive])
    return fleet


def test_an_older_version_reads_a_new_entry():
    """Guards against nodes that lose each other during an update."""
    entry = registered(7, failure_domain='a', capacity=2.15)
    read = msgspec.json.decode(msgspec.json.encode(entry), type=OldRegistered)
    assert (read.lease, read.relay) == (7, entry.relay)


def test_an_entry_of_an_older_version_has_no_traits():
    entry = OldRegistered(7, 1, Address('10.0.0.1', 7440))
    fleet = fleet_of({'n1': entry}, ['n1'])
    assert fleet.carrier_candidates == {'n1': NodeTraits()}


@pytest.mark.parametrize(
    ('alive', 'expected'),
    [(['n1'], {'n1'}), ([], {'n1', 'n2'}), (['n3'], {'n1', 'n2'})],
)
def test_live_nodes_may_be_carriers(alive, expected):
    """Guards against a group without carriers while no leased key is seen."""
    entries = {
        'n1': registered(1, failure_domain='a', capacity=1),
        'n2': registered(2, failure_domain='b', capacity=1),
    }
    assert set(fleet_of(entries, alive).carrier_candidates) == expected


def test_a_node_registers_its_traits():
    async def load_nothing():
        """Stands for reading the takeovers."""

    async def main():
        async with world(nodes=0) as made:
            registration = Registration(
                VmId('n1'),
                Address('n1', 1),
                made.store,
                EraTracker(),
                Fleet(lambda: None),
                RegistrationHooks(
                    load_nothing, lambda begun: None, lambda: None
                ),
                NodeTraits('a', 2.15),
            )
            task = asyncio.create_task(registration.run())
            await asyncio.sleep(1)
            task.cancel()
            return await made.store.get(node_key(VmId('n1')))

    entry = msgspec.json.decode(run(main()).content, type=Registered)
    assert entry.traits == NodeTraits('a', 2.15)


def test_a_node_whose_lease_was_dropped_counts_as_recently_alive():
    """The store may drop the leases of nodes that live but don't reach it."""

    async def main():
        entries = {'n1': registered(1), 'n2': registered(2)}
        fleet = fleet_of(entries, ['n1', 'n2'])
        _, alive_keys = fleet.subscriptions()
        alive_keys.on_events([Event(alive_key('n2'), None, 2)])
        soon = set(fleet.recently_alive)
        await asyncio.sleep(RECENTLY + 1)
        return fleet.alive, soon, set(fleet.recently_alive)

    assert run(main()) == ({'n1'}, {'n1', 'n2'}, {'n1'})
