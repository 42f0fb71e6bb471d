import asyncio

from direct_fakes.servers import ONE_WAY
from direct_fakes.world import FRESH, run, statement, world

from cowslipfork.outcomes import Done
from cowslipfork_direct.activity import LINGER, Activity
from cowslipfork_direct.endpoint_monitor import EndpointMonitor


def _recorded():
    events = []
    activity = Activity(
        lambda: events.append('begin'), lambda: events.append('end')
    )
    return activity, events


def test_an_unused_node_becomes_inactive_once_it_is_not_required():
    async def main():
        activity, events = _recorded()
        await asyncio.sleep(LINGER + 1)
        before = activity.active
        activity.require(required=False)
        await asyncio.sleep(0.1)
        return before, activity.active, events

    assert run(main()) == (True, False, ['end'])


def test_each_use_keeps_a_node_active_for_a_while():
    async def main():
        activity, events = _recorded()
        activity.record_use()
        activity.require(required=False)
        await asyncio.sleep(LINGER - 1)
        activity.record_use()
        await asyncio.sleep(LINGER - 1)
        during = activity.active
        await asyncio.sleep(2)
        return during, activity.active, events

    assert run(main()) == (True, False, ['end'])


def test_an_inactive_node_begins_again_with_the_next_use():
    async def main():
        activity, events = _recorded()
        activity.require(required=False)
        await asyncio.sleep(LINGER + 1)
        activity.record_use()
        begun = activity.active
        await asyncio.sleep(LINGER + 1)
        return begun, activity.active, events

    assert run(main()) == (True, False, ['end', 'begin', 'end'])


def test_an_inactive_node_holds_no_connections_and_asks_nothing():
    """Guards against nodes that use up connections which carriers need."""

    async def main():
        async with world(nodes=2) as cluster:
            group = next(iter(cluster.nodes['n2']._view.groups.values()))
            group.activity.require(required=False)
            await asyncio.sleep(LINGER + 1)
            cluster.servers['e1'].blocked = True
            await asyncio.sleep(5)
            links = sum(
                endpoint.open_links for endpoint in group.endpoints.values()
            )
            reported = cluster.nodes['n1']._takeover_cache.suspicions(
                group.name
            )
            return links, frozenset(reported)

    links, suspicions = run(main())
    assert links == 0
    assert 'n2' not in suspicions


def test_a_connection_that_is_returned_to_an_inactive_node_is_closed():
    """Guards against a connection that carriers lack and nobody uses."""

    async def main():
        async with world(nodes=2) as cluster:
            group = next(iter(cluster.nodes['n2']._view.groups.values()))
            endpoint = group.endpoints['e2']
            monitor = EndpointMonitor(group)
            inspecting = asyncio.create_task(monitor.inspect(endpoint))
            await asyncio.sleep(ONE_WAY / 2)
            in_use = endpoint.pool.in_use
            group.activity.require(required=False)
            await inspecting
            await asyncio.sleep(1)
            links = sum(one.open_links for one in group.endpoints.values())
            return in_use, links

    assert run(main()) == (1, 0)


def test_an_inactive_node_serves_the_statement_that_makes_it_active():
    async def main():
        async with world(nodes=2) as cluster:
            group = next(iter(cluster.nodes['n2']._view.groups.values()))
            group.activity.require(required=False)
            await asyncio.sleep(LINGER + 1)
            session = await cluster.session(FRESH, 'n2')
            return await session.run(statement('WRITE a 1'))

    assert isinstance(run(main()), Done)


def test_a_transaction_that_is_idle_keeps_the_node_active():
    """Guards against the loss of transactions that are idle for `LINGER`."""

    async def main():
        async with world(nodes=2) as cluster:
            cluster.configure(transaction_idle=30)
            await asyncio.sleep(0.5)
            group = next(iter(cluster.nodes['n2']._view.groups.values()))
            group.activity.require(required=False)
            session = await cluster.session(FRESH, 'n2')
            await session.run(statement('BEGIN'))
            await session.run(statement('WRITE a 1'))
            await asyncio.sleep(3 * LINGER)
            committed = await session.run(statement('COMMIT'))
            await asyncio.sleep(LINGER + 1)
            return committed, group.activity.active

    committed, active_afterwards = run(main())
    assert isinstance(committed, Done)
    assert not active_afterwards
