"""What a node had of the store before it returned from an older copy."""

import asyncio

from direct_fakes.history import History
from direct_fakes.restore import (
    GROUP,
    now,
    write,
    write_until,
)
from direct_fakes.world import AGED, FRESH, World, run, statement, world

from cowslipfork.ids import Term
from cowslipfork.outcomes import Done, NotRun
from cowslipfork_direct.era_settlement import SETTLE_TIME
from cowslipfork_direct.fleet import alive_key
from cowslipfork_direct.store_watcher import ABSENCE_GRACE
from cowslipfork_direct.takeover.records import (
    Suspicion,
    suspect_key,
)
from cowslipfork_direct.takeover.suspicion_reporter import SuspicionReporter


def test_a_configuration_that_is_written_again_is_taken():
    async def main():
        async with world(nodes=1) as cluster:
            copy = cluster.store.copy()
            for _ in range(20):
                cluster.store.put('servers/unused', None)
            cluster.configure(timeout=0.5)
            await asyncio.sleep(1)
            cluster.store.restore(copy)
            await asyncio.sleep(1)
            kept = cluster.nodes['n1']._view.table
            cluster.configure(timeout=0.4)
            await asyncio.sleep(1)
            return kept, cluster.nodes['n1']._view.table

    kept, taken = run(main())
    assert kept.revision == 2
    assert kept.routes[FRESH].timeout == 0.5
    assert taken.revision == 3
    assert taken.routes[FRESH].timeout == 0.4


def test_a_lease_that_another_node_has_now_is_given_up():
    async def main():
        async with world(nodes=1) as cluster:
            node = cluster.nodes['n1']
            copy = cluster.store.copy()
            copy.leases.clear()
            cluster.store.restore(copy)
            # The store gives the id of this node's lease to another one.
            stolen = node._registration.lease
            cluster.store._leases.add(stolen)
            cluster.store._granted = stolen
            await asyncio.sleep(1)
            entry = await cluster.store.get(alive_key('n1'))
            return stolen, node._registration.lease, entry

    stolen, lease, entry = run(main())
    assert lease is not None
    assert lease != stolen
    assert entry is not None


def test_a_suspicion_is_written_with_a_lease_only():
    async def main():
        async with world(nodes=1) as cluster:
            group = cluster.nodes['n1']._view.groups[GROUP]
            reporter = SuspicionReporter(
                'n1', group, None, cluster.store, lambda: None
            )
            await reporter._report(Suspicion('e1', Term(1)))
            return await cluster.store.get(suspect_key(GROUP, 'n1'))

    assert run(main()) is None


def test_a_node_that_starts_in_an_unsettled_era_serves_once_it_is_settled():
    async def main():
        cluster = World()
        cluster.store.restore(cluster.store.copy())
        cluster.start_node()
        try:
            await asyncio.sleep(SETTLE_TIME / 2)
            early = await write(cluster)
            await asyncio.sleep(SETTLE_TIME)
            return early, await write(cluster)
        finally:
            await cluster.close()

    early, late = run(main())
    assert isinstance(early, NotRun)
    assert isinstance(late, Done)


def test_callers_are_served_through_a_restore():
    async def main():
        async with world(nodes=2) as cluster:
            copy = cluster.store.copy()
            history = History(cluster.database)
            writing = asyncio.create_task(
                write_until(cluster, history, 'n1', now() + 10)
            )
            await asyncio.sleep(1)
            before = history.done
            cluster.store.restore(copy)
            await asyncio.sleep(1)
            cluster.store.restore(copy)
            await asyncio.sleep(SETTLE_TIME - 1)
            during = history.done - before
            await writing
            return history, during

    history, during = run(main())
    assert history.find_violations() == []
    assert during > 100


def test_a_server_that_has_left_is_not_used_again():
    async def main():
        async with world(nodes=1) as cluster:
            copy = cluster.store.copy()
            await asyncio.sleep(0.2)
            cluster.store.put('servers/e3', None)
            await asyncio.sleep(0.2)
            cluster.store.restore(copy)
            await asyncio.sleep(ABSENCE_GRACE + 1)
            group = cluster.nodes['n1']._view.groups[GROUP]
            without = set(group.endpoints)
            cluster.list_server(cluster.servers['e3'])
            await asyncio.sleep(0.5)
            return without, set(group.endpoints)

    without, written_again = run(main())
    assert without == {'e1', 'e2'}
    assert written_again == {'e1', 'e2', 'e3'}


def test_a_server_that_is_leaving_goes_on_leaving():
    async def main():
        async with world(nodes=1) as cluster:
            copy = cluster.store.copy()
            server = cluster.servers['e3']
            server.leaving = True
            cluster.list_server(server)
            await asyncio.sleep(0.5)
            cluster.store.restore(copy)
            server.leaving = False
            await asyncio.sleep(1)
            group = cluster.nodes['n1']._view.groups[GROUP]
            return group.endpoints['e3'].listed.leaving

    assert run(main())


def test_a_missing_server_is_gone_only_after_a_while():
    async def main():
        async with world(nodes=1) as cluster:
            entry = await cluster.store.get('servers/e3')
            cluster.store.put('servers/e3', None)
            copy = cluster.store.copy()
            cluster.store.put('servers/e3', entry.content)
            await asyncio.sleep(0.2)
            group = cluster.nodes['n1']._view.groups[GROUP]
            cluster.store.restore(copy)
            await asyncio.sleep(ABSENCE_GRACE - 0.5)
            early = set(group.endpoints)
            await asyncio.sleep(1.5)
            return early, set(group.endpoints)

    early, late = run(main())
    assert early == {'e1', 'e2', 'e3'}
    assert late == {'e1', 'e2'}


def test_reads_of_a_stated_age_go_on():
    async def main():
        async with world(nodes=1) as cluster:
            copy = cluster.store.copy()
            session = await cluster.session(AGED)
            outcomes = []
            for step in range(60):
                if step == 10:
                    cluster.store.restore(copy)
                outcomes.append(await session.run(statement('READ all')))
                await asyncio.sleep(0.05)
            return outcomes

    assert all(isinstance(outcome, Done) for outcome in run(main()))
