"""Each safety mechanism, tested in the scenario that needs it."""

import asyncio
import itertools
import time

import pytest
from direct_fakes.history import History
from direct_fakes.world import AGED, FRESH, run, statement, world

from cowslipfork.ids import GroupName, Term, VmId
from cowslipfork.outcomes import Done, NotRun, Unknown
from cowslipfork.store import Put
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.registration import Registration, RegistrationHooks
from cowslipfork_direct.relay import Address
from cowslipfork_direct.store_era import EraTracker
from cowslipfork_direct.takeover.records import (
    DUTY_KEY,
    ClaimId,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    stopped_key,
    takeover_key,
)

GROUP = GroupName('g')


def now():
    return asyncio.get_running_loop().time()


async def write_repeatedly(cluster, history, node, seconds):
    """Writes through one node for some seconds, 10 ms after each answer."""
    session = await cluster.session(FRESH, node)
    until = now() + seconds
    for number in itertools.count():
        if now() >= until:
            return
        text = f'WRITE {node} {number}'
        begun = now()
        outcome = await session.run(statement(text))
        history.record_write(text, node, begun, now(), outcome)
        await asyncio.sleep(0.01)


def isolate(cluster, node, *, reaching):
    """Cuts a node off from all but some servers, which only it reaches."""
    cluster.stores[node].blocked = True
    other_nodes = set(cluster.nodes) - {node}
    cluster.node_partitions = {(node, other) for other in other_nodes}
    cluster.blocked_paths = {
        (other, name) for other in other_nodes for name in reaching
    }
    cluster.blocked_paths |= {
        (node, n) for n in cluster.servers if n not in reaching
    }


def test_a_promotion_waits_until_an_isolated_node_has_stopped():
    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 0.05
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            history = History(cluster.database)
            isolate(cluster, 'n3', reaching=['e1'])
            await asyncio.gather(
                *(
                    write_repeatedly(cluster, history, node, 6)
                    for node in cluster.nodes
                ),
            )
            return cluster, history

    cluster, history = run(main())
    assert len(cluster.database.terms) == 2
    assert history.find_violations() == []


@pytest.mark.parametrize('offset', [0, 0.03, 0.06, 0.09, 0.12, 0.15])
def test_a_promotion_waits_for_confirmations_of_a_node_without_a_lease(offset):
    """Guards against a primary that servers confirmed a moment ago."""

    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 0.01
            history = History(cluster.database)
            cluster.stores['n3'].blocked = True
            cluster.node_partitions = {('n3', 'n1'), ('n3', 'n2')}
            writing = asyncio.create_task(
                write_repeatedly(cluster, history, 'n3', 9)
            )
            await asyncio.sleep(4 + offset)
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            cluster.blocked_paths = {('n1', 'e1'), ('n2', 'e1')}
            await write_repeatedly(cluster, history, 'n1', 4)
            await writing
            return cluster, history

    cluster, history = run(main())
    assert len(cluster.database.terms) == 2
    assert history.find_violations() == []


def test_no_promotion_while_an_isolated_node_may_hold_a_majority():
    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 0.05
            history = History(cluster.database)
            isolate(cluster, 'n3', reaching=['e1', 'e3'])
            await asyncio.gather(
                *(
                    write_repeatedly(cluster, history, node, 6)
                    for node in cluster.nodes
                ),
            )
            return cluster, history

    cluster, history = run(main())
    assert cluster.orders == []
    assert history.find_violations() == []
    assert history.done > 100


def test_a_node_acknowledges_nothing_after_it_stopped():
    async def main():
        async with world(nodes=1) as cluster:
            session = await cluster.session()
            await session.run(statement('WRITE before'))
            record = Takeover(
                GROUP,
                Term(2),
                Term(1),
                'e1',
                TakeoverKind.FAILOVER,
                TakeoverPhase.CLAIMED,
                VmId('other'),
                ClaimId('claim'),
            )
            cluster.store.put(takeover_key(GROUP), encode(record))
            acknowledgement = stopped_key(GROUP, 'n1')
            async for events in cluster.store.watch(acknowledgement, 0):
                assert events[-1].key == acknowledgement
                break
            return await session.run(statement('WRITE after'))

    assert not isinstance(run(main()), Done)


def test_marks_of_a_replaced_primary_make_no_read_fresh():
    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            history = History(cluster.database)
            aged = await cluster.session(AGED, 'n3')
            await aged.run(statement('READ all'))
            isolate(cluster, 'n3', reaching=['e1'])
            cluster.blocked_paths -= {('n3', 'e2'), ('n3', 'e3')}
            cluster.servers['e2'].replication_blocked = cluster.servers[
                'e3'
            ].replication_blocked = True
            other_writes = asyncio.create_task(
                write_repeatedly(cluster, history, 'n1', 8)
            )
            for _ in range(80):
                begun = now()
                outcome = await aged.run(statement('READ all'))
                if isinstance(outcome, Done):
                    rows = outcome.answer.rows
                    history.record_read('aged', begun, rows, 1.5)
                await asyncio.sleep(0.1)
            await other_writes
            return history

    assert run(main()).find_violations() == []


def test_no_lease_counts_before_the_takeovers_are_loaded():
    async def main():
        async with world(nodes=0) as cluster:
            events = []

            async def load_takeovers():
                await asyncio.sleep(1)
                events.append('loaded')

            registration = Registration(
                VmId('n1'),
                Address('n1', 1),
                cluster.store,
                EraTracker(),
                Fleet(lambda: None),
                RegistrationHooks(
                    load_takeovers,
                    lambda begun: events.append('renewed'),
                    lambda: None,
                ),
            )
            task = asyncio.create_task(registration.run())
            await asyncio.sleep(3)
            task.cancel()
            return events

    events = run(main())
    assert events[0] == 'loaded'
    assert 'renewed' in events


def run_with_freeze(text, *, transaction):
    """Runs a statement whose node freezes while the primary is replaced."""
    offset = 0

    async def main():
        nonlocal offset
        async with world(nodes=1) as cluster:
            loop = asyncio.get_running_loop()
            time.clock_gettime = lambda _: loop.time() + offset
            cluster.database.promotion_delay = 0
            session = await cluster.session()
            if transaction:
                await session.run(statement('BEGIN'))
                await session.run(statement('WRITE a'))
            cluster.servers['e1'].service_time = 0.1
            pending = asyncio.create_task(session.run(statement(text)))
            await asyncio.sleep(0.05)
            cluster.stores['n1'].blocked = True
            cluster.blocked_paths = {('n1', 'e2'), ('n1', 'e3')}
            cluster.database.promote('e2')
            offset = 60
            return await pending

    return run(main())


def test_a_write_during_a_freeze_has_an_unknown_outcome():
    assert isinstance(run_with_freeze('WRITE a', transaction=False), Unknown)


def test_a_commit_during_a_freeze_has_an_unknown_outcome():
    outcome = run_with_freeze('COMMIT', transaction=True)
    assert isinstance(outcome, Unknown)
    assert not isinstance(outcome, NotRun)


def test_a_server_restarted_under_its_id_is_a_new_endpoint():
    async def main():
        async with world(nodes=1) as cluster:
            session = await cluster.session()
            await session.run(statement('WRITE a'))
            group = cluster.nodes['n1']._view.groups[GROUP]
            before = group.endpoints['e1']
            cluster.servers['e1'].born = 2
            cluster.list_server(cluster.servers['e1'])
            await asyncio.sleep(0.1)
            outcome = await session.run(statement('WRITE b'))
            return before, group.endpoints['e1'], outcome

    before, after, outcome = run(main())
    assert after is not before
    assert isinstance(outcome, Done)


def test_unreadable_records_are_ignored():
    async def main():
        async with world(nodes=1) as cluster:
            keys = (DUTY_KEY, takeover_key(GROUP), stopped_key(GROUP, 'x'))
            await cluster.store.swap((), [Put(key, b'\xff{') for key in keys])
            await asyncio.sleep(0.1)
            session = await cluster.session()
            return await session.run(statement('WRITE a'))

    assert isinstance(run(main()), Done)


def test_fenced_replicas_confirm_no_primary():
    async def main():
        async with world(nodes=3) as cluster:
            cluster.database.promotion_delay = 0.05
            cluster.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            history = History(cluster.database)
            isolate(cluster, 'n3', reaching=['e1'])
            cluster.blocked_paths -= {('n3', 'e2'), ('n3', 'e3')}
            await asyncio.gather(
                *(
                    write_repeatedly(cluster, history, node, 6)
                    for node in cluster.nodes
                ),
            )
            return cluster, history

    cluster, history = run(main())
    assert len(cluster.database.terms) == 2
    assert history.find_violations() == []


def test_a_frozen_promoter_confirms_its_claim_before_ordering():
    offset = 0
    confirmed = []

    async def main():
        async with world(nodes=2) as cluster:
            loop = asyncio.get_running_loop()
            time.clock_gettime = lambda _: loop.time() + offset
            swap = cluster.store.swap

            async def freezing(compares, puts):
                nonlocal offset
                swapped = await swap(compares, puts)
                if any(b'"ordered"' in (put.content or b'') for put in puts):
                    confirmed.append(now())
                    offset = 5
                return swapped

            cluster.store.swap = freezing
            cluster.servers['e1'].blocked = True
            await write_repeatedly(cluster, History(cluster.database), 'n1', 5)
            return cluster

    cluster = run(main())
    ordered_at = cluster.orders[0][0]
    assert len([at for at in confirmed if at < ordered_at]) == 2
