from __future__ import annotations

import asyncio

import pymysql
import pytest
from pymysql.constants import SERVER_STATUS

from cowslipfork.ids import RequestId
from cowslipfork.outcomes import NotRun, Reason, Refused, Unknown

from .drivers import asyncmy_connection, with_pymysql


def tell(connection, *statements: str) -> list[int]:
    """Runs statements and gives the error number of each; 0 for none."""
    numbers = []
    with connection.cursor() as cursor:
        for sql in statements:
            try:
                cursor.execute(sql)
            except pymysql.MySQLError as error:
                numbers.append(error.args[0])
            else:
                numbers.append(0)
    return numbers


def asked(run) -> list[str]:
    return [request.sql for request in run.requests]


async def test_statements_of_a_transaction_carry_one_id(server, run):
    def talk(connection):
        tell(connection, 'BEGIN', 'SELECT a FROM t', 'DELETE FROM t')
        inside = connection.server_status
        tell(connection, 'COMMIT', 'START TRANSACTION', 'ROLLBACK')
        return inside, connection.server_status

    inside, after = await with_pymysql(server, talk)
    assert inside & SERVER_STATUS.SERVER_STATUS_IN_TRANS
    assert not after & SERVER_STATUS.SERVER_STATUS_IN_TRANS
    identities = [request.transaction for request in run.requests]
    assert len(set(identities[:4])) == 1
    assert len(set(identities[4:])) == 1
    assert None not in identities
    assert identities[0] != identities[4]


FAILING = (
    NotRun(Reason.TRANSACTION_LOST, detail='carrier died'),
    NotRun(Reason.DEADLINE),
    Unknown(None),
    Refused(1213, '40001', 'Deadlock found'),
)


@pytest.mark.parametrize('outcome', FAILING)
async def test_after_a_failure_nothing_runs_until_the_end(
    server,
    run,
    outcome,
):
    run.reply('DELETE FROM t', outcome)

    def talk(connection):
        return tell(
            connection,
            'BEGIN',
            'DELETE FROM t',
            'INSERT INTO t VALUES (1)',
            'COMMIT',
            'INSERT INTO t VALUES (2)',
        )

    numbers = await with_pymysql(server, talk)
    assert numbers[2:] == [4714, 4714, 0]
    assert asked(run) == [
        'BEGIN',
        'DELETE FROM t',
        'ROLLBACK',
        'INSERT INTO t VALUES (2)',
    ]


@pytest.mark.parametrize('end', ['ROLLBACK', 'BEGIN'])
async def test_a_failed_transaction_can_be_left(server, run, end):
    run.reply('DELETE FROM t', NotRun(Reason.CONNECTION_LOST))

    def talk(connection):
        return tell(
            connection, 'BEGIN', 'DELETE FROM t', end, 'SELECT a FROM t'
        )

    assert await with_pymysql(server, talk) == [0, 4713, 0, 0]
    assert 'INSERT' not in asked(run)


async def test_a_rejected_statement_leaves_the_transaction_open(server, run):
    run.reply('INSERT INTO t VALUES (1)', Refused(1062, '23000', 'Duplicate'))

    def talk(connection):
        return tell(
            connection,
            'BEGIN',
            'INSERT INTO t VALUES (1)',
            'INSERT INTO t VALUES (2)',
            'COMMIT',
        )

    assert await with_pymysql(server, talk) == [0, 1062, 0, 0]
    assert asked(run)[-1] == 'COMMIT'


async def test_an_unknown_commit_is_told_as_unknown(server, run):
    run.reply('COMMIT', Unknown(RequestId('batch-1'), 50))

    def talk(connection):
        return tell(connection, 'BEGIN', 'COMMIT', 'SELECT a FROM t')

    assert await with_pymysql(server, talk) == [0, 4720, 0]
    assert run.requests[-1].transaction is None
    assert run.requests[-1].marks is None


async def test_a_commit_that_was_not_run_frees_the_connection(server, run):
    run.reply('COMMIT', NotRun(Reason.QUEUE_FULL, 5))

    def talk(connection):
        return tell(connection, 'BEGIN', 'COMMIT', 'SELECT a FROM t')

    assert await with_pymysql(server, talk) == [0, 4703, 0]
    begun, _, released, last = run.requests
    assert released.sql == 'ROLLBACK'
    assert released.transaction == begun.transaction
    assert last.transaction is None


async def test_begin_that_fails_opens_nothing(server, run):
    run.reply('BEGIN', NotRun(Reason.NO_PRIMARY, 100))

    def talk(connection):
        return tell(connection, 'BEGIN', 'SELECT a FROM t')

    assert await with_pymysql(server, talk) == [4705, 0]
    assert run.requests[-1].transaction is None


async def test_begin_inside_a_transaction_commits_it(server, run):
    def talk(connection):
        return tell(connection, 'BEGIN', 'BEGIN', 'ROLLBACK')

    await with_pymysql(server, talk)
    assert asked(run) == ['BEGIN', 'COMMIT', 'BEGIN', 'ROLLBACK']


async def test_without_autocommit_statements_begin_one(server, run):
    def talk(connection):
        tell(connection, 'SELECT a FROM t', 'DELETE FROM t')
        connection.commit()
        tell(connection, 'DELETE FROM t')
        connection.autocommit(True)
        tell(connection, 'DELETE FROM t')

    await with_pymysql(server, talk, autocommit=False)
    assert asked(run) == [
        'BEGIN',
        'SELECT a FROM t',
        'DELETE FROM t',
        'COMMIT',
        'BEGIN',
        'DELETE FROM t',
        'COMMIT',
        'DELETE FROM t',
    ]
    assert run.requests[-1].transaction is None


PLACES = (
    ('SAVEPOINT a', 1235, 0),
    ('SELECT LAST_INSERT_ID() + 1', 1235, 0),
    ('ALTER TABLE t ADD b INT', 0, 1235),
    ('USE orders', 0, 1235),
)


@pytest.mark.parametrize(('sql', 'outside', 'inside'), PLACES)
async def test_statements_keep_their_place(server, sql, outside, inside):
    def talk(connection):
        tell(connection, 'BEGIN')
        return tell(connection, sql)

    assert await with_pymysql(server, lambda opened: tell(opened, sql)) == [
        outside,
    ]
    assert await with_pymysql(server, talk) == [inside]


async def test_a_caller_that_goes_is_rolled_back(server, run):
    async with asyncmy_connection(server) as connection:
        await connection.begin()
    await run.heard['ROLLBACK'].wait()
    assert asked(run) == ['BEGIN', 'ROLLBACK']
    assert run.requests[0].transaction == run.requests[1].transaction


async def test_a_read_in_flight_ends_with_its_caller(server, run):
    waiting = asyncio.Event()
    cancelled = asyncio.Event()

    async def wait(request):
        waiting.set()
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.set()

    run.waits['SELECT a FROM t'] = wait
    async with asyncmy_connection(server) as connection:
        cursor = connection.cursor()
        query = asyncio.ensure_future(cursor.execute('SELECT a FROM t'))
        await waiting.wait()
    await cancelled.wait()
    with pytest.raises(Exception, match='.'):
        await query
