from __future__ import annotations

import datetime
from decimal import Decimal

import pytest

from cowslipfork.ids import Mark, Position, Term
from cowslipfork.outcomes import Done, NotRun, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Column, Operation

from .conftest import GROUP
from .drivers import (
    asyncmy_connection,
    result,
    with_connector,
    with_pymysql,
)

UNSIGNED = 32
BLOB = 16
TEXT = 255
BINARY = 63

#: Column, cell of the endpoint, value that a driver gives.
TYPES = (
    (Column('tiny', 1, BINARY), '-5', -5),
    (Column('utiny', 1, BINARY, UNSIGNED), '250', 250),
    (Column('small', 2, BINARY), '-300', -300),
    (Column('medium', 9, BINARY), '-70000', -70000),
    (Column('whole', 3, BINARY, UNSIGNED), '4000000000', 4000000000),
    (Column('big', 8, BINARY), '-9223372036854775808', -(2**63)),
    (Column('ubig', 8, BINARY, UNSIGNED), '18446744073709551615', 2**64 - 1),
    (Column('year', 13, BINARY, UNSIGNED), '2026', 2026),
    (Column('float', 4, BINARY), '1.5', 1.5),
    (Column('double', 5, BINARY), '-2.25e-3', -0.00225),
    (Column('decimal', 246, BINARY), '-12345.678', Decimal('-12345.678')),
    (Column('date', 10, BINARY), '2026-12-04', datetime.date(2026, 12, 4)),
    (
        Column('moment', 12, BINARY),
        '2026-12-04 05:06:07',
        datetime.datetime(2026, 12, 4, 5, 6, 7),
    ),
    (
        Column('stamp', 7, BINARY),
        '2026-12-04 05:06:07.000008',
        datetime.datetime(2026, 12, 4, 5, 6, 7, 8),
    ),
    (
        Column('time', 11, BINARY),
        '-26:30:15',
        -datetime.timedelta(hours=26, minutes=30, seconds=15),
    ),
    (
        Column('char', 254, TEXT),
        'Eid ul-Fitr \u0639\u06cc\u062f',
        'Eid ul-Fitr \u0639\u06cc\u062f',
    ),
    (Column('varchar', 253, TEXT), '', ''),
    (Column('blob', 252, BINARY, BLOB), b'\x00\xff\xfe', b'\x00\xff\xfe'),
    (Column('nothing', 253, TEXT), None, None),
)
COLUMNS = tuple(column for column, _, _ in TYPES)
CELLS = tuple(cell for _, cell, _ in TYPES)
EXPECTED = tuple(given for _, _, given in TYPES)

READ = 'SELECT * FROM festivals'


async def test_pymysql_gets_every_column_type(server, run):
    run.reply(READ, result(COLUMNS, [CELLS], [CELLS]))

    def talk(connection):
        with connection.cursor() as cursor:
            cursor.execute(READ)
            return cursor.fetchall()

    assert await with_pymysql(server, talk) == (EXPECTED, EXPECTED)


async def test_asyncmy_gets_every_column_type(server, run):
    run.reply(READ, result(COLUMNS, [CELLS]))
    async with asyncmy_connection(server) as connection:
        async with connection.cursor() as cursor:
            await cursor.execute(READ)
            assert await cursor.fetchall() == (EXPECTED,)


@pytest.mark.parametrize('prepared', [True, False])
async def test_connector_gets_every_column_type(server, run, prepared):
    # The pure Python driver misreads two types of the binary protocol.
    misread = {'year', 'time'} if prepared else set()
    chosen = [item for item in TYPES if item[0].name not in misread]
    columns, cells, expected = map(tuple, zip(*chosen, strict=True))
    run.reply(READ, result(columns, [cells]))

    def talk(connection):
        with connection.cursor(prepared=prepared) as cursor:
            cursor.execute(READ)
            return cursor.fetchall()

    assert await with_connector(server, talk) == [expected]


async def test_connector_sends_parameters_of_every_type(server, run):
    given = (
        5,
        -7,
        2**63 - 1,
        1.5,
        Decimal('3.25'),
        "O'Neil \\ ? \u0639\u06cc\u062f\n",
        b"\x00'\xff",
        None,
        datetime.date(2026, 12, 4),
        datetime.datetime(2026, 12, 4, 5, 6, 7, 8),
        datetime.time(1, 2, 3),
    )
    sql = f"INSERT INTO t VALUES ('?', {', '.join(['%s'] * len(given))})"

    def talk(connection):
        with connection.cursor(prepared=True) as cursor:
            cursor.execute(sql, given)
            cursor.execute(sql, given)

    await with_connector(server, talk)
    expected = (
        "INSERT INTO t VALUES ('?', 5, -7, 9223372036854775807, 1.5, "
        "DECIMAL, 'O\\'Neil \\\\ ? \u0639\u06cc\u062f\\n', x'0027ff', NULL, "
        "'2026-12-04', '2026-12-04 05:06:07.000008', '01:02:03')"
    )
    seen = [
        sql.replace("'3.25'", 'DECIMAL').replace(' 3.25', ' DECIMAL')
        for sql in run.statements
    ]
    assert seen == [expected, expected]


async def test_connector_sends_query_attributes(server, run):
    def talk(connection):
        with connection.cursor() as cursor:
            cursor.add_attribute('kind', 'festivals')
            cursor.add_attribute('session', 'desk-7')
            cursor.add_attribute('request_id', 'batch-1')
            cursor.add_attribute('deadline_ms', 1500)
            cursor.execute('SELECT 1 FROM t')
            cursor.fetchall()

    await with_connector(server, talk)
    request = run.requests[-1]
    assert request.kind == 'festivals'
    assert (request.session, request.request_id) == ('desk-7', 'batch-1')
    assert request.marks is None


async def test_figures_and_marks_of_the_endpoint(server, run):
    mark = Mark(Term(1), Position(7))
    written = Answer(affected_rows=300, last_insert_id=70_000, mark=mark)
    run.reply('INSERT INTO t VALUES (1)', Done(written))

    def talk(connection):
        with connection.cursor() as cursor:
            cursor.execute('INSERT INTO t VALUES (1)')
            figures = cursor.rowcount, cursor.lastrowid
            cursor.execute('SELECT LAST_INSERT_ID() AS id')
            row = cursor.fetchone()
            cursor.execute('SELECT a FROM t')
            return figures, row

    assert await with_pymysql(server, talk) == ((300, 70_000), (70_000,))
    assert [request.operation for request in run.requests] == [
        Operation.WRITE,
        Operation.READ,
    ]
    assert [request.marks for request in run.requests] == [{}, {GROUP: mark}]


async def test_empty_and_large_results(server, run):
    columns = (Column('id', 3, BINARY), Column('name', 253, TEXT))
    batches = [
        [(str(start + place), 'x' * 20) for place in range(500)]
        for start in range(0, 100_000, 500)
    ]
    run.reply('SELECT id, name FROM t', result(columns, *batches))
    run.reply(READ, result(columns))

    def talk(connection):
        with connection.cursor() as cursor:
            cursor.execute(READ)
            empty = cursor.fetchall()
            cursor.execute('SELECT id, name FROM t')
            return empty, cursor.fetchall()

    empty, large = await with_pymysql(server, talk)
    assert empty == ()
    assert len(large) == 100_000
    assert large[99_999] == (99_999, 'x' * 20)


FAILURES = (
    (Refused(1062, '23000', 'Duplicate entry'), 1062, '23000'),
    (NotRun(Reason.QUEUE_FULL, 40, 'lookups'), 4703, '45N00'),
    (Unknown(None, 200, 'carrier lost'), 4720, '45U00'),
)


@pytest.mark.parametrize(('outcome', 'errno', 'state'), FAILURES)
async def test_failures_keep_their_numbers(server, run, outcome, errno, state):
    run.reply('DELETE FROM t', outcome)

    def talk(connection):
        with connection.cursor() as cursor:
            try:
                cursor.execute('DELETE FROM t')
            except Exception as error:
                failure = error
            cursor.execute('SELECT 1')
            cursor.fetchall()
        return failure.errno, failure.sqlstate

    assert await with_connector(server, talk) == (errno, state)
