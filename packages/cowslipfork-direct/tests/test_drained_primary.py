"""A primary that leaves while no other endpoint can replace it."""

import asyncio

import pytest
from direct_fakes.restore import now
from direct_fakes.world import AGED, FRESH, World, run, statement

from cowslipfork.outcomes import Done, NotRun, Reason

#: Seconds for which an endpoint that leaves accepts new work.
DRAIN_TIME = 3.0

#: Seconds until a statement is refused once there is nobody to run it.
PROMPT = 1.0


async def leaving_world():
    """Returns a world whose primary leaves and has no candidate."""
    made = World()
    made.drain_time = DRAIN_TIME
    for number in (1, 2, 3):
        made.start_node(f'n{number}', 'abc'[number - 1])
    await asyncio.sleep(1)
    for name in ('e2', 'e3'):
        made.servers[name].blocked = True
    await asyncio.sleep(0.5)
    made.servers['e1'].leaving = True
    made.list_server(made.servers['e1'])
    return made


async def run_alone(session):
    return await session.run(statement('WRITE a'))


async def run_transaction(session):
    await session.run(statement('BEGIN'))
    outcome = await session.run(statement('READ a'))
    await session.run(statement('ROLLBACK'))
    return outcome


@pytest.mark.parametrize('database', [FRESH, AGED])
@pytest.mark.parametrize('work', [run_alone, run_transaction])
def test_a_drained_primary_gets_no_new_work(database, work):
    """Guards against requests that reach a server which is about to end."""

    async def main():
        made = await leaving_world()
        begun = now()
        sent, refused = [], []
        while now() < begun + DRAIN_TIME + 3:
            session = await made.session(database)
            asked_at = now()
            outcome = await work(session)
            if isinstance(outcome, Done):
                sent.append(now() - begun)
            elif asked_at > begun + DRAIN_TIME:
                refused.append((outcome, now() - asked_at))
            await session.close()
            await asyncio.sleep(0.05)
        await made.close()
        return sent, refused

    sent, refused = run(main())
    assert DRAIN_TIME - 1 < max(sent) < DRAIN_TIME
    assert refused
    for outcome, waited in refused:
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.NO_PRIMARY
        assert waited < PROMPT


def test_an_open_transaction_ends_at_a_drained_primary():
    """Guards against transactions that are cut though the server still runs."""

    async def main():
        made = await leaving_world()
        session = await made.session()
        await asyncio.sleep(DRAIN_TIME - 1)
        await session.run(statement('BEGIN'))
        begun = await session.run(statement('WRITE a'))
        await asyncio.sleep(1.5)
        committed = await session.run(statement('COMMIT'))
        await made.close()
        return begun, committed

    begun, committed = run(main())
    assert isinstance(begun, Done)
    assert isinstance(committed, Done)


def test_a_drained_primary_is_replaced_once_a_replica_answers():
    """Guards against a group that stays without primary until it has ended."""

    async def main():
        made = await leaving_world()
        await asyncio.sleep(DRAIN_TIME + 1)
        made.servers['e2'].blocked = False
        session = await made.session()
        begun = now()
        while not isinstance(await run_alone(session), Done):
            assert now() < begun + 20
            await asyncio.sleep(0.05)
        await made.close()
        return made, now() - begun

    made, gap = run(main())
    assert made.database.primary.name == 'e2'
    assert gap < 3


def test_a_primary_that_takes_back_that_it_leaves_serves_on():
    async def main():
        made = await leaving_world()
        made.servers['e1'].leaving = False
        made.list_server(made.servers['e1'])
        await asyncio.sleep(DRAIN_TIME + 1)
        outcome = await run_alone(await made.session())
        await made.close()
        return outcome

    assert isinstance(run(main()), Done)
