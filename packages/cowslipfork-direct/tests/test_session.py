import asyncio

import pytest
from direct_fakes.world import (
    AGED,
    FRESH,
    prepare_statement,
    run,
    statement,
    world,
)

from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork_direct.answers import ACCEPTED, SessionState


def test_a_write_runs_once_at_the_primary_and_the_next_read_shows_it():
    async def main():
        async with world() as made:
            session = await made.session()
            written = await session.run(statement('WRITE a 1'))
            read = await session.run(statement('READ a'))
            return made, written, read

    made, written, read = run(main())
    assert written.answer.signature.startswith('signed e1')
    assert read.answer.rows == ('WRITE a 1',)
    assert [text for _, text in made.servers['e1'].statements] == [
        'WRITE a 1',
        'READ a',
    ]


def test_aged_reads_go_to_replicas_once_a_minimum_mark_is_known():
    async def main():
        async with world() as made:
            session = await made.session(AGED)
            for _ in range(6):
                await session.run(statement('READ a'))
                await asyncio.sleep(0.05)
            return made

    made = run(main())
    assert made.servers['e1'].statements == []
    assert sum(len(s.statements) for s in made.servers.values()) == 6


def test_a_session_reads_its_own_write_although_replicas_lag():
    async def main():
        async with world() as made:
            for server in made.servers.values():
                server.lag = 30
            session = await made.session(AGED)
            await session.run(statement('READ a'))
            await session.run(statement('WRITE a 1'))
            return await session.run(statement('READ a'))

    assert run(main()).answer.rows == ('WRITE a 1',)


def test_a_transaction_stays_on_one_connection_and_commits_at_once():
    async def main():
        async with world() as made:
            session = await made.session()
            assert await session.run(statement('BEGIN')) is ACCEPTED
            for text in ('WRITE a 1', 'READ a', 'WRITE b 2'):
                assert isinstance(await session.run(statement(text)), Done)
            before = list(made.servers['e1'].log)
            assert isinstance(await session.run(statement('COMMIT')), Done)
            return before, made.servers['e1'].log, session.state

    before, log, state = run(main())
    assert before == []
    assert [commit.writes for commit in log] == [('WRITE a 1', 'WRITE b 2')]
    assert state is SessionState.IDLE


def test_refused_connection_with_a_refused_rollback_is_not_used_again():
    """Guards against a later answer to it that counts as another's."""

    async def main():
        async with world() as made:
            server = made.servers['e1']
            server.refuse_rollbacks = True
            session = await made.session()
            await session.run(statement('BEGIN'))
            await session.run(statement('WRITE a 1'))
            before = server.connections
            await session.run(statement('ROLLBACK'))
            return before, server.connections

    before, after = run(main())
    assert after == before - 1


@pytest.mark.parametrize('end', ['ROLLBACK', 'close'])
def test_a_transaction_that_is_not_committed_leaves_nothing(end):
    async def main():
        async with world() as made:
            session = await made.session()
            await session.run(statement('BEGIN'))
            await session.run(statement('WRITE a 1'))
            if end == 'close':
                await session.close()
            else:
                await session.run(statement('ROLLBACK'))
            other = await made.session()
            await other.run(statement('WRITE b 2'))
            return made.servers['e1'].log

    assert [commit.writes for commit in run(main())] == [('WRITE b 2',)]


def test_a_read_only_transaction_runs_at_a_replica():
    async def main():
        async with world() as made:
            session = await made.session(AGED)
            await session.run(statement('BEGIN READ'))
            await session.run(statement('READ a'))
            await session.run(statement('COMMIT'))
            return made

    made = run(main())
    assert made.servers['e1'].statements == []
    assert sum(len(s.statements) for s in made.servers.values()) == 2


def test_values_and_prepared_statements_do_not_leak_between_callers():
    async def main():
        async with world() as made:
            one, other = await made.session(), await made.session()
            await one.run(statement('SET v 1', name='v', argument='1'))
            await one.run(prepare_statement('s', 'x'))
            await other.run(prepare_statement('s', 'y', writes=True))
            execute = {'name': 's', 'argument': 'a'}
            for session in (one, other, one):
                done = await session.run(statement('EXEC s a', **execute))
                assert isinstance(done, Done)
            return made.servers['e1'].values_seen

    assert run(main()) == [{'v': '1'}, {}, {'v': '1'}]


@pytest.mark.parametrize(
    ('texts', 'reason'),
    [
        (('COMMIT',), Reason.BAD_REQUEST),
        (('BEGIN', 'BEGIN'), Reason.BAD_REQUEST),
    ],
)
def test_statements_out_of_order_are_refused(texts, reason):
    async def main():
        async with world() as made:
            session = await made.session()
            for text in texts:
                outcome = await session.run(statement(text))
            return outcome

    outcome = run(main())
    assert isinstance(outcome, NotRun)
    assert outcome.reason is reason


def test_an_unknown_prepared_statement_is_refused():
    async def main():
        async with world() as made:
            session = await made.session()
            execute = statement('EXEC s a', name='s', argument='a')
            return await session.run(execute)

    assert run(main()).reason is Reason.BAD_REQUEST


def test_a_database_without_a_route_opens_no_session():
    async def main():
        async with world() as made:
            return await made.session('nowhere')

    assert run(main()).reason is Reason.UNKNOWN_GROUP


def test_a_caller_that_connects_before_the_configuration_waits_for_it():
    async def main():
        async with world(nodes=0) as made:
            made.start_node('n1')
            return await made.session(FRESH)

    assert not isinstance(run(main()), NotRun)


def test_without_a_configuration_a_caller_is_asked_to_retry_later():
    async def main():
        async with world(nodes=0) as made:
            made.store.put('op/config', None)
            made.start_node('n1')
            return await made.session(FRESH)

    refused = run(main())
    assert refused.reason is Reason.NOT_CURRENT
    assert refused.retry_after_ms


def test_a_removed_route_is_refused_from_the_next_transaction_on():
    async def main():
        async with world() as made:
            session = await made.session()
            await session.run(statement('BEGIN'))
            await session.run(statement('WRITE a 1'))
            made.configure(databases=[AGED])
            await asyncio.sleep(0.1)
            inside = await session.run(statement('COMMIT'))
            return inside, await session.run(statement('READ a'))

    inside, after = run(main())
    assert isinstance(inside, Done)
    assert after.reason is Reason.UNKNOWN_GROUP


def test_an_older_configuration_is_ignored():
    async def main():
        async with world() as made:
            made.configure(timeout=0.5)
            await asyncio.sleep(0.1)
            made.configure(revision=1, timeout=0.9)
            await asyncio.sleep(0.1)
            return made.nodes['n1']._view.table.revision

    assert run(main()) == 2


def test_the_statement_after_an_abort_is_refused_with_the_cause():
    async def main():
        async with world() as made:
            session = await made.session()
            await session.run(statement('BEGIN'))
            await session.run(statement('WRITE a 1'))
            await session.abort('idle for too long')
            first = await session.run(statement('WRITE b 2'))
            second = await session.run(statement('WRITE b 2'))
            state = session.state
            await session.run(statement('ROLLBACK'))
            return made, first, second, state, session.state

    made, first, second, failed, ended = run(main())
    assert first.reason is Reason.TRANSACTION_LOST
    assert second.reason is Reason.BAD_REQUEST
    assert failed is SessionState.FAILED_TRANSACTION
    assert ended is SessionState.IDLE
    assert made.servers['e1'].log == []


@pytest.mark.parametrize('leaves_after', [0.01, 0.05, 0.1])
def test_a_transaction_that_ran_a_statement_is_not_begun_anew(leaves_after):
    """Guards against a first statement that runs on two connections."""

    async def main():
        async with world(nodes=3) as made:
            made.configure(timeout=5)
            await asyncio.sleep(0.5)
            made.servers['e1'].service_time = 0.5
            session = await made.session()
            await session.run(statement('BEGIN'))
            first = asyncio.create_task(session.run(statement('WRITE a 1')))
            await asyncio.sleep(leaves_after)
            made.servers['e1'].leaving = True
            made.list_server(made.servers['e1'])
            return made, await first

    made, first = run(main())
    assert first.reason is Reason.TRANSACTION_LOST
    executed = [server.statements for server in made.servers.values()]
    assert [len(statements) for statements in executed] == [1, 0, 0]


def test_nothing_is_sent_on_a_connection_with_an_outstanding_answer():
    async def main():
        async with world() as made:
            session = await made.session()
            await session.run(statement('BEGIN'))
            await session.run(statement('WRITE a 1'))
            made.servers['e1'].lose_answers = 1
            outcome = await session.run(statement('WRITE b 2'))
            await session.run(statement('ROLLBACK'))
            return made, outcome

    made, outcome = run(main())
    assert outcome.reason is Reason.TRANSACTION_LOST
    assert made.servers['e1'].overlapping_sends == []


def test_a_replica_behind_the_mark_keeps_its_connection():
    async def main():
        async with world(nodes=1) as made:
            for server in made.servers.values():
                server.lag = 30
            session = await made.session(AGED)
            await session.run(statement('WRITE a 1'))
            before = made.opened
            for _ in range(10):
                await session.run(statement('BEGIN READ'))
                await session.run(statement('READ a'))
                await session.run(statement('COMMIT'))
                await asyncio.sleep(0.2)
            return made.opened - before

    assert run(main()) <= 3


def test_idle_transactions_leave_connections_for_other_sessions():
    async def main():
        async with world(nodes=1, connections=1) as made:
            idle = [await made.session() for _ in range(2)]
            for number, session in enumerate(idle):
                await session.run(statement('BEGIN'))
                await session.run(statement(f'WRITE a {number}'))
            other = await made.session()
            outcome = await other.run(statement('WRITE b 1'))
            ended = [await one.run(statement('COMMIT')) for one in idle]
            return made, outcome, ended

    made, outcome, ended = run(main())
    assert isinstance(outcome, Done)
    assert all(isinstance(done, Done) for done in ended)
    assert len(made.servers['e1'].log) == 3


def test_connections_beyond_the_quota_are_closed_soon():
    async def main():
        async with world(nodes=1, connections=1) as made:
            sessions = [await made.session() for _ in range(3)]
            for number, session in enumerate(sessions):
                await session.run(statement('BEGIN'))
                await session.run(statement(f'WRITE a {number}'))
            for session in sessions:
                await session.run(statement('COMMIT'))
            await asyncio.sleep(1)
            return made.servers['e1'].connections

    assert run(main()) == 1


def test_values_of_one_caller_are_reset_for_the_next_one():
    async def main():
        async with world(nodes=1, connections=1) as made:
            first = await made.session()
            set_zone = statement('SET zone 1', name='zone', argument='1')
            await first.run(set_zone)
            await first.run(statement('WRITE a 1'))
            second = await made.session()
            await second.run(statement('WRITE b 2'))
            return made.servers['e1'].values_seen

    assert run(main()) == [{'zone': '1'}, {}]
