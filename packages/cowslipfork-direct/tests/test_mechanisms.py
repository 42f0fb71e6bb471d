"""Each mechanism of safety in the scenario that needs it."""

import asyncio
import itertools
import time

from direct_fakes.history import History
from direct_fakes.world import AGED, FRESH, run, statement, world

from cowslipfork.ids import GroupName, Term, VmId
from cowslipfork.outcomes import Done, NotRun, Unknown
from cowslipfork.store import Put
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.registration import Registration
from cowslipfork_direct.relay import Address
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


async def writing(made, history, node, seconds):
    """Writes through one node as fast as it answers."""
    session = await made.session(FRESH, node)
    until = now() + seconds
    for number in itertools.count():
        if now() >= until:
            return
        text = f'WRITE {node} {number}'
        begun = now()
        outcome = await session.run(statement(text))
        history.wrote(text, node, begun, now(), outcome)
        await asyncio.sleep(0.01)


def isolate(made, node, *, reaching):
    """Leaves a node with some servers only, which no other node reaches."""
    made.stores[node].blocked = True
    others = set(made.nodes) - {node}
    made.node_partitions = {(node, other) for other in others}
    made.blocked_paths = {
        (other, name) for other in others for name in reaching
    }
    made.blocked_paths |= {(node, n) for n in made.servers if n not in reaching}


def test_a_promotion_waits_until_an_isolated_node_has_stopped():
    async def main():
        async with world(nodes=3) as made:
            made.database.promotion_delay = 0.05
            made.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            history = History(made.database)
            isolate(made, 'n3', reaching=['e1'])
            await asyncio.gather(
                *(writing(made, history, node, 6) for node in made.nodes),
            )
            return made, history

    made, history = run(main())
    assert len(made.database.terms) == 2
    assert history.find_violations() == []


def test_no_promotion_while_an_isolated_node_may_hold_a_majority():
    async def main():
        async with world(nodes=3) as made:
            made.database.promotion_delay = 0.05
            history = History(made.database)
            isolate(made, 'n3', reaching=['e1', 'e3'])
            await asyncio.gather(
                *(writing(made, history, node, 6) for node in made.nodes),
            )
            return made, history

    made, history = run(main())
    assert made.orders == []
    assert history.find_violations() == []
    assert history.done > 100


def test_after_its_word_a_node_acknowledges_nothing():
    async def main():
        async with world(nodes=1) as made:
            session = await made.session()
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
            made.store.put(takeover_key(GROUP), encode(record))
            word = stopped_key(GROUP, 'n1')
            async for events in made.store.watch(word, 0):
                assert events[-1].key == word
                break
            return await session.run(statement('WRITE after'))

    assert not isinstance(run(main()), Done)


def test_marks_of_a_replaced_primary_prove_no_read_fresh():
    async def main():
        async with world(nodes=3) as made:
            made.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            history = History(made.database)
            aged = await made.session(AGED, 'n3')
            await aged.run(statement('READ all'))
            isolate(made, 'n3', reaching=['e1'])
            made.blocked_paths -= {('n3', 'e2'), ('n3', 'e3')}
            made.servers['e2'].replication_blocked = made.servers[
                'e3'
            ].replication_blocked = True
            others = asyncio.create_task(writing(made, history, 'n1', 8))
            for _ in range(80):
                begun = now()
                outcome = await aged.run(statement('READ all'))
                if isinstance(outcome, Done):
                    rows = outcome.answer.rows
                    history.read('aged', begun, rows, 1.5)
                await asyncio.sleep(0.1)
            await others
            return history

    assert run(main()).find_violations() == []


def test_a_lease_proves_nothing_before_the_takeovers_are_known():
    async def main():
        async with world(nodes=0) as made:
            events = []

            async def learn():
                await asyncio.sleep(1)
                events.append('learnt')

            registration = Registration(
                VmId('n1'),
                Address('n1', 1),
                made.store,
                Fleet(lambda: None),
                learn,
                lambda begun: events.append('proved'),
                lambda: None,
            )
            task = asyncio.create_task(registration.run())
            await asyncio.sleep(3)
            task.cancel()
            return events

    events = run(main())
    assert events[0] == 'learnt'
    assert 'proved' in events


def frozen(text, *, transaction):
    """Runs a write whose node freezes while the primary is replaced."""
    offset = 0

    async def main():
        nonlocal offset
        async with world(nodes=1) as made:
            loop = asyncio.get_running_loop()
            time.clock_gettime = lambda _: loop.time() + offset
            made.database.promotion_delay = 0
            session = await made.session()
            if transaction:
                await session.run(statement('BEGIN'))
                await session.run(statement('WRITE a'))
            made.servers['e1'].service_time = 0.1
            asking = asyncio.create_task(session.run(statement(text)))
            await asyncio.sleep(0.05)
            made.stores['n1'].blocked = True
            made.blocked_paths = {('n1', 'e2'), ('n1', 'e3')}
            made.database.promote('e2')
            offset = 60
            return await asking

    return run(main())


def test_a_node_that_was_frozen_leaves_a_write_in_doubt():
    assert isinstance(frozen('WRITE a', transaction=False), Unknown)


def test_a_node_that_was_frozen_leaves_a_commit_in_doubt():
    outcome = frozen('COMMIT', transaction=True)
    assert isinstance(outcome, Unknown)
    assert not isinstance(outcome, NotRun)


def test_a_server_that_starts_again_under_its_id_is_taken_for_new():
    async def main():
        async with world(nodes=1) as made:
            session = await made.session()
            await session.run(statement('WRITE a'))
            group = made.nodes['n1']._view.groups[GROUP]
            before = group.endpoints['e1']
            made.servers['e1'].born = 2
            made.list_server(made.servers['e1'])
            await asyncio.sleep(0.1)
            outcome = await session.run(statement('WRITE b'))
            return before, group.endpoints['e1'], outcome

    before, after, outcome = run(main())
    assert after is not before
    assert isinstance(outcome, Done)


def test_records_that_cannot_be_read_change_nothing():
    async def main():
        async with world(nodes=1) as made:
            keys = (DUTY_KEY, takeover_key(GROUP), stopped_key(GROUP, 'x'))
            await made.store.swap((), [Put(key, b'\xff{') for key in keys])
            await asyncio.sleep(0.1)
            session = await made.session()
            return await session.run(statement('WRITE a'))

    assert isinstance(run(main()), Done)


def test_held_replicas_confirm_no_primary():
    async def main():
        async with world(nodes=3) as made:
            made.database.promotion_delay = 0.05
            made.database.partitions = {('e1', 'e2'), ('e1', 'e3')}
            history = History(made.database)
            isolate(made, 'n3', reaching=['e1'])
            made.blocked_paths -= {('n3', 'e2'), ('n3', 'e3')}
            await asyncio.gather(
                *(writing(made, history, node, 6) for node in made.nodes),
            )
            return made, history

    made, history = run(main())
    assert len(made.database.terms) == 2
    assert history.find_violations() == []


def test_a_promoter_that_was_frozen_confirms_its_claim_before_it_orders():
    offset = 0
    confirmed = []

    async def main():
        async with world(nodes=2) as made:
            loop = asyncio.get_running_loop()
            time.clock_gettime = lambda _: loop.time() + offset
            swap = made.store.swap

            async def freezing(compares, puts):
                nonlocal offset
                swapped = await swap(compares, puts)
                if any(b'"ordered"' in (put.content or b'') for put in puts):
                    confirmed.append(now())
                    offset = 5
                return swapped

            made.store.swap = freezing
            made.servers['e1'].blocked = True
            await writing(made, History(made.database), 'n1', 5)
            return made

    made = run(main())
    ordered_at = made.orders[0][0]
    assert len([at for at in confirmed if at < ordered_at]) == 2
