"""The entry of a node in the store, and the key that shows it alive."""

import asyncio

import msgspec
from direct_fakes.world import run, world

from cowslipfork.store.memory import Fault
from cowslipfork_direct.fleet import Registered, alive_key, node_key


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


async def restart(cluster, name):
    """Stops a node as planned and starts it again."""
    await cluster.nodes[name]._registration.deregister()
    await cluster.kill_node(name)
    return cluster.start_node(name)


async def entry_of(cluster, name):
    entry = await cluster.store.get(node_key(name))
    return entry and msgspec.json.decode(entry.content, type=Registered)


def test_a_late_removal_by_an_old_process_leaves_the_new_entry():
    """Guards against a node that serves and that no takeover waits for."""

    async def main():
        async with world(nodes=1) as cluster:
            cluster.store.fail_once(Fault.LATE_WRITE)
            node = await restart(cluster, 'n1')
            await asyncio.sleep(1)
            cluster.store.apply_late_writes()
            await asyncio.sleep(0.1)
            return node._registration.lease, await entry_of(cluster, 'n1')

    lease, entry = run(main())
    assert entry is not None
    assert entry.lease == lease


def test_a_late_registration_does_not_replace_a_newer_one():
    """Guards against a takeover that ends a lease which nobody renews."""

    async def main():
        async with world(nodes=0) as cluster:
            cluster.store.fail_once(Fault.LATE_WRITE)
            node = cluster.start_node('n1')
            await asyncio.sleep(1)
            lease = node._registration.lease
            cluster.store.apply_late_writes()
            await asyncio.sleep(0.1)
            return lease, await entry_of(cluster, 'n1')

    lease, entry = run(main())
    assert lease is not None
    assert entry.lease == lease


def test_a_node_whose_entry_is_removed_registers_again():
    """Guards against a node that goes on without an entry."""

    async def main():
        async with world(nodes=1) as cluster:
            cluster.store.put(node_key('n1'), None)
            await asyncio.sleep(2)
            lease = cluster.nodes['n1']._registration.lease
            return lease, await entry_of(cluster, 'n1')

    lease, entry = run(main())
    assert entry is not None
    assert entry.lease == lease


def test_a_node_that_stops_removes_its_entry():
    async def main():
        async with world(nodes=1) as cluster:
            await cluster.nodes['n1']._registration.deregister()
            return await entry_of(cluster, 'n1')

    assert run(main()) is None
